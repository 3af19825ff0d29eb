package daemon

import (
	"fmt"
	"log/slog"
	"time"

	"grebeglade/config"
	"grebeglade/internal/frontend/native"
	"grebeglade/internal/recovery"
	"grebeglade/internal/storage"
	"grebeglade/internal/storage/statepb"
	"grebeglade/internal/transport"
	"grebeglade/placement"
)

var syncs = map[string]storage.SyncPolicy{"group": storage.GroupCommit, "each": storage.SyncPerEntry, "none": storage.NoSync}

// BindStore brings what the port writes down to the state directory, and word of it back to the port's goroutine.
type BindStore struct {
	writer *storage.Writer
	loop   *transport.Loop
	port   *native.Frontend
}

func unixNow() float64 { return float64(time.Now().UnixNano()) / 1e6 }

// OpenBindStore begins a life in the state directory and tells the port of what the one before left. The incarnation is
// at least one more than that, also where the machine's clock was set back meanwhile.
func OpenBindStore(c config.State, pc *native.Config, loop *transport.Loop, log *slog.Logger) (*BindStore, error) {
	disk, err := storage.OpenDir(c.Dir)
	if err != nil {
		return nil, err
	}
	life := &statepb.Life{Incarnation: pc.Incarnation, UnixMs: unixNow()}
	began := time.Now()
	l, found, err := storage.Open(disk, life, storage.DefaultMaxLogSize, unixNow)
	if err != nil {
		return nil, fmt.Errorf("state directory %s: %w", c.Dir, err)
	}
	log.Info("state is read", "dir", c.Dir, "keys", len(found.LiveBinds), "torn_bytes", found.TruncatedBytes, "took", time.Since(began))
	j := &BindStore{writer: storage.NewWriter(l, syncs[c.Sync]), loop: loop}
	pc.Incarnation, pc.Journal, pc.RecoveredBinds, pc.AtMostOnceRetention, pc.MaxDurableKeys = life.Incarnation, j, storage.RecoveredBinds(found), c.Retention, c.MaxEntries
	return j, nil
}

// Attach has word of what lasts go to a port, which must not be called before.
func (j *BindStore) Attach(p *native.Frontend) { j.port = p }

// Close has everything written last, and lets go of the directory.
func (j *BindStore) Close() error { return j.writer.Close() }

func (j *BindStore) PersistBind(b recovery.Bind, lasts func(now placement.Millis, err error)) {
	j.writer.Write(storage.BindEntry(b), func(err error) {
		j.loop.RunAt(j.port, 0, func(now placement.Millis) { lasts(now, err) })
	})
}

func (j *BindStore) ForgetBind(key, incarnation uint64, number uint32) {
	j.writer.Write(storage.ForgetEntry(key, incarnation, number), nil)
}
