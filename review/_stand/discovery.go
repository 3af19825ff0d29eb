package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// journalEvent is one numbered event of the discovery service.
type journalEvent struct {
	pos  int
	data []byte
}

// journal is a stand-in for the discovery service: the journal service of the users' pages.
type journal struct {
	record *record
	ln     net.Listener
	addr   string

	mu      sync.Mutex
	events  []journalEvent
	changed *sync.Cond
	slow    time.Duration // how long the service takes to write one event; 0 for at once
	conns   map[net.Conn]bool
}

// newJournal starts the service with the whole list as the first event.
func newJournal(r *record, hosts ...*host) (*journal, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("start the journal: %w", err)
	}
	j := &journal{record: r, ln: ln, addr: ln.Addr().String(), conns: map[net.Conn]bool{}}
	j.changed = sync.NewCond(&j.mu)
	entries := make([]map[string]any, 0, len(hosts))
	for _, h := range hosts {
		entries = append(entries, h.entry("Ready"))
	}
	j.publish(true, entries...)
	go j.serve(ln)
	return j, nil
}

// publish appends an event.
func (j *journal) publish(snapshot bool, entries ...map[string]any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	pos := len(j.events) + 1
	data, err := json.Marshal(map[string]any{
		"pos":   pos,
		"hosts": map[string]any{"index": pos, "snapshot": snapshot, "endpoints": entries},
	})
	if err != nil {
		panic(err) // the entries are made of plain values
	}
	j.events = append(j.events, journalEvent{pos: pos, data: data})
	j.record.add("journal: event %d is in the journal: %s", pos, data)
	j.changed.Broadcast()
}

// known returns the events up to now, as the configuration holds them.
func (j *journal) known() map[string]any {
	j.mu.Lock()
	defer j.mu.Unlock()
	entries := make([]json.RawMessage, 0, len(j.events))
	for _, e := range j.events {
		entries = append(entries, e.data)
	}
	return map[string]any{"pos": len(j.events), "entries": entries}
}

// setSlow sets how long the service takes to write one event.
func (j *journal) setSlow(slow time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.slow = slow
	j.record.add("journal: takes %v to write an event from now on", slow)
}

func (j *journal) serve(ln net.Listener) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		go j.stream(conn)
	}
}

// stream answers one request with the events after its Last-Event-ID, and a comment each second.
func (j *journal) stream(conn net.Conn) {
	defer conn.Close()
	last := 0
	reader := bufio.NewReader(conn)
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		line = strings.TrimSpace(line)
		if name, value, ok := strings.Cut(line, ":"); ok && strings.EqualFold(name, "Last-Event-ID") {
			last, _ = strconv.Atoi(strings.TrimSpace(value))
		}
		if line == "" {
			break
		}
	}
	j.record.add("journal: asked for the events after %d", last)
	closed := make(chan struct{})
	go func() {
		_, _ = reader.ReadByte() // the allocator sends nothing more, so this returns at the end of the connection
		j.record.add("journal: a connection has ended")
		close(closed)
		j.changed.Broadcast()
	}()
	if _, err := fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n: here\n\n"); err != nil {
		return
	}
	comments := time.NewTicker(time.Second)
	defer comments.Stop()
	for {
		event, slow, ok := j.next(last)
		if ok {
			if j.write(conn, event, slow, closed) != nil {
				return
			}
			last = event.pos
			continue
		}
		select {
		case <-closed:
			return
		case <-comments.C:
			if _, err := fmt.Fprint(conn, ": still here\n\n"); err != nil {
				return
			}
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// next returns the first event after the given number.
func (j *journal) next(after int) (event journalEvent, slow time.Duration, ok bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if after >= len(j.events) {
		return event, 0, false
	}
	return j.events[after], j.slow, true
}

// write writes an event in small pieces, evenly over the given time.
func (j *journal) write(conn net.Conn, event journalEvent, slow time.Duration, closed chan struct{}) error {
	text := fmt.Appendf(nil, "id: %d\ndata: %s\n\n", event.pos, event.data)
	started := time.Now()
	const pieces = 50
	for i := range pieces {
		from, to := len(text)*i/pieces, len(text)*(i+1)/pieces
		if _, err := conn.Write(text[from:to]); err != nil {
			j.record.add("journal: event %d was cut off by the allocator after %v", event.pos, time.Since(started))
			return fmt.Errorf("write an event: %w", err)
		}
		if slow > 0 {
			select {
			case <-closed:
				j.record.add("journal: the allocator closed %v into event %d", time.Since(started), event.pos)
				return net.ErrClosed
			case <-time.After(slow / pieces):
			}
		}
	}
	j.record.add("journal: event %d was written whole in %v", event.pos, time.Since(started).Round(time.Millisecond))
	return nil
}

// stop ends the service.
func (j *journal) stop() { _ = j.ln.Close() }
