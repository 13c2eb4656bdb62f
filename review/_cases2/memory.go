package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// plainConfig is the configuration of a small deployment with one plain service.
func plainConfig(timeoutMS int) map[string]any {
	return map[string]any{
		"version":  3,
		"services": []any{map[string]any{"name": "desk", "health_path": "/health", "max_connections": 110}},
		"routes": []any{map[string]any{
			"name": "notices", "host": "shop.example", "prefix": "/notices/", "type": "non_idempotent", "service": "desk",
			"timeout_ms": timeoutMS, "target_latency_ms": 300, "max_attempts": 1, "priority": 1,
		}},
		"tenants": []any{map[string]any{"name": "school", "api_keys": []string{"key-1"}}},
		"limits":  callerLimits,
	}
}

// wholeAnswer serves a request soundly after a time of work.
func (s *server) wholeAnswer(c net.Conn, r *http.Request, work time.Duration) bool {
	attempt := r.Header.Get("Attempt-Id")
	s.w.ran(s.id, attempt)
	time.Sleep(work)
	body := fmt.Sprintf("%-800s", "answer to "+attempt)
	_, err := fmt.Fprintf(c, "%sResponse-Signature: sig.%s.%s\r\nContent-Length: %d\r\n\r\n%s", s.head(r, http.StatusOK, nil), s.id, attempt, len(body), body)
	return err == nil
}

// lostRequests is the number of requests above which LOST is broken.
const lostRequests = 3

// tally is what became of the requests of a case.
type tally struct {
	w    *world
	mu   sync.Mutex
	sent int
	// lost are those that a sound server ran and whose kept connection ended without an answer.
	lost, served, other int
}

// add records the answer to an attempt. kept is set if the connection had served requests before.
func (t *tally) add(r *router, attempt string, kept bool, a answer, soundServers map[string]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent++
	if a.err == nil {
		t.w.rec.printf("client of %s got %d for %s after %d ms", r.name, a.status, attempt, a.elapsed.Milliseconds())
		if a.status == http.StatusOK {
			t.served++
		} else {
			t.other++
		}
		return
	}
	runs := t.w.runsOf(attempt)
	var timeout net.Error
	isTimeout := asTimeout(a.err, &timeout)
	t.w.rec.printf("client of %s got no answer to %s after %d ms: %v; kept connection %v, runs at %v", r.name, attempt, a.elapsed.Milliseconds(), a.err, kept, runs)
	if !isTimeout && a.sent && kept && len(runs) == 1 && soundServers[runs[0]] {
		t.lost++
		return
	}
	t.other++
}

func asTimeout(err error, into *net.Error) bool {
	ne, ok := err.(net.Error)
	if ok {
		*into = ne
	}
	return ok && ne.Timeout()
}

// load sends requests without a pause on a kept connection until the time is over. A client
// whose connection ended waits a little and opens another.
func (t *tally) load(r *router, name string, until time.Time, header func(n int) string, body []byte, sound map[string]bool) {
	c := &client{router: r}
	defer c.close()
	for n := 0; time.Now().Before(until); n++ {
		attempt := fmt.Sprintf("%s-%d", name, n)
		kept := c.conn != nil && c.used > 0
		a := c.send(http.MethodPost, "/notices/a", 5*time.Second, []string{"Attempt-Id: " + attempt, "Credential: key-1" + header(n)}, body)
		if a.err != nil && !a.sent {
			time.Sleep(200 * time.Millisecond)
			continue
		}
		t.add(r, attempt, kept, a, sound)
		if a.err != nil {
			time.Sleep(200 * time.Millisecond)
		}
	}
}

// endlessAnswer: one of three servers answers single requests with bytes that are no response.
func endlessAnswer(w *world) (broken bool) {
	const (
		// The garbage goes on while the connection is open, at the rate of a link of 1,000 Mbit/s,
		// up to a size.
		chunk      = 1 << 20
		chunkPause = 9 * time.Millisecond
		maxGarbage = 600 << 20
		work       = 300 * time.Millisecond
		// For garbleFor, one in spoiltOf of the faulty server's answers is spoilt.
		garbleFrom, garbleFor = 5 * time.Second, 6 * time.Second
		spoiltFrom, spoiltOf  = 20, 50
		clients               = 12 // of each router
	)
	w.startStore(plainConfig(2500))
	sound := map[string]bool{}
	var answers, spoilt atomic.Int64
	var began time.Time
	garbles := func() bool {
		at := time.Since(began)
		return w.trouble && at >= garbleFrom && at < garbleFrom+garbleFor
	}
	for i := range 3 {
		s := &server{id: fmt.Sprintf("i-desk%d", i+1), service: "desk", slots: 16}
		sound[s.id] = i > 0
		s.plain = func(c net.Conn, r *http.Request, body []byte) bool {
			if sound[s.id] || !garbles() || answers.Add(1)%spoiltOf != spoiltFrom {
				return s.wholeAnswer(c, r, work)
			}
			spoilt.Add(1)
			w.ran(s.id, r.Header.Get("Attempt-Id"))
			sent := 0
			garbage := bytes.Repeat([]byte("x"), chunk)
			for ; sent < maxGarbage; sent += chunk {
				if _, err := c.Write(garbage); err != nil {
					break
				}
				time.Sleep(chunkPause)
			}
			w.rec.printf("server %s sent at least %d MB that are no response in place of an answer to %s", s.id, sent>>20, r.Header.Get("Attempt-Id"))
			return false
		}
		w.startServer(s)
	}
	w.startRouters(2)
	time.Sleep(time.Second)
	t := &tally{w: w}
	var wg sync.WaitGroup
	began = time.Now()
	until := began.Add(16 * time.Second)
	for _, r := range w.routers {
		for i := range clients {
			wg.Go(func() {
				t.load(r, fmt.Sprintf("%s-c%d", r.name, i), until, func(int) string { return "" }, []byte("a notice"), sound)
			})
		}
	}
	wg.Wait()
	kills := 0
	for _, r := range w.routers {
		peak, n := r.memory()
		kills += n
		w.rec.printf("router %s: peak of its memory %.0f MB of %d, ended %d times for exceeding it", r.name, peak, memoryMB, n)
	}
	w.rec.printf("%d requests, %d served, %d otherwise; server i-desk1 answered %d while it was faulty, %d of them spoilt", t.sent, t.served, t.other, answers.Load(), spoilt.Load())
	if t.lost > lostRequests {
		w.rec.printf("LOST: %d requests that ran at a sound server and whose kept connection was closed without an answer; allowed are %d", t.lost, lostRequests)
		return true
	}
	w.rec.printf("%d requests ran at a sound server and got no answer on a kept connection; allowed are %d", t.lost, lostRequests)
	return false
}
