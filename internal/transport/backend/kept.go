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
	idle []*conn // the newest last
	// drops counts how often the address was dropped.
	drops int
}

// take gives an idle connection that is still good, nil if there is none, and the
// count of drops that a new one opened in its place belongs to.
func (h *host) take(now time.Time) (*conn, int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for len(h.idle) > 0 {
		c := h.idle[len(h.idle)-1]
		h.idle = h.idle[:len(h.idle)-1]
		if now.Before(c.until) && tcp.IsIdle(c.Conn) {
			c.kept = true
			return c, h.drops
		}
		c.Close()
	}
	return nil, h.drops
}

// dropped is how often the address was dropped.
func (h *host) dropped() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.drops
}

// put keeps a connection for the next request. One that was in use while its
// address was dropped leads to a process that has ended: it is closed, as the
// resting ones were.
func (h *host) put(c *conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if c.drops != h.drops {
		c.Close()
		return
	}
	h.idle = append(h.idle, c)
}

// CloseExpired closes idle connections whose time is over.
func (p *Pool) CloseExpired() {
	now := time.Now()
	for _, h := range p.hosts.Values() {
		h.mu.Lock()
		kept := h.idle[:0]
		for _, c := range h.idle {
			if now.Before(c.until) {
				kept = append(kept, c)
			} else {
				c.Close()
			}
		}
		h.idle = kept
		h.mu.Unlock()
	}
}

// CloseIdle closes the idle connections to an address, and keeps none of those in use:
// what is known about the server there no longer holds.
func (p *Pool) CloseIdle(addr string) {
	h := p.host(addr)
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, c := range h.idle {
		c.Close()
	}
	h.idle = nil
	h.drops++
}

// idleTime is how long the connection may idle before the next request.
func idleTime(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if s, err := strconv.ParseFloat(value, 64); err == nil && s > 0 {
			return time.Duration(s * idleShare * float64(time.Second))
		}
	}
	return unknownIdle
}
