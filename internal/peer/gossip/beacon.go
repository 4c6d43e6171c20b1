package gossip

import (
	"net"
	"net/netip"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	peerv1 "hickoryrock/api/peer/v1"
	"hickoryrock/internal/fleet/storewatch"
	"hickoryrock/internal/policy/affinity"
	"hickoryrock/internal/policy/targetstats"
)

// sendRegular sends all peers this router's loads and the holdings in use. Every
// identityRatio-th beacon carries the identity for all; peers that are not live get
// it in each. It reports whether the beacon carried the identity for all.
func (f *Fleet) sendRegular() bool {
	b := f.newBeacon()
	b.HasLoads, b.Loads = true, encodeLoads(f.tracker.Loads(time.Now()))
	b.Homes = encodeHoldings(f.cacheIndex.TakeRefreshes(maxRefreshes))
	if hasRoomForWindows(b) {
		b.Windows = f.takeWindows()
	}
	hasIdentity := f.nextHasIdentity()
	if hasIdentity {
		f.setIdentity(b)
	}
	figures := f.takeFigures(time.Now())
	if hasRoomForFigures(b, figures) {
		b.Figures, figures = figures, nil
	}
	f.broadcast(b)
	f.sendFigures(figures)
	if !hasRoomForWindows(b) {
		f.sendWindows()
	}
	return hasIdentity
}

// nextHasIdentity counts a regular beacon and reports whether it carries the sender's
// identity for all receivers.
func (f *Fleet) nextHasIdentity() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.regularBeacons++
	return f.regularBeacons%identityRatio == 1
}

// sendChange sends all peers a change of targets, or this router's revisions without
// one. A change of more than maxChangeBytes is left out, and receivers fetch it.
func (f *Fleet) sendChange(change *storewatch.Delta) {
	b := f.newBeacon()
	if b.Change = encodeChange(change); b.Change == nil {
		f.setIdentity(b)
	}
	f.broadcast(b)
}

// sendHoldings sends all peers holdings that they do not know.
func (f *Fleet) sendHoldings(holdings []affinity.Holding) {
	b := f.newBeacon()
	b.Homes = encodeHoldings(holdings)
	f.broadcast(b)
}

// sendGreeting introduces this router to one peer.
func (f *Fleet) sendGreeting(address netip.AddrPort) {
	b := f.newBeacon()
	f.setIdentity(b)
	f.mu.Lock()
	defer f.mu.Unlock()
	if data := f.encode(b); data != nil {
		f.write(destination{address, kindDirect}, data)
	}
}

// newBeacon returns a beacon with this router's state.
func (f *Fleet) newBeacon() *peerv1.Beacon {
	local := f.localState()
	f.mu.Lock()
	age := f.statedStoreAge(local)
	f.mu.Unlock()
	return &peerv1.Beacon{
		Incarnation: f.self.Incarnation, Serving: local.Serving, ConfigurationVersion: local.ConfigurationVersion,
		StoreEra: local.TargetsRevision.Era, TargetsRevision: local.TargetsRevision.Number, TargetsDigest: local.TargetsDigest,
		TargetsListed: local.TargetsListRevision.Number,
		StoreAgeMs:    uint32(min(age, time.Hour).Milliseconds()),
		Sender:        f.senderID, CachesLoaded: f.cachesLoaded(),
	}
}

func (f *Fleet) setIdentity(b *peerv1.Beacon) {
	b.Router, b.CallerAddress, b.PeerAddress = f.self.Router, f.self.CallerAddress, f.self.PeerAddress
	b.FailureDomain, b.ProcessorMilli, b.LinkKbit = f.self.FailureDomain, processorMilli(f.self.CPUShare), linkKbit(f.self.LinkMbps)
	b.Evacuations = f.encodeEvacuations()
}

