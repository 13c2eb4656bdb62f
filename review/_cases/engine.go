package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

const (
	layers     = 8
	events     = 12
	eventTime  = 20 * time.Millisecond
	keepAlive  = 30 // seconds that an engine keeps an idle connection
	heartbeat  = 1200 * time.Millisecond
	healthPath = "/health"
	extraShare = 0.02
)

// engine is a server of a service: a model engine, which streams events, or a plain one.
type engine struct {
	s       *site
	id      string
	service string
	zone    string
	model   bool
	l       net.Listener
	addr    string

	mu       sync.Mutex
	holds    model.LayerRange
	orders   int64
	fence    int64
	draining bool
	full     bool
	beats    int
	runs     map[string]int // by attempt
	conns    map[net.Conn]bool
	// extra makes the engine faulty: it sends a health check's answer a second time, where the
	// next answer on that connection is expected, for at most extraShare of its answers.
	extra    bool
	repeated int
	answers  int
	ended    bool
}

func (s *site) newEngine(id, service, zone string, isModel bool) (*engine, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &engine{s: s, id: id, service: service, zone: zone, model: isModel, l: l, addr: l.Addr().String(), runs: map[string]int{}, conns: map[net.Conn]bool{}}
	go e.accept()
	e.register()
	go func() {
		for range time.Tick(heartbeat) {
			if !e.register() {
				return
			}
		}
	}()
	return e, nil
}

func (e *engine) accept() {
	for {
		c, err := e.l.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.conns[c] = true
		e.mu.Unlock()
		go e.serve(c)
	}
}

// register writes the engine's entry and reports whether the engine is still there.
func (e *engine) register() bool {
	e.mu.Lock()
	if e.ended {
		e.mu.Unlock()
		return false
	}
	e.beats++
	state := "ready"
	if e.draining {
		state = "draining"
	}
	entry := map[string]any{"service": e.service, "address": e.addr, "zone": e.zone, "version": "1", "slots": 6, "state": state, "cold_remaining_ms": 0, "sequence": e.beats}
	if e.model {
		entry["type"] = "big"
		entry["slots"] = 192
		entry["stage"] = "both"
		entry["layers"] = map[string]any{"from": e.holds.From, "to": e.holds.To, "version": 1}
		entry["models"] = []any{map[string]any{"name": "m0", "version": 1, "adapters": []any{}}}
	}
	e.mu.Unlock()
	raw, _ := json.Marshal(entry) // all fields can be encoded
	e.s.store.Put("servers/"+e.id, raw)
	return true
}

// drain reports that the engine is draining; the store's answer acknowledges it at once.
func (e *engine) drain() {
	e.mu.Lock()
	e.draining = true
	e.mu.Unlock()
	e.register()
}

// end ends the process of the engine.
func (e *engine) end() {
	e.mu.Lock()
	e.ended = true
	conns := e.conns
	e.conns = map[net.Conn]bool{}
	e.mu.Unlock()
	e.l.Close()
	for c := range conns {
		c.Close()
	}
	e.s.store.Remove("servers/" + e.id)
}

func (e *engine) set(f func(e *engine)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f(e)
}

func (e *engine) runsOf(attempt string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[attempt]
}

// serve answers the requests of one connection, one after the other.
func (e *engine) serve(c net.Conn) {
	defer func() {
		c.Close()
		e.mu.Lock()
		delete(e.conns, c)
		e.mu.Unlock()
	}()
	br := bufio.NewReader(c)
	var late []byte // a second copy of an answer, not yet sent
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		var head []byte
		if e.sendsExtra(late) {
			head = late
		}
		late = nil
		switch r.URL.Path {
		case "/skylarkwood/report":
			err = write(c, head, e.report())
		case "/skylarkwood/order":
			err = write(c, head, e.order(r, body))
		case healthPath:
			late = e.health()
			err = write(c, head, late)
		default:
			err = e.request(c, r, head)
		}
		if err != nil {
			return
		}
	}
}

// sendsExtra counts an answer and reports whether an earlier one is sent again before it.
func (e *engine) sendsExtra(late []byte) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.answers++
	if len(late) == 0 || !e.extra || float64(e.repeated+1) > extraShare*float64(e.answers) {
		return false
	}
	e.repeated++
	return true
}

func write(c net.Conn, parts ...[]byte) error {
	var all []byte
	for _, p := range parts {
		all = append(all, p...)
	}
	_, err := c.Write(all)
	return err
}

// message encodes an answer with a length.
func message(status int, header map[string]string, body string) []byte {
	out := fmt.Sprintf("HTTP/1.1 %d %s\r\nKeep-Alive: timeout=%d\r\n", status, http.StatusText(status), keepAlive)
	for k, v := range header {
		out += k + ": " + v + "\r\n"
	}
	return []byte(out + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body))
}

