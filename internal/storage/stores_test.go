package storage

import (
	"encoding/binary"
	"fmt"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
	"go.etcd.io/bbolt"
	"google.golang.org/protobuf/proto"

	"grebeglade/internal/storage/statepb"
)

// BenchmarkCommit is one group that lasts, in the own log and in a well-kept store, on the same disk. Only the ratio within
// one run says anything.
func BenchmarkCommit(b *testing.B) {
	for _, group := range []int{1, 8, 64} {
		entries := func(i int) []*statepb.Entry {
			all := make([]*statepb.Entry, group)
			for k := range all {
				all[k] = bound(uint64(i*group+k), 0)
			}
			return all
		}
		b.Run(fmt.Sprintf("log/%d", group), func(b *testing.B) {
			d, err := OpenDir(b.TempDir())
			require.NoError(b, err)
			l, _ := open(b, d, DefaultMaxLogSize)
			for i := 0; b.Loop(); i++ {
				if err := l.Commit(entries(i), true); err != nil {
					b.Fatal(err)
				}
			}
			require.NoError(b, l.Close())
		})
		b.Run(fmt.Sprintf("bbolt/%d", group), func(b *testing.B) {
			db, err := bbolt.Open(filepath.Join(b.TempDir(), "db"), 0o600, nil)
			require.NoError(b, err)
			defer db.Close()
			name := []byte("kept")
			for i := 0; b.Loop(); i++ {
				err := db.Update(func(tx *bbolt.Tx) error {
					bucket, err := tx.CreateBucketIfNotExists(name)
					for _, e := range entries(i) {
						if err != nil {
							return err
						}
						var value []byte
						if value, err = proto.Marshal(e.GetBound()); err == nil {
							err = bucket.Put(binary.BigEndian.AppendUint64(nil, e.GetBound().Key), value)
						}
					}
					return err
				})
				if err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
