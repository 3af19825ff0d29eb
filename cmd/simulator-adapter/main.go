// Command simulator-adapter serves the users' simulator on standard input and output: it makes the placement decisions
// of the allocators that are simulated.
package main

import (
	"fmt"
	"os"

	"grebeglade/internal/frontend/simulator"
)

const exitFailed = 1

func main() {
	if err := simulator.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simulator-adapter:", err)
		os.Exit(exitFailed)
	}
}
