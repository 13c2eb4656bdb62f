package main

import (
	"errors"
	"fmt"
	"sync"
	"time"
)

const (
	garbleTime = 5 * time.Second
	callers    = 4
)

// modelService describes engines that each can hold the whole model.
func modelService(name string) map[string]any {
	return map[string]any{"name": name, "health_path": healthPath, "max_connections": 1058, "engine": map[string]any{
		"slots": 192, "kv_token_bytes": 918000, "stride": 3, "models": []any{map[string]any{"name": "m0", "load_s": 1}},
		"step_ms": 1.02, "per_seq_ms": 0.00714, "read_per_s": 105000, "chunk": 512, "loads_at_once": 4, "usual": map[string]any{"prompt": 700, "answer": 36},
		"layers": layers, "layer_mb": 1750, "activation_bytes": 45900, "link_mbps": 400000, "pipe_mbps": 26000, "report_lag_ms": 200,
		"kinds": []any{map[string]any{"name": "big", "mb": 72000, "pace": 2.4, "read_factor": 3.2}},
	}}
}

func route(name, prefix, kind, service string) map[string]any {
	return map[string]any{"name": name, "host": "service.example", "prefix": prefix, "type": kind, "service": service, "timeout_ms": 20000,
		"target_latency_ms": 500, "target_gap_ms": 200, "max_attempts": 2, "priority": 1}
}

var callerLimits = map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 15000}

// lateHealthAnswer: an engine repeats the answer to a health check where the next answer is
// due. Streams of a route without resume_streams may run at most once.
func lateHealthAnswer(s *site, trouble bool) error {
	s.configure(map[string]any{
		"version":  3,
		"routes":   []any{route("draft", "/draft/", "streaming", "drafts")},
		"services": []any{modelService("drafts")},
		"limits":   callerLimits,
		"tenants":  []any{map[string]any{"name": "school", "api_keys": []any{"key-school"}}},
	})
	var engines []*engine
	for i := range 2 {
		e, err := s.newEngine(fmt.Sprintf("i-%d", i+1), "drafts", "zone-a", true)
		if err != nil {
			return err
		}
		engines = append(engines, e)
	}
	if err := s.startRouters(1); err != nil {
		return err
	}
	if !s.waitReady(20 * time.Second) {
		return errors.New("the router did not become ready")
	}
	r := s.routers[0]
	send := func() answer {
		a := s.call(r, "POST", "/draft/sheet", "key-school", 20*time.Second, map[string]string{"Model": "m0", "Token-Usage": "200,36", "Prompt-Prefix": "5c1e07a2:40,91bd3f06:160"})
		s.logf("caller: request %s got status %d, signature %q, %d bytes, error %v", a.attempt, a.status, a.signature, len(a.body), a.err)
		return a
	}
	for end := time.Now().Add(25 * time.Second); send().status != 200; time.Sleep(200 * time.Millisecond) {
		if time.Now().After(end) {
			return errors.New("no stream was served")
		}
	}
	faulty := engines[0]
	var mu sync.Mutex
	var sent []string
	// sendFor sends requests until an end, a few at a time.
	sendFor := func(d time.Duration) {
		var wg sync.WaitGroup
		end := time.Now().Add(d)
		for range callers {
			wg.Go(func() {
				for time.Now().Before(end) {
					a := send()
					mu.Lock()
					sent = append(sent, a.attempt)
					mu.Unlock()
				}
			})
		}
		wg.Wait()
	}
	sendFor(5 * time.Second)
	for range 3 {
		faulty.set(func(e *engine) { e.full = true })
		s.logf("%s is full", faulty.id)
		sendFor(2 * time.Second)
		faulty.set(func(e *engine) { e.full = false })
		s.logf("%s has free slots again", faulty.id)
		sendFor(5 * time.Second)
		faulty.set(func(e *engine) { e.extra = trouble })
		s.logf("%s hands out extra answers from now on: %v", faulty.id, trouble)
		sendFor(garbleTime)
		faulty.set(func(e *engine) { e.extra = false })
	}
	s.logf("%s sent %d extra answers and %d others", faulty.id, faulty.repeated, faulty.answers)
	for _, attempt := range sent {
		if n := engines[0].runsOf(attempt) + engines[1].runsOf(attempt); n > 1 {
			s.breach("TWICE: request %s, which may run once, ran %d times", attempt, n)
		}
	}
	return nil
}
