// Package slopes measures how the cost of the fleet's mechanisms grows with its
// size. With -measure, the tests print the measurements and a linear fit of each.
package slopes

import (
	"flag"
	"fmt"
	"math"
	"os"
	"runtime"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	// minTime is the minimum total time for which a function is repeated to measure it.
	minTime    = 100 * time.Millisecond
	maxRepeats = 1 << 24
)

type (
	// series holds the measurements of one cost at several sizes.
	series struct {
		name  string
		xUnit string
		yUnit string
		x, y  []float64
	}

	// linearFit is the least-squares line through a series.
	linearFit struct {
		intercept, slope float64
		// r2 is the coefficient of determination.
		r2 float64
	}
)

var measure = flag.Bool("measure", false, "run the measurements and print linear fits")

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(m.Run())
}

// skipUnlessMeasuring skips a test that only prints measurements.
func skipUnlessMeasuring(t *testing.T) {
	t.Helper()
	if !*measure {
		t.Skip("needs -measure")
	}
}

func (s *series) add(x, y float64) {
	s.x, s.y = append(s.x, x), append(s.y, y)
}

// fit returns the least-squares line through the points.
func (s *series) fit() linearFit {
	n := float64(len(s.x))
	meanX, meanY := sum(s.x)/n, sum(s.y)/n
	var xx, xy, yy float64
	for i := range s.x {
		dx, dy := s.x[i]-meanX, s.y[i]-meanY
		xx, xy, yy = xx+dx*dx, xy+dx*dy, yy+dy*dy
	}
	l := linearFit{slope: xy / xx, r2: 1}
	l.intercept = meanY - l.slope*meanX
	if yy > 0 {
		l.r2 = xy * xy / (xx * yy)
	}
	return l
}

func sum(list []float64) float64 {
	total := 0.0
	for _, v := range list {
		total += v
	}
	return total
}

// report logs the points and their linear fit.
func (s *series) report(t *testing.T) {
	t.Helper()
	points := ""
	for i := range s.x {
		points += fmt.Sprintf(" %.0f: %.4g;", s.x[i], s.y[i])
	}
	l := s.fit()
	t.Logf("%s [%s by %s]:%s fit %.4g + %.4g x, r2 %.3f", s.name, s.yUnit, s.xUnit, points, l.intercept, l.slope, l.r2)
}

// timePerCall returns the mean time of one call of f in nanoseconds.
func timePerCall(f func()) float64 {
	f()
	for n := 1; ; n *= 2 {
		start := time.Now()
		for range n {
			f()
		}
		if took := time.Since(start); took >= minTime || n >= maxRepeats {
			return float64(took.Nanoseconds()) / float64(n)
		}
	}
}

// retainedHeap returns the heap bytes that the value returned by build keeps alive.
func retainedHeap[T any](build func() T) float64 {
	before := liveHeap()
	v := build()
	after := liveHeap()
	runtime.KeepAlive(v)
	return math.Max(0, float64(after)-float64(before))
}

func liveHeap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// heapAndStacks returns the bytes of live heap and stacks.
func heapAndStacks() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

func TestFit(t *testing.T) {
	c := qt.New(t)
	s := series{x: []float64{1, 2, 4}, y: []float64{5, 7, 11}}
	l := s.fit()
	c.Assert(math.Abs(l.intercept-3) < 1e-9, qt.IsTrue)
	c.Assert(math.Abs(l.slope-2) < 1e-9, qt.IsTrue)
	c.Assert(math.Abs(l.r2-1) < 1e-9, qt.IsTrue)
}
