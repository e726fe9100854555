package main

import "fmt"

// Names of the desired states.
const (
	virtualHost = "jepu9.example"
	oldService  = "huvo11a"
	newService  = "kafi81c"
	tenantA     = "sese880"
	tenantB     = "cufi781"
	keptKey     = "9anu6wsjnbanfqasnmgk"
	revokedKey  = "cuyj8pjbvk9m68k7b2ex"
)

// desiredState returns a valid desired state in which one route goes to the service and
// the tenants hold the keys.
func desiredState(version int, service string, timeoutS float64, keysOfB []string) map[string]any {
	route := func(name, prefix, kind, to string) map[string]any {
		return map[string]any{
			"name": name, "prefix": prefix, "kind": kind, "timeoutS": timeoutS, "goalS": 0.3, "priority": 2, "service": to,
			"maxAttempts": 2, "public": false, "sticky": false, "homeRegions": []string{},
		}
	}
	var services []map[string]any
	for _, name := range []string{oldService, newService} {
		services = append(services, map[string]any{"name": name, "healthPath": "/health", "maxConns": 390, "protocol": "h1", "tls": false, "coldS": 3.0, "coldPerS": 7.7})
	}
	tenant := func(name string, keys []string) map[string]any {
		return map[string]any{"name": name, "apiKeys": keys, "priority": 1, "ratePerS": 400, "burst": 400, "homeRegions": []string{}}
	}
	return map[string]any{
		"version": fmt.Sprintf("%08x", version), "baseVersion": fmt.Sprintf("%08x", version-2), "services": services,
		"limits":  map[string]any{"headerBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutS": 3, "idleTimeoutS": 15},
		"tenants": []any{tenant(tenantA, []string{keptKey}), tenant(tenantB, keysOfB)},
		"hosts":   []any{map[string]any{"host": virtualHost, "paths": []any{route("r-e9itfrz", "/lepu270/", "idempotent", service), route("r-m2d54xb", "/xapu221/", "non_idempotent", newService)}}},
	}
}
