package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

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

// staleRefusal: an engine that is full refuses a health check, as it refuses any other request.
// Later it sends a second copy of that refusal where the response to a stream is expected. The
// copy has no Attempt-Id, as a health check has none. The stream's route may not be repeated.
func staleRefusal(w *world) (broken bool) {
	w.startStore(map[string]any{
		"version":  3,
		"services": []any{engineService("planner")},
		"routes": []any{map[string]any{
			"name": "sheets", "host": "shop.example", "prefix": "/sheets/", "type": "streaming", "service": "planner",
			"timeout_ms": 20000, "target_latency_ms": 500, "target_gap_ms": 200, "max_attempts": 3, "priority": 1, "resume_streams": false,
		}},
		"tenants": []any{map[string]any{"name": "school", "api_keys": []string{"key-1"}}},
		"limits":  callerLimits,
	})
	var mu sync.Mutex
	extras := 0
	engines := make([]*server, 2)
	for i := range engines {
		engines[i] = w.startServer(&server{id: fmt.Sprintf("i-engine%d", i+1), service: "planner", slots: 16, card: "a100", firstToken: 30 * time.Millisecond, eventTime: 8 * time.Millisecond, events: 20})
	}
	faulty := engines[0]
	if w.trouble {
		faulty.extra = func(r *http.Request, status int, raw []byte) []byte {
			mu.Lock()
			defer mu.Unlock()
			if r.URL.Path != "/health" || status != http.StatusServiceUnavailable || extras > 0 {
				return nil
			}
			extras++
			w.rec.printf("server %s will repeat this response late: %q", faulty.id, raw)
			return raw
		}
	}
	w.startRouters(1)
	for until := time.Now().Add(20 * time.Second); !loaded(engines); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(until) {
			w.fail("the engines were not ordered to load their layers")
		}
	}
	time.Sleep(time.Second)

	sent := []string{}
	statuses := map[string]int{}
	served := 0
	clients := make([]*client, 6)
	for i := range clients {
		clients[i] = &client{router: w.routers[0]}
	}
	// batch sends one stream of each client at the same time.
	batch := func(name string) {
		var wg sync.WaitGroup
		for i, c := range clients {
			attempt := fmt.Sprintf("%s-%d", name, i)
			sent = append(sent, attempt)
			wg.Go(func() {
				a := c.send(http.MethodPost, "/sheets/2f", 20*time.Second, []string{"Attempt-Id: " + attempt, "Credential: key-1", "Model: m",
					"Token-Usage: 800,60", fmt.Sprintf("Prompt-Prefix: 5c1e07a2:40,%x:760", attempt)}, []byte("prompt of "+attempt))
				mu.Lock()
				defer mu.Unlock()
				statuses[attempt] = a.status
				if a.status == http.StatusOK && a.err == nil {
					served++
				}
				w.rec.printf("client got %d for %s after %d ms, %d bytes, from %s, error %v", a.status, attempt, a.elapsed.Milliseconds(), len(a.body), a.header.Get("Instance-Id"), a.err)
			})
		}
		wg.Wait()
	}
	faultyFrom, before := time.Now(), faulty.answered()
	for i := range 20 {
		batch(fmt.Sprintf("warm%d", i))
	}
	if served < 100 {
		w.fail("only %d of 120 first streams were served", served)
	}
	// Other callers take all slots of the engine until it has refused a stream and a health check.
	faulty.setForeign(faulty.slots)
	batch("full")
	time.Sleep(300 * time.Millisecond)
	w.rec.printf("server %s was faulty for %.1f s and gave %d responses in this time, of which %d are sent twice", faulty.id, time.Since(faultyFrom).Seconds(), faulty.answered()-before, extras)
	faulty.setForeign(0)
	// The router leaves the engine alone for 8 s after the failed health check.
	time.Sleep(8500 * time.Millisecond)
	for i := range 4 {
		batch(fmt.Sprintf("later%d", i))
		time.Sleep(200 * time.Millisecond)
	}
	w.rec.printf("%d streams sent, %d served", len(sent), served)
	for _, attempt := range sent {
		runs := w.runsOf(attempt)
		if len(runs) > 1 {
			w.rec.printf("TWICE: %s ran %d times, at %v; its client got %d", attempt, len(runs), runs, statuses[attempt])
			broken = true
		}
		if s := statuses[attempt]; len(runs) > 0 && (s == 429 || s == 503 || s == 408 || s == 421) {
			w.rec.printf("REFUSED: %s ran at %v and was answered %d", attempt, runs, s)
			broken = true
		}
	}
	return broken
}

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
