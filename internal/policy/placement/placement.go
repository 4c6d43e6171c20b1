// Package placement orders the targets of a service for a chat, and routers for
// a target, by weighted rendezvous hashing.
package placement

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// classesPerOctave is the number of weight classes in a doubling of weight.
	classesPerOctave = 4
	// maxOctaves limits weights to the range from 1/8 to 8.
	maxOctaves = 3

	// windowSize is the number of candidates that an Order holds at a time, and
	// windowMean the number that it expects to find in one pass.
	windowSize = 16
	windowMean = 4

	// multiplier is the odd integer nearest to 2^64 divided by the golden
	// ratio.
	multiplier = 0x9e3779b97f4a7c15
	hashRange  = 1 << 64
)

type (
	// Set is an immutable set of targets that can be ordered for a key.
	Set struct {
		targets []Target
		seeds   []uint64
		classes []class
		// window is the range of scores in which windowMean targets are
		// expected.
		window float64
	}

	// Target is one server of a service.
	Target struct {
		Name          string
		FailureDomain string
		// Weight is the target's relative speed; 0 counts as 1.
		Weight float64
	}

	// Order iterates over the targets of a Set in the order of preference for a
	// key. It finds them one window of scores at a time.
	Order struct {
		set    *Set
		key    uint64
		from   float64
		width  float64
		found  [windowSize]candidate
		count  int
		cursor int
	}

	// class is a run of targets of about the same weight. Their order within
	// the class is that of their hashes, so that only candidates need a
	// logarithm.
	class struct {
		first, end int
		weight     float64
	}

	// candidate is a target inside the current window of scores.
	candidate struct {
		score float64
		index int
	}
)

// Key returns the placement key of a chat.
func Key(chat string) uint64 {
	return xxhash.Sum64String(chat)
}

// NewSet returns the set of the given targets. Of targets with equal names, the
// first one in the lowest weight class is kept.
func NewSet(targets []Target) *Set {
	s := &Set{targets: slices.Clone(targets)}
	slices.SortStableFunc(s.targets, func(a, b Target) int {
		return cmp.Or(
			cmp.Compare(weightClass(a.Weight), weightClass(b.Weight)),
			cmp.Compare(a.Name, b.Name),
		)
	})
	seen := make(map[string]bool, len(targets))
	s.targets = slices.DeleteFunc(s.targets, func(t Target) bool {
		duplicate := seen[t.Name]
		seen[t.Name] = true
		return duplicate
	})
	var total float64
	s.seeds = make([]uint64, len(s.targets))
	for i, t := range s.targets {
		s.seeds[i] = xxhash.Sum64String(t.Name)
		if i == 0 || weightClass(t.Weight) != weightClass(s.targets[i-1].Weight) {
			s.classes = append(s.classes, class{first: i, weight: classWeight(t.Weight)})
		}
		s.classes[len(s.classes)-1].end = i + 1
		total += classWeight(t.Weight)
	}
	s.window = windowMean / total
	return s
}

// Len returns the number of targets.
func (s *Set) Len() int {
	return len(s.targets)
}

// Best returns the first target in the order of preference for a key, or false
// if the set is empty.
func (s *Set) Best(key uint64) (Target, bool) {
	o := s.Order(key)
	return o.Next()
}

// Order returns the order of preference for a key.
func (s *Set) Order(key uint64) Order {
	return Order{set: s, key: key, width: s.window}
}

// Next returns the next target, or false after the last one.
func (o *Order) Next() (Target, bool) {
	for o.cursor == o.count {
		if math.IsInf(o.from, 1) || len(o.set.targets) == 0 {
			return Target{}, false
		}
		o.advance()
	}
	t := o.set.targets[o.found[o.cursor].index]
	o.cursor++
	return t, true
}

// advance finds the targets of the next window of scores.
func (o *Order) advance() {
	to := o.from + o.width
	if len(o.set.targets) <= windowSize || hashAt(to, o.set.classes[0].weight) == 0 {
		to = math.Inf(1)
	}
	for !o.fill(to) {
		o.width /= 2
		to = o.from + o.width
	}
	if o.count < windowMean {
		o.width *= 2
	}
	o.from = to
}

// fill collects the targets whose score is at least from and below to. It
// returns false if there are more than windowSize.
func (o *Order) fill(to float64) bool {
	o.count, o.cursor = 0, 0
	key := o.key
	for _, c := range o.set.classes {
		first := hashAt(o.from, c.weight)
		if first == 0 && o.from > 0 {
			continue
		}
		width := hashAt(to, c.weight) - 1 - first
		for i, seed := range o.set.seeds[c.first:c.end] {
			h := mix(seed, key)
			// The unsigned difference to first needs only one comparison.
			if h-first > width {
				continue
			}
			if o.count == windowSize {
				return false
			}
			o.insert(candidate{score: scoreOf(h, c.weight), index: c.first + i})
		}
	}
	return true
}

// insert adds a candidate by insertion sort; there are few of them.
func (o *Order) insert(c candidate) {
	i := o.count
	for ; i > 0 && c.score < o.found[i-1].score; i-- {
		o.found[i] = o.found[i-1]
	}
	o.found[i] = c
	o.count++
}

// mix hashes a key with a target's seed. Only the order of hashes matters,
// which depends on their high bits. Both inputs are hashes already, so one
// multiplication is enough.
func mix(seed, key uint64) uint64 {
	return (seed ^ key) * multiplier
}

// scoreOf maps a hash to an exponential variable whose rate is the weight: a
// target has the lowest score with a probability proportional to its weight.
func scoreOf(hash uint64, weight float64) float64 {
	return -math.Log1p(-float64(hash)/hashRange) / weight
}

// hashAt returns the lowest hash whose score is at least the given one; it
// wraps to 0 past the highest hash.
func hashAt(score, weight float64) uint64 {
	h := -math.Expm1(-score*weight) * hashRange
	if h >= hashRange {
		return 0
	}
	return uint64(h)
}

// weightClass rounds a weight to its class.
func weightClass(weight float64) int {
	if weight <= 0 {
		return 0
	}
	s := math.Round(math.Log2(weight) * classesPerOctave)
	return int(min(max(s, -maxOctaves*classesPerOctave), maxOctaves*classesPerOctave))
}

// classWeight returns the weight that represents a weight's class.
func classWeight(weight float64) float64 {
	return math.Exp2(float64(weightClass(weight)) / classesPerOctave)
}
