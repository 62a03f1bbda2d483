package main

import "fmt"

const exampleHost = "jepu9.example"

// route is a route as the operator sends it.
type route struct {
	Host      string  `json:"host"`
	Prefix    string  `json:"path_prefix"`
	Type      string  `json:"route_type"`
	Timeout   int     `json:"timeout_ms"`
	Objective int     `json:"target_latency_ms"`
	Priority  int     `json:"priority"`
	Service   string  `json:"service,omitempty"`
	Split     []split `json:"traffic_split,omitempty"`
	Attempts  int     `json:"max_attempts"`
}

type split struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

func service(maxConns int, keyed bool) map[string]any {
	s := map[string]any{"health_path": "/health", "max_conns": maxConns, "protocol": "h1", "tls": false}
	if keyed {
		s["sharded"], s["warm_s"], s["grants"] = true, 5.0, "invocation"
	}
	return s
}

func config(version, base int, routes map[string]route, services map[string]any) string {
	return mustJSON(map[string]any{
		"version": fmt.Sprintf("%08x", version), "base_version": fmt.Sprintf("%08x", base), "routes": routes, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
}

func patch(version, base int, upsert map[string]any, drop map[string]any) string {
	return mustJSON(map[string]any{"version": fmt.Sprintf("%08x", version), "base_version": fmt.Sprintf("%08x", base), "upsert": upsert, "delete": drop})
}
