package storage

import (
	"encoding/binary"
	"fmt"
	"path/filepath"
	"testing"

	"grebeglade/internal/storage/statepb"

	"github.com/stretchr/testify/require"
	"go.etcd.io/bbolt"
	"google.golang.org/protobuf/proto"
)

// BenchmarkCommit measures a durable commit of a group of entries to a Log and to bbolt on the same disk. Only ratios
// within one run are meaningful.
func BenchmarkCommit(b *testing.B) {
	for _, size := range []int{1, 8, 64} {
		b.Run(fmt.Sprintf("log/%d", size), func(b *testing.B) { benchmarkLog(b, size) })
		b.Run(fmt.Sprintf("bbolt/%d", size), func(b *testing.B) { benchmarkBolt(b, size) })
	}
}

// benchmarkGroup returns the bind entries of commit i. No two commits share a key.
func benchmarkGroup(i, size int) []*statepb.Entry {
	entries := make([]*statepb.Entry, size)
	for k := range entries {
		entries[k] = bindEntry(uint64(i*size+k), 0)
	}
	return entries
}

// benchmarkLog commits durable groups of the given size to a Log.
func benchmarkLog(b *testing.B, size int) {
	b.Helper()
	disk, err := OpenDir(b.TempDir())
	require.NoError(b, err)
	log, _ := openLog(b, disk, DefaultMaxLogSize)
	for i := 0; b.Loop(); i++ {
		if err := log.Commit(benchmarkGroup(i, size), true); err != nil {
			b.Fatal(err)
		}
	}
	require.NoError(b, log.Close())
}

// benchmarkBolt commits groups of the given size to a bbolt database.
func benchmarkBolt(b *testing.B, size int) {
	b.Helper()
	db, err := bbolt.Open(filepath.Join(b.TempDir(), "db"), 0o600, nil)
	require.NoError(b, err)
	for i := 0; b.Loop(); i++ {
		err := db.Update(func(tx *bbolt.Tx) error { return putBinds(tx, benchmarkGroup(i, size)) })
		if err != nil {
			b.Fatal(err)
		}
	}
	require.NoError(b, db.Close())
}

// putBinds stores binds by key.
func putBinds(tx *bbolt.Tx, entries []*statepb.Entry) error {
	bucket, err := tx.CreateBucketIfNotExists([]byte("binds"))
	if err != nil {
		return err
	}
	for _, entry := range entries {
		bind := entry.GetBind()
		value, err := proto.Marshal(bind)
		if err != nil {
			return err
		}
		if err := bucket.Put(binary.BigEndian.AppendUint64(nil, bind.Key), value); err != nil {
			return err
		}
	}
	return nil
}
