package storage

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestWriter_EveryPolicy_CallsBackOnceCommitted(t *testing.T) {
	const count = 200
	for _, policy := range []SyncPolicy{GroupCommit, SyncPerEntry, NoSync} {
		disk := NewMemoryDisk(1)
		log, _ := openLog(t, disk, unlimited)
		writer := NewWriter(log, policy)
		committed := make(chan error, count)
		for i := range uint64(count) {
			writer.Write(bindEntry(i, 0), func(err error) { committed <- err })
			writer.Write(forgetEntry(i, 1), nil)
		}
		for range count {
			require.NoError(t, <-committed)
		}
		if policy != NoSync {
			assert.Len(t, inspectAfterCrash(t, disk).LiveBinds, count)
			require.NoError(t, writer.Close())
			assert.Empty(t, committed, "each callback is called once")
			continue
		}
		require.NoError(t, writer.Close())
		assert.Empty(t, committed, "each callback is called once")
		contents, err := Inspect(disk)
		require.NoError(t, err)
		assert.Len(t, contents.LiveBinds, count)
	}
}

func TestWriter_DiskHangs_RejectsFurtherEntries(t *testing.T) {
	disk := NewMemoryDisk(1)
	log, _ := openLog(t, disk, unlimited)
	release := make(chan struct{})
	hanging := make(chan struct{}, 1)
	disk.InjectFault = func(Call) error {
		select {
		case hanging <- struct{}{}:
		default:
		}
		<-release
		return nil
	}
	writer := NewWriter(log, GroupCommit)
	writer.Write(bindEntry(0, 0), nil)
	<-hanging // the commit of the first entry is blocked
	committed := make(chan error, maxQueuedEntries)
	for i := range uint64(maxQueuedEntries) {
		writer.Write(bindEntry(i+1, 0), func(err error) { committed <- err })
	}
	var rejected error
	writer.Write(bindEntry(1<<40, 0), func(err error) { rejected = err })
	writer.Write(forgetEntry(1, 0), nil)
	require.ErrorIs(t, rejected, ErrBacklogFull)
	assert.Len(t, writer.queue, maxQueuedEntries)
	close(release)
	for range maxQueuedEntries {
		require.NoError(t, <-committed)
	}
	require.NoError(t, writer.Close())
	assert.Empty(t, committed, "each callback is called once")
}
