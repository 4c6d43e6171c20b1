// Command soak runs random schedules of faults against real router processes and exits
// non-zero if a guarantee was violated.
package main

import (
	"os"

	"hickoryrock/internal/soak/scenario"
)

func main() { os.Exit(scenario.Main(os.Args[1:], os.Stdout, os.Stderr)) }
