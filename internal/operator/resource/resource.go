// Package resource defines the resources that operators write: services, model
// deployments, workspaces and traffic policies.
package resource

import (
	"time"

	"hickoryrock/internal/platform/objects"
)

const (
	// KindService is the kind of Service.
	KindService = "service"
	// KindModelDeployment is the kind of ModelDeployment.
	KindModelDeployment = "model-deployment"
	// KindWorkspace is the kind of Workspace.
	KindWorkspace = "workspace"
	// KindTrafficPolicy is the kind of TrafficPolicy.
	KindTrafficPolicy = "traffic-policy"

	// ProtocolChat is the protocol of services whose targets are model engines.
	ProtocolChat Protocol = "chat"
	// ProtocolPlain is the protocol of services whose targets are servers other than engines.
	ProtocolPlain Protocol = "plain"

	// Idempotent marks a method that may be retried.
	Idempotent Semantics = "idempotent"
	// AtMostOnce marks a method that must not be executed more than once.
	AtMostOnce Semantics = "at-most-once"
)

type (
	// Resource is a resource of one of the four kinds that operators write.
	Resource interface {
		// Key names the resource in the platform.
		Key() objects.Key
		// Validate returns nil or an *InvalidError that lists every invalid field.
		Validate() error
	}

	// Protocol is the protocol that a service's targets speak.
	Protocol string

	// Semantics determines whether a call may be retried.
	Semantics string

	// Service is a named service that callers use.
	Service struct {
		Name     string   `json:"name"`
		Protocol Protocol `json:"protocol"`
		// Model is the model name in callers' requests; chat services only.
		Model string `json:"model,omitempty"`
		// Methods are the methods of a plain service.
		Methods []Method `json:"methods,omitempty"`
		// Targets are the servers of a plain service.
		Targets []Target `json:"targets,omitempty"`
	}

	// Method is one method of a plain service.
	Method struct {
		Name      string    `json:"name"`
		Semantics Semantics `json:"semantics"`
		// Timeout bounds one call.
		Timeout Duration `json:"timeout,omitempty"`
	}

	// Target is one back end that can serve a service's calls.
	Target struct {
		Name string `json:"name"`
		// Address is IP:port.
		Address       string `json:"address"`
		FailureDomain string `json:"failure-domain"`
		// Weight is the target's relative speed; 0 counts as 1.
		Weight float64 `json:"weight,omitempty"`
		// Leaving means that the target gets no new calls.
		Leaving bool `json:"leaving,omitempty"`
	}

	// ModelDeployment is a set of engines that serve a model for a service.
	ModelDeployment struct {
		Name    string `json:"name"`
		Service string `json:"service"`
		Model   string `json:"model"`
		Version string `json:"version"`
		// ChecksFencing means that the engines refuse an order with an outdated fencing token.
		ChecksFencing bool     `json:"checks-fencing,omitempty"`
		Targets       []Target `json:"targets"`
	}

	// Workspace is a customer with its token, rights and limits.
	Workspace struct {
		Name string `json:"name"`
		// TokenSHA256 is the hex SHA-256 of the bearer token.
		TokenSHA256 string   `json:"token-sha256"`
		Services    []string `json:"services"`
		// Priority orders workspaces under overload, 0 to 9, higher first. It is
		// validated and stored, but has no effect: routers do not queue requests yet.
		Priority int `json:"priority,omitempty"`
		// MaxInFlight bounds the workspace's calls in flight across the fleet; 0 means
		// no limit of the workspace's own.
		MaxInFlight int `json:"max-in-flight,omitempty"`
		// TimeZone is an IANA name; the days of the daily report are in this time zone.
		TimeZone string `json:"time-zone,omitempty"`
		// LateAfter is the latency objective for the first token or the complete
		// response; slower calls count as late.
		LateAfter Duration `json:"late-after,omitempty"`
	}

	// TrafficPolicy controls how the traffic of a service is distributed to its targets.
	TrafficPolicy struct {
		Name    string `json:"name"`
		Service string `json:"service"`
		// LoadBound is the maximum load of a target as a multiple of the mean load; above 1.
		LoadBound float64 `json:"load-bound,omitempty"`
		// LoadFloor is the load, in load units, that a target may always have, whatever
		// the mean load.
		LoadFloor int `json:"load-floor,omitempty"`
		// MaxInFlight bounds the requests in flight on one target; 0 means no limit.
		MaxInFlight int `json:"max-in-flight,omitempty"`
		// Shares is the relative traffic share of each model deployment, by name;
		// empty means an even split over all targets.
		Shares map[string]float64 `json:"shares,omitempty"`
		// RetryBudget is the number of retries allowed per request, a fraction from 0 to 1.
		RetryBudget float64 `json:"retry-budget,omitempty"`
		// SilenceTimeout is the longest time without progress of a response.
		SilenceTimeout Duration `json:"silence-timeout,omitempty"`
	}

	// Duration is a time.Duration that is encoded as text, such as 2s.
	Duration time.Duration
)

// Kinds returns the kinds of the resources that operators write.
func Kinds() []string {
	return []string{KindService, KindModelDeployment, KindWorkspace, KindTrafficPolicy}
}

// Key implements Resource.
func (s *Service) Key() objects.Key { return objects.Key{Kind: KindService, Name: s.Name} }

// Key implements Resource.
func (d *ModelDeployment) Key() objects.Key {
	return objects.Key{Kind: KindModelDeployment, Name: d.Name}
}

// Key implements Resource.
func (w *Workspace) Key() objects.Key { return objects.Key{Kind: KindWorkspace, Name: w.Name} }

// Key implements Resource.
func (p *TrafficPolicy) Key() objects.Key {
	return objects.Key{Kind: KindTrafficPolicy, Name: p.Name}
}

// Targets returns the targets that a resource lists; nil for kinds without targets.
func Targets(r Resource) []Target {
	switch r := r.(type) {
	case *Service:
		return r.Targets
	case *ModelDeployment:
		return r.Targets
	}
	return nil
}

// EffectiveWeight returns the target's weight, or 1 when none is set.
func (t Target) EffectiveWeight() float64 {
	if t.Weight == 0 {
		return 1
	}
	return t.Weight
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler; it parses a duration such as 2s.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(v)
	return nil
}
