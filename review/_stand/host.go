package main

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Types of binary messages, as the page PROTOCOL gives them.
const (
	typeStart    = 1
	typeStarted  = 9
	typeFinish   = 12
	typeFinished = 16
	typeEcho     = 52
	typeEchoed   = 53
)

// Causes of a release by a host.
const (
	causeEnded = 16 // the task has come to its end
	causeFull  = 34 // refused: it never ran
)

// How a host takes workloads, within the figures of the site umea-hall: one ask at a time (9.4 to 35 ms each), so many
// wait (6.9 to 32), a few starts at a time (1 to 3), and a start of a kept program takes the work (100 to 210 ms).
const (
	admitTime    = 10 * time.Millisecond
	maxAsks      = 32
	startsAtOnce = 2
	startTime    = 100 * time.Millisecond
)

// task is a task that stands on a host, or is being set up there.
type task struct {
	id       uint64
	conn     *hostConn // connection of the set-up; nil once it has ended
	standing bool
	class    string
}

// silence is a time in which nothing passes between a host and the allocator.
type silence struct {
	over chan struct{}        // closed at the end
	held map[*hostConn][]byte // what the host has written meanwhile, by connection
}

// host is a stand-in for a host of the users' platform. It takes every set-up unless told otherwise.
type host struct {
	record  *record
	name    string
	addr    string
	padding int   // bytes that the description of an answer has beside its text
	since   int64 // Unix time of the start in milliseconds, or 0

	asks   chan *task // set-ups that wait to be looked at
	starts chan *task // tasks that wait to be started

	mu      sync.Mutex
	ln      net.Listener
	conns   map[*hostConn]bool
	tasks   map[uint64]*task
	unsent  []uint64   // ended tasks whose release goes on the next connection opened
	silent  *silence   // nil if the host is not silent
	gone    bool       // the machine has vanished
	fillers []net.Conn // connections that fill the backlog of a machine that has vanished
}

// hostConn is one connection of an allocator.
type hostConn struct {
	host *host
	net.Conn
	writeMu   sync.Mutex
	forgotten bool // guarded by host.mu
}

// newHost starts a host at a free address.
func newHost(r *record, name string) (*host, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("start host %s: %w", name, err)
	}
	h := &host{
		record: r, name: name, addr: ln.Addr().String(), ln: ln,
		asks: make(chan *task, maxAsks), starts: make(chan *task, 1000),
		conns: map[*hostConn]bool{}, tasks: map[uint64]*task{},
	}
	r.add("%s: listens on %s", name, h.addr)
	go h.serve(ln)
	go h.admit()
	for range startsAtOnce {
		go h.startTasks()
	}
	return h, nil
}

// entry returns the host's entry in the list, in the given state.
func (h *host) entry(status string) map[string]any {
	return map[string]any{
		"name": h.name, "address": h.addr, "zone": "umea-1", "type": "small", "group": 0, "status": status, "weight": 1,
		"since_ms": h.since, "room": []float64{26, 37},
	}
}

func (h *host) serve(ln net.Listener) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		h.mu.Lock()
		if h.gone {
			h.fillers = append(h.fillers, conn)
			h.mu.Unlock()
			return // accepts nothing more
		}
		c := &hostConn{host: h, Conn: conn}
		h.conns[c] = true
		unsent := h.unsent
		h.unsent = nil
		h.mu.Unlock()
		for _, id := range unsent {
			h.record.add("%s: release of %016x on the next connection", h.name, id)
			c.send(typeFinish, id, param{44, []byte{causeEnded}})
		}
		go c.read()
	}
}

// param is a parameter of a message.
type param struct {
	code  byte
	value []byte
}

