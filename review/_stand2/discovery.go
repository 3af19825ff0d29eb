package main

import (
	"syscall"
	"time"
)

func init() { cases["slow-discovery"] = slowDiscovery }

// slowDiscovery moves discovery with a new configuration, to a service that responds to a request after 3 s, which is
// within the 4 s after which what it has to tell counts as told. A host drains.
func slowDiscovery(p *play) bool {
	const (
		hosts    = 4
		response = 3 * time.Second
		told     = 4 * time.Second // after SIGHUP
		grace    = 250*time.Millisecond + 50*time.Millisecond
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
	stop := time.Now().Add(35 * time.Second)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := uint64(0); time.Now().Before(stop); i++ {
			tag := c.request("tiles", 6000, i%16+1)
			time.AfterFunc(3*time.Second, func() {
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
	time.Sleep(time.Second)
	e.add(false, all[0].endpoint("Terminating"))
	p.note("%s is Terminating in the journal service", all[0].name)
	<-done

	late := 0
	last := hangup
	all[0].mu.Lock()
	defer all[0].mu.Unlock()
	for _, sent := range all[0].attempts {
		if sent.at.After(hangup.Add(told + grace)) {
			late++
			last = sent.at
		}
	}
	p.say("set-ups sent to the draining host later than %v after SIGHUP: %d, the last one after %v", told+grace, late,
		last.Sub(hangup))
	return late > 0
}
