package storage

import (
	"errors"
	"fmt"
	"io/fs"
	"strings"
)

// RepairPlan is what a repair of a corrupt directory drops: everything in a file from the first byte that cannot be
// read, and all later logs. What is dropped is kept under names that end in .damaged.
type RepairPlan struct {
	File         string   // the corrupt one
	Offset       int      // of the first byte that cannot be read
	DroppedFiles []string // later logs, which are dropped as a whole
	LostEntries  int      // valid records of the file that are dropped
}

// PlanRepair returns what a repair of the directory would drop, or nil if the directory is not corrupt. It changes
// nothing. Errors are those of Inspect, except for a *CorruptionError.
func PlanRepair(disk Disk) (*RepairPlan, error) {
	_, err := Inspect(disk)
	var corruption *CorruptionError
	if !errors.As(err, &corruption) {
		return nil, err
	}
	data, err := disk.Read(corruption.File)
	if err != nil {
		return nil, diskError(StepRead, err)
	}
	files, err := listFiles(disk)
	if err != nil {
		return nil, err
	}
	plan := &RepairPlan{File: corruption.File, Offset: corruption.Offset}
	plan.LostEntries = countRecords(data[min(len(data), plan.Offset):])
	plan.dropLaterLogs(files.logs)
	return plan, nil
}

// dropLaterLogs adds the logs that follow a corrupt log. None is dropped if the corrupt file is a snapshot.
func (p *RepairPlan) dropLaterLogs(numbers []uint64) {
	if !p.isLog() {
		return
	}
	for _, number := range numbers {
		if name := logName(number); name > p.File {
			p.DroppedFiles = append(p.DroppedFiles, name)
		}
	}
}

func (p *RepairPlan) isLog() bool { return strings.HasSuffix(p.File, logExtension) }

// countRecords counts the valid records that begin behind the first byte of data, whatever is between them.
func countRecords(data []byte) int {
	count := 0
	for {
		offset, found := nextRecord(data)
		if !found {
			return count
		}
		consecutive, rest := skipRecords(data[offset:])
		count += consecutive
		data = rest
	}
}

// skipRecords counts the valid records at the start of data, and returns what follows them. A record with an empty
// payload does not count, as in nextRecord.
func skipRecords(data []byte) (int, []byte) {
	count := 0
	for {
		payload, rest, err := cutRecord(data)
		if err != nil || len(payload) == 0 {
			return count, data
		}
		count++
		data = rest
	}
}

// Apply performs the plan on the directory that it was made for. It returns ErrInUse while the directory is locked, and
// otherwise a *DiskError, after which some of the files may have been renamed.
func (p *RepairPlan) Apply(disk Disk) error {
	if err := lock(disk); err != nil {
		return err
	}
	return errors.Join(diskError(StepRepair, p.apply(disk)), unlock(disk))
}

// apply performs the plan on a locked directory.
func (p *RepairPlan) apply(disk Disk) error {
	data, err := disk.Read(p.File)
	if err != nil {
		return err
	}
	if err := markDamaged(disk, p.File); err != nil {
		return err
	}
	if p.isLog() && p.Offset >= headerSize {
		if err := writeFile(disk, p.File, data[:p.Offset]); err != nil {
			return fmt.Errorf("write the valid part of %s: %w", p.File, err)
		}
	}
	for _, name := range p.DroppedFiles {
		// A file that is gone does not have to be dropped any more.
		if err := markDamaged(disk, name); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return err
		}
	}
	return disk.Sync()
}

// markDamaged renames a file so that it is kept and not read any more.
func markDamaged(disk Disk, name string) error {
	return disk.Rename(name, name+damagedExtension)
}
