package storage

import "grebeglade/internal/storage/statepb"

// Contents holds the state read from a directory.
type Contents struct {
	Incarnation    *statepb.Incarnation // latest incarnation; nil in a new directory
	LiveBinds      []*statepb.Bind      // last bind of each live key, sorted by key
	Files          []string             // names of the files read, in reading order
	TruncatedBytes int                  // bytes without a valid record at the ends of logs, as a crash leaves them
}

// Inspect reads a directory without changing or locking it. Errors are of type *CorruptionError, *VersionError or
// *DiskError.
func Inspect(disk Disk) (*Contents, error) {
	reader, err := readDirectory(disk)
	if err != nil {
		return nil, err
	}
	return reader.contents, nil
}

// directoryReader collects the state in the latest snapshot and the logs since.
type directoryReader struct {
	disk     Disk
	contents *Contents
	live     liveBinds
	last     uint64 // highest file number; 0 in a new directory
}

// readDirectory reads the latest snapshot, if any, and all logs with at least its number.
func readDirectory(disk Disk) (*directoryReader, error) {
	files, err := listFiles(disk)
	if err != nil {
		return nil, err
	}
	reader := &directoryReader{
		disk:     disk,
		contents: &Contents{},
		live:     liveBinds{},
	}
	if len(files.snapshots) > 0 {
		reader.last = files.snapshots[len(files.snapshots)-1]
		if err := reader.readSnapshot(reader.last); err != nil {
			return nil, err
		}
	}
	latestSnapshot := reader.last
	for _, number := range files.logs {
		reader.last = max(reader.last, number)
		if number < latestSnapshot {
			continue
		}
		if err := reader.readLog(number); err != nil {
			return nil, err
		}
	}
	reader.contents.LiveBinds = reader.live.sorted()
	return reader, nil
}

func (r *directoryReader) readFile(name string) ([]byte, error) {
	data, err := r.disk.Read(name)
	if err != nil {
		return nil, &DiskError{Step: StepRead, Err: err}
	}
	r.contents.Files = append(r.contents.Files, name)
	return data, nil
}

// readSnapshot reads the snapshot with the given number.
func (r *directoryReader) readSnapshot(number uint64) error {
	name := snapshotName(number)
	data, err := r.readFile(name)
	if err != nil {
		return err
	}
	snapshot, err := decodeSnapshot(name, data, number)
	if err != nil {
		return err
	}
	r.contents.Incarnation = snapshot.Incarnation
	for _, live := range snapshot.LiveBinds {
		if bind := live.GetBind(); bind != nil {
			r.live[bind.Key] = bind
		}
	}
	return nil
}

// readLog applies the entries of the log with the given number.
func (r *directoryReader) readLog(number uint64) error {
	name := logName(number)
	data, err := r.readFile(name)
	if err != nil {
		return err
	}
	truncated, err := decodeLog(name, data, number, func(entry *statepb.Entry) {
		if incarnation := entry.GetIncarnation(); incarnation != nil {
			r.contents.Incarnation = incarnation
		}
		r.live.apply(entry)
	})
	r.contents.TruncatedBytes += truncated
	return err
}
