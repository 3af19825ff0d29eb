package main

import "time"

func init() { cases["front-test"] = frontTest }

// frontTest has an owner close its connection, which carries no task for 4 s, while its task stands. The task comes to
// its end, the front sends one of its tests, and the owner sends its next request.
func frontTest(p *play) bool {
	const idle, within = 4 * time.Second, 8*time.Second + 50*time.Millisecond
	e := &events{}
	h := p.startHost(0)
	e.add(true, h.endpoint("Ready"))
	j := p.startJournal("journal", e)
	a := p.startAllocator(settings(4), j.addr(), e.known(), 512)
	o := p.newOwners(a)
	front := o.connect("front")
	front.test(1)
	o.waitFor(1, 1, time.Second)

	first := o.connect("owner 1")
	tag := first.request("tiles", 6000, 1)
	if received := o.waitFor(tag, 1, 7*time.Second); len(received) == 0 || received[0].Verb != "STARTED" {
		p.cannotRun("the request was not served")
	}
	if p.trouble {
		time.Sleep(idle)
		first.close()
	}
	time.Sleep(500 * time.Millisecond)
	h.finishTask(tag)
	ended := time.Now()
	time.Sleep(500 * time.Millisecond)
	front.test(2)
	o.waitFor(2, 1, time.Second)
	time.Sleep(time.Second)
	second := o.connect("owner 2")
	second.request("tiles", 6000, 2)
	time.Sleep(time.Until(ended.Add(within)))
	for _, t := range o.about(tag)[1:] {
		if t.conn != front.name {
			p.say("the owner was told of the end after %v, on %s", t.at.Sub(ended), t.conn)
			return false
		}
		p.say("%s was told of the end after %v", t.conn, t.at.Sub(ended))
	}
	p.say("the owner was not told of the end within %v", within)
	return true
}
