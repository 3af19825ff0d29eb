package trace

import (
	"io"

	"github.com/parquet-go/parquet-go"

	"grebeglade/trace/tracepb"
)

// Row is one decision as Parquet holds it: a step that the module returned, and the call that it came from. It has a
// field for each column.
type Row struct {
	AtUnixMs       float64 `parquet:"at_unix_ms"`
	Allocator      string  `parquet:"allocator,dict"`
	Incarnation    uint64  `parquet:"incarnation"`
	Revision       uint64  `parquet:"revision"`
	Call           string  `parquet:"call,dict"` // place, adopt, or the kind of the result
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
func Export(files []*Reader, w io.Writer) (rows int, err error) {
	out := parquet.NewGenericWriter[Row](w, parquet.Compression(&parquet.Zstd))
	e := exporter{open: map[workloadKey]*Row{}, groups: map[SourceKey][]string{}}
	var batch []Row
	for _, f := range files {
		for r, err := range f.Records(Span{}) {
			if err != nil {
				return rows, err
			}
			row, decided := e.row(f, r)
			if !decided {
				continue
			}
			rows++
			if batch = append(batch, row); len(batch) == rowBatchSize {
				if _, err := out.Write(batch); err != nil {
					return rows, err
				}
				batch = batch[:0]
			}
		}
	}
	if _, err := out.Write(batch); err != nil {
		return rows, err
	}
	return rows, out.Close()
}

// exporter makes the rows of decisions. It follows each workload from its request to its end.
type exporter struct {
	open   map[workloadKey]*Row // the last row of each workload
	groups map[SourceKey][]string
}

// row returns the row of a record, false if the record is no decision.
func (e *exporter) row(f *Reader, r *Record) (row Row, decided bool) {
	source := KeyOf(f.source(r))
	at := f.UnixMillis(r)
	var o *Row
	switch b := r.Body.(type) {
	case *tracepb.Record_Start:
		e.groups[source] = b.Start.Groups
		return Row{}, false
	case *tracepb.Record_RequestReceived:
		requested := e.workload(source, b.RequestReceived.Workload)
		requested.Client, requested.Key = b.RequestReceived.Client, b.RequestReceived.Key
		return Row{}, false
	case *tracepb.Record_Schedule:
		o = e.request(source, b.Schedule.GetWorkload(), "place", at)
	case *tracepb.Record_Adopt:
		o = e.request(source, b.Adopt.GetWorkload(), "adopt", at)
	case *tracepb.Record_StepResult:
		o = e.workload(source, b.StepResult.Workload)
		o.Call, o.Reason = ResultName(b.StepResult.Kind, unknownKind), b.StepResult.Reason
		o.SinceRequestMs += at - o.AtUnixMs
		o.AtUnixMs = at
	default:
		return Row{}, false
	}
	o.Revision = r.Revision
	o.Step, o.Node, o.TimeoutMs = StepName(r.Step.GetKind(), unknownKind), r.Step.GetNode(), r.Step.GetTimeout()
	if r.Step.GetKind() >= stepRejected {
		delete(e.open, workloadKey{source, o.Workload})
	}
	return *o, true
}

func (e *exporter) workload(source SourceKey, id uint32) *Row {
	k := workloadKey{source, id}
	if e.open[k] == nil {
		e.open[k] = &Row{Allocator: source.Allocator, Incarnation: source.Incarnation, Workload: id}
	}
	return e.open[k]
}

func (e *exporter) request(source SourceKey, w *tracepb.Workload, call string, at float64) *Row {
	o := e.workload(source, w.GetId())
	o.Service, o.Cores, o.Memory, o.Retried = w.GetService(), w.GetCores(), w.GetMemory(), w.GetRetried()
	o.Group, o.Call, o.SinceRequestMs = nameOr(e.groups[source], w.GetGroup(), unknownKind), call, 0
	o.AtUnixMs = at
	return o
}
