package main

import (
	"syscall"
	"time"
)

func init() { cases["slow-discovery"] = slowDiscovery }

// slowDiscovery moves discovery with a new configuration, to a service that responds to a request after 3 s, which is
// within the 4 s after which what it has to tell counts as told. Then a host drains and is replaced: its process ends,
// and a new host takes its address.
func slowDiscovery(p *play) bool {
	const (
		hosts    = 4
		response = 3 * time.Second
		told     = 4 * time.Second // after SIGHUP
		grace    = 250*time.Millisecond + 50*time.Millisecond
		within   = 8*time.Second + 50*time.Millisecond
	)
	e := &events{}
	var all []*host
	var endpoints []map[string]any
	for i := range hosts {
		h := p.startHost(i)
		all = append(all, h)
		endpoints = append(endpoints, h.endpoint("Ready"))
	}
	e.add(true, endpoints...)
	old := p.startJournal("journal 1", e)
	a := p.startAllocator(settings(4), old.addr(), e.known(), 512)
	o := p.newOwners(a)
	c := o.connect("owner")
	stop := time.Now().Add(30 * time.Second)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := uint64(0); time.Now().Before(stop); i++ {
			tag := c.request("tiles", 6000, i%16+1)
			time.AfterFunc(15*time.Second, func() {
				for _, h := range all {
					h.finishTask(tag)
				}
			})
			time.Sleep(50 * time.Millisecond)
		}
	}()
	time.Sleep(3 * time.Second)

	moved := p.startJournal("journal 2", e)
	if p.trouble {
		moved.slow = response
	}
	a.config["journal"] = moved.addr()
	a.writeConfig()
	old.retire()
	a.signal(syscall.SIGHUP)
	hangup := time.Now()
	p.note("SIGHUP")

	leaving, address := all[0], all[0].addr()
	time.Sleep(time.Second)
	e.add(false, leaving.endpoint("Terminating"))
	p.note("%s is Terminating in the journal service", leaving.name)
	time.Sleep(4 * time.Second)
	var cut []uint64
	leaving.die(func(tag uint64) { cut = append(cut, tag) })
	died := time.Now()
	p.note("%s is taken away, with %d tasks", leaving.name, len(cut))
	time.Sleep(200 * time.Millisecond)
	successor := p.newHost("s-0000beef", leaving.listener)
	successor.restart(address)
	gone := leaving.endpoint("Gone")
	entry := successor.endpoint("Ready")
	entry["since_ms"] = time.Now().UnixMilli()
	e.add(false, gone, entry)
	p.note("%s is Gone in the journal service, %s has its address", leaving.name, successor.name)
	<-done
	time.Sleep(time.Until(died.Add(within)))

	late := 0
	leaving.mu.Lock()
	for _, sent := range leaving.attempts {
		if sent.at.After(hangup.Add(told + grace)) {
			late++
		}
	}
	leaving.mu.Unlock()
	p.say("set-ups sent to the draining host later than %v after SIGHUP: %d", told+grace, late)
	served, lost := 0, 0
	for _, tag := range cut {
		received := o.about(tag)
		if len(received) == 0 || received[0].Verb != "STARTED" {
			continue
		}
		served++
		if len(received) == 1 || received[1].at.Sub(died) > within {
			lost++
			p.note("task %016x was cut with its host at %.0f, its owner was told of no end within %v", tag, p.since(died),
				within)
		}
	}
	p.say("tasks that were served and cut with their host: %d; not released within %v: %d", served, within, lost)
	return lost > 0
}
