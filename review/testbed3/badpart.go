package testbed3

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"hickoryrock/platform/platformtest"
)

const (
	partService = "model-servers"
	badPart     = "bad0bad0"
	commonPart  = "c0330000"
	// soundParts is the number of second parts of sound requests, otherTokens and otherOwnTokens are
	// the lengths of such a part and of the end of a prompt.
	soundParts     = 40
	otherTokens    = 410
	otherOwnTokens = 250
	commonTokens   = 800
	soundInterval  = 20 * time.Millisecond
	partDeadline   = 6 * time.Second

	// partContact and partHeartbeat are contact_ms and heartbeat_ms of the settings.
	partContact   = 3 * time.Second
	partHeartbeat = 1200 * time.Millisecond
	// partDownTime is how long a server that has crashed is away.
	partDownTime = 3 * time.Second
	// enoughCrashes is the number of crashes from the last of which on the rule applies, and maxLater the
	// number of requests that may reach servers later than partContact after it.
	enoughCrashes = 5
	maxLater      = 3

	// tokensPerMS is the number of tokens that a server reads in a millisecond, as the engines of
	// kjaergaard-drift do.
	tokensPerMS = 42.8
	// A stream has partEvents events with partEventGap between them.
	partEvents   = 8
	partEventGap = 30 * time.Millisecond
)

// PartTrial sends requests with one prompt part that crashes each server that begins to answer them, and
// sound requests with the same other parts and key. It counts the requests with the part that reach
// servers too late.
type PartTrial struct {
	Bed *Bed
	// Trouble is set if the part crashes servers.
	Trouble bool

	mu       sync.Mutex
	crashes  []time.Time
	arrivals []time.Time
	sound    map[int]int
	// tokens holds the number of tokens of the requests with the part that servers have not cached.
	tokens map[string]int
}

// Start starts servers and routers.
func (t *PartTrial) Start(routers, servers int) error {
	t.sound, t.tokens = make(map[int]int), make(map[string]int)
	route := platformtest.ChatRoute(Host, "reports", "/reports/", partService, partDeadline)
	t.Bed.Configure(1, []map[string]any{platformtest.EngineService(partService)}, []map[string]any{route})
	for i := range servers {
		if _, err := t.Bed.AddServer(strconv.Itoa(i), partService, Domains[i%len(Domains)], t.handle); err != nil {
			return err
		}
	}
	return t.Bed.StartRouters(routers)
}

// handle is a server. It crashes when it begins to write the events of a request with the part.
func (t *PartTrial) handle(c Call) bool {
	isBad := c.HasPart(badPart)
	tokens := otherTokens + otherOwnTokens
	if isBad {
		t.Bed.Recordf("arrive id=%s server=%s bad", c.ID, c.Instance)
		t.mu.Lock()
		t.arrivals = append(t.arrivals, time.Now())
		tokens = t.tokens[c.ID]
		t.mu.Unlock()
	}
	time.Sleep(time.Duration(float64(tokens) / tokensPerMS * float64(time.Millisecond)))
	if isBad && t.Trouble {
		if c.Crash(partDownTime, partHeartbeat) {
			t.mu.Lock()
			t.crashes = append(t.crashes, time.Now())
			t.mu.Unlock()
		}
		return false
	}
	return c.BeginStream() && c.Events(partEvents, partEventGap)
}

// SendSound sends sound requests until ctx is done.
func (t *PartTrial) SendSound(ctx context.Context) {
	var requests sync.WaitGroup
	for ctx.Err() == nil {
		requests.Go(func() {
			result := t.send(t.Bed.NewID(), fmt.Sprintf("aa%02d", rand.IntN(soundParts)), otherTokens, otherOwnTokens)
			t.mu.Lock()
			defer t.mu.Unlock()
			t.sound[result.Status]++
		})
		time.Sleep(soundInterval)
	}
	requests.Wait()
}

// SendBad sends a request with the part. tokens is the length of the part, own that of the end of the
// prompt.
func (t *PartTrial) SendBad(tokens, own int) {
	id := t.Bed.NewID()
	t.mu.Lock()
	t.tokens[id] = tokens + own
	t.mu.Unlock()
	t.send(id, badPart, tokens, own)
}

// send sends a request to any router.
func (t *PartTrial) send(id, second string, tokens, own int) Result {
	router := t.Bed.Routers[rand.IntN(len(t.Bed.Routers))]
	result := Send(context.Background(), router, platformtest.CallerRequest{
		ID: id, Method: http.MethodPost, Host: Host, Path: "/reports/1", Key: Key, Body: "{}", Deadline: partDeadline,
		Parts: fmt.Sprintf("%s:%d,%s:%d,%s:%d", commonPart, commonTokens, second, tokens, id, own),
	})
	t.Bed.Recordf("answer id=%s router=%s part=%s status=%d whole=%v took=%v", id, router.Name, second, result.Status, result.IsWhole,
		result.Took.Round(time.Millisecond))
	return result
}

// Judge returns the exit code of the script.
func (t *PartTrial) Judge() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	var statuses []string
	for status, n := range t.sound {
		statuses = append(statuses, fmt.Sprintf("%d: %d", status, n))
	}
	later := 0
	if len(t.crashes) >= enoughCrashes {
		last := t.crashes[enoughCrashes-1]
		for _, at := range t.arrivals {
			if at.Sub(last) > partContact {
				later++
			}
		}
	}
	summary := fmt.Sprintf("crashes %d, arrivals with the part %d, of these later than %v after the fifth crash %d (at most %d); sound requests by status %s",
		len(t.crashes), len(t.arrivals), partContact, later, maxLater, strings.Join(statuses, ", "))
	t.Bed.Recordf("%s", summary)
	fmt.Println(summary)
	switch {
	case t.sound[http.StatusOK] == 0, t.Trouble && len(t.crashes) == 0, len(t.arrivals) == 0:
		return ExitNotRun
	case later > maxLater:
		return ExitBroken
	}
	return ExitHeld
}

// RunPartTrial runs a script: send sends the requests with the part, beside sound ones.
func RunPartTrial(routers, servers int, send func(*PartTrial)) int {
	bed, stop, err := New(os.Args[1], os.Args[2])
	if err != nil {
		fmt.Println(err)
		return ExitNotRun
	}
	defer stop()
	t := &PartTrial{Bed: bed, Trouble: HasTrouble()}
	if err := t.Start(routers, servers); err != nil {
		fmt.Println(err)
		return ExitNotRun
	}
	ctx, cancel := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	clients.Go(func() { t.SendSound(ctx) })
	time.Sleep(WarmUp)
	send(t)
	cancel()
	clients.Wait()
	return t.Judge()
}
