package gossip

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	fastKbit = 200_000
	slowKbit = 10_000
)

// newCachePeers returns routers of failure domains of a size, the first fast ones of each with fast
// links. They have started in random order.
func newCachePeers(domains, size, fast int, random *rand.Rand) []cachePeer {
	var peers []cachePeer
	for d := range domains {
		for i := range size {
			p := cachePeer{linkKbit: slowKbit, Identity: Identity{
				Router: fmt.Sprint("r-", d, "-", i), PeerAddress: fmt.Sprint(d, ".", i), FailureDomain: fmt.Sprint(d),
				Incarnation: random.Uint64N(1 << 40),
			}}
			if i < fast {
				p.linkKbit = fastKbit
			}
			peers = append(peers, p)
		}
	}
	return peers
}

func others(peers []cachePeer, self int) []cachePeer {
	return slices.Concat(peers[:self], peers[self+1:])
}

// Guards against slow links between the first router that knows the caches and all others.
func TestSelectCacheSource(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	peers := newCachePeers(3, 20, 2, random)
	assertSources := func(c *qt.C, self int, list []cachePeer, isSmall, wantExpected bool, want func(cachePeer) bool) {
		c.Helper()
		for range 50 {
			s := selectCacheSource(peers[self], list, isSmall, random.Uint64N)
			c.Assert(s.Expected, qt.Equals, wantExpected)
			i := slices.IndexFunc(list, func(p cachePeer) bool { return p.Router == s.Router })
			c.Assert(i >= 0 && list[i].isLoaded && want(list[i]), qt.IsTrue, qt.Commentf("%q", s.Router))
		}
	}
	t.Run("one of all fast routers expects nobody and reads the engines", func(t *testing.T) {
		first := 0
		for i, p := range peers {
			if p.linkKbit == fastKbit && p.Incarnation < peers[first].Incarnation {
				first = i
			}
		}
		for i := range peers {
			s := selectCacheSource(peers[i], others(peers, i), false, random.Uint64N)
			qt.Assert(t, s, qt.Equals, CacheSource{Expected: i != first})
		}
	})
	t.Run("a fast router takes them from another failure domain", func(t *testing.T) {
		list := others(peers, 0)
		list[20].isLoaded = true // The second fast one of domain 1.
		defer func() { list[20].isLoaded = false }()
		assertSources(qt.New(t), 0, list, false, selectCacheSource(peers[0], list, false, random.Uint64N).Expected,
			func(p cachePeer) bool { return p.FailureDomain == "1" })
	})
	t.Run("a slow one from its own, mostly from fast routers", func(t *testing.T) {
		list := others(peers, 5)
		for i := range list {
			list[i].isLoaded = true
		}
		fast := 0
		for range 1000 {
			s := selectCacheSource(peers[5], list, false, random.Uint64N)
			i := slices.IndexFunc(list, func(p cachePeer) bool { return p.Router == s.Router })
			qt.Assert(t, list[i].FailureDomain, qt.Equals, "0")
			if list[i].linkKbit == fastKbit {
				fast++
			}
		}
		// 400 of 570 Mbit/s.
		qt.Assert(t, fast > 600 && fast < 800, qt.IsTrue, qt.Commentf("%d of 1000", fast))
	})
	t.Run("without a fast one in its domain, the first one there reads the engines", func(t *testing.T) {
		list := newCachePeers(1, 20, 0, random)
		foreign := newCachePeers(2, 20, 2, random)[20:]
		expecting := 0
		for i := range list {
			if selectCacheSource(list[i], append(others(list, i), foreign...), false, random.Uint64N).Expected {
				expecting++
			}
		}
		qt.Assert(t, expecting, qt.Equals, 19)
	})
	t.Run("with equal or unknown links the first one of each domain reads the engines", func(t *testing.T) {
		for _, link := range []uint32{0, slowKbit} {
			list := newCachePeers(3, 20, 0, random)
			for i := range list {
				list[i].linkKbit = link
			}
			expecting := 0
			for i := range list {
				if selectCacheSource(list[i], others(list, i), false, random.Uint64N).Expected {
					expecting++
				}
			}
			qt.Assert(t, expecting, qt.Equals, 57)
		}
	})
}

// TestCacheContentsSpreadAfterLossOfAll guards against a fleet that reads all prompts again while its
// routers wait for the cache contents: the loss of all of 125 routers, of which two in each failure
// domain have fast links. A router sends the contents, 300 KB, to as many others at a time as its
// link allows; both links bound a transfer.
func TestCacheContentsSpreadAfterLossOfAll(t *testing.T) {
	const (
		step     = 10 * time.Millisecond
		contents = 300 * 8 // kbit
		poll     = 50 * time.Millisecond
	)
	type transfer struct {
		from, to int
		left     float64 // kbit
	}
	random := rand.New(rand.NewPCG(3, 4))
	peers := newCachePeers(4, 31, 2, random)
	now := time.Duration(0)
	var transfers []transfer
	waiting := make([]time.Duration, len(peers)) // Until the next attempt.
	for i := range peers {
		if !selectCacheSource(peers[i], others(peers, i), false, random.Uint64N).Expected {
			peers[i].isLoaded = true
		}
	}
	loaded := func() int {
		n := 0
		for _, p := range peers {
			if p.isLoaded {
				n++
			}
		}
		return n
	}
	sending := func(i int) int {
		n := 0
		for _, tr := range transfers {
			if tr.from == i {
				n++
			}
		}
		return n
	}
	for ; loaded() < len(peers) && now < 10*time.Second; now += step {
		for i := range peers {
			if peers[i].isLoaded || waiting[i] > now || slices.ContainsFunc(transfers, func(tr transfer) bool { return tr.to == i }) {
				continue
			}
			waiting[i] = now + poll + time.Duration(random.Int64N(int64(poll)))
			s := selectCacheSource(peers[i], others(peers, i), false, random.Uint64N)
			from := slices.IndexFunc(peers, func(p cachePeer) bool { return p.Router == s.Router })
			if from >= 0 && sending(from) < cacheSendsAtATime(float64(peers[from].linkKbit)/1000) {
				transfers = append(transfers, transfer{from, i, contents})
			}
		}
		for j := range transfers {
			tr := &transfers[j]
			rate := min(float64(peers[tr.from].linkKbit)/float64(sending(tr.from)), float64(peers[tr.to].linkKbit))
			if tr.left -= rate * step.Seconds(); tr.left <= 0 {
				peers[tr.to].isLoaded = true
			}
		}
		transfers = slices.DeleteFunc(transfers, func(tr transfer) bool { return tr.left <= 0 })
	}
	// Callers that found no router return after a second.
	qt.Assert(t, now < time.Second, qt.IsTrue, qt.Commentf("%v", now))
}
