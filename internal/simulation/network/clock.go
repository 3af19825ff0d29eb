package network

import (
	"math"

	"grebeglade/placement"
)

// clock is a process's own clock, which runs at a rate of its own and may have been stepped forward. The zero value is
// the host's clock.
type clock struct {
	rate float64 // of this clock's time to the host's; 0 for the host's clock
	// One moment, by both clocks.
	host placement.Millis
	own  placement.Millis
}

// toLocal converts a time of the host to this clock.
func (k *clock) toLocal(t placement.Millis) placement.Millis {
	if k.rate == 0 {
		return t
	}
	return k.own + (t-k.host)*placement.Millis(k.rate)
}

// toHost returns the first time of the host at which this clock shows t. If it were rounded down, a process would be
// woken too early, and would ask to be woken at the same time again, forever.
func (k *clock) toHost(t placement.Millis) placement.Millis {
	if k.rate == 0 {
		return t
	}
	at := k.host + (t-k.own)/placement.Millis(k.rate)
	for k.toLocal(at) < t && !math.IsInf(float64(at), 0) {
		at = placement.Millis(math.Nextafter(float64(at), math.Inf(1)))
	}
	return at
}

// SetClock sets the rate of the process's clock from now on, and steps it forward. It never steps back, as the daemon
// reads a monotonic clock.
func (i *Interceptor) SetClock(now placement.Millis, rate float64, ahead placement.Millis) {
	i.clock = clock{
		rate: rate,
		host: now,
		own:  i.clock.toLocal(now) + max(0, ahead),
	}
	i.Wake(now) // the process handles what is due by the new clock, and sets its next wake-up
}

// HostNow returns the time by the host's clock.
func (i *Interceptor) HostNow() placement.Millis { return i.net.Now() }

// LocalTime converts a time of the host's clock to the process's own clock.
func (i *Interceptor) LocalTime(t placement.Millis) placement.Millis { return i.clock.toLocal(t) }

// Now implements transport.FrameNetwork. It returns the time by the process's own clock.
func (i *Interceptor) Now() placement.Millis { return i.clock.toLocal(i.net.Now()) }

// WakeAt implements transport.FrameNetwork for the process.
func (i *Interceptor) WakeAt(t placement.Millis) { i.net.WakeAt(i.clock.toHost(t)) }
