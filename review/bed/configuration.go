package main

import (
	"time"

	"hickoryrock/platform/platformtest"
)

// workspace is the name of the only workspace.
const workspace = "hule930"

// route returns a route of a configuration with its usual fields.
func route(name, path, kind, service string) map[string]any {
	return platformtest.Route(host, name, path, kind, service)
}

// chatRoute returns a route of streams with prompts.
func chatRoute(name, path, service string, timeout time.Duration) map[string]any {
	return platformtest.ChatRoute(host, name, path, service, timeout)
}

// configure writes a version of the configuration to the store, which acknowledges it.
func (b *bed) configure(version int, keys []string, services []map[string]any, routes ...map[string]any) {
	spec := platformtest.DeploymentConfiguration(version, workspace, keys, services, routes)
	b.store.Set(platformtest.KindConfigurations, platformtest.CurrentConfiguration, spec)
	b.logf("configuration %d acknowledged", version)
}
