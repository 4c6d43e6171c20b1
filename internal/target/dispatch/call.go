package dispatch

import (
	"context"
	"time"

	"github.com/google/uuid"

	"hickoryrock/internal/caller/outcome"
	"hickoryrock/internal/caller/server"
	"hickoryrock/internal/operator/catalog"
	"hickoryrock/internal/operator/resource"
	"hickoryrock/internal/target/plain"
)

// callWeight is the weight of a call to a plain service, in load units.
const callWeight = 1

type (
	// PlainClient sends calls to plain services.
	PlainClient interface {
		// Call makes one attempt and never retries it.
		Call(ctx context.Context, c plain.Call) (*plain.Result, *outcome.Failure)
	}

	// plainCall is a call to a plain service in progress.
	plainCall struct {
		dispatcher *Dispatcher
		call       server.Call
		method     resource.Method
		result     server.CallResult
	}
)

// Call implements server.Backend.
func (d *Dispatcher) Call(ctx context.Context, w *catalog.Workspace, call server.Call) (server.CallResult, *outcome.Failure) {
	service, method, f := d.lookupMethod(w, call)
	if f != nil {
		return server.CallResult{}, UnknownUnlessFirst(f, call.Key != "", call.FirstAttempt)
	}
	tracker := newCallTracker(d, w, service.Name)
	tracker.method, tracker.key = method.Name, call.Key
	tracker.atMostOnce = method.Semantics == resource.AtMostOnce
	release, f := d.opts.Admit(ctx, w)
	if f != nil {
		return server.CallResult{}, tracker.finish(UnknownUnlessFirst(f, tracker.atMostOnce, call.FirstAttempt))
	}
	defer release()
	p := &plainCall{dispatcher: d, call: call, method: method}
	if tracker.atMostOnce {
		f = p.callAtMostOnce(ctx, tracker, service)
	} else {
		f = p.callIdempotent(ctx, w, service)
	}
	return p.result, tracker.finish(f)
}

// UnknownUnlessFirst returns the refusal f of a call for which the record of its key was not
// read. The status for an at-most-once call is unknown unless this is the key's first attempt,
// since an earlier attempt may have run.
func UnknownUnlessFirst(f *outcome.Failure, atMostOnce, first bool) *outcome.Failure {
	if !atMostOnce || first {
		return f
	}
	return f.AsUnknown()
}

func (d *Dispatcher) lookupMethod(w *catalog.Workspace, call server.Call) (*catalog.Service, resource.Method, *outcome.Failure) {
	service, ok := d.Catalog().Service(call.Service)
	if !ok || service.Protocol != resource.ProtocolPlain {
		return nil, resource.Method{}, outcome.NewNotRun(outcome.ReasonNotFound, "unknown plain service %q", call.Service)
	}
	if !w.MayUse(service.Name) {
		return nil, resource.Method{}, outcome.NewNotRun(outcome.ReasonForbidden, "workspace %s is not allowed to use service %s", w.Name, service.Name)
	}
	method, ok := service.Methods[call.Method]
	if !ok {
		return nil, resource.Method{}, outcome.NewNotRun(outcome.ReasonNotFound, "service %s has no method %q", service.Name, call.Method)
	}
	if method.Semantics == resource.AtMostOnce && call.Key == "" {
		return nil, resource.Method{}, outcome.NewNotRun(outcome.ReasonKeyRequired, "method %s is at-most-once and requires an Idempotency-Key", method.Name)
	}
	return service, method, nil
}

// callIdempotent carries out an idempotent call, which may be retried on any target.
func (p *plainCall) callIdempotent(ctx context.Context, w *catalog.Workspace, s *catalog.Service) *outcome.Failure {
	return p.dispatcher.dispatch(ctx, request{
		workspace:  w,
		service:    s,
		key:        uuid.NewString(),
		weight:     callWeight,
		repeatable: true,
		send:       p.send,
	})
}

// send makes one attempt at a target.
func (p *plainCall) send(ctx context.Context, t catalog.Target) *outcome.Failure {
	result, f := p.dispatcher.opts.Plain.Call(ctx, plain.Call{
		Address:    t.Address,
		Method:     p.method.Name,
		Key:        p.call.Key,
		Body:       p.call.Body,
		AtMostOnce: p.method.Semantics == resource.AtMostOnce,
		Timeout:    time.Duration(p.method.Timeout),
	})
	if f != nil {
		return f
	}
	p.result.Body = result.Body
	return nil
}
