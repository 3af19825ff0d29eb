package main

import "time"

func init() { cases["slow-journal"] = slowJournal }

// slowJournal: the journal service takes 1.5 s to write an event. A host is taken away, and the journal says so at once.
func slowJournal(w *world, trouble bool) error {
	c, err := w.owners.dial("a")
	if err != nil {
		return err
	}
	id, h, err := w.place(c, "map-tiles")
	if err != nil {
		return err
	}
	time.Sleep(time.Second)
	if trouble {
		w.feed.setSlow(1500 * time.Millisecond)
	}
	ended := time.Now()
	if err := h.vanish(); err != nil {
		return err
	}
	w.feed.publish(false, h.entry("Gone"))
	return w.checkRelease(id, ended, endLimit, 60*time.Second)
}
