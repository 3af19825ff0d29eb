package simulation

import (
	"path/filepath"
	"slices"
	"sync"

	"grebeglade/internal/frontend/native"
	"grebeglade/trace"
	"grebeglade/trace/tracepb"
)

// traces holds the open traces of a run. They are started on the goroutines of the allocators.
type traces struct {
	mu        sync.Mutex // guards the fields below
	recorders []*trace.Recorder
	err       error // last error of startTrace
}

// flushTrace flushes the trace of an allocator's latest incarnation.
func (r *Run) flushTrace(allocator int) {
	if incarnations := r.frontends[allocator]; len(incarnations) > 0 {
		incarnations[len(incarnations)-1].FlushTrace()
	}
}

// startTrace closes the trace of an allocator's previous incarnation, if any, and starts that of a new one. It returns
// nil on an error, which closeTraces then returns.
func (r *Run) startTrace(previous *trace.Recorder, config native.Config) *trace.Recorder {
	r.traces.mu.Lock()
	defer r.traces.mu.Unlock()
	if previous != nil {
		previous.Close()
		isPrevious := func(recorder *trace.Recorder) bool { return recorder == previous }
		r.traces.recorders = slices.DeleteFunc(r.traces.recorders, isPrevious)
	}
	source := &tracepb.Source{
		Allocator:   config.Name,
		Incarnation: config.Incarnation,
		WallMs:      config.WallClockOffset,
	}
	directory := filepath.Join(r.opts.TraceDirectory, config.Name)
	recorder, err := trace.NewRecorder(directory, source, trace.DefaultLimits, config.Log)
	if err != nil {
		r.traces.err = err
		return nil
	}
	recorder.BlockWhenFull = r.virtual()
	r.traces.recorders = append(r.traces.recorders, recorder)
	return recorder
}

// closeTraces flushes and closes all traces. It must be called after all handlers have stopped.
func (r *Run) closeTraces() error {
	for i := range r.frontends {
		r.flushTrace(i)
	}
	for _, recorder := range r.traces.recorders {
		recorder.Close()
	}
	return r.traces.err
}
