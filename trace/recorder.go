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
	maxQueuedBatches = 1024        // that wait to be written; further records are counted as missing
	flushInterval    = time.Second // what a kill can lose
	reasonQueueFull  = "the queue was full"
)

// Limits bound what a recorder keeps on disk.
type Limits struct {
	FileBytes  int64         // a file is closed once it is larger
	FileAge    time.Duration // or older
	TotalBytes int64         // the oldest files are removed while all are larger; 0 for no limit
}

// DefaultLimits hold some hours of a busy allocator.
var DefaultLimits = Limits{
	FileBytes:  64 << 20,
	FileAge:    time.Hour,
	TotalBytes: 1 << 30,
}

// batch is what the queue takes at a time.
type batch struct {
	records []*Record
	missing uint64 // records before it that did not fit into the queue
}

// Recorder writes the records of one incarnation of an allocator into files of a directory. Put does not wait:
// records that do not fit into its queue, or cannot be written, are counted, and a Gap record with their number takes
// their place. Put and Close are for use by one goroutine.
type Recorder struct {
	// BlockWhenFull makes Put wait while the queue is full: for a virtual clock, which runs ahead of any disk.
	BlockWhenFull bool

	lock    *os.File // held as long as the recorder owns the directory
	queue   chan batch
	missing uint64 // since the last batch that was queued
	done    chan struct{}
	files   *fileSeries // for the writing goroutine alone
	log     *slog.Logger
}

// NewRecorder creates the directory if necessary and locks it: one recorder a directory.
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
		_ = lock.Close() // nothing was written to it
		return nil, fmt.Errorf("%s: another allocator records here; give each a directory of its own", dir)
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
	case r.queue <- batch{records, r.missing}:
		r.missing = 0
	default:
		r.missing += uint64(len(records))
	}
}

// Close writes what is queued and ends the last file with its index.
func (r *Recorder) Close() {
	if r.missing > 0 {
		r.queue <- batch{missing: r.missing}
		r.missing = 0
	}
	close(r.queue)
	<-r.done
}

// run writes what is queued until the queue is closed.
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
