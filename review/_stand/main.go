// Command stand plays one case of the review: it starts the project's allocator with the command of the deploy file,
// and takes the place of its owners, hosts and journal service. Every address is on loopback, every time is real.
//
// Exit status: 0 if the rule held, 1 if it was broken, 2 if the case could not be played.
package main

import (
	"cmp"
	"errors"
	"flag"
	"fmt"
	"os"
	"runtime"
	"time"
)

// endLimit is the time after its end within which a task has to be released where its host could send no release. The
// pages extend each time limit by slack.
const (
	endLimit = 8 * time.Second
	slack    = 50 * time.Millisecond
)

// errBroken is returned by a case in which the rule was broken.
var errBroken = errors.New("rule broken")

// play is one case.
type play struct {
	run      func(w *world, trouble bool) error // trouble is false in the play without the disruption
	hosts    int                                // 4 if 0
	memoryMB int                                // the allocator's memory limit; 192 if 0
}

// cases are the cases by name.
var cases = map[string]play{}

// world is what every case plays with.
type world struct {
	record *record
	dir    string
	alloc  *allocator
	hosts  []*host
	feed   *journal
	owners *owners
}

// newWorld starts hosts, journal and allocator, and waits until the allocator passes a test.
func newWorld(r *record, dir string, hosts, memoryMB int) (*world, error) {
	w := &world{record: r, dir: dir}
	for i := range hosts {
		h, err := newHost(r, fmt.Sprintf("s-%08x", 0x00c41f7a+i))
		if err != nil {
			return nil, err
		}
		w.hosts = append(w.hosts, h)
	}
	var err error
	if w.feed, err = newJournal(r, w.hosts...); err != nil {
		return nil, err
	}
	if w.alloc, err = newAllocator(r, dir, w.feed.addr); err != nil {
		return nil, err
	}
	w.alloc.config["limits"] = map[string]any{"cores": 1.0, "memory_mb": memoryMB, "sockets": 1024}
	w.owners = newOwners(r, w.alloc.listen)
	if err := w.alloc.start(w.feed.known()); err != nil {
		return w, err
	}
	if !w.owners.ready(20 * time.Second) {
		return w, errors.New("the allocator did not pass a test within 20 s")
	}
	return w, nil
}

// holder returns the host on which a task stands, or nil.
func (w *world) holder(id uint64) *host {
	for _, h := range w.hosts {
		if h.holds(id) {
			return h
		}
	}
	return nil
}

// place asks for one task, and waits until it stands on a host.
func (w *world) place(c *ownerConn, class string) (uint64, *host, error) {
	id := w.owners.newID()
	if err := c.ask(id, class, 6*time.Second, 0.5, ""); err != nil {
		return id, nil, err
	}
	if !w.owners.placed(id, 6*time.Second) {
		return id, nil, errors.New("a task was not placed in the quiet time before the disruption")
	}
	h := w.holder(id)
	if h == nil {
		return id, nil, fmt.Errorf("%016x was answered 'served' and stands nowhere", id)
	}
	return id, h, nil
}

// checkRelease waits until a task that ended at the given time is released towards its client, for patience at most.
// The rule is broken if the release comes later than the limit, or not at all.
func (w *world) checkRelease(id uint64, ended time.Time, limit, patience time.Duration) error {
	var release answer
	if !wait(time.Until(ended.Add(patience)), func() (ok bool) { release, ok = w.owners.released(id); return ok }) {
		return fmt.Errorf("%w: %016x has ended, and was not released within %v", errBroken, id, patience)
	}
	took := release.at.Sub(ended)
	w.record.add("%016x was released %v after its end, on connection %s", id, took.Round(time.Millisecond), release.on)
	if took > limit+slack {
		return fmt.Errorf("%w: %016x was released %v after its end", errBroken, id, took.Round(time.Millisecond))
	}
	return nil
}

func main() {
	name := flag.String("case", "", "name of the case")
	path := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	runtime.LockOSThread() // the allocator is killed when the thread that started it ends
	os.Exit(run(*name, *path, os.Getenv("TROUBLE") != "0"))
}

// run plays a case and returns the exit status.
func run(name, path string, trouble bool) int {
	chosen, ok := cases[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "there is no case %q\n", name)
		return 2
	}
	r, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer r.close()
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer os.RemoveAll(dir)
	r.add("case %s, with the disruption: %v", name, trouble)
	w, err := newWorld(r, dir, cmp.Or(chosen.hosts, 4), cmp.Or(chosen.memoryMB, 192))
	if w != nil && w.alloc != nil {
		defer w.alloc.kill()
	}
	if err == nil {
		err = chosen.run(w, trouble)
	}
	if err == nil && !w.alloc.running() {
		err = errors.New("the allocator has ended")
	}
	switch {
	case err == nil:
		r.add("result: the rule held")
		return 0
	case errors.Is(err, errBroken):
		r.add("result: %v", err)
		fmt.Println(err)
		return 1
	}
	r.add("result: the case could not be played: %v", err)
	fmt.Fprintln(os.Stderr, err)
	return 2
}
