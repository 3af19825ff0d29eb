package benchmark

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"grebeglade/internal/simulation"
	"grebeglade/internal/simulation/scenario"
	"grebeglade/trace"
	"grebeglade/trace/tracepb"
)

// TraceCost is what traces take: in bytes, in time, and of the allocator that is recorded.
type TraceCost struct {
	Script      string  `json:"script"`
	Records     int     `json:"records"`
	Decisions   int     `json:"decisions"`
	Each        float64 `json:"bytes_a_decision"`
	JSONRatio   float64 `json:"json_lines_ratio"`            // bytes of plain JSON lines over those of the file
	PlainRatio  float64 `json:"uncompressed_protobuf_ratio"` // likewise
	WritePerSec float64 `json:"records_written_per_second"`
	ReadPerSec  float64 `json:"records_read_per_second"`
	On          float64 `json:"placed_per_second_recording"`
	Off         float64 `json:"placed_per_second_not_recording"`
	OnOff       float64 `json:"recording_ratio"` // median of the ratios of pairs
	Lost        uint64  `json:"records_lost"`
	P99On       float64 `json:"ask_to_offer_p99_ms_recording"`
	P99Off      float64 `json:"ask_to_offer_p99_ms_not_recording"`
	FileBytes   int64   `json:"look_up_file_bytes"`
	LookUpMs    float64 `json:"look_up_ms"`
	ScanMs      float64 `json:"scan_ms"`
	LookedUp    int     `json:"looked_up_records"`
}

// Trace measures a day's trace in virtual time, recording over sockets at that size, and a look-up in a file of so
// many bytes.
func Trace(script string, f Fleet, long time.Duration, fileBytes int64) (*TraceCost, error) {
	dir, err := os.MkdirTemp("", "grebeglade-bench")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	c := &TraceCost{Script: script}
	records, sources, err := day(script, dir)
	if err != nil {
		return nil, err
	}
	if err := c.sizes(records, sources); err != nil {
		return nil, err
	}
	if err := c.recording(f, long, dir); err != nil {
		return nil, err
	}
	return c, c.lookUp(records, sources, fileBytes, dir)
}

// day plays a script and returns one allocator's records.
func day(script, dir string) ([]*trace.Record, []*tracepb.Source, error) {
	s, err := scenario.Open(script)
	if err != nil {
		return nil, nil, err
	}
	if _, err := simulation.PlayVirtual(s, simulation.Options{Seed: 1, TraceDirectory: dir}); err != nil {
		return nil, nil, err
	}
	names, _, _ := trace.ListFiles(filepath.Join(dir, "allocator-1"))
	var records []*trace.Record
	var sources []*tracepb.Source
	for _, name := range names {
		r, err := trace.Open(name)
		if err != nil {
			return nil, nil, err
		}
		sources = r.Header.Sources
		for rec, err := range r.Records(trace.Span{}) {
			if err != nil {
				return nil, nil, err
			}
			records = append(records, rec)
		}
		r.Close()
	}
	return records, sources, nil
}

func (c *TraceCost) sizes(records []*trace.Record, sources []*tracepb.Source) error {
	c.Records = len(records)
	var plain, lines int
	for _, r := range records {
		if r.Step != nil {
			c.Decisions++
		}
		plain += proto.Size(r)
		line, err := protojson.Marshal(r)
		if err != nil {
			return err
		}
		lines += len(line) + 1
	}
	var size int
	var writes, reads []float64
	for range rounds {
		var b bytes.Buffer
		began := time.Now()
		if err := write(&b, records, sources, 1); err != nil {
			return err
		}
		writes = append(writes, float64(len(records))/time.Since(began).Seconds())
		size = b.Len()
		began = time.Now()
		r, err := trace.NewReader(bytes.NewReader(b.Bytes()), int64(b.Len()))
		if err != nil {
			return err
		}
		n := 0
		for _, err := range r.Records(trace.Span{}) {
			if err != nil {
				return err
			}
			n++
		}
		reads = append(reads, float64(n)/time.Since(began).Seconds())
		r.Close()
	}
	c.Each = float64(size) / float64(max(1, c.Decisions))
	c.JSONRatio, c.PlainRatio = float64(lines)/float64(size), float64(plain)/float64(size)
	c.WritePerSec, c.ReadPerSec = median(writes), median(reads)
	return nil
}

