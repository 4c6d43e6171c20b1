package gossip

import (
	"encoding/binary"
	"time"

	peerv1 "hickoryrock/api/peer/v1"
)

const (
	// directFleetSize is the number of live peers up to which a router sends its beacons
	// itself to its whole failure domain, and relays send each beacon on at once. Above
	// it, the number of datagrams costs more than the delay of batches, in which routers
	// send prompts to targets that others have just chosen.
	directFleetSize = 128
	// relayPeriod is how long the routers of a large fleet keep a relay. The loss of a
	// relay costs the beacons of one period, and a router counts as lost only after
	// maxMissedBeacons.
	relayPeriod = time.Second
	// minFastRelays is the least number of routers of a failure domain that take turns as relays
	// of a large fleet.
	minFastRelays = 2
	// batchInterval is how long a relay collects beacons.
	batchInterval = 50 * time.Millisecond
	// maxBatchBytes keeps a datagram below the usual path MTU.
	maxBatchBytes = 1400
)

// relay passes a beacon from another router on to this router's failure domain.
func (f *Fleet) relay(data []byte, b *peerv1.Beacon) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.addToBatch(data, b.GetChange() != nil || f.livePeers <= directFleetSize)
}

// addToBatch adds an encoded beacon to the batch for this router's failure domain and
// sends the batch if it is full, if the beacon is urgent, and otherwise after
// batchInterval. The caller must hold f.mu.
func (f *Fleet) addToBatch(data []byte, urgent bool) {
	if len(f.batch) > 0 && len(f.batch)+binary.MaxVarintLen32+len(data) > maxBatchBytes {
		f.flushBatch()
	}
	if len(f.batch) == 0 {
		f.batch = append(f.batch, kindBatch)
	}
	f.batch = binary.AppendUvarint(f.batch, uint64(len(data)))
	f.batch = append(f.batch, data...)
	if urgent {
		f.flushBatch()
		return
	}
	if !f.flushScheduled {
		f.flushScheduled = true
		time.AfterFunc(batchInterval, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.flushScheduled = false
			f.flushBatch()
		})
	}
}

// flushBatch sends the batch to the live peers of this router's failure domain. The
// caller must hold f.mu.
func (f *Fleet) flushBatch() {
	if len(f.batch) == 0 {
		return
	}
	for _, p := range f.peers {
		if p.live && p.beacon.GetFailureDomain() == f.self.FailureDomain {
			f.write(destination{p.address, kindBatch}, f.batch)
		}
	}
	f.batch = f.batch[:0]
}

// splitBatch calls handle with each beacon of a batch, without the datagram's first
// byte. It returns false if the batch is malformed.
func splitBatch(data []byte, handle func(beacon []byte)) bool {
	for len(data) > 0 {
		size, n := binary.Uvarint(data)
		if n <= 0 || size > uint64(len(data)-n) {
			return false
		}
		handle(data[n : n+int(size)]) //nolint:gosec // Bounded by the length of a datagram.
		data = data[n+int(size):]     //nolint:gosec // The same.
	}
	return true
}
