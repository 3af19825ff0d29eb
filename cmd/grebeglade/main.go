// Command grebeglade places long-running workloads on a cluster's nodes.
package main

import (
	"os"

	"grebeglade/internal/command"
)

func main() { os.Exit(command.Run(os.Args[1:], os.Stdout, os.Stderr)) }