// write puts the records into a file so many times over, each time later.
func write(w io.Writer, records []*trace.Record, sources []*tracepb.Source, times int) error {
	t, err := trace.NewWriter(w, &tracepb.Header{Sources: sources})
	if err != nil {
		return err
	}
	span := records[len(records)-1].AtMs + 1
	for i := range times {
		for _, r := range records {
			at := r.AtMs
			r.AtMs += float64(i) * span
			err := t.Append(r)
			r.AtMs = at
			if err != nil {
				return err
			}
		}
	}
	return t.Close()
}

// recording measures pairs over sockets, with and without a trace.
func (c *TraceCost) recording(f Fleet, long time.Duration, dir string) error {
	var on, off, ratios []float64
	run := func(i int) (float64, error) {
		r, err := trace.NewRecorder(filepath.Join(dir, fmt.Sprint("on", i)), &tracepb.Source{Allocator: "bench", Incarnation: 2},
			trace.DefaultLimits, nil)
		if err != nil {
			return 0, err
		}
		f.trace = r
		rate, err := f.sockets(long)
		r.Close()
		return rate, err
	}
	for i := range rounds {
		x, err := run(i)
		if err != nil {
			return err
		}
		f.trace = nil
		y, err := f.sockets(long)
		if err != nil {
			return err
		}
		on, off, ratios = append(on, x), append(off, y), append(ratios, x/y)
		files, _, _ := trace.ListFiles(filepath.Join(dir, fmt.Sprint("on", i)))
		var readers []*trace.Reader
		for _, name := range files {
			r, err := trace.Open(name)
			if err != nil {
				return err
			}
			readers = append(readers, r)
		}
		s, err := trace.Summarise(readers)
		if err != nil {
			return err
		}
		c.Lost += s.Missing
		for _, r := range readers {
			r.Close()
		}
	}
	c.On, c.Off, c.OnOff = median(on), median(off), median(ratios)
	var p99On, p99Off []float64
	for i := range rounds {
		r, err := trace.NewRecorder(filepath.Join(dir, fmt.Sprint("p", i)), &tracepb.Source{Allocator: "bench", Incarnation: 2},
			trace.DefaultLimits, nil)
		if err != nil {
			return err
		}
		f.trace = r
		with, _, err := f.latency(long, c.Off/4)
		r.Close()
		if err != nil {
			return err
		}
		f.trace = nil
		without, _, err := f.latency(long, c.Off/4)
		if err != nil {
			return err
		}
		p99On, p99Off = append(p99On, with.p99), append(p99Off, without.p99)
	}
	c.P99On, c.P99Off = median(p99On), median(p99Off)
	return nil
}

// lookUp finds one minute in a large file by its index, and by a scan of all of it.
func (c *TraceCost) lookUp(records []*trace.Record, sources []*tracepb.Source, fileBytes int64, dir string) error {
	if fileBytes <= 0 {
		return nil
	}
	name := filepath.Join(dir, "large"+trace.FileExtension)
	out, err := os.Create(name)
	if err != nil {
		return err
	}
	defer out.Close()
	each := c.Each * float64(c.Decisions)
	if err := write(out, records, sources, max(1, int(float64(fileBytes)/each))); err != nil {
		return err
	}
	info, err := out.Stat()
	if err != nil {
		return err
	}
	c.FileBytes = info.Size()
	minute := func(index bool) (float64, int, error) {
		began := time.Now()
		r, err := trace.Open(name)
		if err != nil {
			return 0, 0, err
		}
		defer r.Close()
		middle := sources[0].WallMs + records[len(records)-1].AtMs*float64(fileBytes)/each/2
		span, n := trace.Span{FromMs: middle, ToMs: middle + 60e3}, 0
		if !index {
			span = trace.Span{}
		}
		for rec, err := range r.Records(span) {
			if err != nil {
				return 0, 0, err
			}
			if w := r.UnixMillis(rec); w >= middle && w <= middle+60e3 {
				n++
			}
		}
		return float64(time.Since(began)) / 1e6, n, nil
	}
	var found, scanned int
	if c.LookUpMs, found, err = minute(true); err != nil {
		return err
	}
	if c.ScanMs, scanned, err = minute(false); err != nil {
		return err
	}
	if found != scanned || found == 0 {
		return fmt.Errorf("the index finds %d records of that minute, a scan %d", found, scanned)
	}
	c.LookedUp = found
	return nil
}
