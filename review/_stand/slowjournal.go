package main

import "time"

func init() { cases["slow-journal"] = play{run: slowJournal, hosts: 200} }

// slowJournal: the journal service is crowded and writes slowly. A host is taken away, and the journal says so at once,
// in an event that also has the changed room of the other hosts.
func slowJournal(w *world, trouble bool) error {
	c, err := w.owners.dial("a")
	if err != nil {
		return err
	}
	id, taken, err := w.place(c, "map-tiles")
	if err != nil {
		return err
	}
	time.Sleep(time.Second)
	if trouble {
		w.feed.setRate(20 << 10)
	}
	ended := time.Now()
	if err := taken.vanish(); err != nil {
		return err
	}
	var changed []map[string]any
	for _, h := range w.hosts {
		state := "Ready"
		if h == taken {
			state = "Gone"
		}
		entry := h.entry(state)
		entry["room"] = []float64{25.75, 36.25}
		changed = append(changed, entry)
	}
	w.feed.publish(false, changed...)
	return w.checkRelease(id, ended, endLimit, 60*time.Second)
}
