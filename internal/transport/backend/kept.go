package backend

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/skylarkwood/skylarkwood/internal/tcp"
)

// host keeps the idle connections to one address.
type host struct {
	mu   sync.Mutex
	idle []*conn // newest last
	// generation is incremented by each CloseIdle of the address.
	generation int
}

// takeIdle removes and returns a usable idle connection, or nil if there is none, and the
// generation for a new connection.
func (h *host) takeIdle(now time.Time) (*conn, int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for len(h.idle) > 0 {
		c := h.idle[len(h.idle)-1]
		h.idle = h.idle[:len(h.idle)-1]
		if now.Before(c.idleDeadline) && tcp.IsIdle(c.Conn) {
			c.reused = true
			return c, h.generation
		}
		c.Close()
	}
	return nil, h.generation
}

func (h *host) currentGeneration() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.generation
}

// put keeps a connection for the next request. If CloseIdle was called while it was in
// use, the connection leads to a process that exited and is closed.
func (h *host) put(c *conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if c.generation != h.generation {
		c.Close()
		return
	}
	h.idle = append(h.idle, c)
}

// CloseExpired closes idle connections whose idle timeout has passed.
func (p *Pool) CloseExpired() {
	now := time.Now()
	for _, h := range p.hosts.Values() {
		h.mu.Lock()
		kept := h.idle[:0]
		for _, c := range h.idle {
			if now.Before(c.idleDeadline) {
				kept = append(kept, c)
			} else {
				c.Close()
			}
		}
		h.idle = kept
		h.mu.Unlock()
	}
}

// CloseIdle closes the idle connections to an address. Connections in use are closed after
// their request.
func (p *Pool) CloseIdle(addr string) {
	h := p.host(addr)
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, c := range h.idle {
		c.Close()
	}
	h.idle = nil
	h.generation++
}

// idleTimeout returns how long a connection may be idle before its next request.
func idleTimeout(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.ParseFloat(value, 64); err == nil && seconds > 0 {
			return time.Duration(seconds * idleTimeoutFraction * float64(time.Second))
		}
	}
	return defaultIdleTimeout
}
