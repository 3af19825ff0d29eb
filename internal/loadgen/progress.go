package loadgen

import (
	"sync"
	"time"
)

const progressInterval = time.Second

// Progress is the state of a load that is being sent. The counts are since its start.
type Progress struct {
	At       time.Duration // time since the start of the load
	Sent     int           // requests sent
	Answered int           // requests answered, or lost with their connection
	Placed   int           // requests answered with a placement
}

// reportProgress calls Options.OnProgress every progressInterval until the returned function is called.
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
