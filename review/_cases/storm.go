package main

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

const (
	contact     = 3 * time.Second // bound contact_ms
	configApply = 2 * time.Second // bound config_apply_ms
	drainTime   = 2 * time.Second // bound drain_ms
	drainAfter  = 2 * time.Second // when the old service's servers begin to drain
	endAfter    = 8 * time.Second // and when they exit
	history     = 20 * time.Second
	cutTime     = 5500 * time.Millisecond
	stormGap    = 330 * time.Millisecond
	stormCount  = 12
	customers   = 10000
)

// stormConfig returns a configuration with many customers. Its last version moves the route
// to another service and drops a key.
func stormConfig(version int, last bool) map[string]any {
	tenants := []any{map[string]any{"name": "school", "api_keys": []any{"key-school"}}}
	if !last {
		tenants = append(tenants, map[string]any{"name": "clinic", "api_keys": []any{"key-dropped"}})
	}
	for i := range customers {
		tenants = append(tenants, map[string]any{"name": fmt.Sprintf("customer-%05d", i), "api_keys": []any{fmt.Sprintf("k%05dsnzfs989anu6wsjnb", i)}})
	}
	service := "desk-old"
	if last {
		service = "desk-new"
	}
	r := route("post", "/post/", "non_idempotent", service)
	r["max_attempts"] = 1
	return map[string]any{
		"version":  version,
		"routes":   []any{r},
		"services": []any{map[string]any{"name": "desk-old", "max_connections": 96}, map[string]any{"name": "desk-new", "max_connections": 96}},
		"limits":   callerLimits,
		"tenants":  tenants,
	}
}

// configStorm: the router is cut off from the store for cutTime while configurations come in
// quick succession.
func configStorm(s *site, trouble bool) error {
	s.configure(stormConfig(3, false))
	var old []*engine
	for _, service := range []string{"desk-old", "desk-new"} {
		for i := range 2 {
			e, err := s.newEngine(fmt.Sprintf("%s-%d", service, i+1), service, "zone-a", false)
			if err != nil {
				return err
			}
			if service == "desk-old" {
				old = append(old, e)
			}
		}
	}
	p, err := newProxy(s.addr)
	if err != nil {
		return err
	}
	s.addr = p.addr
	if err := s.startRouters(1); err != nil {
		return err
	}
	if !s.waitReady(20 * time.Second) {
		return errors.New("the router did not become ready")
	}
	r := s.routers[0]
	send := func(key string) answer {
		a := s.call(r, "POST", "/post/note", key, 2500*time.Millisecond, nil)
		s.logf("caller: request %s with %s got status %d, body %q, error %v", a.attempt, key, a.status, strings.TrimSpace(a.body), a.err)
		return a
	}
	for end := time.Now().Add(20 * time.Second); send("key-school").status != 200 || send("key-dropped").status != 200; time.Sleep(200 * time.Millisecond) {
		if time.Now().After(end) {
			return errors.New("no request was served")
		}
	}
	time.Sleep(contact)
	if trouble {
		s.logf("the router is cut off from the store, its connections are reset")
		p.setCut(true)
	}
	cutAt := time.Now()
	version := 3
	for i := range stormCount {
		version += 2
		size := s.configure(stormConfig(version, i == stormCount-1))
		s.logf("the operator has written version %d, %d bytes; the store has acknowledged it", version, size)
		time.Sleep(stormGap)
	}
	acknowledged := time.Now()
	time.Sleep(time.Until(cutAt.Add(cutTime)))
	p.setCut(false)
	s.logf("the path between the router and the store is whole")
	inTouch := time.Now().Add(contact)
	from := acknowledged.Add(configApply)
	if from.Before(inTouch) {
		from = inTouch
	}
	// A request sent after both bounds must not be handled as only an older version allows.
	from = from.Add(configApply)
	s.logf("judged from %.3f s on", from.Sub(s.started).Seconds())
	time.Sleep(time.Until(from))
	var drained, ended, compacted bool
	var drainedAt time.Time
	for ; time.Since(from) < 30*time.Second; time.Sleep(250 * time.Millisecond) {
		switch since := time.Since(from); {
		case !drained && since > drainAfter:
			for _, e := range old {
				e.drain()
			}
			drained, drainedAt = true, time.Now()
			s.logf("the servers of desk-old are draining; the store has acknowledged it")
		case !ended && since > endAfter:
			for _, e := range old {
				e.end()
			}
			ended = true
			s.logf("the servers of desk-old have exited")
		case !compacted && time.Since(acknowledged) > history:
			s.store.Compact()
			compacted = true
			s.logf("the store discards its history, %v after the last version", history)
		}
		sent := time.Now()
		a := send("key-school")
		if strings.HasPrefix(a.body, "desk-old") {
			s.breach("CONFIG: request %s was run by the service of an older version, %.1f s after version %d was acknowledged", a.attempt, sent.Sub(acknowledged).Seconds(), version)
			if drained && sent.Sub(drainedAt) > drainTime {
				s.breach("DRAIN: request %s reached a server %.1f s after the acknowledgement that it is draining", a.attempt, sent.Sub(drainedAt).Seconds())
			}
		}
		if a.status != 200 {
			s.logf("request %s was not served, though desk-new has free servers", a.attempt)
		}
		if a := send("key-dropped"); a.status == 200 {
			s.breach("CONFIG: request %s was run with a key that version %d has dropped, %.1f s after that was acknowledged", a.attempt, version, time.Since(acknowledged).Seconds())
		}
	}
	return nil
}