// send writes a message, unless the machine has vanished. While the host is silent, the message is held.
func (c *hostConn) send(kind byte, id uint64, params ...param) {
	body := binary.BigEndian.AppendUint64([]byte{kind}, id)
	for _, p := range params {
		body = append(body, p.code)
		body = binary.BigEndian.AppendUint16(body, uint16(len(p.value)))
		body = append(body, p.value...)
	}
	message := append(binary.BigEndian.AppendUint16(nil, uint16(len(body))), body...)
	c.host.mu.Lock()
	if c.host.silent != nil {
		c.host.silent.held[c] = append(c.host.silent.held[c], message...)
		message = nil
	}
	gone := c.host.gone
	c.host.mu.Unlock()
	if gone || message == nil {
		return
	}
	c.write(message)
}

func (c *hostConn) write(b []byte) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	_, _ = c.Write(b) // an error ends the reading of the connection too
}

// silence plays a host that falls silent for a time, since its network is cut off: it goes on working, but what it writes
// and what was written to it arrive at the end of the silence.
func (h *host) silence(length time.Duration) {
	h.record.add("%s: falls silent for %v", h.name, length)
	h.mu.Lock()
	h.silent = &silence{over: make(chan struct{}), held: map[*hostConn][]byte{}}
	h.mu.Unlock()
	time.AfterFunc(length, func() {
		h.mu.Lock()
		ended := h.silent
		h.silent = nil
		h.mu.Unlock()
		for c, b := range ended.held {
			h.record.add("%s: is heard again, %d bytes arrive", h.name, len(b))
			c.write(b)
		}
		close(ended.over)
	})
}

// read handles the messages of the connection until its end.
func (c *hostConn) read() {
	defer c.ended()
	for {
		var size [2]byte
		if _, err := io.ReadFull(c, size[:]); err != nil {
			return
		}
		body := make([]byte, binary.BigEndian.Uint16(size[:]))
		if _, err := io.ReadFull(c, body); err != nil {
			return
		}
		c.host.mu.Lock()
		gone, forgotten, silent := c.host.gone, c.forgotten, c.host.silent
		c.host.mu.Unlock()
		if silent != nil {
			<-silent.over
		}
		if gone {
			return
		}
		if forgotten {
			c.host.record.add("%s: resets a forgotten connection on which a message came", c.host.name)
			c.reset()
			return
		}
		c.handle(body[0], binary.BigEndian.Uint64(body[1:9]), body[9:])
	}
}

// ended removes the connection. The set-ups open on it are given up; tasks that stand go on.
func (c *hostConn) ended() {
	h := c.host
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.gone {
		return // the machine neither closes nor answers
	}
	_ = c.Close()
	delete(h.conns, c)
	for id, t := range h.tasks {
		if t.conn == c && !t.standing {
			h.record.add("%s: set-up of %016x is given up with its connection", h.name, id)
			delete(h.tasks, id)
		}
		if t.conn == c {
			t.conn = nil
		}
	}
}

