// Package seed runs tests with pgregory.net/rapid reproducibly, with the same
// cases in each run.
package seed

import (
	"flag"
	"os"
	"strconv"
)

const (
	defaultSeed   = 20261204
	defaultChecks = 250
	defaultSteps  = 30
)

type (
	// Runner runs the tests of a package; *testing.M implements it.
	Runner interface {
		Run() int
	}

	// Settings configures the tests of one package; zero fields select defaults.
	Settings struct {
		// Seed is the seed of the random generator.
		Seed int
		// Checks is the number of cases per property.
		Checks int
		// Steps is the mean number of actions per case of a stateful test.
		Steps int
	}
)

// Main runs a package's tests with fixed rapid settings and exits the process.
// Flags on the command line take precedence. Call it from TestMain.
func Main(m Runner, s Settings) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{
		"rapid.seed":       orDefault(s.Seed, defaultSeed),
		"rapid.checks":     orDefault(s.Checks, defaultChecks),
		"rapid.steps":      orDefault(s.Steps, defaultSteps),
		"rapid.nofailfile": "true",
	} {
		if given[name] {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func orDefault(v, d int) string {
	if v == 0 {
		v = d
	}
	return strconv.Itoa(v)
}