// encode numbers and encodes a beacon; it returns nil on an error, which it logs. The
// first byte is left for the datagram's kind. The caller must hold f.mu.
func (f *Fleet) encode(b *peerv1.Beacon) []byte {
	b.Leaving = f.leaving
	f.sequence++
	b.Number = f.sequence
	data, err := proto.MarshalOptions{}.MarshalAppend([]byte{kindDirect}, b)
	if err != nil {
		f.log.Error().Err(err).Msg("failed to encode beacon")
		return nil
	}
	return data
}

func encodeLoads(loads []targetstats.Load) []*peerv1.TargetLoad {
	out := make([]*peerv1.TargetLoad, 0, min(len(loads), maxLoads))
	for _, l := range loads[:min(len(loads), maxLoads)] {
		out = append(out, &peerv1.TargetLoad{
			Target: l.Target, Calls: uint32(l.Calls), UnreadTokens: uint32(max(l.PendingTokens, 0)), Unreachable: l.Unreachable,
			Results: uint32(l.Results * countScale), Failures: uint32(l.Failures * countScale),
			PaceSum: uint32(l.PaceSum * countScale), PaceCount: uint32(l.PaceCount * countScale),
		})
	}
	return out
}

// encodeChange returns nil for a change larger than maxChangeBytes.
func encodeChange(change *storewatch.Delta) *peerv1.TargetsChange {
	if change == nil {
		return nil
	}
	out := encodeDelta(*change)
	size := 0
	for _, item := range change.Items {
		out.Items = append(out.Items, encodeItem(item))
		size += len(item.Entry) + len(item.Deleted)
	}
	if size > maxChangeBytes {
		return nil
	}
	return out
}

func encodeHoldings(holdings []affinity.Holding) []*peerv1.PromptHome {
	out := make([]*peerv1.PromptHome, len(holdings))
	for i, h := range holdings {
		out[i] = &peerv1.PromptHome{
			Part: h.Part, Target: h.Target, UnreadTokens: uint32(h.PrefillTokens), Read: h.Prefilled,
		}
	}
	return out
}

