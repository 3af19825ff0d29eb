// Command drill runs the decision module on the bench's wire, on standard input and output.
package main

import (
	"fmt"
	"os"

	"grebeglade/internal/drill"
)

func main() {
	if err := drill.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "drill:", err)
		os.Exit(1)
	}
}
