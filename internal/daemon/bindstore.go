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

// syncPolicies maps the values of config.State.Sync to policies.
var syncPolicies = map[string]storage.SyncPolicy{
	config.SyncGroup: storage.GroupCommit,
	config.SyncEach:  storage.SyncPerEntry,
	config.SyncNone:  storage.NoSync,
}

// BindStore implements native.BindJournal: it writes the frontend's binds to the state directory, and notifies the
// frontend, on the frontend's goroutine, once they are durable.
type BindStore struct {
	writer   *storage.Writer
	loop     *transport.Loop
	frontend *native.Frontend
}

// OpenBindStore begins an incarnation in the state directory. In the frontend's configuration it sets the number of the
// incarnation, the live binds of earlier incarnations, the limits from state, and the store as the journal. The number
// is greater than that of the previous incarnation even if the machine's clock was set back.
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

// Attach sets the frontend to notify of durable binds. It must be called before the frontend runs.
func (s *BindStore) Attach(f *native.Frontend) { s.frontend = f }

// Close makes all written entries durable and unlocks the directory.
func (s *BindStore) Close() error { return s.writer.Close() }

// PersistBind writes a bind. done is called on the frontend's goroutine, with a nil error once the bind is durable, or
// with the error of the failed write.
func (s *BindStore) PersistBind(b recovery.Bind, done func(now placement.Millis, err error)) {
	s.writer.Write(storage.BindEntry(b), func(err error) {
		s.loop.RunAt(s.frontend, 0, func(now placement.Millis) { done(now, err) })
	})
}

// ForgetBind removes the entry of a bind that no node has accepted. The frontend is not notified when this is durable.
func (s *BindStore) ForgetBind(key, incarnation uint64, number uint32) {
	s.writer.Write(storage.ForgetEntry(key, incarnation, number), nil)
}
