package loadgen

import (
	"sync"
	"time"
)

const progressInterval = time.Second

// Progress is how far a load has come.
type Progress struct {
	At       time.Duration // since the start of the load
	Sent     int           // requests
	Answered int           // requests
	Placed   int           // requests
}

// reportProgress calls Options.OnProgress once a second until the returned function is called.
func (r *runner) reportProgress() (stop func()) {
	if r.options.OnProgress == nil {
		return func() {}
	}
	done := make(chan struct{})
	var reporter sync.WaitGroup
	reporter.Go(func() {
		ticker := time.NewTicker(progressInterval)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case <-ticker.C:
				r.options.OnProgress(r.tally.progress(time.Since(r.start)))
			}
		}
	})
	return func() {
		close(done)
		reporter.Wait()
	}
}
