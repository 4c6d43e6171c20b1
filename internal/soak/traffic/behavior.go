package traffic

import (
	"hash/fnv"
	"math"
	"math/rand/v2"
	"time"

	"hickoryrock/platform/platformtest"
)

const (
	// wholeBody sends a call's head and body at once.
	wholeBody bodyStyle = iota
	// slowBody sends the body in pieces, with pauses.
	slowBody
	// chunkedBody sends the body in chunks, with pauses.
	chunkedBody
	// expectContinue sends the body when the router has asked for it with status 100.
	expectContinue
	// extraLine sends an empty line after the body.
	extraLine
	bodyStyles
	// longBody is not drawn: it sends a body of longBodyBytes at once.
	longBody
)

const (
	// burstInterval is the interval at which callers that come at once begin their calls.
	burstInterval = 2 * time.Second
	// retryLimit is how often real callers repeat a call at another router.
	retryLimit = 3
)

type (
	// bodyStyle is the way in which a caller sends the bodies of its calls.
	bodyStyle int

	// Behavior is how a caller uses the fleet. The zero value looks up addresses when their
	// TTL has expired, opens new connections often, makes short calls and repeats none.
	Behavior struct {
		// real callers repeat refused calls elsewhere and try another address when one
		// accepts no connection.
		real bool
		// ttlFactor multiplies the TTL of a lookup response.
		ttlFactor float64
		// keepsConnection callers use a connection until it is closed, and at once after
		// each answer.
		keepsConnection bool
		// leavesMissing callers leave the router when its address is not in a new response.
		leavesMissing bool
		// burst callers all begin their calls at the same times.
		burst bool
		// longRate is the share of long calls.
		longRate float64
		// crowd callers make calls on which targets work for crowdWorkTime.
		crowd bool
		body  bodyStyle
	}
)

// DrawBehavior returns the behavior of a real caller, which follows from its name and a seed.
func DrawBehavior(name string, seed uint64) Behavior {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(name)) // A hash never fails.
	rng := rand.New(rand.NewPCG(seed, hash.Sum64()))
	return Behavior{
		real:      true,
		ttlFactor: []float64{1, 1, 3, 10, math.Inf(1)}[rng.IntN(5)], keepsConnection: rng.IntN(3) > 0, leavesMissing: rng.IntN(2) == 0,
		burst: rng.IntN(4) == 0, longRate: []float64{0, 0.3, 0.7}[rng.IntN(3)], body: bodyStyle(rng.IntN(int(bodyStyles))),
	}
}

// CrowdBehavior returns the behavior of a caller that belongs to a crowd.
func CrowdBehavior() Behavior { return Behavior{real: true, ttlFactor: 1, crowd: true} }

// UploadBehavior returns the behavior of a caller whose calls have long bodies.
func UploadBehavior() Behavior { return Behavior{body: longBody} }

// drawPath returns the path of the caller's next call.
func (b Behavior) drawPath() string {
	if b.crowd {
		return []string{platformtest.PathOnce, platformtest.PathSafe}[rand.IntN(2)] + crowdPath
	}
	if rand.Float64() < b.longRate {
		return drawLongPath()
	}
	return []string{
		platformtest.PathOnce, platformtest.PathSafe, platformtest.PathStream, platformtest.PathResume,
	}[rand.IntN(4)] + "x"
}

// pause waits between two calls; connected is whether the caller has a connection.
func (b Behavior) pause(connected bool) {
	switch {
	case b.burst:
		time.Sleep(burstInterval - time.Duration(time.Now().UnixNano())%burstInterval)
	case !b.keepsConnection, !connected:
		time.Sleep(rand.N(maxThinkTime))
	}
}

// expiry returns until when the caller uses a lookup response of now.
func (b Behavior) expiry(now time.Time, ttl float64) time.Time {
	if b.real {
		ttl *= b.ttlFactor
	}
	return now.Add(time.Duration(min(ttl, time.Hour.Seconds()) * float64(time.Second)))
}
