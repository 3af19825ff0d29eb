package main

import "time"

func init() { cases["forget"] = play{run: forget} }

// forget: a host forgets its idle connections. A task that stands there ends, and the host has no connection for its
// release; it would send it on the next one opened.
func forget(w *world, trouble bool) error {
	c, err := w.owners.dial("a")
	if err != nil {
		return err
	}
	id, h, err := w.place(c, "map-tiles")
	if err != nil {
		return err
	}
	time.Sleep(12 * time.Second)
	if trouble {
		h.forget()
	}
	time.Sleep(time.Second)
	ended := time.Now()
	h.end(id)
	return w.checkRelease(id, ended, endLimit, 60*time.Second)
}
