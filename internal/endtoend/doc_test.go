// Package endtoend_test tests the platform's allocator as a process of its own. The test binary runs the program, and
// its peers are stand-ins on loopback: nodes, a discovery service and clients. Times are real. Each test states the
// bound that the platform's pages give, which is extended by slack.
package endtoend_test

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"grebeglade/internal/command"
)

// Bounds of the platform's pages.
const (
	slack        = 50 * time.Millisecond
	releaseLimit = time.Second     // from a node's release, or the allocator's, to the client's notification
	endLimit     = 8 * time.Second // from a workload's end to the client's notification, where no release could be sent
	invalidLimit = 3 * time.Second // from connecting to the end of a client whose messages cannot be accepted
	partition    = 6 * time.Second // for which a node may be cut off without losing its workloads
)

// runAsProgram is the environment variable with a command line that the test binary runs instead of the tests.
const runAsProgram = "GREBEGLADE_ENDTOEND_COMMAND"

func TestMain(m *testing.M) {
	if calls := os.Getenv(injectFaults); calls != "" {
		fmt.Fprintln(os.Stderr, runFiltered(calls))
		os.Exit(1)
	}
	if line := os.Getenv(runAsProgram); line != "" {
		os.Exit(command.Run(strings.Fields(line), os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}
