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
	damagedExtension   = ".damaged" // follows that of a file that a repair has put aside
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

// directoryFiles are the files of a directory by their kind. Files of other kinds are left alone.
type directoryFiles struct {
	logs      []uint64 // in increasing order
	snapshots []uint64 // in increasing order
	temporary []string
}

func listFiles(d Disk) (directoryFiles, error) {
	names, err := d.List()
	if err != nil {
		return directoryFiles{}, &DiskError{Step: StepList, Err: err}
	}
	var files directoryFiles
	for _, name := range names {
		if n, ok := parseFileName(name, logExtension); ok {
			files.logs = append(files.logs, n)
		} else if n, ok := parseFileName(name, snapshotExtension); ok {
			files.snapshots = append(files.snapshots, n)
		} else if strings.HasSuffix(name, temporaryExtension) {
			files.temporary = append(files.temporary, name)
		}
	}
	slices.Sort(files.logs)
	slices.Sort(files.snapshots)
	return files, nil
}

// obsolete returns the names of the files that the snapshot with a number replaces.
func (f directoryFiles) obsolete(number uint64) []string {
	names := slices.Clone(f.temporary)
	for _, n := range f.logs {
		if n < number {
			names = append(names, logName(n))
		}
	}
	for _, n := range f.snapshots {
		if n < number {
			names = append(names, snapshotName(n))
		}
	}
	return names
}
