package main

import (
	"math/rand"
	"sync"
	"time"
)

func init() {
	cases["lost-answers"] = func(p *play) bool { return p.spoiltAnswers(false) }
	cases["late-answers"] = func(p *play) bool { return p.spoiltAnswers(true) }
}

// spoiltAnswers plays a small site whose hosts' good answers arrive after their time, or never, from any host alike.
func (p *play) spoiltAnswers(late bool) bool {
	const hosts, share, duration = 8, 0.15, 45 * time.Second
	const startTime, lateness = 250 * time.Millisecond, 20 * time.Millisecond
	e := &events{}
	var all []*host
	var endpoints []map[string]any
	var mu sync.Mutex
	random := rand.New(rand.NewSource(1))
	intn := func(n int) int {
		mu.Lock()
		defer mu.Unlock()
		return random.Intn(n)
	}
	for i := range hosts {
		h := p.startHost(i)
		h.notices = 400 * time.Millisecond
		h.startTime = func(uint64) time.Duration { return startTime }
		h.holdAnswer = func(a *attempt) time.Duration {
			switch {
			case !p.trouble || intn(1000) >= share*1000:
				return 0
			case late: // it arrives just after the time that the allocator waits
				return time.Until(a.at.Add(time.Duration(a.wait)*time.Millisecond + lateness))
			}
			return -1
		}
		all = append(all, h)
		endpoints = append(endpoints, h.endpoint("Ready"))
	}
	e.add(true, endpoints...)
	j := p.startJournal("journal", e)
	a := p.startAllocator(settings(4), j.addr(), e.known(), 512)
	o := p.newOwners(a)
	c := o.connect("owner")
	ended := map[uint64]time.Time{} // tasks that hosts ended, guarded by mu
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(40 * time.Millisecond) {
		tag := c.request("tiles", 6000, uint64(intn(12)+1))
		life := time.Duration(8+intn(6)) * time.Second
		time.AfterFunc(life, func() {
			for _, h := range all {
				h.finishTask(tag)
			}
			mu.Lock()
			defer mu.Unlock()
			ended[tag] = time.Now()
		})
	}
	time.Sleep(14*time.Second + 9*time.Second) // the longest life, and the limit for releases
	mu.Lock()
	defer mu.Unlock()
	if late {
		return p.judgeStanding(o, all)
	}
	return p.judgeOverlaps(all)
}

// judgeStanding looks for requests that were answered 'served', whose task runs nowhere, and which were not released.
func (p *play) judgeStanding(o *owners, all []*host) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	served, lost := 0, 0
	for tag := range o.sentAt {
		received := o.received[tag]
		if len(received) == 0 || received[0].Verb != "STARTED" {
			continue
		}
		served++
		stands := false
		for _, h := range all {
			h.mu.Lock()
			stands = stands || h.tasks[tag] != nil
			h.mu.Unlock()
		}
		if !stands && len(received) == 1 {
			lost++
			p.say("request %016x: answered 'served' at %.0f; runs nowhere; its owner was told of no end", tag,
				p.since(received[0].at))
		}
	}
	p.say("requests %d, served %d, left standing %d", len(o.sentAt), served, lost)
	return lost > 0
}

// judgeOverlaps looks for two attempts of one request that were out together for more than slack.
func (p *play) judgeOverlaps(all []*host) bool {
	const slack = 50 * time.Millisecond
	byTag := map[uint64][]*attempt{}
	total := 0
	for _, h := range all {
		h.mu.Lock()
		for _, a := range h.attempts {
			byTag[a.tag] = append(byTag[a.tag], a)
			total++
		}
		h.mu.Unlock()
	}
	overlaps := 0
	for tag, attempts := range byTag {
		for _, x := range attempts {
			for _, y := range attempts {
				if x == y || !x.at.Before(y.at) {
					continue
				}
				if x.out(y.at.Add(slack)) {
					overlaps++
					p.say("request %016x: sent to %s at %.0f and to %s at %.0f, while the first was out until %s", tag,
						x.host.name, p.since(x.at), y.host.name, p.since(y.at), p.until(x))
				}
			}
		}
	}
	p.say("requests %d, attempts %d, overlaps %d", len(byTag), total, overlaps)
	return overlaps > 0
}

// until describes the end of an attempt.
func (p *play) until(a *attempt) string {
	if a.overAt.IsZero() {
		return "the end"
	}
	return a.over
}

// out reports whether an attempt was out or stood at a time, on a connection that had not ended.
func (a *attempt) out(at time.Time) bool {
	over := !a.overAt.IsZero() && a.overAt.Before(at)
	return !over && (a.lostAt.IsZero() || a.lostAt.After(at))
}
