package transport

import "sync/atomic"

// Stats holds counters of socket events of a Loop.
type Stats struct {
	Writes              atomic.Uint64 // writes passed to an event loop; each may contain several messages
	MalformedMessages   atomic.Uint64 // connections closed because a message could not be decoded
	SlowPeers           atomic.Uint64 // connections closed because their peers did not read
	PeakWriteBacklog    atomic.Int64  // largest number of bytes that waited for the peers of one event loop
	RejectedConnections atomic.Uint64 // connections rejected because MaxConnections was reached
}

// recordWriteBacklog updates PeakWriteBacklog.
func (s *Stats) recordWriteBacklog(bytes int) {
	for {
		peak := s.PeakWriteBacklog.Load()
		if int64(bytes) <= peak || s.PeakWriteBacklog.CompareAndSwap(peak, int64(bytes)) {
			return
		}
	}
}
