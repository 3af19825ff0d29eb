package native

import (
	"grebeglade/internal/transport"
	"grebeglade/placement"
)

// unansweredCheckInterval, in ms, is the time between two checks whether a client whose input has ended has its
// answers.
const unansweredCheckInterval = placement.Millis(20)

var _ transport.InputHandler = (*Frontend)(nil)

// InputEnded implements transport.InputHandler: it handles the end of what is received on a connection, since a frame
// did not keep arriving. The connection of a client is closed once its requests are answered, others at once.
func (f *Frontend) InputEnded(now placement.Millis, conn transport.ConnID, reason error) {
	f.host.Handle(now, func() { f.closeOnceAnswered(conn, reason) })
}

// closeOnceAnswered closes a connection whose input has ended, and that of a client after its last answer.
func (f *Frontend) closeOnceAnswered(conn transport.ConnID, reason error) {
	peer, open := f.connections.get(conn)
	if open && peer.client != nil && f.requests.hasUnanswered(peer.client.name) {
		f.host.Schedule(f.host.Now()+unansweredCheckInterval, func(placement.Millis) {
			f.closeOnceAnswered(conn, reason)
		})
		return
	}
	if open || f.discovery.owns(conn) {
		f.connections.disconnect(conn, reason)
	}
}
