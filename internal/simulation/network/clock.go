package network

import (
	"math"

	"grebeglade/placement"
)

// clock is the local clock of a process. Its rate may differ from the host's, and it may have been stepped forward.
// The zero value equals the host's clock.
type clock struct {
	rate float64 // ratio of local time to host time; 0 for the host's clock
	// The same moment in host time and in local time.
	host  placement.Millis
	local placement.Millis
}

// toLocal converts host time to local time.
func (k *clock) toLocal(t placement.Millis) placement.Millis {
	if k.rate == 0 {
		return t
	}
	return k.local + (t-k.host)*placement.Millis(k.rate)
}

// toHost returns the host time at which the local time reaches t, rounded up: a process that is woken before t would
// schedule the same wake-up again, forever.
func (k *clock) toHost(t placement.Millis) placement.Millis {
	if k.rate == 0 {
		return t
	}
	at := k.host + (t-k.local)/placement.Millis(k.rate)
	for k.toLocal(at) < t && !math.IsInf(float64(at), 0) {
		at = placement.Millis(math.Nextafter(float64(at), math.Inf(1)))
	}
	return at
}

// SetClock sets the rate of the process's clock from now on, and steps it forward. A negative step is ignored, as the
// daemon reads a monotonic clock.
func (i *Interceptor) SetClock(now placement.Millis, rate float64, ahead placement.Millis) {
	i.clock = clock{
		rate:  rate,
		host:  now,
		local: i.clock.toLocal(now) + max(0, ahead),
	}
	i.Wake(now) // the process runs timers that are due by the new clock, and sets its next wake-up
}

// HostNow returns the current host time.
func (i *Interceptor) HostNow() placement.Millis { return i.net.Now() }

// LocalTime converts host time to the process's local time.
func (i *Interceptor) LocalTime(t placement.Millis) placement.Millis { return i.clock.toLocal(t) }

// Now implements transport.FrameNetwork. It returns the process's local time.
func (i *Interceptor) Now() placement.Millis { return i.clock.toLocal(i.net.Now()) }

// WakeAt implements transport.FrameNetwork for the process. The time is local.
func (i *Interceptor) WakeAt(t placement.Millis) { i.net.WakeAt(i.clock.toHost(t)) }
