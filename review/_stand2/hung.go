package main

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"syscall"
	"time"
)

func init() { cases["hung-host"] = hungHost }

const (
	hungLife = 6 * time.Second // how long each task runs on the host that hangs
	hungName = "s-0000dead"
)

// hostProcess is a host as a process of its own, which can be stopped and continued.
type hostProcess struct {
	process *exec.Cmd
	address string
	ended   chan uint64 // tags of tasks that have come to their end
}

// runHost is the host process: it reports on standard output, and ends with its standard input.
func runHost(address string) {
	p := &play{start: time.Now(), record: bufio.NewWriter(os.Stderr), unbuffered: true}
	h := p.newHost(hungName, listenAt(p, address))
	h.startTime = func(uint64) time.Duration { return 30 * time.Millisecond }
	h.notices = 500 * time.Millisecond
	h.onRun = func(a *attempt) {
		time.AfterFunc(hungLife, func() {
			if h.finishTask(a.tag) {
				fmt.Printf("ended %x\n", a.tag)
			}
		})
	}
	go h.accept()
	fmt.Printf("listens %s\n", h.addr())
	_, _ = os.Stdin.Read(make([]byte, 1))
}

// startHostProcess starts a host at an address of its own.
func (p *play) startHostProcess() *hostProcess {
	h := &hostProcess{process: exec.Command(os.Args[0], "host", p.host()+":0"), ended: make(chan uint64, 4096)}
	h.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if _, err := h.process.StdinPipe(); err != nil {
		p.cannotRun("host: %v", err)
	}
	out, err := h.process.StdoutPipe()
	if err != nil {
		p.cannotRun("host: %v", err)
	}
	notes, err := h.process.StderrPipe()
	if err != nil {
		p.cannotRun("host: %v", err)
	}
	if err := h.process.Start(); err != nil {
		p.cannotRun("host: %v", err)
	}
	p.mu.Lock()
	p.hosts = append(p.hosts, h)
	p.mu.Unlock()
	lines := bufio.NewScanner(out)
	if !lines.Scan() {
		p.cannotRun("host: no address")
	}
	if _, err := fmt.Sscanf(lines.Text(), "listens %s", &h.address); err != nil {
		p.cannotRun("host: %v", err)
	}
	go func() {
		for scanner := bufio.NewScanner(notes); scanner.Scan(); {
			p.note("| %s", scanner.Text())
		}
	}()
	go func() {
		for lines.Scan() {
			var tag uint64
			if _, err := fmt.Sscanf(lines.Text(), "ended %x", &tag); err == nil {
				h.ended <- tag
			}
		}
	}()
	return h
}

// hungHost stops the process of one of twenty hosts for 5 s. Some of its tasks come to their end meanwhile.
func hungHost(p *play) bool {
	const hosts, hang, within = 20, 5 * time.Second, 8*time.Second + 50*time.Millisecond
	e := &events{}
	var all []*host
	hung := p.startHostProcess()
	endpoints := []map[string]any{endpoint(hungName, hung.address, "Ready")}
	for i := range hosts - 1 {
		h := p.startHost(i)
		h.notices = 500 * time.Millisecond
		h.onRun = func(a *attempt) { time.AfterFunc(hungLife, func() { h.finishTask(a.tag) }) }
		all = append(all, h)
		endpoints = append(endpoints, h.endpoint("Ready"))
	}
	e.add(true, endpoints...)
	j := p.startJournal("journal", e)
	a := p.startAllocator(settings(4), j.addr(), e.known(), 512)
	o := p.newOwners(a)
	c := o.connect("owner")
	type end struct {
		tag uint64
		at  time.Time
	}
	var ends []end
	collected := make(chan struct{})
	stop := time.Now().Add(35 * time.Second)
	go func() {
		defer close(collected)
		for time.Now().Before(stop.Add(2 * time.Second)) {
			select {
			case tag := <-hung.ended:
				ends = append(ends, end{tag, time.Now()})
			case <-time.After(100 * time.Millisecond):
			}
		}
	}()
	go func() {
		time.Sleep(time.Until(p.start.Add(12 * time.Second)))
		if !p.trouble {
			return
		}
		p.note("%s hangs", hungName)
		_ = hung.process.Process.Signal(syscall.SIGSTOP)
		time.Sleep(hang)
		p.note("%s goes on", hungName)
		_ = hung.process.Process.Signal(syscall.SIGCONT)
	}()
	for i := uint64(0); time.Now().Before(stop.Add(-7 * time.Second)); i++ {
		c.request("tiles", 6000, i%60+1)
		time.Sleep(25 * time.Millisecond)
	}
	<-collected
	time.Sleep(within)
	served, lost := 0, 0
	for _, end := range ends {
		received := o.about(end.tag)
		if len(received) == 0 || received[0].Verb != "STARTED" {
			continue
		}
		served++
		if len(received) == 1 {
			lost++
			p.say("request %016x: answered 'served' at %.0f; ended at %.0f; its owner was told of no end", end.tag,
				p.since(received[0].at), p.since(end.at))
		}
	}
	p.say("tasks of %s that were served and have ended: %d; their owners were told of no end: %d", hungName, served, lost)
	return lost > 0
}
