package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"strconv"
	"sync"
	"time"
)

// line is a message of or to a client.
type line struct {
	Verb string         `json:"verb"`
	Tag  string         `json:"tag"`
	Opts map[string]any `json:"opts"`
	RC   *int           `json:"rc,omitempty"`
	Blob *string        `json:"blob,omitempty"`
}

// told is what the owners were told about a task.
type told struct {
	line
	at   time.Time
	conn string // name of the connection
}

// owners is what was sent to the allocator on any connection, and received from it.
type owners struct {
	p    *play
	addr string

	mu       sync.Mutex
	next     uint64
	received map[uint64][]told
	sentAt   map[uint64]time.Time
}

func (p *play) newOwners(a *allocator) *owners {
	return &owners{
		p: p, addr: a.addr, next: 0x9b1f03aa5c7e0000, received: map[uint64][]told{}, sentAt: map[uint64]time.Time{},
	}
}

// conn is a connection to the allocator.
type conn struct {
	net.Conn
	owners *owners
	name   string
	ended  chan struct{}
}

// connect opens a connection. onLine is called for each line, if it is not nil.
func (o *owners) connect(name string) *conn {
	socket, err := net.DialTimeout("tcp", o.addr, 3*time.Second)
	if err != nil {
		o.p.cannotRun("connect to the allocator: %v", err)
	}
	c := &conn{Conn: socket, owners: o, name: name, ended: make(chan struct{})}
	o.p.note("%s connects", name)
	go c.read()
	return c
}

func (c *conn) read() {
	defer close(c.ended)
	scanner := bufio.NewScanner(c)
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		var l line
		if err := json.Unmarshal(scanner.Bytes(), &l); err != nil {
			c.owners.p.note("allocator -> %s: cannot be read: %q", c.name, scanner.Text())
			continue
		}
		rc := ""
		if l.RC != nil {
			rc = fmt.Sprintf(" rc %d", *l.RC)
		}
		c.owners.p.note("allocator -> %s %s %s%s", c.name, l.Verb, l.Tag, rc)
		tag, _ := strconv.ParseUint(l.Tag, 16, 64)
		c.owners.mu.Lock()
		c.owners.received[tag] = append(c.owners.received[tag], told{l, time.Now(), c.name})
		c.owners.mu.Unlock()
	}
	c.owners.p.note("%s ended", c.name)
}

// newTag returns a tag that was not used before.
func (o *owners) newTag() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.next++
	return o.next
}

// about returns what was received about a task.
func (o *owners) about(tag uint64) []told {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]told(nil), o.received[tag]...)
}

// request sends a set-up and returns its tag.
func (c *conn) request(class string, left int, service uint64) uint64 {
	tag := c.owners.newTag()
	c.send(tag, class, left, service)
	return tag
}

func (c *conn) send(tag uint64, class string, left int, service uint64) {
	blob := fmt.Sprintf("%016x\r\nc=IN IP4 127.0.0.1\r\n", tag)
	c.owners.mu.Lock()
	c.owners.sentAt[tag] = time.Now()
	c.owners.mu.Unlock()
	c.owners.p.note("%s -> allocator START %016x class %s left %d", c.name, tag, class, left)
	c.line(line{Verb: "START", Tag: fmt.Sprintf("%016x", tag), Blob: &blob, Opts: map[string]any{
		"class": class, "left": strconv.Itoa(left), "key": fmt.Sprintf("%016x", tag),
		"extras": fmt.Sprintf("cores:0.25;memory:0.5;service:%016x", service),
	}})
}

// test sends a test.
func (c *conn) test(tag uint64) {
	zero := 0
	c.owners.p.note("%s -> allocator ECHO %016x", c.name, tag)
	c.line(line{Verb: "ECHO", Tag: fmt.Sprintf("%016x", tag), Opts: map[string]any{}, RC: &zero})
}

// finish sends a release.
func (c *conn) finish(tag uint64) {
	cause := 16
	c.owners.p.note("%s -> allocator FINISH %016x", c.name, tag)
	c.line(line{Verb: "FINISH", Tag: fmt.Sprintf("%016x", tag), Opts: map[string]any{}, RC: &cause})
}

func (c *conn) line(l line) {
	text, err := json.Marshal(l)
	if err != nil {
		panic(err) // the types above can be encoded
	}
	_, _ = c.Write(append(text, '\n')) // an error ends the reading too
}

// close closes the connection.
func (c *conn) close() {
	c.owners.p.note("%s closes its connection", c.name)
	_ = c.Close()
}

// waitFor waits until something was received about a task.
func (o *owners) waitFor(tag uint64, count int, limit time.Duration) []told {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if received := o.about(tag); len(received) >= count {
			return received
		}
	}
	return o.about(tag)
}

// handOver sends a set-up of a task that a host holds.
func (c *conn) handOver(tag uint64, class, at string) {
	blob := fmt.Sprintf("%016x\r\nc=IN IP4 127.0.0.1\r\n", tag)
	c.owners.p.note("%s -> allocator START %016x class %s at %s", c.name, tag, class, at)
	c.line(line{Verb: "START", Tag: fmt.Sprintf("%016x", tag), Blob: &blob, Opts: map[string]any{
		"class": class, "left": "6000", "key": fmt.Sprintf("%016x", tag),
		"extras": fmt.Sprintf("cores:0.25;memory:0.5;service:%016x;at:%s", tag, at),
	}})
}
