package storage

import "errors"

// rotate writes all that is live to a snapshot of the next number, begins the log of that number, and removes the files
// that these replace. The current log is closed last: wherever rotate stops, the earlier files still hold everything.
func (l *Log) rotate() error {
	number := l.number + 1
	l.live.dropExpired(l.unixMs())
	snapshot, err := encodeSnapshot(number, l.incarnation, l.live)
	if err != nil {
		return err
	}
	temporary := snapshotName(number) + temporaryExtension
	if err := writeFile(l.disk, temporary, snapshot); err != nil {
		return err
	}
	// The log is created before the snapshot gets its name. Otherwise a start that finds the snapshot without its log
	// would skip entries that still went to the log before.
	file, err := createLog(l.disk, number)
	if err != nil {
		return err
	}
	if err := publish(l.disk, temporary, snapshotName(number)); err != nil {
		return errors.Join(err, file.Close())
	}
	l.useLog(number, file)
	l.removeObsolete()
	return nil
}

// useLog makes an empty log the current one, and closes the log before.
func (l *Log) useLog(number uint64, file File) {
	if l.file != nil {
		_ = l.file.Close() // the snapshot replaces what an error would be about
	}
	l.number = number
	l.file = file
	l.size = headerSize
	l.failure = nil
}

// writeFile creates a file with the given contents, which are durable once the directory is synced too.
func writeFile(disk Disk, name string, data []byte) error {
	file, err := disk.Create(name)
	if err != nil {
		return err
	}
	return errors.Join(writeAndSync(file, data), file.Close())
}

// createLog creates an empty log and leaves it open.
func createLog(disk Disk, number uint64) (File, error) {
	file, err := disk.Create(logName(number))
	if err != nil {
		return nil, err
	}
	if err := writeAndSync(file, encodeHeader(number)); err != nil {
		return nil, errors.Join(err, file.Close())
	}
	return file, nil
}

// writeAndSync writes the contents of a new file and makes them durable.
func writeAndSync(file File, data []byte) error {
	if _, err := file.Write(data); err != nil {
		return err
	}
	return file.Sync()
}

// publish renames a file and makes the new name durable.
func publish(disk Disk, from, to string) error {
	if err := disk.Rename(from, to); err != nil {
		return err
	}
	return disk.Sync()
}

// removeObsolete removes the files that the current snapshot replaces. Errors are ignored, since such files do no harm,
// and the next rotation tries again.
func (l *Log) removeObsolete() {
	files, err := listFiles(l.disk)
	if err != nil {
		return
	}
	for _, name := range files.obsolete(l.number) {
		_ = l.disk.Remove(name)
	}
}
