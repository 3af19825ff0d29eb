package benchmark

import (
	"bytes"
	"errors"
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

// TraceCost is the cost of traces: their size, the time to write and read them, and the effect of recording on an
// allocator's throughput and latency. All fields are in one struct because they form one flat JSON document.
type TraceCost struct {
	Script           string  `json:"script"`
	Records          int     `json:"records"`
	Decisions        int     `json:"decisions"`
	BytesPerDecision float64 `json:"bytes_a_decision"`
	JSONRatio        float64 `json:"json_lines_ratio"`            // size of the records as JSON, relative to the file
	PlainRatio       float64 `json:"uncompressed_protobuf_ratio"` // uncompressed size, relative to the file
	WritePerSec      float64 `json:"records_written_per_second"`
	ReadPerSec       float64 `json:"records_read_per_second"`
	RateRecording    float64 `json:"placed_per_second_recording"`
	RateNotRecording float64 `json:"placed_per_second_not_recording"`
	RecordingRatio   float64 `json:"recording_ratio"` // median over rounds of the rate with recording / without
	Lost             uint64  `json:"records_lost"`
	P99Recording     float64 `json:"ask_to_offer_p99_ms_recording"` // rate: RateNotRecording / 4
	P99NotRecording  float64 `json:"ask_to_offer_p99_ms_not_recording"`
	FileBytes        int64   `json:"look_up_file_bytes"`
	LookUpMs         float64 `json:"look_up_ms"` // time to find the records of a minute by the index
	ScanMs           float64 `json:"scan_ms"`    // time to find the same records by reading the file
	LookedUp         int     `json:"looked_up_records"`
}

// MeasureTrace measures the encoding of a scenario's trace, the cost of recording over sockets with a fleet, and a
// look-up in a file of about fileBytes; 0 skips the look-up. The scenario runs in virtual time. Each measurement over
// sockets takes length.
func MeasureTrace(script string, fleet Fleet, length time.Duration, fileBytes int64) (cost *TraceCost, err error) {
	dir, err := os.MkdirTemp("", "grebeglade-bench")
	if err != nil {
		return nil, fmt.Errorf("create a directory for traces: %w", err)
	}
	defer func() { err = errors.Join(err, os.RemoveAll(dir)) }()
	recorded, err := recordScenario(script, dir)
	if err != nil {
		return nil, fmt.Errorf("record scenario %q: %w", script, err)
	}
	measured := &TraceCost{Script: script}
	if err := measured.measureEncoding(recorded); err != nil {
		return nil, fmt.Errorf("measure the encoding of traces: %w", err)
	}
	if err := measured.measureRecording(fleet, length, dir); err != nil {
		return nil, fmt.Errorf("measure recording over sockets: %w", err)
	}
	if fileBytes > 0 {
		if err := measured.measureLookUp(recorded, fileBytes, dir); err != nil {
			return nil, fmt.Errorf("measure a look-up: %w", err)
		}
	}
	return measured, nil
}

// recording is the trace of one allocator: its records, and the sources in its header.
type recording struct {
	records []*trace.Record
	sources []*tracepb.Source
}

// recordScenario runs a scenario in virtual time and returns the records of its first allocator.
func recordScenario(script, dir string) (*recording, error) {
	opened, err := scenario.Open(script)
	if err != nil {
		return nil, err
	}
	if _, err := simulation.PlayVirtual(opened, simulation.Options{Seed: 1, TraceDirectory: dir}); err != nil {
		return nil, err
	}
	recorded := &recording{}
	err = withTraces(filepath.Join(dir, "allocator-1"), recorded.read)
	return recorded, err
}

// read adds the records of trace files.
func (r *recording) read(files []*trace.Reader) error {
	for _, file := range files {
		r.sources = file.Header.Sources
		for record, err := range file.Records(trace.Span{}) {
			if err != nil {
				return err
			}
			r.records = append(r.records, record)
		}
	}
	return nil
}

// withTraces opens the trace files of a directory, calls use with them, and closes them.
func withTraces(dir string, use func(files []*trace.Reader) error) (err error) {
	var files []*trace.Reader
	defer func() {
		for _, file := range files {
			err = errors.Join(err, file.Close())
		}
	}()
	for _, listed := range trace.ListFiles(dir) {
		file, err := trace.Open(listed.Name)
		if err != nil {
			return err
		}
		files = append(files, file)
	}
	return use(files)
}

// lastMs returns the time of the last record in ms.
func (r *recording) lastMs() float64 { return r.records[len(r.records)-1].AtMs }

// write writes a trace that repeats the records a number of times. Each repetition begins after the previous one.
func (r *recording) write(out io.Writer, times int) error {
	writer, err := trace.NewWriter(out, &tracepb.Header{Sources: r.sources})
	if err != nil {
		return err
	}
	length := r.lastMs() + 1
	for i := range times {
		for _, record := range r.records {
			at := record.AtMs
			record.AtMs += float64(i) * length
			err := writer.Append(record)
			record.AtMs = at
			if err != nil {
				return err
			}
		}
	}
	return writer.Close()
}

// measureEncoding measures the size of a trace, and the rates of writing and reading its records.
func (c *TraceCost) measureEncoding(recorded *recording) error {
	c.Records = len(recorded.records)
	plain, jsonLines, err := c.countDecisions(recorded)
	if err != nil {
		return err
	}
	var size int
	var writes, reads []float64
	for range rounds {
		var file bytes.Buffer
		start := time.Now()
		if err := recorded.write(&file, 1); err != nil {
			return err
		}
		writes = append(writes, float64(len(recorded.records))/time.Since(start).Seconds())
		size = file.Len()
		rate, err := readRate(file.Bytes())
		if err != nil {
			return err
		}
		reads = append(reads, rate)
	}
	c.BytesPerDecision = float64(size) / float64(max(1, c.Decisions))
	c.JSONRatio = float64(jsonLines) / float64(size)
	c.PlainRatio = float64(plain) / float64(size)
	c.WritePerSec = median(writes)
	c.ReadPerSec = median(reads)
	return nil
}

// countDecisions counts the decisions, and returns the size in bytes of all records as protobuf and as JSON lines.
func (c *TraceCost) countDecisions(recorded *recording) (plain, jsonLines int, err error) {
	for _, record := range recorded.records {
		if record.Step != nil {
			c.Decisions++
		}
		plain += proto.Size(record)
		line, err := protojson.Marshal(record)
		if err != nil {
			return 0, 0, fmt.Errorf("encode a record as JSON: %w", err)
		}
		jsonLines += len(line) + len("\n")
	}
	return plain, jsonLines, nil
}

// readRate returns the number of records of a trace that are read per second.
func readRate(file []byte) (perSecond float64, err error) {
	start := time.Now()
	reader, err := trace.NewReader(bytes.NewReader(file), int64(len(file)))
	if err != nil {
		return 0, err
	}
	defer func() { err = errors.Join(err, reader.Close()) }()
	count := 0
	for _, err := range reader.Records(trace.Span{}) {
		if err != nil {
			return 0, err
		}
		count++
	}
	return float64(count) / time.Since(start).Seconds(), nil
}

// measureRecording measures throughput and latency over sockets, alternating between runs with and without a trace.
func (c *TraceCost) measureRecording(fleet Fleet, length time.Duration, dir string) error {
	var on, off, ratios []float64
	for i := range rounds {
		traceDir := filepath.Join(dir, fmt.Sprint("on", i))
		with, err := recordingThroughput(fleet, length, traceDir)
		if err != nil {
			return err
		}
		without, err := throughput(fleet, clusterOptions{}, length)
		if err != nil {
			return err
		}
		on = append(on, with)
		off = append(off, without)
		ratios = append(ratios, with/without)
		if err := c.countLost(traceDir); err != nil {
			return err
		}
	}
	c.RateRecording = median(on)
	c.RateNotRecording = median(off)
	c.RecordingRatio = median(ratios)
	return c.measureRecordingLatency(fleet, length, dir)
}

// measureRecordingLatency measures the latency at a quarter of the rate without a trace, alternating between runs with
// and without a trace.
func (c *TraceCost) measureRecordingLatency(fleet Fleet, length time.Duration, dir string) error {
	perSecond := c.RateNotRecording / 4
	var on, off []float64
	for i := range rounds {
		with, err := recordingLatency(fleet, length, perSecond, filepath.Join(dir, fmt.Sprint("p", i)))
		if err != nil {
			return err
		}
		without, err := measureLatency(fleet, clusterOptions{}, length, perSecond)
		if err != nil {
			return err
		}
		on = append(on, with.p99Ms)
		off = append(off, without.p99Ms)
	}
	c.P99Recording = median(on)
	c.P99NotRecording = median(off)
	return nil
}

// newRecorder returns a recorder that writes the allocator's trace to a directory.
func newRecorder(dir string) (*trace.Recorder, error) {
	return trace.NewRecorder(dir, &tracepb.Source{Allocator: allocatorName, Incarnation: 2}, trace.DefaultLimits, nil)
}

// recordingThroughput calls throughput for an allocator that records a trace.
func recordingThroughput(fleet Fleet, length time.Duration, dir string) (float64, error) {
	recorder, err := newRecorder(dir)
	if err != nil {
		return 0, err
	}
	defer recorder.Close()
	return throughput(fleet, clusterOptions{trace: recorder}, length)
}

// recordingLatency calls measureLatency for an allocator that records a trace.
func recordingLatency(fleet Fleet, length time.Duration, perSecond float64, dir string) (offerLatency, error) {
	recorder, err := newRecorder(dir)
	if err != nil {
		return offerLatency{}, err
	}
	defer recorder.Close()
	return measureLatency(fleet, clusterOptions{trace: recorder}, length, perSecond)
}

// countLost adds the number of records that are missing in the traces of a directory.
func (c *TraceCost) countLost(dir string) error {
	return withTraces(dir, func(files []*trace.Reader) error {
		summary, err := trace.Summarise(files)
		if err != nil {
			return err
		}
		c.Lost += summary.Missing
		return nil
	})
}
