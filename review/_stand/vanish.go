package main

import "time"

func init() { cases["vanish"] = play{run: vanish} }

// vanish: a machine vanishes, and the list says so 12 s later. Without the disruption its task ends and is released.
func vanish(w *world, trouble bool) error {
	c, err := w.owners.dial("a")
	if err != nil {
		return err
	}
	id, h, err := w.place(c, "map-tiles")
	if err != nil {
		return err
	}
	time.Sleep(time.Second)
	ended := time.Now()
	if !trouble {
		h.end(id)
		return w.checkRelease(id, ended, endLimit, 60*time.Second)
	}
	if err := h.vanish(); err != nil {
		return err
	}
	told := time.AfterFunc(12*time.Second, func() { w.feed.publish(false, h.entry("Gone")) })
	defer told.Stop()
	return w.checkRelease(id, ended, endLimit, 60*time.Second)
}
