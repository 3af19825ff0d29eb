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

var syncs = map[string]storage.Sync{"group": storage.Grouped, "each": storage.Each, "none": storage.Unsynced}

// Journal brings what the port writes down to the state directory, and word of it back to the port's goroutine.
type Journal struct {
	writer *storage.Writer
	loop   *transport.Loop
	port   *native.Port
}

func unixNow() float64 { return float64(time.Now().UnixNano()) / 1e6 }

// OpenJournal begins a life in the state directory and tells the port of what the one before left. The incarnation is
// at least one more than that, also where the machine's clock was set back meanwhile.
func OpenJournal(c config.State, pc *native.Config, loop *transport.Loop, log *slog.Logger) (*Journal, error) {
	disk, err := storage.Dir(c.Dir)
	if err != nil {
		return nil, err
	}
	life := &statepb.Life{Incarnation: pc.Incarnation, UnixMs: unixNow()}
	began := time.Now()
	l, found, err := storage.Open(disk, life, storage.DefaultLogMost, unixNow)
	if err != nil {
		return nil, fmt.Errorf("state directory %s: %w", c.Dir, err)
	}
	log.Info("state is read", "dir", c.Dir, "keys", len(found.Kept), "torn_bytes", found.Torn, "took", time.Since(began))
	j := &Journal{writer: storage.NewWriter(l, syncs[c.Sync]), loop: loop}
	pc.Incarnation, pc.Journal, pc.Left, pc.KeepOnce, pc.MostKept = life.Incarnation, j, storage.Left(found), c.Keep, c.Most
	return j, nil
}

// Serve has word of what lasts go to a port, which must not be called before.
func (j *Journal) Serve(p *native.Port) { j.port = p }

// Close has everything written last, and lets go of the directory.
func (j *Journal) Close() error { return j.writer.Close() }

func (j *Journal) Bound(b recovery.Bind, lasts func(now placement.Millis, err error)) {
	j.writer.Write(storage.Bound(b), func(err error) {
		j.loop.Do(j.port, 0, func(now placement.Millis) { lasts(now, err) })
	})
}

func (j *Journal) Never(key, incarnation uint64, number uint32) {
	j.writer.Write(storage.Never(key, incarnation, number), nil)
}
