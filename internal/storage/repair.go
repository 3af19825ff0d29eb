package storage

import (
	"errors"
	"io/fs"
	"strings"
)

// RepairPlan is what a repair of a corrupt directory drops: everything in a file from where it cannot be read, and all
// later logs. What is dropped is kept under names that end in .damaged.
type RepairPlan struct {
	File         string   // the corrupt one
	Offset       int      // of the first byte that cannot be read
	DroppedFiles []string // later logs, which are dropped as a whole
	LostEntries  int      // valid records of the file that are dropped
}

// PlanRepair returns what a repair of the directory would drop, or nil if the directory is not corrupt. It changes
// nothing. Errors are those of Inspect and of Disk.Read, except for a *CorruptionError.
func PlanRepair(d Disk) (*RepairPlan, error) {
	_, err := Inspect(d)
	var corruption *CorruptionError
	if !errors.As(err, &corruption) {
		return nil, err
	}
	data, err := d.Read(corruption.File)
	if err != nil {
		return nil, err
	}
	files, err := listFiles(d)
	if err != nil {
		return nil, err
	}
	plan := &RepairPlan{File: corruption.File, Offset: corruption.Offset}
	plan.LostEntries = countRecords(data[min(len(data), plan.Offset):])
	for _, number := range files.logs {
		if name := logName(number); plan.isLog() && name > plan.File {
			plan.DroppedFiles = append(plan.DroppedFiles, name)
		}
	}
	return plan, nil
}

func (p *RepairPlan) isLog() bool { return strings.HasSuffix(p.File, logExtension) }

// countRecords counts the valid records behind the first byte of data.
func countRecords(data []byte) (count int) {
	for {
		offset, found := nextRecord(data)
		if !found {
			return count
		}
		for data = data[offset:]; ; count++ {
			payload, rest, err := cutRecord(data)
			if err != nil || len(payload) == 0 {
				break
			}
			data = rest
		}
	}
}

// Apply carries the plan out on the directory that it was made for. It returns ErrInUse while the directory is locked,
// and otherwise the first error of the disk, after which some of the files may have been put aside.
func (p *RepairPlan) Apply(d Disk) error {
	if err := d.Lock(); err != nil {
		return err
	}
	return errors.Join(p.apply(d), d.Unlock())
}

func (p *RepairPlan) apply(d Disk) error {
	data, err := d.Read(p.File)
	if err != nil {
		return err
	}
	if err := d.Rename(p.File, p.File+damagedExtension); err != nil {
		return err
	}
	if p.isLog() && p.Offset >= headerSize {
		if err := writeFile(d, p.File, data[:p.Offset]); err != nil {
			return err
		}
	}
	for _, name := range p.DroppedFiles {
		// A file that is gone does not have to be dropped any more.
		if err := d.Rename(name, name+damagedExtension); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return err
		}
	}
	return d.Sync()
}
