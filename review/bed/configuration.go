package main

import (
	"encoding/json"
	"time"

	"hickoryrock/platform/platformtest"
)

// fieldName is the field with the name of a route, a service, a tenant or a model.
const fieldName = "name"

// route returns a route of a configuration with its usual fields; more replaces or adds some.
func route(name, path, kind, service string, more map[string]any) map[string]any {
	r := map[string]any{
		fieldName: name, "host": host, "path_prefix": path, "route_kind": kind, "service": service, "timeout_ms": 1500, "slo_ms": 100,
		"priority": 1, "max_attempts": 1, "public": false, "sticky": false, "resumable": false,
	}
	for k, v := range more {
		r[k] = v
	}
	return r
}

// chatRoute returns a route of streams with prompts.
func chatRoute(name, path, service string, timeout time.Duration) map[string]any {
	return route(name, path, "streaming", service, map[string]any{
		"timeout_ms": timeout.Milliseconds(), "slo_ms": 400, "sticky": true, "itl_target_ms": 250,
	})
}

// configure writes a version of the configuration to the store, which acknowledges it.
func (b *bed) configure(version int, keys []string, services []map[string]any, routes ...map[string]any) {
	spec, _ := json.Marshal(map[string]any{ // Maps of strings and numbers never fail to encode.
		"version": version, "routes": routes, "services": services,
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{fieldName: "hule930", "api_keys": keys, "priority": 1}},
	})
	b.store.Set(platformtest.KindConfigurations, platformtest.CurrentConfiguration, string(spec))
	b.logf("configuration %d acknowledged", version)
}

// engines returns the configuration of a service of model servers.
func engines(name string) map[string]any {
	return map[string]any{
		fieldName: name, "health_path": "/healthz", "max_connections": 360, "protocol": "h1", "tls": false,
		"engine": map[string]any{"slots": 64, "kv_capacity": 343073, "models": []map[string]any{{fieldName: "m"}}},
	}
}

// plainService returns the configuration of a service without engines.
func plainService(name string) map[string]any {
	return map[string]any{fieldName: name, "health_path": "/healthz", "max_connections": 96, "protocol": "h1", "tls": false}
}
