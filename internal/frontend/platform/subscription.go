package platform

import (
	"errors"
	"fmt"
	"slices"

	"grebeglade/internal/frontend"
	"grebeglade/internal/frontend/platform/codec"
	"grebeglade/internal/transport"
	"grebeglade/placement"
)

const (
	// silenceTimeout, in ms, is how long nothing may be received before the connection is replaced or, if its response
	// has not begun, another one is opened beside it. The discovery service sends a keep-alive comment each second.
	silenceTimeout = placement.Millis(2500)
	// keepAliveInterval, in ms, is the time between two comments of the discovery service.
	keepAliveInterval = placement.Millis(1000)
	// keepAliveMargin, in ms, is how much later a comment may arrive.
	keepAliveMargin = placement.Millis(100)
	// discoveryConnectTimeout, in ms, is the timeout for dialing the discovery service.
	discoveryConnectTimeout = placement.Millis(500)
	// readyDelay, in ms, is the time allowed for missed events to arrive after the discovery service's first message.
	readyDelay = placement.Millis(50)
	// maxMalformed is the number of attempts to decode an event before it is skipped.
	maxMalformed = 3
)

// Reasons for which the connection to the discovery service is replaced. They are only logged.
var (
	errSilent         = errors.New("nothing received within the silence timeout")
	errUnanswered     = errors.New("no response within the silence timeout")
	errDiscoveryMoved = errors.New("address of the discovery service changed")
	errMalformedEvent = errors.New("event cannot be decoded")
)

// errEventTooLarge is logged for an event that was skipped.
var errEventTooLarge = fmt.Errorf("%w: event exceeds %d bytes", codec.ErrTooLong, codec.MaxEventSize)

// subscribeBackoff is the backoff of connections to the discovery service, in ms. Its maximum is 0.5 s, since the
// platform expects events to be delivered within 2 s after a connection is lost.
var subscribeBackoff = frontend.Backoff{Initial: 50, Max: 500}

// subscriptionState is the state of the connection to the discovery service.
type subscriptionState uint8

const (
	subscriptionDown subscriptionState = iota // not connected; a timer dials again
	subscriptionConnecting
	subscriptionRequested // the request was sent, and the response has not begun
	subscriptionOpen      // the response has begun
)

// eventHandler applies the events of the discovery service.
type eventHandler interface {
	// apply applies one event, given as Event.Data. It returns an error if the event cannot be decoded.
	apply(now placement.Millis, event []byte) error
}

// subscription receives the discovery service's events. After a reconnection it requests the events after the last one
// that was applied or skipped.
type subscription struct {
	*environment
	events       eventHandler
	lifecycle    *lifecycle
	addr         string
	state        subscriptionState
	conn         transport.ConnID // invalid in subscriptionDown
	revision     uint64           // revision of the last event that was applied or skipped
	dialedAt     placement.Millis // time of the last dial
	respondedAt  placement.Millis // time when the response on conn began; valid in subscriptionOpen
	earlierTime  placement.Millis // connectedTime of earlier connections
	lastReceived placement.Millis // time of the last message or part of one, or of dialing or opening
	failures     int              // lost connections and failed dials since the last new event or change of address
	malformed    int              // failed attempts to decode the next event
	// unanswered lists earlier connections whose response has not begun, the oldest first.
	unanswered []transport.ConnID
}

func newSubscription(env *environment, events eventHandler, lifecycle *lifecycle) *subscription {
	return &subscription{
		environment: env,
		events:      events,
		lifecycle:   lifecycle,
		addr:        env.config.DiscoveryAddress,
		revision:    env.config.Revision,
	}
}

// owns reports whether the connection is one to the discovery service: the current one, or an earlier one whose
// response is awaited.
func (s *subscription) owns(id transport.ConnID) bool {
	return s.isCurrent(id) || slices.Contains(s.unanswered, id)
}

// isCurrent reports whether the connection is the current one to the discovery service.
func (s *subscription) isCurrent(id transport.ConnID) bool {
	return s.state != subscriptionDown && s.conn == id
}

// connect dials the discovery service, unless a connection is open or being dialed.
func (s *subscription) connect(now placement.Millis) {
	if s.state != subscriptionDown {
		return
	}
	s.conn = s.net.DialCodec(s.addr, &codec.DiscoveryCodec{}, discoveryConnectTimeout)
	s.state = subscriptionConnecting
	s.dialedAt = now
	s.lastReceived = now
}

// opened handles a successful dial: it sends the subscription request and starts the silence timeout.
func (s *subscription) opened(now placement.Millis) {
	s.state = subscriptionRequested
	s.lastReceived = now
	s.net.Send(s.conn, codec.Subscribe{Host: s.addr, After: s.revision})
	s.watchSilence(s.conn)
}

