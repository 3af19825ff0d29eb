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

var syncPolicies = map[string]storage.SyncPolicy{
	config.SyncGroup: storage.GroupCommit,
	config.SyncEach:  storage.SyncPerEntry,
	config.SyncNone:  storage.NoSync,
}

// BindStore writes the frontend's binds to the state directory, and reports on the frontend's goroutine when they are
// durable. It implements the frontend's journal.
type BindStore struct {
	writer   *storage.Writer
	loop     *transport.Loop
	frontend *native.Frontend
}

// OpenBindStore begins an incarnation in the state directory, and completes the frontend's configuration with it and
// with the binds that the one before left. The incarnation's number is greater than the one before, even if the
// machine's clock was set back meanwhile.
func OpenBindStore(c config.State, fc *native.Config, loop *transport.Loop, log *slog.Logger) (*BindStore, error) {
	disk, err := storage.OpenDir(c.Dir)
	if err != nil {
		return nil, err
	}
	began := time.Now()
	incarnation := &statepb.Incarnation{Number: fc.Incarnation, StartedUnixMs: unixMillis(began)}
	l, contents, err := storage.Open(disk, incarnation, storage.DefaultMaxLogSize, unixNow)
	if err != nil {
		return nil, fmt.Errorf("state directory %s: %w", c.Dir, err)
	}
	log.Info("state directory read", "dir", c.Dir, "keys", len(contents.LiveBinds), "truncated_bytes", contents.TruncatedBytes,
		"took", time.Since(began))
	s := &BindStore{writer: storage.NewWriter(l, syncPolicies[c.Sync]), loop: loop}
	fc.Incarnation = incarnation.Number
	fc.Journal = s
	fc.RecoveredBinds = storage.RecoveredBinds(contents)
	fc.AtMostOnceRetention = c.Retention
	fc.MaxDurableKeys = c.MaxEntries
	return s, nil
}

func unixNow() float64 { return unixMillis(time.Now()) }

// Attach sets the frontend that is notified when a bind is durable. It must be called before the frontend runs.
func (s *BindStore) Attach(f *native.Frontend) { s.frontend = f }

// Close makes everything written durable and releases the directory.
func (s *BindStore) Close() error { return s.writer.Close() }

// PersistBind writes a bind. Done is called on the frontend's goroutine once the bind is durable, or with the error
// that prevents it.
func (s *BindStore) PersistBind(b recovery.Bind, done func(now placement.Millis, err error)) {
	s.writer.Write(storage.BindEntry(b), func(err error) {
		s.loop.RunAt(s.frontend, 0, func(now placement.Millis) { done(now, err) })
	})
}

// ForgetBind writes that a bind was not taken up by its node. Nobody waits for it.
func (s *BindStore) ForgetBind(key, incarnation uint64, number uint32) {
	s.writer.Write(storage.ForgetEntry(key, incarnation, number), nil)
}
