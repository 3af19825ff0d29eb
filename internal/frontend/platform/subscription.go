package platform

import (
	"errors"

	"grebeglade/internal/frontend"
	"grebeglade/internal/frontend/platform/codec"
	"grebeglade/internal/transport"
	"grebeglade/placement"
)

const (
	// silenceTimeout is how long, in ms, a connection may be silent. The discovery service sends a comment each second.
	silenceTimeout = placement.Millis(2500)
	// discoveryConnectTimeout is how long, in ms, dialing the discovery service may take.
	discoveryConnectTimeout = placement.Millis(500)
	// readyDelay is how long, in ms, the missed events take to arrive after the discovery service's first message.
	readyDelay = placement.Millis(50)
	// maxMalformed is how often an event that cannot be decoded is requested before it is skipped.
	maxMalformed = 3
)

// Reasons why the connection to the discovery service is replaced.
var (
	errSilent         = errors.New("no message within the timeout")
	errDiscoveryMoved = errors.New("the service's address has changed")
	errMalformedEvent = errors.New("an event cannot be decoded")
)

// subscribeBackoff ends at 0.5 s, since the platform counts events as delivered 2 s after a break.
var subscribeBackoff = frontend.Backoff{Initial: 50, Max: 500}

// subscriptionState is the state of the connection to the discovery service.
type subscriptionState uint8

const (
	subscriptionDown subscriptionState = iota // a timer connects again
	subscriptionConnecting
	subscriptionOpen
)

// eventHandler applies the events of the discovery service.
type eventHandler interface {
	// apply applies one event. An error means that it cannot be decoded.
	apply(now placement.Millis, event []byte) error
}

// subscription receives the discovery service's events. After a break it continues behind the last event applied.
type subscription struct {
	*environment
	events       eventHandler
	lifecycle    *lifecycle
	addr         string
	state        subscriptionState
	conn         transport.ConnID // unless the subscription is down
	revision     uint64           // of the last event that was applied or skipped
	lastReceived placement.Millis
	failures     int // in a row
	malformed    int // how often the next event could not be decoded
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

// owns reports whether the connection is the one to the discovery service.
func (s *subscription) owns(id transport.ConnID) bool {
	return s.state != subscriptionDown && s.conn == id
}

// connect dials the discovery service, unless it is connected or being dialed.
func (s *subscription) connect(now placement.Millis) {
	if s.state != subscriptionDown {
		return
	}
	s.conn = s.net.DialCodec(s.addr, &codec.DiscoveryCodec{}, discoveryConnectTimeout)
	s.state = subscriptionConnecting
	s.lastReceived = now
}

// opened subscribes on the connection, which is open now.
func (s *subscription) opened(now placement.Millis) {
	s.state = subscriptionOpen
	s.lastReceived = now
	s.net.Send(s.conn, codec.Subscribe{Host: s.addr, After: s.revision})
	s.watchSilence(s.conn)
}

// watchSilence reconnects once nothing was received on the connection for silenceTimeout.
func (s *subscription) watchSilence(conn transport.ConnID) {
	s.host.Schedule(s.lastReceived+silenceTimeout, func(now placement.Millis) {
		switch {
		case !s.owns(conn):
		case now-s.lastReceived < silenceTimeout:
			s.watchSilence(conn)
		default:
			s.reconnect(now, errSilent)
		}
	})
}

// reconnect closes the connection, if there is one, and dials again.
func (s *subscription) reconnect(now placement.Millis, reason error) {
	s.log.Info("reconnecting to the discovery service", "address", s.addr, "reason", reason)
	if s.state != subscriptionDown {
		s.net.Close(s.conn)
		s.state = subscriptionDown
	}
	s.connect(now)
}

// move continues the subscription at another address.
func (s *subscription) move(now placement.Millis, addr string) {
	s.addr = addr
	s.failures = 0
	s.reconnect(now, errDiscoveryMoved)
}

// closed connects again, after a backoff.
func (s *subscription) closed(now placement.Millis, reason error) {
	s.state = subscriptionDown
	delay := s.host.RetryDelay(subscribeBackoff, s.failures)
	s.failures++
	s.log.Info("discovery service disconnected", "address", s.addr, "reason", reason)
	s.host.Schedule(now+delay, s.connect)
}

// received applies events. An empty batch shows that the service responds: the missed events follow at once.
func (s *subscription) received(now placement.Millis, batch *codec.EventBatch) {
	s.lastReceived = now
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

// applyEvent applies an event, unless its revision was applied before. One that cannot be decoded is skipped after
// maxMalformed attempts; before that, applyEvent returns false, and the event is to be requested again.
func (s *subscription) applyEvent(now placement.Millis, event codec.Event) bool {
	if event.Revision <= s.revision {
		return true
	}
	if err := s.events.apply(now, event.Data); err != nil {
		s.log.Warn("event of the discovery service not applied", "revision", event.Revision, "error", err)
		s.malformed++
		if s.malformed < maxMalformed {
			return false
		}
	}
	s.revision = event.Revision
	s.malformed = 0
	s.failures = 0
	return true
}
