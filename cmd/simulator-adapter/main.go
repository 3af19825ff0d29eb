// Command drill runs the decision module on the bench's wire, on standard input and output.
package main

import (
	"fmt"
	"os"

	"grebeglade/internal/frontend/simulator"
)

func main() {
	if err := simulator.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simulator-adapter:", err)
		os.Exit(1)
	}
}
