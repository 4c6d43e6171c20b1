package slotgrant

import (
	"math"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	peerv1 "hickoryrock/api/peer/v1"
	"hickoryrock/internal/policy/slots"
)

const (
	// maxServiceBytes and maxExcluded keep a request below maxDatagramBytes.
	maxServiceBytes = 256
	maxExcluded     = 64
	// maxPriority, maxLease and maxLoad bound what a peer can state.
	maxPriority = 1 << 16
	maxLease    = 5 * time.Minute
	maxLoad     = 1 << 20
	// maxRetryAfter bounds the time after which a refused call may be made again.
	maxRetryAfter = time.Hour
)

const (
	kindRequest messageKind = iota + 1
	kindCancel
	kindReply
	kindRelease
)

var errMalformed = eris.New("malformed slot message")

type (
	messageKind uint8

	// message is a decoded datagram.
	message struct {
		kind    messageKind
		key     slots.Key
		service string
		// request is set for kindRequest, reply for kindReply, result for kindRelease.
		request slots.Request
		reply   slots.Reply
		result  slots.Result
	}
)

// decode decodes and validates a datagram that arrives now. The message does not refer to
// data.
func decode(data []byte, now time.Time) (message, error) {
	if len(data) > maxDatagramBytes {
		return message{}, eris.Wrapf(errMalformed, "%d bytes", len(data))
	}
	var m peerv1.SlotMessage
	if err := (proto.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(data, &m); err != nil {
		return message{}, eris.Wrap(err, "decode slot message")
	}
	switch body := m.GetBody().(type) {
	case *peerv1.SlotMessage_Request:
		return decodeRequest(body.Request, now)
	case *peerv1.SlotMessage_Reply:
		return decodeReply(body.Reply)
	case *peerv1.SlotMessage_Release:
		return decodeRelease(body.Release)
	}
	return message{}, eris.Wrap(errMalformed, "no body")
}

func decodeRequest(r *peerv1.SlotRequest, now time.Time) (message, error) {
	m := message{kind: kindRequest, key: slots.Key{Process: r.GetProcess(), Serial: r.GetSerial()}, service: r.GetService()}
	if m.key.Serial == 0 {
		return message{}, eris.Wrap(errMalformed, "request without a number")
	}
	if r.GetCancel() {
		m.kind = kindCancel
		return m, nil
	}
	if m.service == "" || len(m.service) > maxServiceBytes || len(r.GetExcluded()) > maxExcluded {
		return message{}, eris.Wrapf(errMalformed, "request for a service of %d bytes without %d targets", len(m.service), len(r.GetExcluded()))
	}
	m.request = slots.Request{
		Key: m.key, Workspace: r.GetWorkspace(), Priority: int(min(r.GetPriority(), maxPriority)), Excluded: r.GetExcluded(),
		Objective: now.Add(min(milliseconds(r.GetObjectiveMs()), maxLease)),
		Deadline:  now.Add(min(milliseconds(r.GetDeadlineMs()), maxLease)),
	}
	return m, nil
}

func decodeReply(r *peerv1.SlotReply) (message, error) {
	m := message{kind: kindReply, key: slots.Key{Process: r.GetProcess(), Serial: r.GetSerial()}}
	m.reply = slots.Reply{Key: m.key}
	isGrant := r.GetTarget() != 0
	switch {
	case m.key.Serial == 0:
		return message{}, eris.Wrap(errMalformed, "reply without a number")
	case isGrant && !r.GetWaiting() && !r.GetRefused():
		m.reply.Kind, m.reply.Target = slots.Granted, r.GetTarget()
	case r.GetWaiting() && !isGrant && !r.GetRefused():
		m.reply.Kind = slots.Waiting
	case r.GetRefused() && !isGrant && !r.GetWaiting():
		m.reply.Kind, m.reply.RetryAfter = slots.Refused, min(milliseconds(r.GetRetryAfterMs()), maxRetryAfter)
	default:
		return message{}, eris.Wrap(errMalformed, "reply without exactly one of target, waiting and refused")
	}
	return m, nil
}

func decodeRelease(r *peerv1.SlotRelease) (message, error) {
	m := message{kind: kindRelease, key: slots.Key{Process: r.GetProcess(), Serial: r.GetSerial()}, service: r.GetService()}
	if m.key.Serial == 0 {
		return message{}, eris.Wrap(errMalformed, "release without a number")
	}
	m.result = slots.Result{
		Took:      time.Duration(min(r.GetTookUs(), uint64(maxLease/time.Microsecond))) * time.Microsecond,
		Succeeded: r.GetSucceeded(), Refused: r.GetRefused(), HasLoad: r.GetHasLoad(),
		Running: int(min(r.GetRunning(), maxLoad)), Queued: int(min(r.GetQueued(), maxLoad)),
	}
	return m, nil
}

func newRequestMessage(service string, r slots.Request, now time.Time) *peerv1.SlotMessage {
	return &peerv1.SlotMessage{Body: &peerv1.SlotMessage_Request{Request: &peerv1.SlotRequest{
		Process: r.Process, Serial: r.Serial, Service: service, Workspace: r.Workspace,
		Priority:    uint32(min(max(r.Priority, 0), maxPriority)),
		ObjectiveMs: millisecondsUntil(r.Objective, now), DeadlineMs: millisecondsUntil(r.Deadline, now), Excluded: r.Excluded,
	}}}
}

func newCancelMessage(key slots.Key, service string) *peerv1.SlotMessage {
	return &peerv1.SlotMessage{Body: &peerv1.SlotMessage_Request{Request: &peerv1.SlotRequest{
		Process: key.Process, Serial: key.Serial, Service: service, Cancel: true,
	}}}
}

func newReplyMessage(r slots.Reply) *peerv1.SlotMessage {
	out := &peerv1.SlotReply{Process: r.Process, Serial: r.Serial}
	switch r.Kind {
	case slots.Granted:
		out.Target = r.Target
	case slots.Waiting:
		out.Waiting = true
	case slots.Refused:
		out.Refused, out.RetryAfterMs = true, ceilMilliseconds(r.RetryAfter)
	}
	return &peerv1.SlotMessage{Body: &peerv1.SlotMessage_Reply{Reply: out}}
}

func newReleaseMessage(key slots.Key, service string, r slots.Result) *peerv1.SlotMessage {
	return &peerv1.SlotMessage{Body: &peerv1.SlotMessage_Release{Release: &peerv1.SlotRelease{
		Process: key.Process, Serial: key.Serial, Service: service, TookUs: uint64(max(r.Took, 0) / time.Microsecond),
		Succeeded: r.Succeeded, Refused: r.Refused, HasLoad: r.HasLoad,
		Running: uint32(min(max(r.Running, 0), maxLoad)), Queued: uint32(min(max(r.Queued, 0), maxLoad)),
	}}}
}

func milliseconds(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }

func millisecondsUntil(at, now time.Time) uint32 { return ceilMilliseconds(at.Sub(now)) }

// ceilMilliseconds rounds up, so that a lease does not end before its call.
func ceilMilliseconds(d time.Duration) uint32 {
	return uint32(min(max((d+time.Millisecond-1)/time.Millisecond, 0), math.MaxUint32))
}
