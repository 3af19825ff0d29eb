package main

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// play is one run of a case.
type play struct {
	trouble bool
	start   time.Time
	dir     string // temporary folder
	net     string // first two octets of this run's loopback addresses

	recording sync.Mutex
	record    *bufio.Writer
	file      *os.File

	memory     int  // memory limit of the allocator in MB; 192 if it is 0
	unbuffered bool // each line of the record is written at once

	mu        sync.Mutex
	nextAddr  int
	processes []*allocator
	hosts     []*hostProcess
}

// newPlay opens the record and makes a temporary folder.
func newPlay(record string) (*play, error) {
	file, err := os.Create(record)
	if err != nil {
		return nil, fmt.Errorf("record: %w", err)
	}
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, fmt.Errorf("temporary folder: %w", err)
	}
	return &play{
		trouble: os.Getenv("TROUBLE") != "0",
		start:   time.Now(),
		dir:     dir,
		net:     fmt.Sprintf("127.%d", 100+os.Getpid()%100),
		record:  bufio.NewWriter(file),
		file:    file,
	}, nil
}

// since returns the milliseconds since the start of the play.
func (p *play) since(at time.Time) float64 {
	return float64(at.Sub(p.start)) / float64(time.Millisecond)
}

// note writes a line to the record, with the time in ms since the start.
func (p *play) note(format string, args ...any) {
	p.recording.Lock()
	defer p.recording.Unlock()
	fmt.Fprintf(p.record, "%10.1f %s\n", p.since(time.Now()), fmt.Sprintf(format, args...))
	if p.unbuffered {
		_ = p.record.Flush()
	}
}

// say writes a line to the record and to standard output.
func (p *play) say(format string, args ...any) {
	p.note(format, args...)
	fmt.Printf(format+"\n", args...)
}

// host returns a loopback address of its own for one part of the play.
func (p *play) host() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.nextAddr++
	return fmt.Sprintf("%s.%d.%d", p.net, os.Getpid()/100%250+1, p.nextAddr)
}

// listen opens a listener at an address of its own, at a port that the system chooses.
func (p *play) listen() *net.TCPListener { return listenAt(p, p.host()+":0") }

// listenAt opens a listener at an address.
func listenAt(p *play, address string) *net.TCPListener {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		p.cannotRun("listen: %v", err)
	}
	return listener.(*net.TCPListener)
}

// cannotRun ends the play with exit code 2.
func (p *play) cannotRun(format string, args ...any) {
	p.say("CANNOT RUN: "+format, args...)
	p.cleanUp()
	os.Exit(2)
}

// finish ends the play with the result.
func (p *play) finish(broken bool) {
	if broken {
		p.say("RULE BROKEN")
	} else {
		p.say("RULE HELD")
	}
	p.cleanUp()
	if broken {
		os.Exit(1)
	}
	os.Exit(0)
}

// cleanUp ends all processes and writes the record.
func (p *play) cleanUp() {
	p.mu.Lock()
	processes, hosts := p.processes, p.hosts
	p.mu.Unlock()
	for _, a := range processes {
		a.kill()
	}
	for _, h := range hosts {
		_ = h.process.Process.Kill()
		_ = h.process.Wait()
	}
	p.recording.Lock()
	_ = p.record.Flush()
	_ = p.file.Close()
	p.recording.Unlock()
	_ = os.RemoveAll(p.dir)
}

// allocator is a process of the program under test.
type allocator struct {
	p       *play
	addr    string
	file    string
	config  map[string]any
	process *exec.Cmd
	ended   chan struct{}
}

// startAllocator starts an allocator with the command of the deploy file, and waits until it passes a test.
func (p *play) startAllocator(settings string, journal string, known map[string]any, sockets int) *allocator {
	a := &allocator{
		p:    p,
		addr: fmt.Sprintf("%s:%d", p.host(), 21000+os.Getpid()%8000),
		file: filepath.Join(p.dir, "config.json"),
	}
	a.config = map[string]any{
		"name": "n0", "listen": a.addr, "seed": "8c1f30d27a5be964",
		"limits":  map[string]any{"cores": 1.0, "memory_mb": cmp.Or(p.memory, 192), "sockets": sockets},
		"journal": journal, "known": known, "settings": json.RawMessage(settings),
	}
	p.mu.Lock()
	p.processes = append(p.processes, a)
	p.mu.Unlock()
	a.restart()
	return a
}

// restart starts the process, and waits until it passes a test.
func (a *allocator) restart() {
	p := a.p
	a.writeConfig()
	a.process = exec.Command("/bin/sh", "-c", "exec bin/grebeglade platform")
	a.process.Env = append(os.Environ(), "NODE_CONFIG="+a.file, "NODE_LISTEN="+a.addr, "NODE_NAME=n0", "TMPDIR="+p.dir)
	a.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	log, err := os.OpenFile(filepath.Join(p.dir, "allocator.log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		p.cannotRun("log: %v", err)
	}
	a.process.Stdout, a.process.Stderr = log, log
	if err := a.process.Start(); err != nil {
		p.cannotRun("start: %v", err)
	}
	ended := make(chan struct{})
	a.ended = ended
	process := a.process
	go func() {
		_ = process.Wait()
		close(ended)
	}()
	for deadline := time.Now().Add(20 * time.Second); !a.passesTest(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			text, _ := os.ReadFile(log.Name())
			p.cannotRun("allocator not ready: %s", text)
		}
	}
	p.note("allocator ready")
}

// writeConfig writes the configuration, in place of the one before.
func (a *allocator) writeConfig() {
	text, err := json.Marshal(a.config)
	if err == nil {
		err = os.WriteFile(a.file+".new", text, 0o600)
	}
	if err == nil {
		err = os.Rename(a.file+".new", a.file)
	}
	if err != nil {
		a.p.cannotRun("configuration: %v", err)
	}
}

// passesTest sends one test on a connection of its own.
func (a *allocator) passesTest() bool {
	conn, err := net.DialTimeout("tcp", a.addr, time.Second)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	fmt.Fprint(conn, `{"verb":"ECHO","tag":"00000000000000ff","opts":{},"rc":0}`+"\n")
	text, _ := bufio.NewReader(conn).ReadBytes('\n')
	var answer line
	return json.Unmarshal(text, &answer) == nil && answer.Verb == "ECHOED" && answer.RC != nil && *answer.RC == 1
}

// signal sends a signal to the process.
func (a *allocator) signal(s syscall.Signal) { _ = a.process.Process.Signal(s) }

// kill ends the process, and waits for its end.
func (a *allocator) kill() {
	if a.ended == nil {
		return // it was not started
	}
	a.signal(syscall.SIGKILL)
	<-a.ended
	if text, err := os.ReadFile(filepath.Join(a.p.dir, "allocator.log")); err == nil {
		a.p.note("log of the allocator:\n%s", text)
	}
}
