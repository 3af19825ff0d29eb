package storage

import (
	"errors"

	"grebeglade/internal/storage/statepb"
)

const (
	// DefaultMaxLogSize is the length of a log in bytes above which it is replaced by a snapshot.
	DefaultMaxLogSize = 8 << 20

	// logBytesPerLiveBind is the length that a log may have for each live bind, whatever its limit: a snapshot of many
	// live binds should not be written for a few changes.
	logBytesPerLiveBind = 64
)

// Log is an open directory. It is not safe for concurrent use.
type Log struct {
	disk        Disk
	maxSize     int            // of a log in bytes
	unixMs      func() float64 // the present time
	incarnation *statepb.Incarnation
	live        liveBinds

	number  uint64 // of the current snapshot and log
	file    File   // the current log
	size    int    // of the current log in bytes
	failure error  // why the current log must not be written any more; nil while it may be
	buffer  []byte // reused for encoding
}

// Open locks a directory, reads it and begins an incarnation in it. The number of the incarnation is raised where that
// is necessary to exceed the one before, as when the clock was set back. A log that is longer than maxLogSize bytes is
// replaced by a snapshot. The function unixMs returns the present time in Unix milliseconds.
//
// The contents are those from before the call. A truncated log is accepted. Other errors are ErrInUse, a
// *CorruptionError or a *VersionError, which leave the directory unchanged, and a *DiskError.
func Open(d Disk, incarnation *statepb.Incarnation, maxLogSize int, unixMs func() float64) (*Log, *Contents, error) {
	if err := d.Lock(); err != nil {
		return nil, nil, err
	}
	r, err := readDirectory(d)
	if err != nil {
		return nil, nil, errors.Join(err, d.Unlock())
	}
	if previous := r.contents.Incarnation; previous != nil && incarnation.Number <= previous.Number {
		// The clock was set back, or two incarnations began at once. Nodes reject offers of an earlier incarnation.
		incarnation.Number = previous.Number + 1
	}
	l := &Log{
		disk: d, maxSize: maxLogSize, unixMs: unixMs, incarnation: incarnation, live: r.live, number: r.last,
	}
	if err := l.rotate(); err != nil {
		return nil, nil, errors.Join(&DiskError{Step: StepBegin, Err: err}, d.Unlock())
	}
	return l, r.contents, nil
}

// Commit appends entries to the log. With durable, they survive a crash of the machine once it returns; otherwise they
// do so after the next durable commit, or when the system writes them.
//
// After a write or a sync that failed the file is never used again, since a later sync that succeeds says nothing about
// what the failed one has lost: all that is live, including these entries, goes to a new snapshot. If that fails too,
// Commit returns an error, the entries are not live, and the next commit tries again.
func (l *Log) Commit(entries []*statepb.Entry, durable bool) error {
	restore := l.live.undo(entries)
	for _, e := range entries {
		l.live.apply(e)
	}
	err := l.failure
	if err == nil {
		err = l.append(entries, durable)
	}
	if err == nil {
		if l.size > max(l.maxSize, logBytesPerLiveBind*len(l.live)) {
			// The new snapshot may have got its name before rotate failed. The next start would read it and not this log,
			// so that nothing more may be written here; the next commit rotates again.
			l.failure = l.rotate()
		}
		return nil
	}
	l.failure = err
	if rotateErr := l.rotate(); rotateErr != nil {
		restore()
		return errors.Join(
			&DiskError{Step: StepAppend, Err: err},
			&DiskError{Step: StepRotate, Err: rotateErr},
		)
	}
	return nil
}

// append writes entries to the current log in one piece.
func (l *Log) append(entries []*statepb.Entry, durable bool) (err error) {
	l.buffer = l.buffer[:0]
	for _, e := range entries {
		if l.buffer, err = appendRecord(l.buffer, e); err != nil {
			return err
		}
	}
	n, err := l.file.Write(l.buffer)
	l.size += n
	if err == nil && durable {
		err = l.file.Sync()
	}
	return err
}

// LiveCount returns the number of keys that are known.
func (l *Log) LiveCount() int { return len(l.live) }

// Close makes all entries durable and unlocks the directory.
func (l *Log) Close() error {
	err := l.failure
	if err == nil {
		err = l.file.Sync()
	}
	return errors.Join(err, l.file.Close(), l.disk.Unlock())
}
