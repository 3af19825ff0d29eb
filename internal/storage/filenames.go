package storage

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Extensions of the files in a directory.
const (
	logExtension       = ".log"
	snapshotExtension  = ".snap"
	temporaryExtension = ".new"     // follows that of a snapshot that is being written
	damagedExtension   = ".damaged" // follows that of a file that a repair has renamed
)

func logName(number uint64) string      { return fileName(number, logExtension) }
func snapshotName(number uint64) string { return fileName(number, snapshotExtension) }

func fileName(number uint64, extension string) string {
	return fmt.Sprintf("%012d%s", number, extension)
}

// parseFileName returns the number in a file name with the given extension.
func parseFileName(name, extension string) (number uint64, ok bool) {
	digits, ok := strings.CutSuffix(name, extension)
	if !ok {
		return 0, false
	}
	number, err := strconv.ParseUint(digits, 10, 64)
	return number, err == nil
}

// directoryFiles are the files of a directory by their kind. Files of other kinds are ignored.
type directoryFiles struct {
	logs      []uint64 // in increasing order
	snapshots []uint64 // in increasing order
	temporary []string
}

// listFiles returns the files of a disk. An error is a *DiskError.
func listFiles(disk Disk) (directoryFiles, error) {
	names, err := disk.List()
	if err != nil {
		return directoryFiles{}, &DiskError{Step: StepList, Err: err}
	}
	var files directoryFiles
	for _, name := range names {
		files.add(name)
	}
	slices.Sort(files.logs)
	slices.Sort(files.snapshots)
	return files, nil
}

// add adds a file to those of its kind.
func (f *directoryFiles) add(name string) {
	if number, ok := parseFileName(name, logExtension); ok {
		f.logs = append(f.logs, number)
		return
	}
	if number, ok := parseFileName(name, snapshotExtension); ok {
		f.snapshots = append(f.snapshots, number)
		return
	}
	if strings.HasSuffix(name, temporaryExtension) {
		f.temporary = append(f.temporary, name)
	}
}

// obsolete returns the names of the files that the snapshot with a number replaces.
func (f *directoryFiles) obsolete(number uint64) []string {
	names := slices.Clone(f.temporary)
	for _, log := range f.logs {
		if log < number {
			names = append(names, logName(log))
		}
	}
	for _, snapshot := range f.snapshots {
		if snapshot < number {
			names = append(names, snapshotName(snapshot))
		}
	}
	return names
}
