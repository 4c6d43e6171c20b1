// Package settings reads and validates a router's settings file.
package settings

import (
	"os"
	"time"

	"github.com/goccy/go-yaml"

	"hickoryrock/internal/operator/guard"
)

// Settings are the contents of a router's settings file.
type Settings struct {
	// Name is the router's VM name, unique in the fleet.
	Name string `yaml:"name"`
	// FailureDomain is the zone that the VM runs in.
	FailureDomain string   `yaml:"failure-domain"`
	Listen        Listen   `yaml:"listen"`
	Platform      Platform `yaml:"platform"`
	Log           Log      `yaml:"log"`
	Callers       Callers  `yaml:"callers"`
	Peers         Peers    `yaml:"peers"`
	Claims        Claims   `yaml:"claims"`
	Drain         Drain    `yaml:"drain"`
}

type (
	// Listen holds the addresses to listen on, each as IP:port.
	Listen struct {
		// Callers is the address of the caller API, which other VMs and callers connect to.
		Callers string `yaml:"callers"`
		// Peers is the address of the peer protocol, over TCP and UDP.
		Peers string `yaml:"peers"`
		// Admin is the address for metrics, health and readiness.
		Admin string `yaml:"admin"`
	}

	// Platform configures the client of the platform's object API.
	Platform struct {
		// Addresses are base URLs, which the client tries in turn.
		Addresses []string `yaml:"addresses"`
		// Timeout bounds one call.
		Timeout time.Duration `yaml:"timeout"`
	}

	// Log configures logging.
	Log struct {
		// Level is debug, info, warn or error.
		Level string `yaml:"level"`
		// Format is json or console.
		Format string `yaml:"format"`
	}

	// Callers limits the requests of callers.
	Callers struct {
		// KeepAddress is how long a caller may cache the router address it was given.
		KeepAddress time.Duration `yaml:"keep-address"`
		// MaxBodyBytes limits the size of a request body.
		MaxBodyBytes int64 `yaml:"max-body-bytes"`
		// MaxHeaderBytes limits the size of the request headers.
		MaxHeaderBytes int `yaml:"max-header-bytes"`
		// HeaderTimeout limits the wait for the request headers.
		HeaderTimeout time.Duration `yaml:"header-timeout"`
		// BodyTimeout limits the wait for the request body.
		BodyTimeout time.Duration `yaml:"body-timeout"`
		// MaxInFlight limits the number of requests in flight on this router.
		MaxInFlight int `yaml:"max-in-flight"`
	}

	// Peers configures the peer protocol.
	Peers struct {
		// ProbeInterval is the probe period of the failure detector.
		ProbeInterval time.Duration `yaml:"probe-interval"`
		// ControlBytesPerSecond limits the control traffic that this router sends.
		ControlBytesPerSecond int `yaml:"control-bytes-per-second"`
		// PermitTimeout limits the wait for a permit from the owner of a target.
		PermitTimeout time.Duration `yaml:"permit-timeout"`
		// IsolationTimeout is how long a router that reaches neither the platform nor a
		// peer accepts new work.
		IsolationTimeout time.Duration `yaml:"isolation-timeout"`
	}

	// Claims configures how long at-most-once keys are remembered.
	Claims struct {
		// Window is how long a key is remembered, from the time in the key.
		Window time.Duration `yaml:"window"`
	}

	// Drain configures graceful shutdown.
	Drain struct {
		// Timeout bounds the wait for requests in flight; 0 waits without a bound.
		Timeout time.Duration `yaml:"timeout"`
	}
)

// Default returns settings with the default value of every optional field.
func Default() Settings {
	return Settings{
		Platform: Platform{Timeout: 2 * time.Second},
		Log:      Log{Level: "info", Format: "json"},
		Callers: Callers{
			KeepAddress:    15 * time.Second,
			MaxBodyBytes:   1 << 20,
			MaxHeaderBytes: 16 << 10,
			HeaderTimeout:  5 * time.Second,
			BodyTimeout:    30 * time.Second,
			MaxInFlight:    4096,
		},
		Peers: Peers{
			ProbeInterval:         500 * time.Millisecond,
			ControlBytesPerSecond: 19_000,
			PermitTimeout:         250 * time.Millisecond,
			IsolationTimeout:      5 * time.Second,
		},
		Claims: Claims{Window: 24 * time.Hour},
		Drain:  Drain{Timeout: 10 * time.Minute},
	}
}

// Load reads and validates the settings file at path. The error is of type *Error.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, &Error{File: path, Problems: []Problem{{Field: "-config", Given: path, Allowed: "a readable file"}}}
	}
	return Parse(path, data)
}

// Parse decodes and validates settings; file is used only in errors. The error is of type
// *Error.
func Parse(file string, data []byte) (Settings, error) {
	s := Default()
	decode := func() error { return yaml.UnmarshalWithOptions(data, &s, yaml.Strict()) }
	if err := guard.RecoverPanic(decode); err != nil {
		return Settings{}, newSyntaxError(file, err)
	}
	if problems := validate(s); len(problems) > 0 {
		setLines(data, problems)
		return Settings{}, &Error{File: file, Problems: problems}
	}
	return s, nil
}
