// Command review-stand-2 plays the second review's cases: it starts one allocator with the command of the deploy file,
// and takes the place of its nodes, its discovery service, its clients and the front. It uses the standard library
// alone and shares no code with the program under test.
//
//	review-stand-2 CASE RECORD   # TROUBLE=0 leaves out the disruption
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"syscall"
	"time"
)

// cases are the plays, by name. Each returns whether the rule was broken.
var cases = map[string]func(p *play) (broken bool){}

// limit ends a case that takes too long.
const limit = 115 * time.Second

func main() {
	if len(os.Args) == 3 && os.Args[1] == "host" {
		runHost(os.Args[2])
		return
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-stand-2 CASE RECORD")
		os.Exit(2)
	}
	runtime.LockOSThread() // the system ends the processes that this thread has started when the thread ends
	p, err := newPlay(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	time.AfterFunc(limit, func() { p.cannotRun("the case did not end within %v", limit) })
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() { p.cannotRun("%v", <-signals) }()
	broken := cases[os.Args[1]](p)
	p.finish(broken)
}
