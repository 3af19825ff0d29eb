package transport

import "grebeglade/placement"

// schedule holds what a worker has to do later: the calls that are not due yet, and the handler's only wake-up.
type schedule struct {
	calls     Timers
	wakeAt    placement.Millis
	wakeAtSet bool // whether there is a wake-up
}

// setWakeUp replaces the wake-up.
func (s *schedule) setWakeUp(at placement.Millis) {
	s.wakeAt = at
	s.wakeAtSet = true
}

// takeWakeUp reports whether the wake-up is due, and removes it if it is.
func (s *schedule) takeWakeUp(now placement.Millis) bool {
	if !s.wakeAtSet || s.wakeAt > now {
		return false
	}
	s.wakeAtSet = false
	return true
}

// next returns when the first call or the wake-up is due, and false if there is neither.
func (s *schedule) next() (at placement.Millis, ok bool) {
	at, ok = s.calls.Next()
	if s.wakeAtSet && (!ok || s.wakeAt < at) {
		return s.wakeAt, true
	}
	return at, ok
}
