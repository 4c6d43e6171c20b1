package router

import (
	"context"
	"net/http"

	"hickoryrock/internal/caller/outcome"
	"hickoryrock/internal/caller/server"
	"hickoryrock/internal/operator/catalog"
	"hickoryrock/internal/target/dispatch"
)

// backend implements server.Backend. It refuses calls that the router may not accept in its
// current phase and passes all others to the dispatcher.
type backend struct {
	*dispatch.Dispatcher
	router *Router
}

// Ready implements server.Backend.
func (b *backend) Ready() *outcome.Failure {
	f := b.router.lifecycle.accepts()
	if f != nil {
		f.Address = b.router.alternativeAddress()
	}
	return f
}

// Workspace implements server.Backend.
func (b *backend) Workspace(token string) (*catalog.Workspace, bool) {
	return b.Catalog().WorkspaceByToken(token)
}

// Address implements server.Backend.
func (b *backend) Address(failureDomain string) server.Address {
	return b.router.assignAddress(failureDomain)
}

// Models implements server.Backend.
func (b *backend) Models(w *catalog.Workspace) []string {
	var models []string
	for _, s := range b.Catalog().Services() {
		if s.Model != "" && w.MayUse(s.Name) {
			models = append(models, s.Model)
		}
	}
	return models
}

// Call implements server.Backend.
func (b *backend) Call(ctx context.Context, w *catalog.Workspace, call server.Call) (server.CallResult, *outcome.Failure) {
	if f := b.Ready(); f != nil {
		return server.CallResult{}, dispatch.UnknownUnlessFirst(f, call.Key != "", call.FirstAttempt)
	}
	return b.Dispatcher.Call(ctx, w, call)
}

// Chat implements server.Backend.
func (b *backend) Chat(ctx context.Context, w *catalog.Workspace, chat server.Chat, out http.ResponseWriter) *outcome.Failure {
	if f := b.Ready(); f != nil {
		return f
	}
	return b.Dispatcher.Chat(ctx, w, chat, out)
}