func decodeHoldings(homes []*peerv1.PromptHome) []affinity.Holding {
	out := make([]affinity.Holding, len(homes))
	for i, h := range homes {
		out[i] = affinity.Holding{
			Part: h.GetPart(), Target: h.GetTarget(), PrefillTokens: int(h.GetUnreadTokens()), Prefilled: h.GetRead(),
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
		if n > 0 {
			f.handleDatagram(buffer[:n])
		}
	}
}

func (f *Fleet) handleDatagram(data []byte) {
	f.received.Inc()
	if data[0] != kindBatch {
		f.handleEncoded(data[1:], data[0] == kindRelay)
		return
	}
	if !splitBatch(data[1:], func(beacon []byte) { f.handleEncoded(beacon, false) }) {
		f.log.Warn().Int("bytes", len(data)).Msg("failed to decode batch of beacons")
	}
}

func (f *Fleet) handleEncoded(data []byte, relay bool) {
	b := new(peerv1.Beacon)
	if err := proto.Unmarshal(data, b); err != nil {
		f.log.Warn().Err(err).Msg("failed to decode beacon")
		return
	}
	if b.GetSender() == f.senderID && b.GetIncarnation() == f.self.Incarnation {
		return // A relay sends a batch to all routers whose beacons it holds.
	}
	if relay {
		f.relay(data, b)
	}
	if b = f.restoreIdentity(b); b != nil {
		f.handleBeacon(b)
	}
}

// restoreIdentity fills in the identity of a beacon without one from the sender's
// last beacon. It returns nil when the sender's process is unknown.
func (f *Fleet) restoreIdentity(b *peerv1.Beacon) *peerv1.Beacon {
	if b.GetRouter() != "" {
		return b
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.peersBySender[b.GetSender()]
	if p == nil || p.beacon == nil || p.beacon.GetIncarnation() != b.GetIncarnation() {
		return nil
	}
	b.CallerAddress, b.PeerAddress = p.beacon.GetCallerAddress(), p.beacon.GetPeerAddress()
	b.FailureDomain, b.Router = p.beacon.GetFailureDomain(), p.beacon.GetRouter()
	b.ProcessorMilli, b.LinkKbit = p.beacon.GetProcessorMilli(), p.beacon.GetLinkKbit()
	return b
}

func (f *Fleet) handleBeacon(b *peerv1.Beacon) {
	now := time.Now()
	if b.GetRouter() == f.self.Router {
		return
	}
	loads := make([]targetstats.Load, 0, len(b.GetLoads()))
	for _, l := range b.GetLoads() {
		loads = append(loads, targetstats.Load{
			Target: l.GetTarget(), Calls: int(l.GetCalls()), PendingTokens: int(l.GetUnreadTokens()),
			Unreachable: l.GetUnreachable(),
			Results:     float64(l.GetResults()) / countScale, Failures: float64(l.GetFailures()) / countScale,
			PaceSum: float64(l.GetPaceSum()) / countScale, PaceCount: float64(l.GetPaceCount()) / countScale,
		})
	}
	newer := f.isNewer(b)
	if newer {
		f.mergeFigures(b, now)
	}
	if b.GetHasLoads() && newer {
		f.tracker.UpdatePeer(b.GetRouter(), loads, f.localState().TargetCount, now)
	}
	holdings := decodeHoldings(b.GetHomes())
	f.cacheIndex.ApplyUpdates(holdings, now)
	for _, h := range holdings {
		if h.PrefillTokens > 0 {
			f.tracker.AddPendingTokens(b.GetRouter(), h.Target, h.PrefillTokens)
		}
	}
	f.mergeQuarantine(b, now)
	f.mergeLimits(b, now)
	f.mergeWindows(b, now)
	f.mergeDepartures(b, now)
	f.mergeEvacuations(b.GetEvacuations(), b.GetRouter())
	f.AddPeer(b.GetPeerAddress())
	if !newer {
		return
	}
	recorded, isNewProcess := f.recordBeacon(b, now)
	if !recorded {
		return
	}
	if isNewProcess {
		f.opts.Limits.ReportAll()
		f.opts.Pace.ReportAll()
	}
	if b.GetChange() != nil {
		f.watcher.ApplyTargets(decodeChange(b.GetChange()), false, b.GetRouter())
	}
	f.watcher.AdvanceRevision(targetsRevision(b), b.GetTargetsDigest())
	local := f.localState()
	f.noteVersions(b, local, now)
	if f.isAhead(b, local) {
		select {
		case f.fetchRequests <- struct{}{}:
		default:
		}
	}
}

// isNewer reports whether a beacon is newer than the last one of its sender's
// process: datagrams may arrive out of order.
func (f *Fleet) isNewer(b *peerv1.Beacon) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.peers[b.GetPeerAddress()]
	return p == nil || p.beacon.GetIncarnation() != b.GetIncarnation() || b.GetNumber() > p.beacon.GetNumber()
}

// recordBeacon stores a beacon as the sender's latest, unless the sender is not the newest
// known process at its address. It reports whether it did, and whether the process is new.
func (f *Fleet) recordBeacon(b *peerv1.Beacon, now time.Time) (recorded, isNewProcess bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.peers[b.GetPeerAddress()]
	if p == nil || (p.beacon != nil && b.GetIncarnation() < p.beacon.GetIncarnation()) {
		return false, false
	}
	if !p.live {
		f.livePeers++
		f.log.Info().Str("peer", b.GetRouter()).Uint64("incarnation", b.GetIncarnation()).Msg("router is live")
	}
	isNewProcess = p.beacon.GetIncarnation() != b.GetIncarnation()
	if isNewProcess {
		f.greet(p.address)
	}
	p.beacon, p.lastContact, p.live = b, now, true
	return true, isNewProcess
}
