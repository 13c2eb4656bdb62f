package main

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// turnedAway: the store turns away the routers that watch it and serves the others. Meanwhile a
// version moves the route to another service and takes a key away, and a server begins to drain.
func turnedAway(w *world) (broken bool) {
	const (
		routers = 6
		awayFor = 9 * time.Second
		// bound is config_apply_ms and, should the store count as unstable, max_stretch_ms.
		bound = 2*time.Second + 5*time.Second
	)
	config := plainConfig(2500)
	services := config["services"].([]any)
	config["services"] = append(services, map[string]any{"name": "desk2", "health_path": "/health", "max_connections": 110})
	config["tenants"] = []any{
		map[string]any{"name": "school", "api_keys": []string{"key-1"}},
		map[string]any{"name": "clinic", "api_keys": []string{"key-2"}},
	}
	w.startStore(config)
	var servers []*server
	for _, id := range []string{"i-old1", "i-old2", "i-old3", "i-new1", "i-new2"} {
		s := &server{id: id, service: "desk", slots: 32}
		if strings.HasPrefix(id, "i-new") {
			s.service = "desk2"
		}
		s.plain = func(c net.Conn, r *http.Request, body []byte) bool { return s.wholeAnswer(c, r, 20*time.Millisecond) }
		servers = append(servers, w.startServer(s))
	}
	w.startRouters(routers)
	time.Sleep(8 * time.Second)
	before := make([]int, routers)
	for i, r := range w.routers {
		before[i] = r.store.watchCount()
	}
	time.Sleep(4 * time.Second)
	var watchers []*router
	for i, r := range w.routers {
		n := r.store.watchCount() - before[i]
		w.rec.printf("router %s called kv-watch %d times in 4 s", r.name, n)
		if n > 0 {
			watchers = append(watchers, r)
		}
	}
	if len(watchers) > 2 {
		w.fail("%d of %d routers watch the store", len(watchers), routers)
	}
	away := time.Now()
	if w.trouble {
		for _, r := range watchers {
			r.store.turnAway(true)
			w.rec.printf("the store turns %s away (503) and serves the others", r.name)
		}
		time.AfterFunc(awayFor, func() {
			for _, r := range watchers {
				r.store.turnAway(false)
			}
			w.rec.printf("the store serves all again")
		})
	}
	time.Sleep(100 * time.Millisecond)
	config["version"] = 7
	config["tenants"] = []any{map[string]any{"name": "school", "api_keys": []string{"key-1"}}}
	for _, r := range config["routes"].([]any) {
		r.(map[string]any)["service"] = "desk2"
	}
	w.put("op/config", config)
	acknowledged := time.Now()
	w.rec.printf("the store acknowledged version 7: route moved from desk to desk2, key-2 dropped")
	servers[0].setDraining()
	w.rec.printf("the store acknowledged that %s drains", servers[0].id)

	type seen struct {
		old, dropped, draining time.Duration // when the last one was sent
		stale                  int           // handled as only the older version allows, after bound
	}
	var mu sync.Mutex
	results := map[*router]*seen{}
	var wg sync.WaitGroup
	for _, r := range w.routers {
		results[r] = &seen{}
		for _, key := range []string{"key-1", "key-2"} {
			wg.Go(func() {
				c := &client{router: r}
				defer c.close()
				for n := 0; time.Since(away) < awayFor+3*time.Second; n++ {
					attempt := fmt.Sprintf("%s-%s-%d", r.name, key, n)
					sent := time.Since(acknowledged)
					a := c.send(http.MethodPost, "/notices/a", 2*time.Second, []string{"Attempt-Id: " + attempt, "Credential: " + key}, []byte("a notice"))
					runs := w.runsOf(attempt)
					w.rec.printf("client got %d for %s, sent %.1f s after version 7; it ran at %v", a.status, attempt, sent.Seconds(), runs)
					isOld := slices.ContainsFunc(runs, func(id string) bool { return strings.HasPrefix(id, "i-old") })
					mu.Lock()
					s := results[r]
					if isOld {
						s.old = sent
					}
					if key == "key-2" && len(runs) > 0 {
						s.dropped = sent
					}
					if slices.Contains(runs, servers[0].id) {
						s.draining = sent
					}
					if sent > bound && len(runs) > 0 && (isOld || key == "key-2") {
						s.stale++
					}
					mu.Unlock()
					time.Sleep(100 * time.Millisecond)
				}
			})
		}
	}
	wg.Wait()
	stale := 0
	for _, r := range w.routers {
		s, which := results[r], "was served by the store all the while"
		if slices.Contains(watchers, r) && w.trouble {
			which = "was turned away"
		} else {
			stale += s.stale
		}
		w.rec.printf("router %s %s: last request that ran at the old service sent %.1f s after version 7, with the dropped key %.1f s, at the draining server %.1f s", r.name, which, s.old.Seconds(), s.dropped.Seconds(), s.draining.Seconds())
	}
	w.rec.printf("CONFIG: %d requests sent later than %v after the acknowledgement were handled as only the older version allows, by routers that the store served", stale, bound)
	return stale > 0
}
