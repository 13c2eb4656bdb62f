package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// foreignEntry: another writer puts an entry into the store whose service is named nowhere, with
// the address of an engine that runs.
func foreignEntry(w *world) (broken bool) {
	const (
		maxAttempts = 1
		events      = 60
		eventTime   = 40 * time.Millisecond
		// callers of the route whose streams may be resumed, and of the other one
		resumers, others = 30, 12
		// more requests than this on more engines than max_attempts break the rule
		tolerated = 3
	)
	route := func(name string, resume bool) map[string]any {
		return map[string]any{
			"name": name, "host": "shop.example", "prefix": "/" + name + "/", "type": "streaming", "service": "planner",
			"timeout_ms": 20000, "target_latency_ms": 500, "target_gap_ms": 200, "max_attempts": maxAttempts, "priority": 1, "resume_streams": resume,
		}
	}
	w.startStore(map[string]any{
		"version":  3,
		"services": []any{engineService("planner")},
		"routes":   []any{route("sheets", true), route("notes", false)},
		"tenants":  []any{map[string]any{"name": "school", "api_keys": []string{"key-1"}}},
		"limits":   callerLimits,
	})
	engines := make([]*server, 3)
	for i := range engines {
		engines[i] = w.startServer(&server{id: fmt.Sprintf("i-engine%d", i+1), service: "planner", slots: 32, card: "a100", firstToken: 30 * time.Millisecond, eventTime: eventTime, events: events})
	}
	w.startRouters(1)
	for until := time.Now().Add(20 * time.Second); !loaded(engines); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(until) {
			w.fail("the engines were not ordered to load their layers")
		}
	}
	time.Sleep(time.Second)

	var mu sync.Mutex
	var resumable []string
	served, cut, other := map[string]int{}, map[string]int{}, map[string]int{}
	began := time.Now()
	until := began.Add(22 * time.Second)
	var wg sync.WaitGroup
	for name, callers := range map[string]int{"sheets": resumers, "notes": others} {
		for i := range callers {
			wg.Go(func() {
				c := &client{router: w.routers[0]}
				defer c.close()
				time.Sleep(time.Duration(i) * eventTime * events / time.Duration(callers))
				for n := 0; time.Now().Before(until); n++ {
					attempt := fmt.Sprintf("%s%d-%d", name, i, n)
					a := c.send(http.MethodPost, "/"+name+"/2f", 20*time.Second, []string{"Attempt-Id: " + attempt, "Credential: key-1", "Model: m",
						"Token-Usage: 800,60", fmt.Sprintf("Prompt-Prefix: 5c1e07a2:40,%x:760", attempt)}, []byte("prompt of "+attempt))
					got := strings.Count(string(a.body), "id: ")
					mu.Lock()
					if name == "sheets" {
						resumable = append(resumable, attempt)
					}
					switch {
					case a.err == nil && a.status == http.StatusOK && got == events:
						served[name]++
					case a.status == http.StatusOK:
						cut[name]++
					default:
						other[name]++
					}
					mu.Unlock()
					w.rec.printf("client got %d for %s after %d ms, %d events, error %v", a.status, attempt, a.elapsed.Milliseconds(), got, a.err)
					if a.err != nil || a.status != http.StatusOK {
						time.Sleep(200 * time.Millisecond)
					}
				}
			})
		}
	}
	time.Sleep(12 * time.Second)
	if w.trouble {
		// As another program may list the process: its own id, and a service that no
		// configuration names.
		e := engines[0]
		w.put("servers/inventory-17", map[string]any{
			"service": "inventory", "address": e.addr, "zone": "zone-a", "version": "1", "slots": 1,
			"state": "ready", "cold_remaining_ms": 0, "sequence": 1, "born": 1_700_000_000_000,
		})
		w.rec.printf("another writer wrote servers/inventory-17: service inventory, address %s, which is that of %s", e.addr, e.id)
	}
	wg.Wait()
	over := 0
	for _, attempt := range resumable {
		if runs := w.runsOf(attempt); distinct(runs) > maxAttempts {
			over++
			w.rec.printf("%s ran on %d engines, %v; max_attempts is %d and no engine has ended", attempt, distinct(runs), runs, maxAttempts)
		}
	}
	for _, name := range []string{"sheets", "notes"} {
		w.rec.printf("%s: %d streams served whole, %d cut off after their first event, %d otherwise", name, served[name], cut[name], other[name])
	}
	if over > tolerated {
		w.rec.printf("BUDGET: %d requests ran on more engines than max_attempts; allowed are %d", over, tolerated)
		return true
	}
	w.rec.printf("%d requests ran on more engines than max_attempts; allowed are %d", over, tolerated)
	return false
}

func distinct(names []string) int {
	set := map[string]bool{}
	for _, n := range names {
		set[n] = true
	}
	return len(set)
}
