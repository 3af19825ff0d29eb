// Subscription decides when to subscribe to the changes of the node list, where the list sends them only to
// subscribers.
//
// Observed: when the last event came, and how many polls in a row failed. A subscription may break unnoticed, and
// a failed poll does not tell whether it still holds: it is renewed after a quiet time, which every event extends.
//
// Cost of an error: renewed too late, decisions are made on nodes that have gone, which breaks the rule that
// nothing is offered to a draining node; renewed too often, or by many allocators in step, the list is overloaded
// and immediate retries keep it so. First polls are spaced by ordinal, later ones have jitter, and failures make
// them back off.

package placement

// subscription is the state of this allocator's subscription to the node list.
type subscription struct {
	settings *Settings
	random   *random
	// renewAfter is the quiet time after which the subscription is renewed, on average.
	renewAfter Millis
	// nextPoll is when to subscribe next.
	nextPoll Millis
	// failures counts the polls that failed in a row.
	failures int
}

func newSubscription(settings *Settings, rng *random) *subscription {
	return &subscription{
		settings:   settings,
		random:     rng,
		renewAfter: min(resubscribeAfter, settings.PollInterval/renewalsPerPollInterval),
	}
}

// start schedules the first poll. Polls of all allocators are spaced evenly, within the time of one renewal.
func (s *subscription) start(now Millis) {
	ordinal := float64(s.settings.Ordinal)
	allocators := float64(s.settings.Allocators)
	spaced := firstPollSpacing * Millis(ordinal)
	partOfRenewal := s.renewAfter * Millis(ordinal/allocators)
	s.nextPoll = now + min(spaced, partOfRenewal)
}

// due reports whether to subscribe now, and then schedules the renewal.
func (s *subscription) due(now Millis) bool {
	if !s.settings.PolledDiscovery || now < s.nextPoll {
		return false
	}
	s.nextPoll = now + s.random.jitter(s.renewAfter)
	return true
}

// received takes an event, which shows that the subscription holds.
func (s *subscription) received(now Millis) {
	s.nextPoll = now + s.random.jitter(s.renewAfter)
	s.failures = 0
}

// failed takes a failed poll. The next one waits twice as long after each failure, up to a limit.
func (s *subscription) failed(now Millis) {
	doublings := min(s.failures, maxPollDoublings)
	s.nextPoll = now + s.random.jitter(pollBackoff*Millis(int(1)<<doublings))
	s.failures++
}
