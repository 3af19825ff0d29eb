package storage

import (
	"errors"
	"fmt"
	"io/fs"
	"strings"
)

// RepairPlan lists the data that a repair of a corrupt directory drops: a corrupt snapshot completely, or a corrupt log
// from Offset on and all later logs. The original files are kept under names that end in .damaged.
type RepairPlan struct {
	File         string   // name of the corrupt file
	Offset       int      // byte offset in File from which it cannot be read
	DroppedFiles []string // names of later logs, which are dropped completely
	LostEntries  int      // number of valid records in File after Offset, which are dropped
}

// PlanRepair returns the plan of a repair, or nil if the directory is not corrupt. It does not change the directory.
// Errors are of type *VersionError or *DiskError.
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

// dropLaterLogs adds the logs after a corrupt log to DroppedFiles. It adds none if the corrupt file is a snapshot.
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

// countRecords counts the valid records that begin after the first byte of data, including those after invalid bytes.
func countRecords(data []byte) int {
	count := 0
	for {
		offset, found := findNextRecord(data)
		if !found {
			return count
		}
		consecutive, rest := skipRecords(data[offset:])
		count += consecutive
		data = rest
	}
}

// skipRecords returns the number of consecutive valid records at the start of data, and the bytes after them. It stops
// at a record with an empty payload, which findNextRecord skips too.
func skipRecords(data []byte) (int, []byte) {
	count := 0
	for {
		payload, rest, err := decodeRecord(data)
		if err != nil || len(payload) == 0 {
			return count, data
		}
		count++
		data = rest
	}
}

// Apply performs the plan on the directory for which it was made. The error matches ErrInUse if the directory is
// locked, and otherwise is a *DiskError, after which some of the files may have been renamed.
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
			return fmt.Errorf("write valid part of %s: %w", p.File, err)
		}
	}
	for _, name := range p.DroppedFiles {
		// A file that does not exist needs no renaming.
		if err := markDamaged(disk, name); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return err
		}
	}
	return disk.Sync()
}

// markDamaged renames a file so that it is kept but not read by the next start.
func markDamaged(disk Disk, name string) error {
	return disk.Rename(name, name+damagedExtension)
}
