package main

import (
	"fmt"
	"strings"
	"syscall"
	"time"
)

func init() { cases["hand-over-flood"] = handOverFlood }

// handOverFlood restarts the allocator, has bad clients name tasks that no host knows, at full speed, and has an owner
// hand over tasks that run. The owner closes that connection after 4 s; another one of its connections stays open.
func handOverFlood(p *play) bool {
	const hosts, tasks, badClients, each, memory = 4, 30, 130, 300, 32
	const idle = 4 * time.Second
	e := &events{}
	var all []*host
	var endpoints []map[string]any
	for i := range hosts {
		h := p.startHost(i)
		all = append(all, h)
		endpoints = append(endpoints, h.endpoint("Ready"))
	}
	e.add(true, endpoints...)
	j := p.startJournal("journal", e)
	p.memory = memory
	a := p.startAllocator(settings(4), j.addr(), e.known(), 1024)
	o := p.newOwners(a)
	c := o.connect("owner 1")
	var tags []uint64
	for i := range uint64(tasks) {
		tag := c.request("tiles", 6000, i)
		if received := o.waitFor(tag, 1, 7*time.Second); len(received) == 0 || received[0].Verb != "STARTED" {
			p.cannotRun("a request was not served")
		}
		tags = append(tags, tag)
	}
	a.signal(syscall.SIGTERM)
	<-a.ended
	p.note("the allocator has ended")
	a.restart()

	flood := func(round int) {
		if !p.trouble {
			return
		}
		for i := range badClients {
			bad := o.connect(fmt.Sprintf("bad client %d.%d", round, i))
			var text strings.Builder
			for k := range each {
				id := uint64(0xbad)<<52 | uint64(round)<<40 | uint64(i)<<20 | uint64(k)
				fmt.Fprintf(&text, `{"verb":"START","tag":"%016x","opts":{"class":"tiles","left":"6000","key":"%016x",`+
					`"extras":"cores:0.25;memory:0.5;service:%016x;at:%s"},"blob":"x"}`+"\n", id, id, id, all[k%hosts].name)
			}
			p.note("bad client %d.%d -> allocator %d set-ups with at", round, i, each)
			_, _ = bad.Write([]byte(text.String()))
		}
	}
	flood(0)
	p.note("the first flood was written")
	time.Sleep(2 * time.Second)
	c = o.connect("owner 2")
	for _, tag := range tags {
		for _, h := range all {
			h.mu.Lock()
			holds := h.tasks[tag] != nil
			h.mu.Unlock()
			if holds {
				c.handOver(tag, "tiles", h.name)
			}
		}
	}
	other := o.connect("owner 3")
	other.test(1)
	time.Sleep(idle)
	c.close()
	time.Sleep(500 * time.Millisecond)
	flood(1)
	for i := range uint64(6) {
		other.test(2 + i)
		other.request("tiles", 6000, 100+i)
		time.Sleep(1500 * time.Millisecond)
	}
	time.Sleep(time.Second)
	cut, untold := 0, 0
	for _, tag := range tags {
		stands := false
		for _, h := range all {
			h.mu.Lock()
			stands = stands || h.tasks[tag] != nil
			h.mu.Unlock()
		}
		if stands {
			continue
		}
		cut++
		if len(o.about(tag)) < 2 {
			untold++
			p.say("task %016x was cut at its host by the allocator, and its owner was told of no end", tag)
		}
	}
	p.say("tasks handed over %d, cut %d, owner not told %d", tasks, cut, untold)
	return untold > 0
}
