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

// syncPolicies are the policies by their names in the configuration.
var syncPolicies = map[string]storage.SyncPolicy{
	config.SyncGroup: storage.GroupCommit,
	config.SyncEach:  storage.SyncPerEntry,
	config.SyncNone:  storage.NoSync,
}

// BindStore writes the frontend's binds to the state directory, and notifies the frontend on the frontend's goroutine
// once they are durable. It implements native.BindJournal.
type BindStore struct {
	writer   *storage.Writer
	loop     *transport.Loop
	frontend *native.Frontend
}

// OpenBindStore begins an incarnation in the state directory. It sets the incarnation, the binds that earlier ones have
// left, and the store itself in the frontend's configuration. The incarnation's number is greater than that of the
// previous one, even if the machine's clock was set back in between.
func OpenBindStore(
	state config.State, frontend *native.Config, loop *transport.Loop, log *slog.Logger,
) (*BindStore, error) {
	disk, err := storage.OpenDir(state.Dir)
	if err != nil {
		return nil, err
	}
	startedAt := time.Now()
	incarnation := &statepb.Incarnation{Number: frontend.Incarnation, StartedUnixMs: unixMillis(startedAt)}
	stateLog, contents, err := storage.Open(disk, incarnation, storage.DefaultMaxLogSize, unixNow)
	if err != nil {
		return nil, fmt.Errorf("state directory %s: %w", state.Dir, err)
	}
	log.Info("state directory read",
		"dir", state.Dir,
		"keys", len(contents.LiveBinds),
		"truncated_bytes", contents.TruncatedBytes,
		"took", time.Since(startedAt),
	)
	store := &BindStore{writer: storage.NewWriter(stateLog, syncPolicies[state.Sync]), loop: loop}
	frontend.Incarnation = incarnation.Number
	frontend.Journal = store
	frontend.RecoveredBinds = storage.RecoveredBinds(contents)
	frontend.AtMostOnceRetention = state.Retention
	frontend.MaxDurableKeys = state.MaxEntries
	return store, nil
}

// Attach sets the frontend that is notified when a bind is durable. It must be called before the frontend runs.
func (s *BindStore) Attach(f *native.Frontend) { s.frontend = f }

// Close makes everything written durable and releases the directory.
func (s *BindStore) Close() error { return s.writer.Close() }

// PersistBind writes a bind. It calls done on the frontend's goroutine once the bind is durable, or with the error that
// prevents it.
func (s *BindStore) PersistBind(b recovery.Bind, done func(now placement.Millis, err error)) {
	s.writer.Write(storage.BindEntry(b), func(err error) {
		s.loop.RunAt(s.frontend, 0, func(now placement.Millis) { done(now, err) })
	})
}

// ForgetBind records that a node has not accepted a bind. The frontend is not notified when the entry is durable.
func (s *BindStore) ForgetBind(key, incarnation uint64, number uint32) {
	s.writer.Write(storage.ForgetEntry(key, incarnation, number), nil)
}
