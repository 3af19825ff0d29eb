package simulation

import (
	"path/filepath"
	"slices"
	"sync"

	"grebeglade/internal/frontend/native"
	"grebeglade/trace"
	"grebeglade/trace/tracepb"
)

// traces are the open traces of a run. They are started on the allocators' goroutines.
type traces struct {
	mu        sync.Mutex // guards the fields below
	recorders []*trace.Recorder
	err       error // the last one met when a trace was started
}

// flushTrace writes out the trace of an allocator's last incarnation.
func (r *Run) flushTrace(allocator int) {
	if incarnations := r.frontends[allocator]; len(incarnations) > 0 {
		incarnations[len(incarnations)-1].FlushTrace()
	}
}

// startTrace begins the trace of an allocator's incarnation, after it has closed that of the one before. It returns nil
// if that fails; closeTraces then returns the error.
func (r *Run) startTrace(before *trace.Recorder, config native.Config) *trace.Recorder {
	r.traces.mu.Lock()
	defer r.traces.mu.Unlock()
	if before != nil {
		before.Close()
		isBefore := func(recorder *trace.Recorder) bool { return recorder == before }
		r.traces.recorders = slices.DeleteFunc(r.traces.recorders, isBefore)
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

// closeTraces writes out and closes all traces. No handler may run any more.
func (r *Run) closeTraces() error {
	for i := range r.frontends {
		r.flushTrace(i)
	}
	for _, recorder := range r.traces.recorders {
		recorder.Close()
	}
	return r.traces.err
}