func (e *engine) report() []byte {
	e.mu.Lock()
	defer e.mu.Unlock()
	raw, _ := json.Marshal(map[string]any{
		"stage": "both", "models": []any{map[string]any{"name": "m0", "version": 1, "adapters": []any{}}}, "busy": false, "sequence": e.orders,
		"queue_depth": 0, "in_flight": 0, "kv_used": 0, "kv_total": 800000, "handles": 0, "pace": 1, "type": "big",
		"layers": map[string]any{"from": e.holds.From, "to": e.holds.To, "version": 1}, "stalled": []any{},
	})
	return message(http.StatusOK, map[string]string{"Content-Type": "application/json"}, string(raw))
}

// order carries out an order to hold layers, as PROTOCOL says; others don't exist here.
func (e *engine) order(r *http.Request, body []byte) []byte {
	var o struct {
		Operation string `json:"operation"`
		From      int    `json:"from"`
		To        int    `json:"to"`
		Fence     *int64 `json:"fencing_token"`
		Expected  *int64 `json:"expected"`
	}
	if json.Unmarshal(body, &o) != nil || o.Operation != "place" {
		return message(http.StatusBadRequest, nil, "")
	}
	if want := r.Header.Get("Expect-Instance"); want != "" && want != e.id {
		return message(http.StatusMisdirectedRequest, nil, "")
	}
	e.mu.Lock()
	want := model.LayerRange{From: o.From, To: o.To}
	status := http.StatusAccepted
	switch {
	case o.Fence != nil && *o.Fence < e.fence:
		status = http.StatusPreconditionFailed
	case e.holds == want:
		status = http.StatusOK
	case o.Expected != nil && *o.Expected != e.orders:
		status = http.StatusConflict
	default:
		if o.Fence != nil {
			e.fence = *o.Fence
		}
		e.orders++
		e.holds = want
	}
	e.mu.Unlock()
	if status == http.StatusAccepted {
		go e.register()
	}
	return message(status, nil, "")
}

// health answers a health check: it waits for a slot or is rejected like any other request.
func (e *engine) health() []byte {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.full:
		e.s.logf("%s: health check answered 503 with Not-Executed, as the engine is full", e.id)
		return message(http.StatusServiceUnavailable, map[string]string{"Instance-Id": e.id, "Not-Executed": "1"}, "")
	case e.draining:
		return message(http.StatusServiceUnavailable, map[string]string{"Instance-Id": e.id}, "")
	}
	return message(http.StatusOK, map[string]string{"Instance-Id": e.id}, "")
}

// request answers a caller's request. head is sent before the answer's own bytes.
func (e *engine) request(c net.Conn, r *http.Request, head []byte) error {
	attempt := r.Header.Get("Attempt-Id")
	header := map[string]string{"Attempt-Id": attempt, "Instance-Id": e.id}
	if r.Header.Get("Expect-Instance") != e.id {
		e.s.logf("%s: request %s is for another engine: 421", e.id, attempt)
		return write(c, head, message(http.StatusMisdirectedRequest, header, ""))
	}
	e.mu.Lock()
	full := e.full
	if !full {
		e.runs[attempt]++
	}
	draining := e.draining
	e.mu.Unlock()
	if full {
		header["Not-Executed"] = "1"
		e.s.logf("%s: request %s answered 503 with Not-Executed, as the engine is full", e.id, attempt)
		return write(c, head, message(http.StatusServiceUnavailable, header, ""))
	}
	e.s.logf("%s: runs request %s (%s %s, tenant %q, draining %v)", e.id, attempt, r.Method, r.URL.Path, r.Header.Get("Tenant"), draining)
	header["Response-Signature"] = "sig." + e.id + "." + attempt
	if !e.model {
		time.Sleep(20 * time.Millisecond)
		return write(c, head, message(http.StatusOK, header, e.id+" has run "+attempt+"\n"))
	}
	time.Sleep(eventTime) // a request begins to run with its first token
	out := fmt.Sprintf("HTTP/1.1 200 OK\r\nKeep-Alive: timeout=%d\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n", keepAlive)
	for k, v := range header {
		out += k + ": " + v + "\r\n"
	}
	if len(head) > 0 {
		e.s.logf("%s: sends a health check's answer a second time on the connection of request %s", e.id, attempt)
	}
	if err := write(c, head, []byte(out+"\r\n")); err != nil {
		return err
	}
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := last + 1; n <= events; n++ {
		text := fmt.Sprintf("id: %d\ndata: %s %d of %s\n\n", n, e.id, n, attempt)
		if err := write(c, []byte(fmt.Sprintf("%x\r\n%s\r\n", len(text), text))); err != nil {
			e.s.logf("%s: request %s broken off by its sender", e.id, attempt)
			return err
		}
		time.Sleep(eventTime)
	}
	return write(c, []byte("0\r\n\r\n"))
}
