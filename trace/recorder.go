package trace

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"grebeglade/trace/tracepb"
)

// Limits bound what a recorder keeps on disk.
type Limits struct {
	FileBytes  int64         // a file is closed at this size
	FileAge    time.Duration // or at this age
	TotalBytes int64         // the oldest files go when all are larger
}

// DefaultLimits hold some hours of a busy allocator.
var DefaultLimits = Limits{FileBytes: 64 << 20, FileAge: time.Hour, TotalBytes: 1 << 30}

const (
	// FileExtension is how the names of trace files end.
	FileExtension = ".gbt"

	queueBatches = 1024            // that wait to be written; more are counted as missing
	flushEvery   = time.Second     // what a kill can lose
	retryEvery   = 2 * time.Second // after a failed write
)

// batch is what is handed over at a time, with the number of records that had no place before it.
type batch struct {
	records []*Record
	missing uint64
}

// Recorder writes the records of one allocator's life into files of a directory. Put never waits: what does not
// fit into its queue, or cannot be written, is counted, and a Gap says so in its place. Put and Close belong to
// one goroutine.
type Recorder struct {
	// BlockWhenFull has Put wait where the queue is full: for a virtual clock, which runs ahead of any disk.
	BlockWhenFull bool

	dir     string
	source  *tracepb.Source
	limits  Limits
	log     *slog.Logger
	lock    *os.File
	queue   chan batch
	missing uint64 // since the last batch that was taken
	done    chan struct{}

	// The rest belongs to the writing goroutine.
	file    *os.File
	w       *Writer
	opened  time.Time
	files   int
	lost    uint64 // records to be told of in the next gap
	why     string
	inBlock uint64 // records appended and not yet in the file
	retryAt time.Time
	create  func(name string) (*os.File, error)
}

// NewRecorder makes the directory if need be and takes it for itself: one recorder a directory.
func NewRecorder(dir string, source *tracepb.Source, limits Limits, log *slog.Logger) (*Recorder, error) {
	r := &Recorder{
		dir: dir, source: source, limits: limits, log: log, queue: make(chan batch, queueBatches),
		done: make(chan struct{}), create: createFile,
	}
	if log == nil {
		r.log = slog.New(slog.DiscardHandler)
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	lock, err := os.OpenFile(filepath.Join(dir, "LOCK"), os.O_CREATE|os.O_RDWR, 0o644)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		lock.Close()
		return nil, fmt.Errorf("%s: another allocator records here; give each a directory of its own", dir)
	}
	r.lock = lock
	go r.run()
	return r, nil
}

func createFile(name string) (*os.File, error) {
	return os.OpenFile(name, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o644)
}

// Put hands records over. They must not be changed afterwards.
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

// Close writes what waits and ends the last file with its index.
func (r *Recorder) Close() {
	if r.missing > 0 {
		r.queue <- batch{missing: r.missing}
		r.missing = 0
	}
	close(r.queue)
	<-r.done
}

func (r *Recorder) run() {
	defer close(r.done)
	defer r.lock.Close()
	tick := time.NewTicker(flushEvery)
	defer tick.Stop()
	for {
		select {
		case b, more := <-r.queue:
			if !more {
				r.finish()
				return
			}
			r.write(b)
		case <-tick.C:
			r.flush()
		}
	}
}

func (r *Recorder) write(b batch) {
	if b.missing > 0 {
		r.lose(b.missing, "the queue was full")
	}
	for _, rec := range b.records {
		if r.w == nil && !r.begin() {
			r.lose(1, r.why)
			continue
		}
		if r.lost > 0 {
			gap := &Record{
				AtMs: rec.AtMs, Revision: rec.Revision - 1, Source: rec.Source,
				Body: &tracepb.Record_Gap{Gap: &tracepb.Gap{Missing: r.lost, Why: r.why}},
			}
			if r.append(gap) {
				r.lost = 0
			}
		}
		if r.w == nil || !r.append(rec) {
			r.lose(1, r.why)
		}
	}
	if r.w != nil && (r.w.Size() > r.limits.FileBytes || time.Since(r.opened) > r.limits.FileAge) {
		r.finish()
	}
}

