package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the list of what was sent, answered and run. Times are in seconds since the start of the play.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

// newRecord creates the file, and replaces an older one.
func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("create the record: %w", err)
	}
	return &record{file: file, started: time.Now()}, nil
}

// add writes one line with the present time.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// close closes the file.
func (r *record) close() error { return r.file.Close() }
