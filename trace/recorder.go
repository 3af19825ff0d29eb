package trace

import (
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"grebeglade/trace/tracepb"
)

const (
	maxQueuedBatches   = 1024        // queue capacity; batches beyond it are dropped and their records counted
	flushInterval      = time.Second // a killed process loses the records after the last flush
	gapReasonQueueFull = "the queue was full"
)

// Limits are the limits of a recorder's files.
type Limits struct {
	FileBytes  int64         // size above which a new file is started
	FileAge    time.Duration // age above which a new file is started
	TotalBytes int64         // total size above which the oldest files are removed; 0 for no limit
}

// DefaultLimits are large enough for the records of some hours of a busy allocator.
var DefaultLimits = Limits{
	FileBytes:  64 << 20,
	FileAge:    time.Hour,
	TotalBytes: 1 << 30,
}

// batch is one entry of a recorder's queue.
type batch struct {
	records []*Record
	dropped uint64 // number of records dropped before this batch because the queue was full
}

// Recorder writes the records of one incarnation of an allocator to files in a directory. By default, Put does not
// block: records that do not fit into the queue or cannot be written are dropped, and a Gap record in their place
// reports how many. Put and Close are for use by one goroutine.
type Recorder struct {
	// BlockWhenFull makes Put wait while the queue is full. It is meant for runs in virtual time, which produce records
	// faster than any disk can write them.
	BlockWhenFull bool

	lock    *os.File // lock file of the directory, locked until the recorder is closed
	queue   chan batch
	dropped uint64 // number of records dropped since the last queued batch
	done    chan struct{}
	files   *fileSeries // used by the goroutine of run only
	log     *slog.Logger
}

// NewRecorder starts a recorder. It creates the directory if necessary and locks it; it is an error if another recorder
// has locked it. Nothing is logged if log is nil.
func NewRecorder(dir string, source *tracepb.Source, limits Limits, log *slog.Logger) (*Recorder, error) {
	if log == nil {
		log = slog.New(slog.DiscardHandler)
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, fmt.Errorf("create the trace directory: %w", err)
	}
	lock, err := lockDir(dir)
	if err != nil {
		return nil, err
	}
	recorder := &Recorder{
		lock:  lock,
		queue: make(chan batch, maxQueuedBatches),
		done:  make(chan struct{}),
		files: newFileSeries(dir, source, limits, log),
		log:   log,
	}
	go recorder.run()
	return recorder, nil
}

// lockDir locks a directory until the returned file is closed or the process ends.
func lockDir(dir string) (*os.File, error) {
	lock, err := os.OpenFile(filepath.Join(dir, "LOCK"), os.O_CREATE|os.O_RDWR, 0o644)
	if err != nil {
		return nil, fmt.Errorf("lock the trace directory: %w", err)
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = lock.Close() // nothing was written to the file
		return nil, fmt.Errorf("%s: the trace directory is locked by another recorder; use one directory per allocator", dir)
	}
	return lock, nil
}

// Put queues records to be written. They must not be changed afterwards.
func (r *Recorder) Put(records []*Record) {
	if r.BlockWhenFull {
		r.queue <- batch{records: records}
		return
	}
	select {
	case r.queue <- batch{records, r.dropped}:
		r.dropped = 0
	default:
		r.dropped += uint64(len(records))
	}
}

// Close writes the queued records and the index of the last file, and unlocks the directory.
func (r *Recorder) Close() {
	if r.dropped > 0 {
		r.queue <- batch{dropped: r.dropped}
		r.dropped = 0
	}
	close(r.queue)
	<-r.done
}

// run writes queued batches until the queue is closed.
func (r *Recorder) run() {
	defer close(r.done)
	defer r.unlock()
	tick := time.NewTicker(flushInterval)
	defer tick.Stop()
	for {
		select {
		case b, more := <-r.queue:
			if !more {
				r.files.finish()
				return
			}
			r.files.write(b)
		case <-tick.C:
			r.files.flush()
		}
	}
}

func (r *Recorder) unlock() {
	if err := r.lock.Close(); err != nil {
		r.log.Warn("trace directory not unlocked", "error", err)
	}
}
