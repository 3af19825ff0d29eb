package trace

import (
	"io"

	"github.com/parquet-go/parquet-go"

	"grebeglade/trace/tracepb"
)

// Row is one decision as Parquet holds it: a step that the module returned, and the call that it came of.
type Row struct {
	AtUnixMs    float64 `parquet:"at_unix_ms"`
	Allocator   string  `parquet:"allocator,dict"`
	Incarnation uint64  `parquet:"incarnation"`
	Revision    uint64  `parquet:"revision"`
	Call        string  `parquet:"call,dict"` // place, adopt, or the result's kind
	Reason      uint32  `parquet:"reason"`
	Workload    uint32  `parquet:"workload"`
	Owner       string  `parquet:"owner,dict"`
	Key         uint64  `parquet:"key"`
	Service     uint64  `parquet:"service"`
	Group       string  `parquet:"group,dict"`
	Cores       float64 `parquet:"cores"`
	Memory      float64 `parquet:"memory"`
	Again       bool    `parquet:"again"`
	Step        string  `parquet:"step,dict"`
	Node        uint32  `parquet:"node"`
	TimeoutMs   float64 `parquet:"timeout_ms"`
	SinceAskMs  float64 `parquet:"since_ask_ms"`
}

const rowBatch = 1024

var (
	stepNames   = []string{"bind", "wait", "resident", "rejected", "unschedulable", "done"}
	resultNames = []string{
		"confirmed", "declined", "unreachable", "not sent", "unclear", "timed out", "ended", "withdrawn", "due",
	}
)

func named(names []string, i uint32) string {
	if int(i) < len(names) {
		return names[i]
	}
	return "other"
}

// Export writes one row a decision.
func Export(files []*Reader, w io.Writer) (rows int, err error) {
	out := parquet.NewGenericWriter[Row](w, parquet.Compression(&parquet.Zstd))
	var batch []Row
	open, groups := map[workloadOf]*Row{}, map[life][]string{}
	for _, f := range files {
		for r, err := range f.Records(Span{}) {
			if err != nil {
				return rows, err
			}
			row := rowOf(f, r, open, groups)
			if row == nil {
				continue
			}
			rows++
			if batch = append(batch, *row); len(batch) == rowBatch {
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

// rowOf follows a workload and returns a row for each step of it.
func rowOf(f *Reader, r *Record, open map[workloadOf]*Row, groups map[life][]string) *Row {
	src := &tracepb.Source{}
	if int(r.Source) < len(f.Header.Sources) {
		src = f.Header.Sources[r.Source]
	}
	l := life{src.Allocator, src.Incarnation}
	row := func(id uint32) *Row {
		k := workloadOf{l.allocator, l.incarnation, id}
		if open[k] == nil {
			open[k] = &Row{Allocator: l.allocator, Incarnation: l.incarnation, Workload: id}
		}
		return open[k]
	}
	ask := func(w *tracepb.Workload, call string) *Row {
		o := row(w.GetId())
		o.Service, o.Cores, o.Memory, o.Again = w.GetService(), w.GetCores(), w.GetMemory(), w.GetAgain()
		o.Group, o.Call, o.SinceAskMs = named(groups[l], w.GetGroup()), call, 0
		o.AtUnixMs = f.UnixMillis(r)
		return o
	}
	var o *Row
	switch b := r.Body.(type) {
	case *tracepb.Record_Start:
		groups[l] = b.Start.Groups
		return nil
	case *tracepb.Record_Asked:
		o := row(b.Asked.Workload)
		o.Owner, o.Key = b.Asked.Owner, b.Asked.Key
		return nil
	case *tracepb.Record_Place:
		o = ask(b.Place.GetWorkload(), "place")
	case *tracepb.Record_Adopt:
		o = ask(b.Adopt.GetWorkload(), "adopt")
	case *tracepb.Record_Next:
		o = row(b.Next.Workload)
		o.Call, o.Reason = named(resultNames, b.Next.Kind), b.Next.Reason
		o.SinceAskMs += f.UnixMillis(r) - o.AtUnixMs
		o.AtUnixMs = f.UnixMillis(r)
	default:
		return nil
	}
	o.Revision = r.Revision
	o.Step, o.Node, o.TimeoutMs = named(stepNames, r.Step.GetKind()), r.Step.GetNode(), r.Step.GetTimeout()
	done := *o
	if r.Step.GetKind() >= 3 {
		delete(open, workloadOf{l.allocator, l.incarnation, o.Workload})
	}
	return &done
}
