package main

import (
	"fmt"
	"time"
)

func init() { cases["unreadable"] = unreadable }

// unreadable has a bad client send a set-up whose line cannot be read: its description is not UTF-8, hence the line no
// JSON. Without trouble the same client sends a description that can be read.
func unreadable(p *play) bool {
	e := &events{}
	h := p.startHost(0)
	var descriptions []string
	h.onSetUp = func(m *message) { descriptions = append(descriptions, m.params[paramDescription]) }
	e.add(true, h.endpoint("Ready"))
	j := p.startJournal("journal", e)
	a := p.startAllocator(settings(4), j.addr(), e.known(), 512)
	o := p.newOwners(a)

	usual := o.connect("owner")
	first := usual.request("tiles", 6000, 1)
	if received := o.waitFor(first, 1, 7*time.Second); len(received) == 0 || received[0].Verb != "STARTED" {
		p.cannotRun("the usual request was not served")
	}

	description := "9d41c07a5be2f318 f\u00e4ltgr\u00e4ns"
	if p.trouble { // the same text in Latin-1
		description = "9d41c07a5be2f318 f\xe4ltgr\xe4ns"
	}
	bad := o.connect("bad client")
	tag := o.newTag()
	text := fmt.Sprintf(`{"verb":"START","tag":"%016x","opts":{"class":"tiles","left":"6000","key":"%016x",`+
		`"extras":"cores:0.25;memory:0.5;service:0000000000000002"},"blob":"%s"}`+"\n", tag, tag, description)
	p.note("bad client -> allocator %q", text)
	fmt.Fprint(bad, text)
	received := o.waitFor(tag, 1, 4*time.Second)
	time.Sleep(500 * time.Millisecond)

	broken := false
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, got := range descriptions[1:] {
		p.say("the host got a set-up with the description %q; sent was %q", got, description)
		broken = broken || got != description
	}
	for _, l := range received {
		p.say("the client got %s", l.Verb)
		broken = broken || p.trouble && l.Verb == "STARTED"
	}
	return broken
}
