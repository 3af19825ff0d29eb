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
func Inspect(d Disk) (*Contents, error) {
	r, err := readDirectory(d)
	if err != nil {
		return nil, err
	}
	return r.contents, nil
}

// directoryReader collects what the latest snapshot and the logs since hold.
type directoryReader struct {
	disk     Disk
	contents *Contents
	live     liveBinds
	last     uint64 // the highest number of a file, 0 in a new directory
}

func readDirectory(d Disk) (*directoryReader, error) {
	files, err := listFiles(d)
	if err != nil {
		return nil, err
	}
	r := &directoryReader{disk: d, contents: &Contents{}, live: liveBinds{}}
	if len(files.snapshots) > 0 {
		r.last = files.snapshots[len(files.snapshots)-1]
		if err := r.readSnapshot(r.last); err != nil {
			return nil, err
		}
	}
	latestSnapshot := r.last
	for _, number := range files.logs {
		r.last = max(r.last, number)
		if number < latestSnapshot {
			continue
		}
		if err := r.readLog(number); err != nil {
			return nil, err
		}
	}
	r.contents.LiveBinds = r.live.sorted()
	return r, nil
}

func (r *directoryReader) readFile(name string) ([]byte, error) {
	data, err := r.disk.Read(name)
	if err != nil {
		return nil, &DiskError{Step: StepRead, Err: err}
	}
	r.contents.Files = append(r.contents.Files, name)
	return data, nil
}

func (r *directoryReader) readSnapshot(number uint64) error {
	name := snapshotName(number)
	data, err := r.readFile(name)
	if err != nil {
		return err
	}
	s, err := decodeSnapshot(name, data, number)
	if err != nil {
		return err
	}
	r.contents.Incarnation = s.Incarnation
	for _, l := range s.LiveBinds {
		if b := l.GetBind(); b != nil {
			r.live[b.Key] = b
		}
	}
	return nil
}

func (r *directoryReader) readLog(number uint64) error {
	name := logName(number)
	data, err := r.readFile(name)
	if err != nil {
		return err
	}
	truncated, err := decodeLog(name, data, number, func(e *statepb.Entry) {
		if incarnation := e.GetIncarnation(); incarnation != nil {
			r.contents.Incarnation = incarnation
		}
		r.live.apply(e)
	})
	r.contents.TruncatedBytes += truncated
	return err
}
