package dispatch

import (
	"context"
	"net/http"
	"time"

	"hickoryrock/internal/caller/outcome"
	"hickoryrock/internal/caller/server"
	"hickoryrock/internal/caller/stream"
	"hickoryrock/internal/operator/catalog"
	"hickoryrock/internal/target/engine"
)

const (
	headerTarget = "Hickoryrock-Target"
	// bytesPerLoadUnit is the prompt size that adds one load unit.
	bytesPerLoadUnit = 8 << 10
	// maxChatWeight bounds the weight of one chat, in load units.
	maxChatWeight = 8
	// conversationSeparator separates the workspace from the chat; names cannot contain it.
	conversationSeparator = "/"
)

type (
	// EngineClient sends requests to model engines.
	EngineClient interface {
		Chat(ctx context.Context, r engine.Request) (*engine.Completion, *outcome.Failure)
		Stream(ctx context.Context, r engine.Request) (*engine.Stream, *outcome.Failure)
		Resume(ctx context.Context, r engine.Request, after int) (*engine.Stream, *outcome.Failure)
	}
)

// Chat implements server.Backend.
func (d *Dispatcher) Chat(ctx context.Context, w *catalog.Workspace, chat server.Chat, out http.ResponseWriter) *outcome.Failure {
	service, ok := d.Catalog().Model(chat.Model)
	if !ok {
		return outcome.NewNotRun(outcome.ReasonNotFound, "unknown model %q", chat.Model)
	}
	if !w.MayUse(service.Name) {
		return outcome.NewNotRun(outcome.ReasonForbidden, "workspace %s is not allowed to use service %s", w.Name, service.Name)
	}
	tracker := newCallTracker(d, w, service.Name)
	release, f := d.opts.Admit(ctx, w)
	if f != nil {
		return tracker.finish(f)
	}
	defer release()
	response := &chatResponse{dispatcher: d, tracker: tracker, service: service, workspace: w, chat: chat, out: out}
	return tracker.finish(d.dispatch(ctx, request{
		workspace:  w,
		service:    service,
		key:        w.Name + conversationSeparator + chat.Conversation,
		weight:     ChatWeight(chat.PromptBytes, service.Policy.LoadFloor),
		repeatable: true,
		send:       response.send,
	}))
}

// ChatWeight returns the weight in load units of a chat with a prompt of promptBytes.
// The weight is at most max(1, loadFloor), which an idle target always accepts;
// otherwise a fleet without load would refuse a long prompt forever.
func ChatWeight(promptBytes, loadFloor int) int {
	return min(1+promptBytes/bytesPerLoadUnit, maxChatWeight, max(1, loadFloor))
}

// chatResponse relays the response of one engine to the caller.
type chatResponse struct {
	dispatcher *Dispatcher
	tracker    *callTracker
	service    *catalog.Service
	workspace  *catalog.Workspace
	chat       server.Chat
	out        http.ResponseWriter
}

func (r *chatResponse) send(ctx context.Context, t catalog.Target) *outcome.Failure {
	id := stream.NewID(r.service.Name, t.Name)
	req := engine.Request{
		Address:      t.Address,
		ID:           id.EngineRequestID(r.workspace.Name),
		Conversation: r.workspace.Name + conversationSeparator + r.chat.Conversation,
		Body:         r.chat.Body,
		EventTimeout: time.Duration(r.service.Policy.SilenceTimeout),
	}
	if !r.chat.Stream {
		return r.sendCompletion(ctx, t, req)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s, f := r.dispatcher.opts.Engines.Stream(ctx, req)
	if f != nil {
		return f
	}
	return r.tracker.relay(s, id, 0, cancel, r.out)
}

func (r *chatResponse) sendCompletion(ctx context.Context, t catalog.Target, req engine.Request) *outcome.Failure {
	completion, f := r.dispatcher.opts.Engines.Chat(ctx, req)
	if f != nil {
		return f
	}
	r.tracker.markFirstByte()
	r.out.Header().Set("Content-Type", "application/json")
	r.out.Header().Set(headerTarget, t.Name)
	_, _ = r.out.Write(completion.Body)
	return nil
}

// Resume implements server.Backend.
func (d *Dispatcher) Resume(ctx context.Context, w *catalog.Workspace, r server.Resume, out http.ResponseWriter) *outcome.Failure {
	id, f := stream.ParseID(r.StreamID)
	if f != nil {
		return f
	}
	service, ok := d.Catalog().Service(id.Service)
	if !ok || !w.MayUse(id.Service) {
		return outcome.NewNotRun(outcome.ReasonNotFound, "unknown stream")
	}
	target, ok := service.Target(id.Target)
	if !ok {
		return outcome.NewUnknown(outcome.ReasonNoTarget, "the engine of the stream no longer exists")
	}
	after, f := stream.ParseEventID(r.LastEventID)
	if f != nil {
		return f
	}
	tracker := newCallTracker(d, w, service.Name)
	tracker.resumed = true
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s, f := d.opts.Engines.Resume(ctx, engine.Request{
		Address:      target.Address,
		ID:           id.EngineRequestID(w.Name),
		EventTimeout: time.Duration(service.Policy.SilenceTimeout),
	}, after)
	if f != nil {
		return tracker.finish(f)
	}
	return tracker.finish(tracker.relay(s, id, after, cancel, out))
}

// exceedsLateAfter reports whether the time to first byte is over the workspace's late-after limit.
func exceedsLateAfter(w *catalog.Workspace, ttfb time.Duration) bool {
	return ttfb > time.Duration(w.LateAfter)
}
