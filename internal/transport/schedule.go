package transport

import "grebeglade/placement"

// schedule holds the pending calls of a worker and the handler's wake-up time.
type schedule struct {
	calls     Timers
	wakeAt    placement.Millis
	wakeAtSet bool // whether wakeAt is valid
}

// setWakeUp sets or replaces the wake-up time.
func (s *schedule) setWakeUp(at placement.Millis) {
	s.wakeAt = at
	s.wakeAtSet = true
}

// takeWakeUp reports whether the wake-up is due, and clears it in that case.
func (s *schedule) takeWakeUp(now placement.Millis) bool {
	if !s.wakeAtSet || s.wakeAt > now {
		return false
	}
	s.wakeAtSet = false
	return true
}

// next returns the due time of the earliest call or of the wake-up, and false if there is neither.
func (s *schedule) next() (at placement.Millis, ok bool) {
	at, ok = s.calls.Next()
	if s.wakeAtSet && (!ok || s.wakeAt < at) {
		return s.wakeAt, true
	}
	return at, ok
}
