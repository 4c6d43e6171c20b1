package gossip

import (
	"net"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	peerv1 "hickoryrock/api/peer/v1"
	"hickoryrock/internal/fleet/follow"
	"hickoryrock/internal/policy/affinity"
	"hickoryrock/internal/policy/standing"
)

func (f *Fleet) send(news []affinity.Holding, change *follow.Change) {
	known := f.known()
	b := &peerv1.Beacon{
		Incarnation: f.self.Incarnation, Serving: known.Serving, ConfigurationVersion: known.ConfigurationVersion,
		TargetsRevision: known.TargetsRevision, TargetsDigest: known.TargetsDigest,
		TargetsListed: known.TargetsListed, Change: encodeChange(change),
		StoreAgeMs: uint32(min(known.StoreAge, time.Hour).Milliseconds()), Homes: encodeHoldings(news),
	}
	if b.Change == nil && len(news) == 0 {
		b.HasLoads, b.Loads = true, encodeLoads(f.book.Loads(time.Now()))
		if f.named() {
			b.Router, b.CallerAddress, b.PeerAddress = f.self.Router, f.self.CallerAddress, f.self.PeerAddress
			b.FailureDomain = f.self.FailureDomain
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	b.Leaving = f.leaving
	b.Sender = senderID(f.self.PeerAddress)
	f.number++
	b.Number = f.number
	data, err := proto.MarshalOptions{}.MarshalAppend([]byte{final}, b)
	if err != nil {
		f.log.Error().Err(err).Msg("beacon cannot be encoded")
		return
	}
	f.broadcast(data)
}

// named reports whether the next beacon says who sends it, and counts it.
func (f *Fleet) named() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sent++
	return f.sent%namedBeacons == 1 || time.Now().Before(f.introduced)
}

func encodeLoads(loads []standing.Load) []*peerv1.TargetLoad {
	out := make([]*peerv1.TargetLoad, 0, min(len(loads), maxLoads))
	for _, l := range loads[:min(len(loads), maxLoads)] {
		out = append(out, &peerv1.TargetLoad{
			Target: l.Target, Calls: uint32(l.Calls), UnreadTokens: uint32(max(l.Unread, 0)), Unreachable: l.Unreachable,
			Results: uint32(l.Results * hundredths), Failures: uint32(l.Failures * hundredths),
		})
	}
	return out
}

// encodeChange returns nil for a change that does not fit into a datagram.
func encodeChange(change *follow.Change) *peerv1.TargetsChange {
	if change == nil {
		return nil
	}
	out := &peerv1.TargetsChange{AfterRevision: change.After, Revision: change.Revision}
	size := 0
	for _, item := range change.Items {
		out.Items = append(out.Items, &peerv1.TargetItem{Entry: item.Entry, Deleted: item.Deleted})
		size += len(item.Entry) + len(item.Deleted)
	}
	if size > maxChangeBytes {
		return nil
	}
	return out
}

func decodeChange(c *peerv1.TargetsChange) follow.Change {
	out := follow.Change{After: c.GetAfterRevision(), Revision: c.GetRevision()}
	for _, item := range c.GetItems() {
		out.Items = append(out.Items, follow.Item{Entry: item.GetEntry(), Deleted: item.GetDeleted()})
	}
	return out
}

func encodeHoldings(holdings []affinity.Holding) []*peerv1.PromptHome {
	out := make([]*peerv1.PromptHome, len(holdings))
	for i, h := range holdings {
		out[i] = &peerv1.PromptHome{
			Part: h.Part, Target: h.Target, UnreadTokens: uint32(h.Unread), Read: h.Read,
		}
	}
	return out
}

func decodeHoldings(homes []*peerv1.PromptHome) []affinity.Holding {
	out := make([]affinity.Holding, len(homes))
	for i, h := range homes {
		out[i] = affinity.Holding{
			Part: h.GetPart(), Target: h.GetTarget(), Unread: int(h.GetUnreadTokens()), Read: h.GetRead(),
		}
	}
	return out
}

func (f *Fleet) receive() {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, _, err := f.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if eris.Is(err, net.ErrClosed) {
				return
			}
			metrics.GetOrCreateCounter(`hickoryrock_beacon_errors_total`).Inc()
			continue
		}
		b := new(peerv1.Beacon)
		if n == 0 {
			continue
		}
		if err := proto.Unmarshal(buffer[1:n], b); err != nil {
			f.log.Warn().Err(err).Msg("beacon cannot be decoded")
			continue
		}
		if buffer[0] == relayed {
			f.relay(buffer[:n], b.GetSender())
		}
		if b = f.complete(b); b != nil {
			f.take(b)
		}
	}
}

// complete adds to a light beacon what the sender's last full one said, and
// returns nil when there was none.
func (f *Fleet) complete(b *peerv1.Beacon) *peerv1.Beacon {
	if b.GetRouter() != "" {
		return b
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.senders[b.GetSender()]
	if p == nil || p.beacon == nil || p.beacon.GetIncarnation() != b.GetIncarnation() {
		return nil
	}
	b.CallerAddress, b.PeerAddress = p.beacon.GetCallerAddress(), p.beacon.GetPeerAddress()
	b.FailureDomain, b.Router = p.beacon.GetFailureDomain(), p.beacon.GetRouter()
	return b
}

func (f *Fleet) take(b *peerv1.Beacon) {
	now := time.Now()
	if b.GetRouter() == f.self.Router {
		return
	}
	loads := make([]standing.Load, 0, len(b.GetLoads()))
	for _, l := range b.GetLoads() {
		loads = append(loads, standing.Load{
			Target: l.GetTarget(), Calls: int(l.GetCalls()), Unread: int(l.GetUnreadTokens()),
			Unreachable: l.GetUnreachable(),
			Results:     float64(l.GetResults()) / hundredths, Failures: float64(l.GetFailures()) / hundredths,
		})
	}
	fresh := f.fresh(b)
	if b.GetHasLoads() && fresh {
		f.book.Report(b.GetRouter(), loads, f.known().Targets, now)
	}
	holdings := decodeHoldings(b.GetHomes())
	f.parts.Learn(holdings, now)
	for _, h := range holdings {
		if h.Unread > 0 {
			f.book.Expect(b.GetRouter(), h.Target, h.Unread)
		}
	}
	f.Meet(b.GetPeerAddress())
	if !fresh || !f.heard(b, now) {
		return
	}
	if b.GetChange() != nil {
		f.from.TakeTargets(decodeChange(b.GetChange()), false, b.GetRouter())
	}
	f.from.Agree(b.GetTargetsRevision(), b.GetTargetsDigest())
	if f.ahead(b, f.known()) {
		select {
		case f.wakes <- struct{}{}:
		default:
		}
	}
}

// fresh reports whether no later beacon of its sender has come before.
func (f *Fleet) fresh(b *peerv1.Beacon) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.peers[b.GetPeerAddress()]
	return p == nil || p.beacon.GetIncarnation() != b.GetIncarnation() || b.GetNumber() > p.beacon.GetNumber()
}

// heard notes a beacon and reports whether its sender is the newest process at its address.
func (f *Fleet) heard(b *peerv1.Beacon, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.peers[b.GetPeerAddress()]
	if p == nil || (p.beacon != nil && b.GetIncarnation() < p.beacon.GetIncarnation()) {
		return false
	}
	if !p.live {
		f.log.Info().Str("peer", b.GetRouter()).Uint64("incarnation", b.GetIncarnation()).Msg("router heard")
	}
	if p.beacon.GetIncarnation() != b.GetIncarnation() {
		f.introduce()
	}
	p.beacon, p.heard, p.live = b, now, true
	return true
}
