package main

import (
	"errors"
	"time"
)

func init() { cases["resting"] = play{run: resting} }

// resting: an owner's idle connection is reset. Another one is open throughout: its client asked once, was refused, and
// keeps it for good. The task of the first connection comes to its end.
func resting(w *world, trouble bool) error {
	a, err := w.owners.dial("a")
	if err != nil {
		return err
	}
	id, h, err := w.place(a, "map-tiles")
	if err != nil {
		return err
	}
	b, err := w.owners.dial("b")
	if err != nil {
		return err
	}
	refused := w.owners.newID()
	if err := b.ask(refused, "map-tiles", 6*time.Second, 23, ""); err != nil {
		return err
	}
	if !wait(6*time.Second, func() bool { return len(w.owners.received(refused)) > 0 }) {
		return errors.New("the request of connection b got no answer")
	}
	time.Sleep(time.Second)
	if trouble {
		a.reset()
	}
	time.Sleep(time.Second)
	ended := time.Now()
	h.end(id)
	err = w.checkRelease(id, ended, endLimit, 35*time.Second)
	if err == nil {
		return nil
	}
	select {
	case <-b.ended:
		return errors.New("connection b has ended")
	default:
	}
	// The release does not come on a later connection either.
	if _, _, later := w.place(b, "map-tiles"); later != nil {
		return later
	}
	time.Sleep(3 * time.Second)
	if _, ok := w.owners.released(id); !ok {
		w.record.add("%016x was not released on the next message of an owner either", id)
	}
	return err
}