// reset closes the connection with a reset.
func (c *hostConn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (c *hostConn) handle(kind byte, id uint64, rest []byte) {
	h := c.host
	switch kind {
	case typeEcho:
		c.send(typeEchoed, id, param{44, []byte{1}}, h.report())
	case typeFinish:
		h.mu.Lock()
		t := h.tasks[id]
		delete(h.tasks, id)
		h.mu.Unlock()
		if t != nil && t.standing {
			h.record.add("%s: %016x was cut by a release of the allocator", h.name, id)
			c.send(typeFinished, id)
		} else {
			h.record.add("%s: set-up of %016x was given up by the allocator", h.name, id)
		}
	case typeStart:
		class := ""
		for len(rest) >= 3 {
			size := int(binary.BigEndian.Uint16(rest[1:]))
			if rest[0] == 16 {
				class = string(rest[3 : 3+size])
			}
			rest = rest[3+size:]
		}
		h.record.add("%s: set-up of %016x (%s)", h.name, id, class)
		h.mu.Lock()
		t := &task{id: id, conn: c, class: class}
		h.tasks[id] = t
		h.mu.Unlock()
		select {
		case h.asks <- t:
		default:
			h.record.add("%s: too many asks wait, %016x is refused", h.name, id)
			h.mu.Lock()
			delete(h.tasks, id)
			h.mu.Unlock()
			c.send(typeFinish, id, param{44, []byte{causeFull}}, param{30, []byte("busy")}, h.report())
		}
	}
}

// admit looks at one ask at a time, and passes it on to be started.
func (h *host) admit() {
	for t := range h.asks {
		time.Sleep(admitTime)
		h.starts <- t
	}
}

// startTasks starts one task after another. A host runs it as often as it starts tasks at a time.
func (h *host) startTasks() {
	for t := range h.starts {
		h.mu.Lock()
		wanted := h.tasks[t.id] == t
		h.mu.Unlock()
		if wanted {
			time.Sleep(startTime)
			h.answer(t)
		}
	}
}

// report returns the load report.
func (h *host) report() param {
	return param{34, fmt.Appendf(nil, "x0:20;x1:30;backlog:%d", len(h.asks)+len(h.starts))}
}

// answer answers the set-up of a task that runs now, unless it was given up or the machine has vanished.
func (h *host) answer(t *task) {
	h.mu.Lock()
	c := t.conn
	if h.gone || h.tasks[t.id] != t || c == nil {
		h.mu.Unlock()
		return
	}
	t.standing = true
	h.mu.Unlock()
	h.record.add("%s: %016x stands", h.name, t.id)
	description := fmt.Appendf(nil, "stands at %s%s", h.name, strings.Repeat(".", h.padding))
	c.send(typeStarted, t.id, param{46, description}, h.report())
}

// end ends a standing task. Its release goes on the connection of its set-up, failing that on any open one, and on the
// next one opened as well.
func (h *host) end(id uint64) {
	h.mu.Lock()
	t := h.tasks[id]
	if t == nil || !t.standing {
		h.mu.Unlock()
		return
	}
	delete(h.tasks, id)
	c := t.conn
	for other := range h.conns {
		if c == nil {
			c = other
		}
	}
	h.unsent = append(h.unsent, id)
	h.mu.Unlock()
	if c == nil {
		h.record.add("%s: %016x has ended, the release waits for a connection", h.name, id)
		return
	}
	h.record.add("%s: %016x has ended, release sent", h.name, id)
	c.send(typeFinish, id, param{44, []byte{causeEnded}})
}

// forget plays a host that forgets its idle connections: it says nothing on them any more, and answers what still
// comes on them with a reset. New connections are accepted. Tasks go on.
func (h *host) forget() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.record.add("%s: forgets its %d idle connections", h.name, len(h.conns))
	for c := range h.conns {
		c.forgotten = true
		delete(h.conns, c)
	}
	for _, t := range h.tasks {
		t.conn = nil
	}
}

// holds reports whether the task stands on the host.
func (h *host) holds(id uint64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	t := h.tasks[id]
	return t != nil && t.standing && !h.gone
}

// vanish plays a machine that vanishes, with all its tasks: open connections stay open with no traffic, and new ones
// never come up, since the listener's backlog is full.
func (h *host) vanish() error {
	h.mu.Lock()
	h.gone = true
	for id := range h.tasks {
		h.record.add("%s: %016x ends with its machine", h.name, id)
	}
	ln := h.ln
	h.mu.Unlock()
	h.record.add("%s: the machine vanishes", h.name)
	tcp, ok := ln.(*net.TCPListener)
	if !ok {
		return fmt.Errorf("host %s has no TCP listener", h.name)
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return fmt.Errorf("vanish: %w", err)
	}
	var listenErr error
	if err := raw.Control(func(fd uintptr) { listenErr = syscall.Listen(int(fd), 0) }); err != nil || listenErr != nil {
		return fmt.Errorf("vanish: %w, %w", err, listenErr)
	}
	for range 20 {
		conn, err := net.DialTimeout("tcp", h.addr, 300*time.Millisecond)
		if err != nil {
			h.record.add("%s: new connections do not come up any more", h.name)
			return nil
		}
		h.mu.Lock()
		h.fillers = append(h.fillers, conn)
		h.mu.Unlock()
	}
	return fmt.Errorf("host %s still accepts connections", h.name)
}
