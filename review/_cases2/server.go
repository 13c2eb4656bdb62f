package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// server is an engine or the backend server of a plain service. It writes its responses itself,
// so that a faulty one can send what is no response.
type server struct {
	w       *world
	id      string
	service string
	addr    string
	slots   int
	card    string // empty for a plain service

	mu       sync.Mutex
	draining bool
	layers   [2]int
	sequence int
	running  int
	// plain serves a request of a plain service.
	plain func(c net.Conn, r *http.Request, body []byte) (keep bool)
	// firstToken is the time to the first event of a stream, eventTime that of each further one.
	firstToken, eventTime time.Duration
	events                int
}

func (w *world) startServer(s *server) *server {
	l := w.listen()
	s.w, s.addr = w, l.Addr().String()
	s.register()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return s
}

func (s *server) setDraining() {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	s.register()
}

func (s *server) register() {
	s.mu.Lock()
	state := "ready"
	if s.draining {
		state = "draining"
	}
	entry := map[string]any{
		"service": s.service, "address": s.addr, "zone": "zone-a", "version": "1", "slots": s.slots,
		"state": state, "cold_remaining_ms": 0, "sequence": 1, "born": 1_700_000_000_000,
	}
	if s.card != "" {
		entry["type"] = s.card
		entry["stage"] = "both"
		entry["layers"] = map[string]int{"from": s.layers[0], "to": s.layers[1]}
	}
	s.mu.Unlock()
	s.w.put("servers/"+s.id, entry)
}

func (s *server) serve(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if !s.handle(c, r, body) {
			return
		}
	}
}

// handle serves one request and reports whether the connection is kept.
func (s *server) handle(c net.Conn, r *http.Request, body []byte) bool {
	switch r.URL.Path {
	case "/skylarkwood/report":
		return s.respond(c, r, http.StatusOK, nil, s.report())
	case "/skylarkwood/order":
		return s.order(c, r, body)
	case "/health":
		if !s.take() {
			return s.respond(c, r, http.StatusServiceUnavailable, []string{"Not-Executed: 1"}, nil)
		}
		defer s.release()
		return s.respond(c, r, http.StatusOK, nil, nil)
	}
	attempt := r.Header.Get("Attempt-Id")
	if want := r.Header.Get("Expect-Instance"); want != "" && want != s.id {
		return s.respond(c, r, http.StatusMisdirectedRequest, []string{"At-Server: " + s.addr}, nil)
	}
	if !s.take() {
		s.w.rec.printf("server %s is full and refuses %s", s.id, attempt)
		return s.respond(c, r, http.StatusServiceUnavailable, []string{"Not-Executed: 1", "At-Server: " + s.addr}, nil)
	}
	defer s.release()
	if s.card == "" {
		return s.plain(c, r, body)
	}
	return s.stream(c, r)
}

// take takes a slot and reports whether there was one.
func (s *server) take() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running >= s.slots {
		return false
	}
	s.running++
	return true
}

func (s *server) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

// head returns the beginning of a response, which names the attempt if the request did.
func (s *server) head(r *http.Request, status int, header []string) string {
	s.mu.Lock()
	load := fmt.Sprintf("%d,0,%d", s.running, s.slots)
	s.mu.Unlock()
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nInstance-Id: %s\r\nServer-Load: %s\r\nKeep-Alive: timeout=30\r\n", status, http.StatusText(status), s.id, load)
	if id := r.Header.Get("Attempt-Id"); id != "" {
		fmt.Fprintf(&b, "Attempt-Id: %s\r\n", id)
	}
	for _, h := range header {
		b.WriteString(h + "\r\n")
	}
	return b.String()
}

// respond sends a whole response.
func (s *server) respond(c net.Conn, r *http.Request, status int, header []string, body []byte) bool {
	raw := []byte(fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", s.head(r, status, header), len(body), body))
	_, err := c.Write(raw)
	return err == nil
}

func (s *server) report() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	raw, _ := json.Marshal(map[string]any{
		"stage": "both", "models": []any{}, "busy": false, "sequence": s.sequence, "queue_depth": 0,
		"in_flight": s.running, "kv_used": 0, "kv_total": 800_000, "handles": 0, "pace": 1.0, "type": s.card,
		"layers": map[string]int{"from": s.layers[0], "to": s.layers[1]}, "stalled": []any{}, "born": 1_700_000_000_000,
	})
	return raw
}

func (s *server) order(c net.Conn, r *http.Request, body []byte) bool {
	var o struct {
		Operation string `json:"operation"`
		From      int    `json:"from"`
		To        int    `json:"to"`
		Expected  *int   `json:"expected"`
	}
	if json.Unmarshal(body, &o) != nil || o.Operation != "place" {
		return s.respond(c, r, http.StatusBadRequest, nil, nil)
	}
	s.mu.Lock()
	status := http.StatusAccepted
	switch {
	case s.layers == [2]int{o.From, o.To}:
		status = http.StatusOK
	case o.Expected != nil && *o.Expected != s.sequence:
		status = http.StatusConflict
	default:
		s.sequence++
		s.layers = [2]int{o.From, o.To}
	}
	s.mu.Unlock()
	s.w.rec.printf("server %s is ordered to hold layers %d to %d: %d", s.id, o.From, o.To, status)
	if status == http.StatusAccepted {
		time.AfterFunc(100*time.Millisecond, s.register)
	}
	return s.respond(c, r, status, nil, nil)
}

// stream runs a generation. It begins to run with its first token.
func (s *server) stream(c net.Conn, r *http.Request) bool {
	attempt := r.Header.Get("Attempt-Id")
	time.Sleep(s.firstToken)
	s.w.ran(s.id, attempt)
	head := s.head(r, http.StatusOK, []string{"Response-Signature: sig." + s.id + "." + attempt, "Content-Type: text/event-stream", "Transfer-Encoding: chunked"})
	from := 1
	if after, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		from = after + 1
	}
	for i := from; i <= s.events; i++ {
		event := fmt.Sprintf("id: %d\ndata: %s token %d of %s\n\n", i, s.id, i, attempt)
		chunk := fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
		if i == from {
			chunk = head + "\r\n" + chunk
		} else {
			time.Sleep(s.eventTime)
		}
		if _, err := c.Write([]byte(chunk)); err != nil {
			s.w.rec.printf("server %s drops %s after %d events: its connection was closed", s.id, attempt, i-1)
			return false
		}
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}
