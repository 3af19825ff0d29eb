package transport

import (
	"context"
	"time"
)

// drainPollInterval is the time between two checks of the bytes that an event loop has not yet written.
const drainPollInterval = 2 * time.Millisecond

// connTable holds the open and dialing connections of a worker by ID.
type connTable struct {
	byID      map[ConnID]*connection
	lastID    ConnID
	unflushed []*connection // connections with a non-empty writeBuffer
}

func newConnTable() connTable { return connTable{byID: map[ConnID]*connection{}} }

// add adds a connection and assigns it an ID if it has none. Dialed connections are added twice, with the same ID:
// when dialing starts and when they open.
func (t *connTable) add(c *connection) {
	if c.id == 0 {
		t.lastID++
		c.id = t.lastID
	}
	t.byID[c.id] = c
}

// find returns the connection with an ID, or nil if it was removed.
func (t *connTable) find(id ConnID) *connection { return t.byID[id] }

func (t *connTable) remove(id ConnID) { delete(t.byID, id) }

// markUnflushed adds a connection to those that flush handles. It is called for the first message after a flush.
func (t *connTable) markUnflushed(c *connection) { t.unflushed = append(t.unflushed, c) }

// flush passes the write buffers of all unflushed connections to the event loops.
func (t *connTable) flush() {
	for _, c := range t.unflushed {
		c.flush()
	}
	t.unflushed = t.unflushed[:0]
}

// drain waits until all flushed bytes are written to the sockets, or ctx ends. The worker must have stopped.
func (t *connTable) drain(ctx context.Context) {
	for _, c := range t.byID {
		for c.state == stateOpen && c.buffered(ctx) > 0 {
			time.Sleep(drainPollInterval)
		}
	}
}
