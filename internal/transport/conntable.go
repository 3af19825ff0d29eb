package transport

import (
	"context"
	"time"
)

// drainPoll is the time between two checks of what an event loop has yet to write.
const drainPoll = 2 * time.Millisecond

// connTable holds the connections of a worker by ID: those that are open and those that are being dialled.
type connTable struct {
	byID      map[ConnID]*connection
	lastID    ConnID
	unflushed []*connection // connections with encoded messages
}

func newConnTable() connTable { return connTable{byID: map[ConnID]*connection{}} }

// add adds a connection, and gives it an ID if it has none. A dialled connection is added again, under its ID, when it
// opens.
func (t *connTable) add(c *connection) {
	if c.id == 0 {
		t.lastID++
		c.id = t.lastID
	}
	t.byID[c.id] = c
}

// find returns the connection with an ID, or nil if it was removed.
func (t *connTable) find(id ConnID) *connection { return t.byID[id] }

// remove removes the connection with an ID, if there is one.
func (t *connTable) remove(id ConnID) { delete(t.byID, id) }

// markUnflushed notes that a connection has got its first message since the last flush.
func (t *connTable) markUnflushed(c *connection) { t.unflushed = append(t.unflushed, c) }

// flush passes the messages of all connections to the event loops.
func (t *connTable) flush() {
	for _, c := range t.unflushed {
		c.flush()
	}
	t.unflushed = t.unflushed[:0]
}

// drain waits until everything flushed is written to the sockets, or ctx has ended. The worker must have stopped.
func (t *connTable) drain(ctx context.Context) {
	for _, c := range t.byID {
		for c.state == stateOpen && c.buffered(ctx) > 0 {
			time.Sleep(drainPoll)
		}
	}
}
