package main

import (
	"errors"
	"fmt"
	"time"
)

func init() { cases["pause"] = play{run: standStill} }

// standStill: a host stands still for half a second, while set-ups of one service arrive. When it goes on, its answers
// come together.
func standStill(w *world, trouble bool) error {
	const (
		setUps   = 44
		interval = 11 * time.Millisecond // 90 set-ups a second
		length   = 500 * time.Millisecond
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
	if trouble {
		holder.standStill(length)
	}
	var sent []uint64
	for range setUps {
		id := w.owners.newID()
		if err := c.ask(id, "map-tiles", 6*time.Second, 0.25, ""); err != nil {
			break // the connection has ended, which is judged below
		}
		sent = append(sent, id)
		time.Sleep(interval)
	}
	wait(7*time.Second, func() bool {
		for _, id := range sent {
			if len(w.owners.received(id)) == 0 {
				return false
			}
		}
		return true
	})
	lost, refused := 0, 0
	for _, id := range sent {
		switch got := w.owners.received(id); {
		case len(got) == 0:
			lost++
		case got[0].verb != "STARTED":
			refused++
		}
	}
	w.record.add("of %d set-ups, %d got no whole answer, %d were refused or have failed", len(sent), lost, refused)
	if lost > 0 {
		return fmt.Errorf("%w: %d of %d set-ups got no answer", errBroken, lost, len(sent))
	}
	if len(sent) < setUps {
		return errors.New("the connection has ended after all answers")
	}
	return nil
}
