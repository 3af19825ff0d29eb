// Subscription decides when to subscribe to changes of the node list, if the discovery service sends them only to
// subscribers.
//
// Inputs: the time of the last event, and the number of consecutive failed polls. A subscription may end without a
// notice, and a failed poll does not show whether it is still active. It is therefore renewed after a time without
// events; every event restarts that time.
//
// Cost of an error: if it is renewed too late, decisions use nodes that have gone, which violates the rule that nothing
// is offered to a draining node; if it is renewed too often, or by many allocators simultaneously, the discovery
// service is overloaded, and immediate retries keep it overloaded. The first polls are therefore spaced by ordinal,
// later ones have jitter, and failed ones are retried with exponential backoff.

package placement

// subscription is the state of this allocator's subscription to the node list.
type subscription struct {
	settings *Settings
	random   *random
	// renewAfter is the mean time without events after which the subscription is renewed.
	renewAfter Millis
	// nextPoll is the time of the next poll, which renews the subscription.
	nextPoll Millis
	// failures is the number of consecutive failed polls.
	failures int
}

func newSubscription(settings *Settings, rng *random) *subscription {
	return &subscription{
		settings:   settings,
		random:     rng,
		renewAfter: min(resubscribeAfter, settings.PollInterval/renewalsPerPollInterval),
	}
}

// start schedules the first poll. The first polls of all allocators are evenly spaced within one renewal period.
func (s *subscription) start(now Millis) {
	ordinal := float64(s.settings.Ordinal)
	allocators := float64(s.settings.Allocators)
	spaced := firstPollSpacing * Millis(ordinal)
	partOfRenewal := s.renewAfter * Millis(ordinal/allocators)
	s.nextPoll = now + min(spaced, partOfRenewal)
}

// due reports whether the scheduler must subscribe now. If so, it schedules the next renewal. It is always false
// without Settings.PolledDiscovery.
func (s *subscription) due(now Millis) bool {
	if !s.settings.PolledDiscovery || now < s.nextPoll {
		return false
	}
	s.nextPoll = now + s.random.jitter(s.renewAfter)
	return true
}

// recordEvent records an event of the node list, which shows that the subscription is active.
func (s *subscription) recordEvent(now Millis) {
	s.nextPoll = now + s.random.jitter(s.renewAfter)
	s.failures = 0
}

// recordFailure records a failed poll and schedules the next one after a backoff that is twice as long with each
// consecutive failure, at most maxPollDoublings times.
func (s *subscription) recordFailure(now Millis) {
	doublings := min(s.failures, maxPollDoublings)
	s.nextPoll = now + s.random.jitter(pollBackoff*Millis(int(1)<<doublings))
	s.failures++
}
