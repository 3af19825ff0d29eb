// Command simulator-adapter makes the placement decisions for the allocators in a simulation. It reads the simulator's
// requests from standard input and writes the replies to standard output.
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
