package trace

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const defaultFactor = 1.25

var (
	smallConfig = Config{Seed: 7, Duration: 10 * time.Minute, Rate: 16, Engines: 20, Workspaces: 10}
	largeConfig = Config{Seed: 7, Duration: 10 * time.Minute, Rate: 1467, Engines: 1800, Workspaces: 600}
)

func findPolicy(name string) policy {
	for _, p := range policies {
		if p.name == name {
			return p
		}
	}
	panic("no policy " + name)
}

func TestChosenPolicy(t *testing.T) {
	trace := New(smallConfig)
	chosen := newFleet(trace, 8, defaultFactor).play(findPolicy("permits+exceptions"))
	baseline := newFleet(trace, 8, defaultFactor).play(findPolicy("two-choices"))
	c := qt.New(t)
	c.Assert(chosen.overBound, qt.Equals, 0)
	c.Assert(chosen.reuse > baseline.reuse, qt.IsTrue)
	c.Assert(chosen.refused*100 < chosen.requests, qt.IsTrue)
	// The baseline must be able to fail the bound on this trace.
	c.Assert(baseline.overBound > 0, qt.IsTrue)
}

func report(b *testing.B, name string, r results) {
	fmt.Printf("%-30s reuse %.3f  max/mean %.2f  p99/mean %.2f  bytes/router/s %7.0f  over bound %6d  over true mean %6d  refused %5d of %d\n",
		name, r.reuse, r.maxOverMean, r.p99OverMean, r.bytes, r.overBound, r.overTrue, r.refused, r.requests)
	b.ReportMetric(r.reuse, "reuse")
	b.ReportMetric(r.maxOverMean, "max/mean")
}

func BenchmarkPolicy(b *testing.B) {
	for _, size := range []struct {
		routers int
		config  Config
	}{{8, smallConfig}, {330, largeConfig}} {
		routers, trace := size.routers, New(size.config)
		b.Run(fmt.Sprint("routers=", routers), func(b *testing.B) {
			for _, p := range policies {
				b.Run(p.name, func(b *testing.B) {
					report(b, p.name, newFleet(trace, routers, defaultFactor).play(p))
				})
			}
			for _, factor := range []float64{1.05, 1.1, 1.25, 1.5, 2, 3} {
				name := fmt.Sprint("load-bound=", factor)
				b.Run(name, func(b *testing.B) {
					report(b, name, newFleet(trace, routers, factor).play(findPolicy("permits+exceptions")))
				})
			}
		})
	}
}
