package storage

import (
	"cmp"
	"errors"
	"fmt"
	"io/fs"
	"slices"
	"strconv"
	"strings"

	"grebeglade/internal/storage/statepb"
)

const (
	logEnd      = ".log"
	snapshotEnd = ".snap"
	newEnd      = ".new" // a snapshot that is being written
)

// DefaultMaxLogSize is the length in bytes at which a log is followed by a snapshot, unless what is live is longer.
const DefaultMaxLogSize = 8 << 20

// Contents is what a directory held.
type Contents struct {
	Incarnation    *statepb.Life    // the latest, nil in a new directory
	LiveBinds      []*statepb.Bound // the last bind of each key that is known
	Files          []string         // in the order in which they were read
	TruncatedBytes int              // bytes that a crash cut off
}

// Log is a state directory that is open. It belongs to one goroutine.
type Log struct {
	disk   Disk
	most   int
	now    func() float64
	number uint64
	file   File
	size   int
	lived  *statepb.Life
	kept   map[uint64]*statepb.Bound
	failed error // nothing more is written to the file
	buf    []byte
}

// files are the numbers of a directory's logs and snapshots, in order; others are passed over.
func files(d Disk) (logs, snapshots []uint64, leftover []string, err error) {
	names, err := d.List()
	if err != nil {
		return nil, nil, nil, fmt.Errorf("read the state directory: %w", err)
	}
	for _, name := range names {
		number := func(end string) (uint64, bool) {
			text, ok := strings.CutSuffix(name, end)
			n, err := strconv.ParseUint(text, 10, 64)
			return n, ok && err == nil
		}
		if n, ok := number(logEnd); ok {
			logs = append(logs, n)
		} else if n, ok := number(snapshotEnd); ok {
			snapshots = append(snapshots, n)
		} else if strings.HasSuffix(name, newEnd) {
			leftover = append(leftover, name)
		}
	}
	slices.Sort(logs)
	slices.Sort(snapshots)
	return logs, snapshots, leftover, nil
}

func fileName(number uint64, end string) string { return fmt.Sprintf("%012d%s", number, end) }

// Inspect reads a directory without changing it.
func Inspect(d Disk) (*Contents, error) {
	f, _, _, err := look(d)
	return f, err
}

// look also returns what is live, and the number after the last.
func look(d Disk) (*Contents, map[uint64]*statepb.Bound, uint64, error) {
	logs, snapshots, _, err := files(d)
	if err != nil {
		return nil, nil, 0, err
	}
	found, kept := &Contents{}, map[uint64]*statepb.Bound{}
	from, next := uint64(0), uint64(1)
	if len(snapshots) > 0 {
		from = snapshots[len(snapshots)-1]
		name := fileName(from, snapshotEnd)
		b, err := d.Read(name)
		if err != nil {
			return nil, nil, 0, fmt.Errorf("read the state: %w", err)
		}
		// A snapshot gets its name once it is whole and synced: one that cannot be read was changed afterwards.
		s, err := readSnapshot(name, b, from)
		if errors.Is(err, errCut) {
			err = &DamageError{name, len(b), err.Error()}
		}
		if err != nil {
			return nil, nil, 0, err
		}
		found.Incarnation, found.Files = s.Life, append(found.Files, name)
		for _, k := range s.Kept {
			if k.GetBound() != nil {
				kept[k.Bound.Key] = k.Bound
			}
		}
		next = from + 1
	}
	for _, n := range logs {
		next = max(next, n+1)
		if n < from {
			continue // all of it is in the snapshot
		}
		name := fileName(n, logEnd)
		b, err := d.Read(name)
		if err != nil {
			return nil, nil, 0, fmt.Errorf("read the state: %w", err)
		}
		torn, err := readLog(name, b, n, func(e *statepb.Entry) {
			if e.GetLife() != nil {
				found.Incarnation = e.GetLife()
			}
			apply(kept, e)
		})
		if err != nil {
			return nil, nil, 0, err
		}
		found.TruncatedBytes += torn
		found.Files = append(found.Files, name)
	}
	for _, k := range kept {
		found.LiveBinds = append(found.LiveBinds, k)
	}
	slices.SortFunc(found.LiveBinds, func(x, y *statepb.Bound) int { return cmp.Compare(x.Key, y.Key) })
	return found, kept, next, nil
}

