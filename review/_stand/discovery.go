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
	addr   string

	mu      sync.Mutex
	events  []journalEvent
	changed *sync.Cond
	rate    int // bytes of an event that the service writes a second; 0 for no limit
}

// newJournal starts the service with the whole list as the first event.
func newJournal(r *record, hosts ...*host) (*journal, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("start the journal: %w", err)
	}
	j := &journal{record: r, addr: ln.Addr().String()}
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
	j.record.add("journal: event %d is in the journal: %.200s", pos, data)
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

// setRate sets how many bytes of an event the service writes a second.
func (j *journal) setRate(rate int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.rate = rate
	j.record.add("journal: is crowded, and writes %d bytes a second from now on", rate)
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
		event, rate, ok := j.next(last)
		if ok {
			if j.write(conn, event, rate, closed) != nil {
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
func (j *journal) next(after int) (event journalEvent, rate int, ok bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if after >= len(j.events) {
		return event, 0, false
	}
	return j.events[after], j.rate, true
}

// writeInterval is the time between two writes of a crowded service.
const writeInterval = 20 * time.Millisecond

// write writes an event, at once or at the given rate.
func (j *journal) write(conn net.Conn, event journalEvent, rate int, closed chan struct{}) error {
	text := fmt.Appendf(nil, "id: %d\ndata: %s\n\n", event.pos, event.data)
	size := len(text)
	piece := size
	if rate > 0 {
		piece = max(1, int(float64(rate)*writeInterval.Seconds()))
	}
	started := time.Now()
	for len(text) > 0 {
		n := min(piece, len(text))
		if _, err := conn.Write(text[:n]); err != nil {
			return fmt.Errorf("write an event: %w", err)
		}
		text = text[n:]
		if len(text) == 0 {
			break
		}
		select {
		case <-closed:
			j.record.add("journal: the allocator closed %v into event %d, with %d of %d bytes written",
				time.Since(started).Round(time.Millisecond), event.pos, size-len(text), size)
			return net.ErrClosed
		case <-time.After(writeInterval):
		}
	}
	j.record.add("journal: event %d of %d bytes was written whole in %v", event.pos, size,
		time.Since(started).Round(time.Millisecond))
	return nil
}
