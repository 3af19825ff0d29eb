package storage

import (
	"errors"
	"testing"

	"grebeglade/internal/storage/statepb"

	"github.com/stretchr/testify/require"
)

var (
	errSync  = errors.New("sync failed")
	errClose = errors.New("close failed")
)

// faultyFile is a file whose Sync and Close fail.
type faultyFile struct{ File }

func (faultyFile) Sync() error  { return errSync }
func (faultyFile) Close() error { return errClose }

// faultyDisk is a disk on which the file with the given name is a faultyFile.
type faultyDisk struct {
	*MemoryDisk
	name string
}

func (d faultyDisk) Create(name string) (File, error) {
	file, err := d.MemoryDisk.Create(name)
	if name == d.name {
		file = faultyFile{file}
	}
	return file, err
}

func TestOpen_SyncAndCloseFail_ReportsBoth(t *testing.T) {
	for _, name := range []string{snapshotName(1) + temporaryExtension, logName(1)} {
		t.Run(name, func(t *testing.T) {
			disk := faultyDisk{MemoryDisk: NewMemoryDisk(1), name: name}
			_, _, err := Open(disk, &statepb.Incarnation{Number: 1}, unlimited, unixMs)
			require.ErrorIs(t, err, errSync)
			require.ErrorIs(t, err, errClose)
		})
	}
}
