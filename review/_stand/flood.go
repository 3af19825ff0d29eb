package main

import (
	"fmt"
	"os"
	"regexp"
	"strconv"
	"strings"
	"time"
)

func init() { cases["flood"] = play{run: flood, memoryMB: memoryLimit} }

// memoryLimit is `memory_mb` of the configuration in this case.
const memoryLimit = 64

// anonymousMemory returns the allocator's resident memory without mapped files, in MB.
func (a *allocator) anonymousMemory() (int, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", a.cmd.Process.Pid))
	if err != nil {
		return 0, fmt.Errorf("read the allocator's memory: %w", err)
	}
	kilobytes := regexp.MustCompile(`(?m)^RssAnon:\s*(\d+) kB`).FindSubmatch(text)
	if kilobytes == nil {
		return 0, fmt.Errorf("process %d has no resident memory", a.cmd.Process.Pid)
	}
	n, err := strconv.Atoi(string(kilobytes[1]))
	return n >> 10, err
}

// flood: bad clients hand over tasks with ids that no host knows, hundreds at once, and leave. The platform kills the
// allocator if it goes over its memory limit.
func flood(w *world, trouble bool) error {
	const (
		badClients = 20
		setUps     = 300 // of each bad client
	)
	owner, err := w.owners.dial("a")
	if err != nil {
		return err
	}
	description := strings.Repeat("x", 15000)
	for client := range badClients {
		if _, _, err := w.place(owner, "map-tiles"); err != nil {
			return err
		}
		if trouble {
			if err := w.badClient(client, setUps, description); err != nil {
				return err
			}
		}
		time.Sleep(time.Second)
		used, err := w.alloc.anonymousMemory()
		if err != nil {
			return err
		}
		w.record.add("platform: the allocator uses %d MB, %d are allowed", used, memoryLimit)
		if used > memoryLimit {
			w.alloc.kill()
			return fmt.Errorf("%w: the allocator used %d MB of %d after %d bad clients, and was killed",
				errBroken, used, memoryLimit, client+1)
		}
	}
	return nil
}

// badClient sends set-ups for tasks that a host is said to hold already, at full speed, and closes.
func (w *world) badClient(number, setUps int, description string) error {
	bad, err := w.owners.dial(fmt.Sprintf("bad-%d", number))
	if err != nil {
		return err
	}
	defer bad.Close()
	w.record.add("owner %s: sends %d set-ups with ids that no host knows", bad.name, setUps)
	for i := range setUps {
		id := uint64(0x1111<<48 + number*setUps + i)
		err := bad.write(line{Verb: "START", Tag: fmt.Sprintf("%016x", id), Blob: &description, Opts: map[string]string{
			"class": "map-tiles", "left": "6000", "key": fmt.Sprintf("%016x", id),
			"extras": "cores:0.25;memory:0.5;service:00000000b4d65521;at:" + w.hosts[0].name,
		}})
		if err != nil {
			w.record.add("owner %s: was closed after %d set-ups", bad.name, i)
			return nil
		}
	}
	time.Sleep(500 * time.Millisecond)
	return nil
}
