package engine

import (
	"maps"
	"net/http"
	"sync"
	"time"

	"hickoryrock/internal/standin/server"
)

const (
	orderLoadModel   = "load-model"
	orderUnloadModel = "unload-model"
	orderLoadAdapter = "load-adapter"
	orderSetRole     = "set-role"

	initialVersion = "v1"
	initialRole    = "mixed"
)

type (
	// Order is a control command that changes the models, adapters or role of the engine.
	// Fencing is the fencing token of its sender.
	Order struct {
		Kind    string `json:"kind"`
		Model   string `json:"model,omitempty"`
		Adapter string `json:"adapter,omitempty"`
		Version string `json:"version,omitempty"`
		Role    string `json:"role,omitempty"`
		Fencing uint64 `json:"fencing"`
	}

	// OrderResult records an order and whether it passed the fencing check.
	OrderResult struct {
		Order    Order     `json:"order"`
		Accepted bool      `json:"accepted"`
		Time     time.Time `json:"time"`
	}

	// orderState holds the models and the role that orders change, the highest fencing token
	// received, and the results of all orders.
	orderState struct {
		mu             sync.Mutex
		checkFencing   bool
		acceptAnyModel bool
		role           string
		models         map[string]string
		fencing        uint64
		results        []OrderResult
	}
)

func (s *orderState) init(o Options) {
	s.checkFencing, s.acceptAnyModel, s.role = o.CheckFencing, len(o.Models) == 0, initialRole
	s.models = map[string]string{}
	for _, m := range o.Models {
		s.models[m] = initialVersion
	}
}

// modelVersion returns the loaded version of a model and whether the model is served.
func (s *orderState) modelVersion(model string) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v, ok := s.models[model]
	if !ok && s.acceptAnyModel {
		return initialVersion, true
	}
	return v, ok
}

func (s *orderState) snapshot() (role string, models map[string]string, fencing uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.role, maps.Clone(s.models), s.fencing
}

// checkAndRecord records the order and reports whether its fencing token allows it to take effect.
func (s *orderState) checkAndRecord(o Order) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	ok := !s.checkFencing || o.Fencing >= s.fencing
	s.results = append(s.results, OrderResult{Order: o, Accepted: ok, Time: time.Now()})
	s.fencing = max(s.fencing, o.Fencing)
	return ok
}

func (s *orderState) apply(o Order) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch o.Kind {
	case orderLoadModel:
		s.models[o.Model] = o.Version
	case orderUnloadModel:
		delete(s.models, o.Model)
	case orderLoadAdapter:
		s.models[o.Model+":"+o.Adapter] = o.Version
	case orderSetRole:
		s.role = o.Role
	}
}

func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o Order
	if err := server.ReadJSON(w, r, &o); err != nil {
		server.RejectNotRun(w, http.StatusBadRequest, err.Error())
		return
	}
	switch o.Kind {
	case orderLoadModel, orderUnloadModel, orderLoadAdapter, orderSetRole:
	default:
		server.RejectNotRun(w, http.StatusBadRequest, "unknown order kind")
		return
	}
	if !e.orderState.checkAndRecord(o) {
		server.RejectNotRun(w, http.StatusConflict, "stale fencing token")
		return
	}
	if !e.sleep(e.ctx, e.opts.LoadTime) {
		return
	}
	e.orderState.apply(o)
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) handleOrders(w http.ResponseWriter, _ *http.Request) {
	e.orderState.mu.Lock()
	defer e.orderState.mu.Unlock()
	server.WriteJSON(w, http.StatusOK, e.orderState.results)
}

func (e *Engine) handleDrain(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	e.draining = true
	e.mu.Unlock()
	w.WriteHeader(http.StatusAccepted)
}