func (r *Recorder) lose(n uint64, why string) { r.lost, r.why = r.lost+n, why }

// append adds a record to the file, and gives the file up where that fails.
func (r *Recorder) append(rec *Record) bool {
	before := r.w.index.Blocks
	if err := r.w.Append(rec); err != nil {
		r.fail(err)
		return false
	}
	if len(r.w.index.Blocks) > len(before) {
		r.inBlock = 0
	}
	r.inBlock++
	return true
}

// flush puts what was appended into the file, so that a kill loses little.
func (r *Recorder) flush() {
	if r.w == nil {
		return
	}
	if err := r.w.Flush(); err != nil {
		r.fail(err)
		return
	}
	r.inBlock = 0
}

// fail gives a file up after an error. What was in its last block is missing; recording goes on in a new file
// when there is room again.
func (r *Recorder) fail(err error) {
	r.log.Warn("trace not written", "dir", r.dir, "err", err)
	r.lose(r.inBlock, err.Error())
	r.inBlock = 0
	if cerr := r.file.Close(); cerr != nil {
		r.log.Debug("close trace", "err", cerr)
	}
	r.file, r.w = nil, nil
	r.retryAt = time.Now().Add(retryEvery)
}

// begin opens the next file.
func (r *Recorder) begin() bool {
	if time.Now().Before(r.retryAt) {
		return false
	}
	r.tidy()
	for {
		r.files++
		f, err := r.create(filepath.Join(r.dir, fileName(r.source, r.files)))
		if errors.Is(err, os.ErrExist) {
			continue
		}
		if err == nil {
			r.file = f
			r.w, err = NewWriter(f, &tracepb.Header{Sources: []*tracepb.Source{r.source}, Tool: "grebeglade"})
			if err == nil {
				r.opened = time.Now()
				return true
			}
			f.Close()
			r.file, r.w = nil, nil
		}
		r.log.Warn("no trace file", "dir", r.dir, "err", err)
		r.why, r.retryAt = err.Error(), time.Now().Add(retryEvery)
		return false
	}
}

// fileName sorts by the order of writing within one allocator.
func fileName(s *tracepb.Source, n int) string {
	clean := strings.Map(func(c rune) rune {
		if c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-' || c == '_' {
			return c
		}
		return '_'
	}, s.Allocator)
	return fmt.Sprintf("%s-%020d-%06d%s", clean, s.Incarnation, n, FileExtension)
}

func (r *Recorder) finish() {
	if r.w == nil {
		return
	}
	if err := r.w.Close(); err != nil {
		r.fail(err)
		return
	}
	if err := r.file.Close(); err != nil {
		r.log.Warn("close trace", "err", err)
	}
	r.file, r.w, r.inBlock = nil, nil, 0
	r.tidy()
}

// tidy removes the oldest files while all of them are larger than they may be.
func (r *Recorder) tidy() {
	if r.limits.TotalBytes <= 0 {
		return
	}
	names, sizes, total := ListFiles(r.dir)
	for i, name := range names {
		if total <= r.limits.TotalBytes {
			return
		}
		if err := os.Remove(name); err != nil {
			r.log.Warn("old trace not removed", "file", name, "err", err)
			continue
		}
		total -= sizes[i]
	}
}

// ListFiles are the trace files of a directory in the order of writing, with their sizes and the sum of these.
func ListFiles(dir string) (names []string, sizes []int64, total int64) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, nil, 0
	}
	type file struct {
		name string

		size int64
	}
	var files []file
	for _, e := range entries {
		info, err := e.Info()
		if err != nil || !strings.HasSuffix(e.Name(), FileExtension) || !info.Mode().IsRegular() {
			continue
		}
		files = append(files, file{e.Name(), info.Size()})
	}
	slices.SortFunc(files, func(x, y file) int { return strings.Compare(x.name, y.name) })
	for _, f := range files {
		names, sizes = append(names, filepath.Join(dir, f.name)), append(sizes, f.size)
		total += f.size
	}
	return names, sizes, total
}