// apply takes an entry into what is live.
func apply(kept map[uint64]*statepb.Bound, e *statepb.Entry) {
	switch b := e.Body.(type) {
	case *statepb.Entry_Bound:
		kept[b.Bound.Key] = b.Bound
	case *statepb.Entry_Settled:
		if k := kept[b.Settled.Key]; k != nil && k.Number == b.Settled.Number && k.Incarnation == b.Settled.Incarnation {
			delete(kept, b.Settled.Key)
		}
	}
}

// Open locks a directory, reads it, and begins a life in it. What was read is what the life must go by. A torn end is
// dropped; damage is an error and changes nothing.
func Open(d Disk, life *statepb.Life, most int, now func() float64) (*Log, *Contents, error) {
	if err := d.Lock(); err != nil {
		return nil, nil, err
	}
	found, kept, next, err := look(d)
	if err != nil {
		return nil, nil, errors.Join(err, d.Unlock())
	}
	if found.Incarnation != nil && life.Incarnation <= found.Incarnation.Incarnation {
		// The clock was set back, or two lives began at once. Nodes refuse what comes from an earlier incarnation.
		life.Incarnation = found.Incarnation.Incarnation + 1
	}
	l := &Log{disk: d, most: most, now: now, number: next - 1, lived: life, kept: kept}
	if err := l.begin(); err != nil {
		return nil, nil, errors.Join(fmt.Errorf("begin in the state directory: %w", err), d.Unlock())
	}
	return l, found, nil
}

// begin writes all that is live into a snapshot of the next number, begins the log of that number, and removes what both
// replace. Only then is the old file let go of: whenever it stops half way, the old files still tell everything.
func (l *Log) begin() (err error) {
	number := l.number + 1
	l.prune()
	s := &statepb.Snapshot{Life: l.lived}
	for _, k := range l.kept {
		s.Kept = append(s.Kept, &statepb.Kept{Bound: k})
	}
	slices.SortFunc(s.Kept, func(x, y *statepb.Kept) int { return cmp.Compare(x.Bound.Key, y.Bound.Key) })
	b, err := appendRecord(header(number), s)
	if err != nil {
		return err
	}
	written := fileName(number, snapshotEnd) + newEnd
	if err := l.whole(written, b); err != nil {
		return err
	}
	// The log first: a snapshot without its log would be read alike, but a log that comes to be after entries went to
	// another would not.
	f, err := l.disk.Create(fileName(number, logEnd))
	if err != nil {
		return err
	}
	defer func() {
		if err != nil {
			f.Close()
		}
	}()
	if _, err = f.Write(header(number)); err != nil {
		return err
	}
	if err = f.Sync(); err != nil {
		return err
	}
	if err = l.disk.Rename(written, fileName(number, snapshotEnd)); err != nil {
		return err
	}
	if err = l.disk.Sync(); err != nil {
		return err
	}
	if l.file != nil {
		l.file.Close() // whatever it says, the file is not needed any more
	}
	l.number, l.file, l.size, l.failed = number, f, headSize, nil
	l.tidy()
	return nil
}

// whole writes a file and syncs it.
func (l *Log) whole(name string, b []byte) error {
	f, err := l.disk.Create(name)
	if err != nil {
		return err
	}
	if _, err = f.Write(b); err == nil {
		err = f.Sync()
	}
	return errors.Join(err, f.Close())
}

// tidy removes what the latest snapshot replaces. What cannot be removed is tried again with the next one.
func (l *Log) tidy() {
	logs, snapshots, leftover, err := files(l.disk)
	if err != nil {
		return
	}
	for _, n := range logs {
		if n < l.number {
			leftover = append(leftover, fileName(n, logEnd))
		}
	}
	for _, n := range snapshots {
		if n < l.number {
			leftover = append(leftover, fileName(n, snapshotEnd))
		}
	}
	for _, name := range leftover {
		_ = l.disk.Remove(name)
	}
}

// prune forgets what need not be known any more.
func (l *Log) prune() {
	now := l.now()
	for key, k := range l.kept {
		if k.UntilMs <= now {
			delete(l.kept, key)
		}
	}
}

