// Command grebeglade places long-running work on a cluster's machines.
package main

import (
	"os"

	"grebeglade/internal/command"
)

func main() { os.Exit(command.Run(os.Args[1:], os.Stdout, os.Stderr)) }
