package transport

import (
	"context"
	"maps"
	"slices"
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

// drain closes the open connections, each once all bytes that were flushed are written to its socket, until ctx ends.
// A peer that does not read does not hold the others up: what they send would get no answer. The worker must have
// stopped.
func (t *connTable) drain(ctx context.Context) {
	open := slices.DeleteFunc(slices.Collect(maps.Values(t.byID)), func(c *connection) bool {
		return c.state != stateOpen
	})
	for ctx.Err() == nil {
		open = slices.DeleteFunc(open, func(c *connection) bool {
			written := c.buffered(ctx) == 0
			if written {
				c.closeSocket()
			}
			return written
		})
		if len(open) == 0 {
			return
		}
		time.Sleep(drainPollInterval)
	}
}