// Commit writes entries, and with sync has them last before it returns. After a write or a sync that failed the file
// is never trusted again: all that is live, these entries too, goes to a new one. If that fails as well the entries are not
// kept, and the error says so; the next commit tries again.
func (l *Log) Commit(entries []*statepb.Entry, sync bool) error {
	before := make(map[uint64]*statepb.Bound, len(entries))
	for _, e := range entries {
		if key, ok := keyOf(e); ok {
			if _, known := before[key]; !known {
				before[key] = l.kept[key]
			}
		}
		apply(l.kept, e)
	}
	err := l.failed
	if err == nil {
		err = l.append(entries, sync)
	}
	if err == nil {
		if l.size > max(l.most, 64*len(l.kept)) {
			// A snapshot may have got its name before something failed. It would be read and this log would not, so
			// that nothing more may be written here; the next commit begins anew.
			l.failed = l.begin()
		}
		return nil
	}
	l.failed = err
	if again := l.begin(); again != nil {
		for key, k := range before {
			if k == nil {
				delete(l.kept, key)
			} else {
				l.kept[key] = k
			}
		}
		return errors.Join(err, again)
	}
	return nil
}

func keyOf(e *statepb.Entry) (uint64, bool) {
	switch b := e.Body.(type) {
	case *statepb.Entry_Bound:
		return b.Bound.Key, true
	case *statepb.Entry_Settled:
		return b.Settled.Key, true
	}
	return 0, false
}

func (l *Log) append(entries []*statepb.Entry, sync bool) (err error) {
	l.buf = l.buf[:0]
	for _, e := range entries {
		if l.buf, err = appendRecord(l.buf, e); err != nil {
			return err
		}
	}
	n, err := l.file.Write(l.buf)
	l.size += n
	if err == nil && sync {
		err = l.file.Sync()
	}
	return err
}

// Live is the number of keys that are known.
func (l *Log) Live() int { return len(l.kept) }

// Close has everything last and lets go of the directory.
func (l *Log) Close() error {
	err := l.failed
	if err == nil {
		err = l.file.Sync()
	}
	return errors.Join(err, l.file.Close(), l.disk.Unlock())
}

// RepairPlan is what would be dropped from a damaged directory, and with Do is: everything in the file from where it cannot be
// read, and every later file. The dropped parts are kept under another name.
type RepairPlan struct {
	File         string
	Offset       int
	DroppedFiles []string // files that go as a whole
	LostEntries  int      // good records behind the damage
}

const asideEnd = ".damaged"

// PlanRepair tells what a repair would do; nil where there is nothing to repair.
func PlanRepair(d Disk) (*RepairPlan, error) {
	_, err := Inspect(d)
	var damage *DamageError
	if !errors.As(err, &damage) {
		return nil, err
	}
	r := &RepairPlan{File: damage.File, Offset: damage.At}
	b, err := d.Read(damage.File)
	if err != nil {
		return nil, err
	}
	for rest := b[min(len(b), damage.At):]; ; {
		on := readable(rest)
		if on == 0 {
			break
		}
		for rest = rest[on:]; ; {
			body, next, err := record(rest)
			if err != nil || len(body) == 0 {
				break
			}
			r.LostEntries++
			rest = next
		}
	}
	logs, _, _, err := files(d)
	if err != nil {
		return nil, err
	}
	for _, n := range logs {
		if name := fileName(n, logEnd); name > damage.File && strings.HasSuffix(damage.File, logEnd) {
			r.DroppedFiles = append(r.DroppedFiles, name)
		}
	}
	return r, nil
}

// Apply repairs: the file is cut at the damage, with its whole text kept beside it, and later files are put aside.
func (r *RepairPlan) Apply(d Disk) error {
	if err := d.Lock(); err != nil {
		return err
	}
	b, err := d.Read(r.File)
	if err == nil {
		err = d.Rename(r.File, r.File+asideEnd)
	}
	if err == nil && r.Offset >= headSize && strings.HasSuffix(r.File, logEnd) {
		err = (&Log{disk: d}).whole(r.File, b[:r.Offset])
	}
	for _, name := range r.DroppedFiles {
		if err == nil || errors.Is(err, fs.ErrNotExist) {
			err = d.Rename(name, name+asideEnd)
		}
	}
	if err == nil {
		err = d.Sync()
	}
	return errors.Join(err, d.Unlock())
}
