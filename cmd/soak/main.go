// Command soak plays days of random faults on real router processes and exits
// non-zero when a promise was broken.
package main

import (
	"os"

	"hickoryrock/internal/soak/day"
)

func main() { os.Exit(day.Main(os.Args[1:], os.Stdout, os.Stderr)) }
