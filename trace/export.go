package trace

import (
	"fmt"
	"io"

	"github.com/parquet-go/parquet-go"

	"grebeglade/trace/tracepb"
)

// Row is the Parquet row of one decision: a step that the module returned, and the call that returned it. Each field is
// a column.
type Row struct {
	AtUnixMs       float64 `parquet:"at_unix_ms"`
	Allocator      string  `parquet:"allocator,dict"`
	Incarnation    uint64  `parquet:"incarnation"`
	Revision       uint64  `parquet:"revision"`
	Call           string  `parquet:"call,dict"` // "place", "adopt", or the name of the result's kind
	Reason         uint32  `parquet:"reason"`
	Workload       uint32  `parquet:"workload"`
	Client         string  `parquet:"owner,dict"`
	Key            uint64  `parquet:"key"`
	Service        uint64  `parquet:"service"`
	Group          string  `parquet:"group,dict"`
	Cores          float64 `parquet:"cores"`
	Memory         float64 `parquet:"memory"`
	Retried        bool    `parquet:"again"`
	Step           string  `parquet:"step,dict"`
	Node           uint32  `parquet:"node"`
	TimeoutMs      float64 `parquet:"timeout_ms"`
	SinceRequestMs float64 `parquet:"since_ask_ms"`
}

const (
	rowBatchSize = 1024
	unknownKind  = "other"
)

// Export writes one row for each decision to a Parquet file.
func Export(files []*Reader, output io.Writer) (rows int, err error) {
	batch := newRowBatch(output)
	decisions := exporter{lastRows: map[workloadKey]*Row{}, groups: map[SourceKey][]string{}}
	for _, file := range files {
		for record, err := range file.Records(Span{}) {
			if err != nil {
				return rows, err
			}
			row, decided := decisions.row(file, record)
			if !decided {
				continue
			}
			rows++
			if err := batch.add(row); err != nil {
				return rows, err
			}
		}
	}
	return rows, batch.close()
}

// rowBatch collects rows and writes them to a Parquet file in batches.
type rowBatch struct {
	output *parquet.GenericWriter[Row]
	rows   []Row
}

func newRowBatch(output io.Writer) *rowBatch {
	return &rowBatch{output: parquet.NewGenericWriter[Row](output, parquet.Compression(&parquet.Zstd))}
}

// add adds a row, and writes the batch if it is full.
func (b *rowBatch) add(row Row) error {
	b.rows = append(b.rows, row)
	if len(b.rows) < rowBatchSize {
		return nil
	}
	return b.write()
}

func (b *rowBatch) write() error {
	if _, err := b.output.Write(b.rows); err != nil {
		return fmt.Errorf("write rows of the Parquet file: %w", err)
	}
	b.rows = b.rows[:0]
	return nil
}

// close writes the remaining rows and the footer of the file.
func (b *rowBatch) close() error {
	if err := b.write(); err != nil {
		return err
	}
	if err := b.output.Close(); err != nil {
		return fmt.Errorf("finish the Parquet file: %w", err)
	}
	return nil
}

// exporter builds the rows of decisions. It stores the last row of each workload from its request to its final step.
type exporter struct {
	lastRows map[workloadKey]*Row   // last row of each workload without a final step
	groups   map[SourceKey][]string // group names of each source, indexed by number
}

// row returns the row of a record, false if the record is not a decision.
func (e *exporter) row(file *Reader, record *Record) (row Row, decided bool) {
	source := KeyOf(file.source(record))
	at := file.UnixMillis(record)
	var last *Row
	switch body := record.Body.(type) {
	case *tracepb.Record_Start:
		e.groups[source] = body.Start.Groups
		return Row{}, false
	case *tracepb.Record_RequestReceived:
		received := e.workload(source, body.RequestReceived.Workload)
		received.Client = body.RequestReceived.Client
		received.Key = body.RequestReceived.Key
		return Row{}, false
	case *tracepb.Record_Schedule:
		last = e.request(source, body.Schedule.GetWorkload(), "place", at)
	case *tracepb.Record_Adopt:
		last = e.request(source, body.Adopt.GetWorkload(), "adopt", at)
	case *tracepb.Record_StepResult:
		last = e.workload(source, body.StepResult.Workload)
		last.Call = ResultName(body.StepResult.Kind, unknownKind)
		last.Reason = body.StepResult.Reason
		last.SinceRequestMs += at - last.AtUnixMs
		last.AtUnixMs = at
	default:
		return Row{}, false
	}
	last.Revision = record.Revision
	last.Step = StepName(record.Step.GetKind(), unknownKind)
	last.Node = record.Step.GetNode()
	last.TimeoutMs = record.Step.GetTimeout()
	if record.Step.GetKind() >= stepRejected {
		delete(e.lastRows, workloadKey{source, last.Workload})
	}
	return *last, true
}

// workload returns the last row of a workload, or adds a new one if there is none.
func (e *exporter) workload(source SourceKey, id uint32) *Row {
	key := workloadKey{source, id}
	if e.lastRows[key] == nil {
		e.lastRows[key] = &Row{
			Allocator:   source.Allocator,
			Incarnation: source.Incarnation,
			Workload:    id,
		}
	}
	return e.lastRows[key]
}

// request returns the row of a workload that was requested or adopted at a Unix time in milliseconds.
func (e *exporter) request(source SourceKey, workload *tracepb.Workload, call string, at float64) *Row {
	row := e.workload(source, workload.GetId())
	row.Service = workload.GetService()
	row.Cores = workload.GetCores()
	row.Memory = workload.GetMemory()
	row.Retried = workload.GetRetried()
	row.Group = nameOr(e.groups[source], workload.GetGroup(), unknownKind)
	row.Call = call
	row.SinceRequestMs = 0
	row.AtUnixMs = at
	return row
}
