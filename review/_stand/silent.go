package main

import (
	"fmt"
	"time"
)

func init() { cases["silent"] = play{run: silent, hosts: 5} }

// crossing is the time before the end of a connection within which a set-up is resent by its owner.
const crossing = 50 * time.Millisecond

// silent: set-ups of one service reach a host; while it works on them, it falls silent for 2 s. When it is heard again,
// its answers come together.
func silent(w *world, trouble bool) error {
	const (
		setUps   = 44
		interval = 11 * time.Millisecond // 90 set-ups a second
		length   = 2 * time.Second
		padding  = 15000 // bytes, so that an answer is under the limit of 16 KiB for a message
	)
	for _, h := range w.hosts {
		h.padding = padding
	}
	c, err := w.owners.dial("a")
	if err != nil {
		return err
	}
	var holder *host
	for range 8 {
		if _, holder, err = w.place(c, "map-tiles"); err != nil {
			return err
		}
	}
	sent := map[uint64]time.Time{}
	for i := range setUps {
		id := w.owners.newID()
		if err := c.ask(id, "map-tiles", 6*time.Second, 0.25, ""); err != nil {
			break // the connection has ended, which is judged below
		}
		sent[id] = time.Now()
		time.Sleep(interval)
		if trouble && i == setUps-4 {
			holder.silence(length)
		}
	}
	wait(7*time.Second, func() bool {
		for id := range sent {
			if len(w.owners.received(id)) == 0 {
				return false
			}
		}
		return true
	})
	return w.checkAnswers(c, sent)
}

// checkAnswers judges set-ups that were sent on one connection. One without an answer is lost, unless it crossed the end
// of the connection.
func (w *world) checkAnswers(c *ownerConn, sent map[uint64]time.Time) error {
	lost, refused, crossed := 0, 0, 0
	for id, at := range sent {
		switch got := w.owners.received(id); {
		case len(got) == 0 && c.hasEnded() && c.endedAt.Sub(at) < crossing:
			crossed++
		case len(got) == 0:
			lost++
		case got[0].verb != "STARTED":
			refused++
		}
	}
	w.record.add("of %d set-ups, %d got no answer, %d crossed the end of the connection, %d were refused or have failed",
		len(sent), lost, crossed, refused)
	if lost > 0 {
		return fmt.Errorf("%w: %d of %d set-ups got no answer", errBroken, lost, len(sent))
	}
	return nil
}

// hasEnded reports whether the connection has ended.
func (c *ownerConn) hasEnded() bool {
	select {
	case <-c.ended:
		return true
	default:
		return false
	}
}
