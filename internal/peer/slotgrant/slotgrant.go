// Package slotgrant asks the coordinator of a plain service for a slot at one of its targets,
// and coordinates the services of which this router is the coordinator. Routers exchange
// datagrams that are safe to repeat and to lose: a lost request costs a call its grant, and a
// lost release costs the service a slot until the lease ends at the call's deadline.
package slotgrant

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"hickoryrock/internal/policy/slots"
)

const (
	// answerTimeout is the time without an answer after which a call goes on without a grant.
	// It covers a round trip between failure domains and a delay in scheduling.
	answerTimeout = 25 * time.Millisecond
	// repeatInterval is the time between an acknowledgement and the next repetition of a
	// waiting request, ackTimeout the time without an acknowledgement of the repetition
	// after which the call goes on without a grant.
	repeatInterval = 100 * time.Millisecond
	ackTimeout     = 50 * time.Millisecond
	// maxClientRequests bounds the requests and grants of this router's own calls.
	maxClientRequests = 16384
	// heldGrace is how long a grant is remembered after its deadline if it is not released.
	heldGrace = time.Second
	// sweepInterval is the shortest time between two sweeps of grants that are past their
	// deadline.
	sweepInterval = time.Second
)

// ErrNoCoordinator means that no coordinator has answered in time or that there is none. The
// caller then chooses a target without a grant.
var ErrNoCoordinator = eris.New("no coordinator of slots")

type (
	// Refusal is the error for a call that cannot be served before its deadline.
	Refusal struct {
		// RetryAfter is the time after which the call may be made again.
		RetryAfter time.Duration
	}

	// Member is a live router that serves callers.
	Member struct {
		// Address is the IPv4 address of the router's slot socket.
		Address netip.AddrPort
		// Hash identifies the router; all routers know it by the same one.
		Hash uint64
		// CPUShare is the number of cores that the router may use.
		CPUShare float64
		// IsSelf is set for this router.
		IsSelf bool
	}

	// Request asks for a target for one attempt of a call.
	Request struct {
		Service, Workspace string
		// Priority orders requests; 0 is the most urgent.
		Priority int
		// Objective is the end of the call's latency objective; zero means the deadline.
		Objective time.Time
		// Deadline is the end of the call. It is required: the lease of a grant ends then.
		Deadline time.Time
		// Excluded holds the hashes of targets that must not be granted.
		Excluded []uint64
	}

	// Grant is the right to send one attempt to a target.
	Grant struct {
		// Target is the hash of the target.
		Target uint64
		// Waited is the time between the request and the grant.
		Waited time.Duration
		// Coordinator is the address of the router that has granted the slot.
		Coordinator string

		serial uint64
	}

	// Client asks for slots on behalf of this router's calls, and answers the requests of all
	// routers for the services that it coordinates. It is safe for concurrent use.
	Client struct {
		// process identifies this process in requests; serials number its requests.
		process     uint64
		members     func() []Member
		log         zerolog.Logger
		opts        options
		socket      *socket
		coordinator *coordinator
		routing     *routing
		metrics     clientMetrics
		// closed is closed when the client stops.
		closed chan struct{}

		// mu guards the fields below. It is acquired after the lock of the coordinator.
		mu      sync.Mutex
		serial  uint64
		pending map[uint64]*pending
		held    map[uint64]held
		sweptAt time.Time
	}

	// pending is a request that has no final reply yet.
	pending struct {
		service  string
		deadline time.Time
		// changed has a value after a change of the fields below, which the lock of the
		// client guards.
		changed chan struct{}
		// isFinal is set when reply is a grant or a refusal.
		isFinal bool
		reply   slots.Reply
	}

	// held is a grant that has not been released.
	held struct {
		service string
		target  uint64
		// coordinator is the router that has granted the slot; not valid for this router.
		coordinator netip.AddrPort
		expires     time.Time
	}
)

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("no slot before the deadline, retry after %s", r.RetryAfter)
}

// New binds the UDP socket at an IPv4 address (host:port) and starts to receive. Members
// returns the live routers that serve callers, including this one; it is called for each
// request. Targets returns the targets of a plain service, and none for a service that this
// router does not know; it is called with the coordinator locked. Neither function may block
// or call the client. The returned function closes the socket and ends all requests.
func New(
	address string, members func() []Member, targets func(service string) []slots.Target, log zerolog.Logger, opts ...Option,
) (*Client, func(), error) {
	s, err := listen(address)
	if err != nil {
		return nil, nil, err
	}
	o := newOptions(opts)
	c := &Client{
		process: rand.Uint64(), members: members, log: log, opts: o, socket: s, routing: newRouting(), metrics: newClientMetrics(),
		closed: make(chan struct{}), pending: make(map[uint64]*pending), held: make(map[uint64]held),
	}
	c.coordinator = newCoordinator(targets, c.sendReply, o)
	var receiver sync.WaitGroup
	receiver.Go(func() { s.receive(c.handleDatagram) })
	return c, sync.OnceFunc(func() {
		close(c.closed)
		c.coordinator.stop()
		s.close()
		receiver.Wait()
	}), nil
}

// Address returns the address of the socket.
func (c *Client) Address() netip.AddrPort { return c.socket.address }
