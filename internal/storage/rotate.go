package storage

import "errors"

// rotate writes the live binds to a snapshot with the next number, creates the log of that number, and removes the
// files that they replace. The previous files are kept until the new ones are durable, so that a failure loses nothing.
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
	// The log is created before the snapshot gets its final name. If it were created afterwards and that failed, entries
	// would still go to the previous log, which the next start skips because of the new snapshot.
	file, err := createLog(l.disk, number)
	if err != nil {
		return err
	}
	if err := publish(l.disk, temporary, snapshotName(number)); err != nil {
		return errors.Join(err, file.Close())
	}
	l.switchLog(number, file)
	l.removeObsolete()
	return nil
}

// switchLog makes an empty log the current one, and closes the previous log.
func (l *Log) switchLog(number uint64, file File) {
	if l.file != nil {
		_ = l.file.Close() // an error does not matter, since the snapshot replaces the file
	}
	l.number = number
	l.file = file
	l.size = headerSize
	l.failure = nil
}

// writeFile creates and syncs a file with the given contents. It is durable once the directory is synced too.
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

// writeAndSync writes data to a file and syncs it.
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

// removeObsolete removes the files that the current snapshot replaces. Errors are ignored: these files are not read,
// and the next rotation tries to remove them again.
func (l *Log) removeObsolete() {
	files, err := listFiles(l.disk)
	if err != nil {
		return
	}
	for _, name := range files.obsolete(l.number) {
		_ = l.disk.Remove(name)
	}
}
