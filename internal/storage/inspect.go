package storage

import "grebeglade/internal/storage/statepb"

// Contents is what a directory holds.
type Contents struct {
	Incarnation    *statepb.Incarnation // the latest; nil in a new directory
	LiveBinds      []*statepb.Bind      // the last bind of each key that is known, in the order of keys
	Files          []string             // in the order in which they were read
	TruncatedBytes int                  // at the ends of logs, which a crash left incomplete
}

// Inspect reads a directory without changing or locking it. It returns a *CorruptionError, a *VersionError or a
// *DiskError for one that cannot be read.
func Inspect(disk Disk) (*Contents, error) {
	reader, err := readDirectory(disk)
	if err != nil {
		return nil, err
	}
	return reader.contents, nil
}

// directoryReader collects what the latest snapshot and the logs since hold.
type directoryReader struct {
	disk     Disk
	contents *Contents
	live     liveBinds
	last     uint64 // the highest number of a file, 0 in a new directory
}

// readDirectory reads the latest snapshot, if there is one, and the logs from its number on.
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

// readSnapshot reads the snapshot with a number.
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

// readLog applies the entries of the log with a number.
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
