package benchmark

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"grebeglade/trace"
)

const lookUpLengthMs = 60e3 // length of the span that is looked up

// measureLookUp finds the records of one minute in a large file, by its index and by reading the whole file.
func (c *TraceCost) measureLookUp(recorded *recording, fileBytes int64, dir string) error {
	name := filepath.Join(dir, "large"+trace.FileExtension)
	recordingBytes := c.BytesPerDecision * float64(c.Decisions)
	times := float64(fileBytes) / recordingBytes
	if err := recorded.writeFile(name, max(1, int(times))); err != nil {
		return err
	}
	info, err := os.Stat(name)
	if err != nil {
		return fmt.Errorf("read the size of the trace: %w", err)
	}
	c.FileBytes = info.Size()
	middle := recorded.sources[0].WallMs + recorded.lastMs()*times/2
	minute := trace.Span{FromMs: middle, ToMs: middle + lookUpLengthMs}
	found, lookUpMs, err := countRecords(name, minute, minute)
	if err != nil {
		return err
	}
	scanned, scanMs, err := countRecords(name, trace.Span{}, minute)
	if err != nil {
		return err
	}
	if found != scanned || found == 0 {
		return fmt.Errorf("look up the records of a minute: found %d by the index, %d by a scan", found, scanned)
	}
	c.LookedUp = found
	c.LookUpMs = lookUpMs
	c.ScanMs = scanMs
	return nil
}

// writeFile writes a trace file in which the records are repeated, as write does.
func (r *recording) writeFile(name string, times int) (err error) {
	out, err := os.Create(name)
	if err != nil {
		return fmt.Errorf("create a trace: %w", err)
	}
	defer func() { err = errors.Join(err, out.Close()) }()
	return r.write(out, times)
}

// countRecords reads a span of a file, and returns the number of records in it that are also within another span, and
// the time taken in ms.
func countRecords(name string, read, within trace.Span) (count int, ms float64, err error) {
	start := time.Now()
	reader, err := trace.Open(name)
	if err != nil {
		return 0, 0, err
	}
	defer func() { err = errors.Join(err, reader.Close()) }()
	for record, err := range reader.Records(read) {
		if err != nil {
			return 0, 0, err
		}
		if at := reader.UnixMillis(record); at >= within.FromMs && at <= within.ToMs {
			count++
		}
	}
	return count, float64(time.Since(start)) / float64(time.Millisecond), nil
}
