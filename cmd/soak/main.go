// Command soak runs random schedules of faults against real router processes and exits
// non-zero if a guarantee was violated.
package main

import (
	"os"

	"hickoryrock/internal/soak/day"
)

func main() { os.Exit(day.Main(os.Args[1:], os.Stdout, os.Stderr)) }
