package main

// engineService returns the service of model engines of a small deployment.
func engineService(name string) map[string]any {
	return map[string]any{
		"name": name, "health_path": "/health", "max_connections": 1000,
		"engine": map[string]any{
			"slots": 16, "kv_token_bytes": 160000, "stride": 4, "step_ms": 1.0, "per_seq_ms": 0.01, "read_per_s": 100000, "chunk": 512, "loads_at_once": 4,
			"models": []any{map[string]any{"name": "m", "load_s": 0.5}},
			"usual":  map[string]any{"prompt": 800, "answer": 60},
			"layers": 8, "layer_mb": 1750, "activation_bytes": 16384, "pipe_mbps": 26000,
			"kinds": []any{map[string]any{"name": "a100", "mb": 72000, "pace": 1.0, "read_factor": 1.0}},
		},
	}
}

var callerLimits = map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 15000}

func loaded(engines []*server) bool {
	for _, e := range engines {
		e.mu.Lock()
		held := e.layers[1] - e.layers[0]
		e.mu.Unlock()
		if held == 0 {
			return false
		}
	}
	return true
}
