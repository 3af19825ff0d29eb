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
// The contents are those from before the call. A truncated log is no error. ErrInUse, a *CorruptionError and a
// *VersionError leave the directory unchanged; any other error is a *DiskError.
func Open(disk Disk, incarnation *statepb.Incarnation, maxLogSize int, unixMs func() float64) (*Log, *Contents, error) {
	if err := lock(disk); err != nil {
		return nil, nil, err
	}
	reader, err := readDirectory(disk)
	if err != nil {
		return nil, nil, errors.Join(err, unlock(disk))
	}
	if previous := reader.contents.Incarnation; previous != nil && incarnation.Number <= previous.Number {
		// The clock was set back, or two incarnations began at once. Nodes reject offers of an earlier incarnation.
		incarnation.Number = previous.Number + 1
	}
	log := &Log{
		disk:        disk,
		maxSize:     maxLogSize,
		unixMs:      unixMs,
		incarnation: incarnation,
		live:        reader.live,
		number:      reader.last,
	}
	if err := log.rotate(); err != nil {
		return nil, nil, errors.Join(diskError(StepBegin, err), unlock(disk))
	}
	return log, reader.contents, nil
}

// Commit appends entries to the log. With durable, they survive a crash of the machine once it returns; otherwise they
// do so after the next durable commit, or when the system writes them.
//
// After a write or a sync that failed the file is never used again, since a later sync that succeeds says nothing about
// what the failed one has lost: all that is live, including these entries, goes to a new snapshot. If that fails too,
// Commit returns a *DiskError for each of the two steps, the entries are not live, and the next commit tries again.
func (l *Log) Commit(entries []*statepb.Entry, durable bool) error {
	saved := l.live.save(entries)
	for _, entry := range entries {
		l.live.apply(entry)
	}
	if err := l.append(entries, durable); err != nil {
		l.failure = err
		if rotateErr := l.rotate(); rotateErr != nil {
			l.live.restore(saved)
			return errors.Join(diskError(StepAppend, err), diskError(StepRotate, rotateErr))
		}
		return nil
	}
	if l.tooLong() {
		// The new snapshot may have got its name before rotate failed. The next start would read it and not this log,
		// so that nothing more may be written here; the next commit rotates again.
		l.failure = l.rotate()
	}
	return nil
}

// append writes entries to the current log in one piece, unless the log must not be written any more.
func (l *Log) append(entries []*statepb.Entry, durable bool) error {
	if l.failure != nil {
		return l.failure
	}
	l.buffer = l.buffer[:0]
	for _, entry := range entries {
		var err error
		if l.buffer, err = appendRecord(l.buffer, entry); err != nil {
			return err
		}
	}
	written, err := l.file.Write(l.buffer)
	l.size += written
	if err != nil || !durable {
		return err
	}
	return l.file.Sync()
}

// tooLong reports whether the current log should be replaced by a snapshot.
func (l *Log) tooLong() bool {
	return l.size > max(l.maxSize, logBytesPerLiveBind*len(l.live))
}

// LiveCount returns the number of keys that are known.
func (l *Log) LiveCount() int { return len(l.live) }

// Close makes all entries durable and unlocks the directory. An error is a *DiskError, or several.
func (l *Log) Close() error {
	err := l.failure
	if err == nil {
		err = l.file.Sync()
	}
	err = errors.Join(err, l.file.Close())
	return errors.Join(diskError(StepClose, err), unlock(l.disk))
}