// connectedTime returns how long the discovery service has been connected in all, over all connections, in ms: since
// each response began. Time in which it should have sent a keep-alive comment and did not is not included.
func (s *subscription) connectedTime(now placement.Millis) placement.Millis {
	if s.state != subscriptionOpen {
		return s.earlierTime
	}
	return s.earlierTime + min(now, s.lastReceived+keepAliveInterval+keepAliveMargin) - s.respondedAt
}

// watchSilence reconnects when nothing was received on the connection for silenceTimeout. A part of an event counts:
// the rest may take longer, and the transport ends the connection if it stops arriving. Before the response begins, the
// service may only be slow: the connection is kept, and the request repeated on another one.
func (s *subscription) watchSilence(conn transport.ConnID) {
	s.host.ScheduleDeadline(s.lastReceived+silenceTimeout, func(now placement.Millis) {
		if !s.isCurrent(conn) {
			return
		}
		if s.arriving(conn) {
			s.responding(now)
		}
		switch {
		case now-s.lastReceived < silenceTimeout:
			s.watchSilence(conn)
		case s.state == subscriptionRequested:
			s.requestAgain(now)
		default:
			s.reconnect(now, errSilent)
		}
	})
}

// logEnd logs why a connection has ended, and what was received on it.
func (s *subscription) logEnd(now placement.Millis, message string, reason error) {
	s.log.Info(message, "address", s.addr, "reason", reason, "revision", s.revision, "failures", s.failures,
		"dialed_ms_ago", int(now-s.dialedAt), "heard_ms_ago", int(now-s.lastReceived))
}

// reconnect closes the current connection, if there is one, and dials without a delay.
func (s *subscription) reconnect(now placement.Millis, reason error) {
	s.logEnd(now, "reconnecting to the discovery service", reason)
	if s.state != subscriptionDown {
		s.net.Close(s.conn)
		s.down(now)
	}
	s.connect(now)
}

// down records that there is no connection.
func (s *subscription) down(now placement.Millis) {
	s.earlierTime = s.connectedTime(now)
	s.state = subscriptionDown
}

// move continues the subscription at another address.
func (s *subscription) move(now placement.Millis, addr string) {
	s.addr = addr
	s.failures = 0
	s.closeUnanswered()
	s.reconnect(now, errDiscoveryMoved)
}

// closed handles the end of a connection or a failed dial: it dials again after a backoff, unless the connection is an
// earlier one.
func (s *subscription) closed(now placement.Millis, id transport.ConnID, reason error) {
	if !s.isCurrent(id) {
		s.forgetUnanswered(id)
		return
	}
	s.logEnd(now, "discovery service disconnected", reason)
	s.down(now)
	delay := s.host.RetryDelay(subscribeBackoff, s.failures)
	s.failures++
	s.host.Schedule(now+delay, s.connect)
}

// received applies a batch of events and makes the frontend ready. An empty batch means that the service responds and
// that missed events may still follow, so the frontend becomes ready after readyDelay.
func (s *subscription) received(now placement.Millis, id transport.ConnID, batch *codec.EventBatch) {
	if !s.isCurrent(id) {
		s.switchTo(id)
	}
	s.responding(now)
	if len(batch.Events) == 0 {
		s.host.Schedule(now+readyDelay, s.lifecycle.markReady)
		return
	}
	for _, event := range batch.Events {
		if !s.applyEvent(now, event) {
			s.reconnect(now, errMalformedEvent)
			break
		}
	}
	s.lifecycle.markReady(now)
}

// applyEvent applies an event if its revision is above the last one. It returns false if the event cannot be decoded
// and has to be requested again; after maxMalformed attempts the event is skipped. An event that is too large to be
// received is skipped at once, since it would not be smaller the next time.
func (s *subscription) applyEvent(now placement.Millis, event codec.Event) bool {
	if event.Revision <= s.revision {
		return true
	}
	if event.Data == nil {
		s.skip(event.Revision, errEventTooLarge)
		return true
	}
	err := s.events.apply(now, event.Data)
	if err == nil {
		s.advance(event.Revision)
		return true
	}
	s.malformed++
	if s.malformed >= maxMalformed {
		s.skip(event.Revision, err)
		return true
	}
	s.log.Warn("event of the discovery service not applied", "revision", event.Revision, "error", err)
	return false
}

// skip continues after an event that cannot be applied. What it says of the nodes stays unknown until later events.
func (s *subscription) skip(revision uint64, reason error) {
	s.counters.SkippedEvents++
	s.log.Error("event of the discovery service skipped", "revision", revision, "error", reason)
	s.advance(revision)
}

// advance records that the event with the given revision was applied or skipped.
func (s *subscription) advance(revision uint64) {
	s.revision = revision
	s.malformed = 0
	s.failures = 0
}
