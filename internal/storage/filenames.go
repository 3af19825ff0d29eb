package storage

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Extensions of file names in a directory.
const (
	logExtension       = ".log"
	snapshotExtension  = ".snap"
	temporaryExtension = ".new"     // appended to the name of a snapshot while it is written
	damagedExtension   = ".damaged" // appended by a repair to the name of a file that it drops or truncates
)

func logName(number uint64) string      { return fileName(number, logExtension) }
func snapshotName(number uint64) string { return fileName(number, snapshotExtension) }

func fileName(number uint64, extension string) string {
	return fmt.Sprintf("%012d%s", number, extension)
}

// parseFileName returns the number in a file name with the given extension, and false for any other name.
func parseFileName(name, extension string) (number uint64, ok bool) {
	digits, ok := strings.CutSuffix(name, extension)
	if !ok {
		return 0, false
	}
	number, err := strconv.ParseUint(digits, 10, 64)
	return number, err == nil
}

// directoryFiles lists the files of a directory by kind. Files of other kinds are ignored.
type directoryFiles struct {
	logs      []uint64 // numbers in increasing order
	snapshots []uint64 // numbers in increasing order
	temporary []string // names
}

// listFiles lists the files of a disk. Errors are of type *DiskError.
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

// add adds a file to the list of its kind.
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

// obsolete returns the names of the files that the snapshot with the given number replaces, and of temporary files.
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
