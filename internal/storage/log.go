package storage

import (
	"errors"

	"grebeglade/internal/storage/statepb"
)

const (
	// DefaultMaxLogSize is the size of a log in bytes above which it is replaced by a snapshot.
	DefaultMaxLogSize = 8 << 20

	// logBytesPerLiveBind is the minimum size limit of a log in bytes per live bind, so that a large snapshot is not
	// written for a few changes.
	logBytesPerLiveBind = 64
)

// Log is an open state directory. It is not safe for concurrent use.
type Log struct {
	disk        Disk
	maxSize     int            // size limit of a log file in bytes
	unixMs      func() float64 // returns the current time in Unix milliseconds
	incarnation *statepb.Incarnation
	live        liveBinds

	number  uint64 // number of the current snapshot and log
	file    File   // current log
	size    int    // size of the current log in bytes
	failure error  // why the current log must not be written to; nil if it may be
	buffer  []byte // reused for encoding
}

// Open locks a directory, reads it and begins an incarnation in it. If incarnation.Number does not exceed that of the
// previous incarnation, for example because the clock was set back, Open raises it. A log larger than maxLogSize bytes
// and than logBytesPerLiveBind bytes per live bind is replaced by a snapshot. The function unixMs returns the current
// time in Unix milliseconds.
//
// The returned contents are those before the call. A truncated log is not an error. If the error matches ErrInUse, or
// is a *CorruptionError or *VersionError, the directory is unchanged; any other error is a *DiskError.
func Open(disk Disk, incarnation *statepb.Incarnation, maxLogSize int, unixMs func() float64) (*Log, *Contents, error) {
	if err := lock(disk); err != nil {
		return nil, nil, err
	}
	reader, err := readDirectory(disk)
	if err != nil {
		return nil, nil, errors.Join(err, unlock(disk))
	}
	if previous := reader.contents.Incarnation; previous != nil && incarnation.Number <= previous.Number {
		// The clock was set back, or two incarnations began at the same time. Nodes reject offers of an earlier
		// incarnation.
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

// Commit appends entries to the log. If durable is true, they survive a crash of the machine once Commit has returned;
// otherwise once the next durable commit has returned, or the operating system has written them.
//
// After a failed write or sync the log file is never used again, since a later successful sync does not guarantee that
// the data of the failed one was written. Instead all live binds, including these entries, are written to a new
// snapshot. If that fails too, Commit returns a *DiskError for each of the two steps and the entries are not live; the
// next commit writes a snapshot again.
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
	if l.shouldRotate() {
		// If rotate fails after the rename of the new snapshot, the next start reads the snapshot and skips this log.
		// So after any failure this log must not be written to; the next commit rotates again.
		l.failure = l.rotate()
	}
	return nil
}

// append writes entries to the current log in a single write. It returns l.failure if that is set.
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

// shouldRotate reports whether the current log exceeds its size limit.
func (l *Log) shouldRotate() bool {
	return l.size > max(l.maxSize, logBytesPerLiveBind*len(l.live))
}

// LiveCount returns the number of live keys.
func (l *Log) LiveCount() int { return len(l.live) }

// Close makes all entries durable, closes the log and unlocks the directory. The error joins one or more *DiskError.
func (l *Log) Close() error {
	err := l.failure
	if err == nil {
		err = l.file.Sync()
	}
	err = errors.Join(err, l.file.Close())
	return errors.Join(diskError(StepClose, err), unlock(l.disk))
}
