package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"time"
)

// answer is what the owners received for a task.
type answer struct {
	verb string
	rc   int
	blob string
	at   time.Time
	on   string // connection
}

// owners is a stand-in for the owners of the tasks: what they receive, on any connection.
type owners struct {
	record *record
	addr   string

	mu      sync.Mutex
	answers map[string][]answer
	tests   int // tests that passed
	lastID  int
}

// ownerConn is one connection of the owners.
type ownerConn struct {
	owners *owners
	name   string
	net.Conn
	ended   chan struct{} // closed at the end of the connection
	endedAt time.Time     // valid once ended is closed
}

func newOwners(r *record, addr string) *owners {
	return &owners{record: r, addr: addr, answers: map[string][]answer{}}
}

// dial opens a connection.
func (o *owners) dial(name string) (*ownerConn, error) {
	conn, err := net.DialTimeout("tcp", o.addr, time.Second)
	if err != nil {
		return nil, fmt.Errorf("connect to the allocator: %w", err)
	}
	c := &ownerConn{owners: o, name: name, Conn: conn, ended: make(chan struct{})}
	o.record.add("owner %s: connected", name)
	go c.read()
	return c, nil
}

// line is a message to or from an owner.
type line struct {
	Verb string            `json:"verb"`
	Tag  string            `json:"tag"`
	Opts map[string]string `json:"opts"`
	RC   *int              `json:"rc,omitempty"`
	Blob *string           `json:"blob,omitempty"`
}

func (c *ownerConn) read() {
	o := c.owners
	defer func() {
		c.endedAt = time.Now()
		close(c.ended)
	}()
	scanner := bufio.NewScanner(c)
	for scanner.Scan() {
		o.record.add("owner %s: received %.200s", c.name, scanner.Bytes())
		var l line
		if err := json.Unmarshal(scanner.Bytes(), &l); err != nil {
			o.record.add("owner %s: cannot be read: %v", c.name, err)
			continue
		}
		received := answer{verb: l.Verb, at: time.Now(), on: c.name}
		if l.RC != nil {
			received.rc = *l.RC
		}
		if l.Blob != nil {
			received.blob = *l.Blob
		}
		o.mu.Lock()
		o.answers[l.Tag] = append(o.answers[l.Tag], received)
		if l.Verb == "ECHOED" && received.rc == 1 {
			o.tests++
		}
		o.mu.Unlock()
	}
	o.record.add("owner %s: the connection has ended", c.name)
}

// send records a line and writes it.
func (c *ownerConn) send(l line) error {
	text, err := json.Marshal(l)
	if err != nil {
		return fmt.Errorf("encode a line: %w", err)
	}
	c.owners.record.add("owner %s: sends %s", c.name, text)
	return c.write(l)
}

// write writes a line.
func (c *ownerConn) write(l line) error {
	text, err := json.Marshal(l)
	if err != nil {
		return fmt.Errorf("encode a line: %w", err)
	}
	if _, err := c.Write(append(text, '\n')); err != nil {
		return fmt.Errorf("send to the allocator: %w", err)
	}
	return nil
}

// newID returns a new id of a set-up.
func (o *owners) newID() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lastID++
	return 0x9b1f03aa5c7e0000 + uint64(o.lastID)
}

// ask sends a set-up. at is the host that holds the task already, or empty.
func (c *ownerConn) ask(id uint64, class string, left time.Duration, cores float64, at string) error {
	blob := fmt.Sprintf("%016x\r\nc=IN IP4 127.0.0.1\r\n", id)
	extras := fmt.Sprintf("cores:%v;memory:%v;service:00000000b4d65521", cores, cores*1.5)
	if at != "" {
		extras += ";at:" + at
	}
	return c.send(line{Verb: "START", Tag: fmt.Sprintf("%016x", id), Blob: &blob, Opts: map[string]string{
		"class": class, "left": fmt.Sprint(left.Milliseconds()), "key": fmt.Sprintf("%016x", id^0x5555), "extras": extras,
	}})
}

// reset ends the connection with a reset.
func (c *ownerConn) reset() {
	c.owners.record.add("owner %s: the connection is reset", c.name)
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// test sends a test.
func (c *ownerConn) test() error {
	zero := 0
	return c.send(line{Verb: "ECHO", Tag: fmt.Sprintf("%016x", c.owners.newID()), Opts: map[string]string{}, RC: &zero})
}

// received returns what the owners received for a task.
func (o *owners) received(id uint64) []answer {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]answer(nil), o.answers[fmt.Sprintf("%016x", id)]...)
}

// wait waits until condition holds, and reports whether it came to hold within the time.
func wait(limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return condition()
}

// placed waits until a task was answered 'served', and returns whether it was.
func (o *owners) placed(id uint64, limit time.Duration) bool {
	return wait(limit, func() bool {
		got := o.received(id)
		return len(got) > 0 && got[0].verb == "STARTED"
	})
}

// released returns the release after the answer of a task, if there is one.
func (o *owners) released(id uint64) (answer, bool) {
	for i, got := range o.received(id) {
		if i > 0 && (got.verb == "FINISH" || got.verb == "MOVE") {
			return got, true
		}
	}
	return answer{}, false
}

// ready waits until a test has passed on a connection of its own.
func (o *owners) ready(limit time.Duration) bool {
	return wait(limit, func() bool {
		c, err := o.dial("front")
		if err != nil {
			return false
		}
		defer c.Close()
		o.mu.Lock()
		before := o.tests
		o.mu.Unlock()
		if c.test() != nil {
			return false
		}
		return wait(time.Second, func() bool {
			o.mu.Lock()
			defer o.mu.Unlock()
			return o.tests > before
		})
	})
}
