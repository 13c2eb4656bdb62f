// Package ratelimit keeps the request rates that backend servers advertise as their limit
// and decides which router may send to such a server and when. A limit is state of the
// server: all routers that send to it share it. The package does no I/O.
package ratelimit

import (
	"maps"
	"math"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

const (
	// window is the time over which the requests of a server are added up.
	window = 4 * time.Second
	// minRate is the rate in requests per second that is used for a server that advertises
	// less, because only responses show that a limit has ended.
	minRate = 0.25
	// maxBurst is how many requests a router may save up, so that its share is not lost while
	// it has none for the server. Routers with a larger share may save up those of a second.
	maxBurst = 2
	// silenceTimeout is how long a server with a limit may remain without a response before
	// other routers get the shares. Those that have them may have no requests for it.
	silenceTimeout = 5 * time.Second
	// rateScale is the resolution of rates, which heartbeats keep.
	rateScale = 1000
	// limitTTL is how long the limit of a server that is gone, and the end of a limit, are
	// known and announced to peers.
	limitTTL = 30 * time.Second
)

// Unlimited is the rate of a server that advertises no limit.
const Unlimited = -1

// Advertised is what a server's responses said last about its limit.
type Advertised struct {
	// Rate is in requests per second over all routers, or Unlimited.
	Rate float64
	// Age is the time since the response.
	Age time.Duration
}

// Tracker holds the limits of the servers that this router sends to. A nil Tracker has no
// limits. It is safe for concurrent use.
type Tracker struct {
	self    string
	routers func(inc model.Incarnation) []Router
	clock   func() time.Duration

	mu      sync.Mutex
	limits  map[model.Incarnation]*limit
	sent    map[model.Incarnation]*counter // by this router, with or without a limit
	limited int                            // number of limits that are not Unlimited
}

// limit is the last known limit of one server and this router's part of it.
type limit struct {
	rate float64 // or Unlimited
	at   time.Duration
	// since is when this router learned of a limit, or of a lower one. senders is how many
	// routers may have sent as much as this one until then.
	since   time.Duration
	senders int
	share   share
	// tokens is the number of requests that this router may send now.
	tokens   float64
	filledAt time.Duration
}

// Router is a router that may have a share of a server's limit.
type Router struct {
	Name string
	// Near is set if the router is in the failure domain of the server.
	Near bool
}

// New returns a Tracker without limits. routers returns all routers, with or without self, as
// seen from a server. clock is monotonic.
func New(self string, routers func(inc model.Incarnation) []Router, clock func() time.Duration) *Tracker {
	return &Tracker{self: self, routers: routers, clock: clock, limits: map[model.Incarnation]*limit{}, sent: map[model.Incarnation]*counter{}}
}

// Observe records the rate that a response advertised, or Unlimited. sentAt is when its
// request was sent: responses may overtake each other, so only the response to a request
// that was sent after the last one shows that a limit ended or began again.
func (t *Tracker) Observe(inc model.Incarnation, rate float64, sentAt time.Duration) {
	if t == nil {
		return
	}
	if rate >= 0 {
		rate = math.Round(rate*rateScale) / rateScale
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.limits[inc]
	switch {
	case l == nil && rate < 0:
		return
	case l != nil && (l.rate < 0) != (rate < 0) && sentAt < l.at:
		return
	}
	t.set(inc, rate, t.clock(), "response")
}

// Merge records what a peer knows of a server's limit unless this router knows something
// newer.
func (t *Tracker) Merge(peer string, inc model.Incarnation, a Advertised) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	at := t.clock() - max(a.Age, 0)
	l := t.limits[inc]
	switch {
	case l != nil && at <= l.at, l == nil && a.Rate < 0, math.IsNaN(a.Rate):
		return
	case l == nil && a.Age > limitTTL:
		return // dropped here already, or the server is gone
	}
	t.set(inc, a.Rate, at, peer)
}

// set stores a limit. The caller holds t.mu.
func (t *Tracker) set(inc model.Incarnation, rate float64, at time.Duration, source string) {
	l := t.limits[inc]
	if l == nil {
		l = &limit{rate: Unlimited, filledAt: t.clock()}
		t.limits[inc] = l
	}
	before := l.rate
	now := t.clock()
	switch {
	case before < 0 && rate >= 0:
		t.limited++
		l.tokens, l.filledAt = 0, now
		l.since, l.senders = now, len(t.ranked(inc, 0))
	case before >= 0 && rate < 0:
		t.limited--
	case rate < before && now-l.since > window:
		l.since, l.senders = now, t.shareOf(inc, l).holders
	}
	l.rate, l.at = rate, at
	if rate != before {
		l.share.expires = 0
		klog.InfoS("rate limit of backend server changed", "server", inc, "rate", rate, "before", before, "source", source,
			"age", now-at, "share", t.shareOf(inc, l).rate, "recentlySent", t.recent(inc))
	}
}

// Snapshot returns the limits to announce to peers. Those that ended are included for a
// time, so that every router learns of the end.
func (t *Tracker) Snapshot() map[model.Incarnation]Advertised {
	if t == nil {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.limits) == 0 {
		return nil
	}
	now := t.clock()
	out := map[model.Incarnation]Advertised{}
	for inc, l := range t.limits {
		if l.rate < 0 && now-l.at > limitTTL {
			delete(t.limits, inc)
			continue
		}
		out[inc] = Advertised{Rate: l.rate, Age: now - l.at}
	}
	return out
}

// Any reports whether any server has a limit.
func (t *Tracker) Any() bool {
	if t == nil {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.limited > 0
}

// Rates returns the advertised rates of the servers with a limit.
func (t *Tracker) Rates() map[model.Incarnation]float64 {
	if t == nil {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[model.Incarnation]float64, t.limited)
	for inc, l := range t.limits {
		if l.rate >= 0 {
			out[inc] = l.rate
		}
	}
	return out
}

// Retain drops the state of servers that are not known any more.
func (t *Tracker) Retain(known func(inc model.Incarnation) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for inc, l := range t.limits {
		if !known(inc) && t.clock()-l.at > limitTTL {
			if l.rate >= 0 {
				t.limited--
			}
			delete(t.limits, inc)
		}
	}
	maps.DeleteFunc(t.sent, func(inc model.Incarnation, _ *counter) bool { return !known(inc) })
}

// Available reports whether this router may send a request to a server now.
func (t *Tracker) Available(inc model.Incarnation) bool { return t.Wait(inc) == 0 }

// Wait returns how long this router has to wait before it may send a request to a server,
// if it sends none until then; it is Never if the router has no share of the limit.
func (t *Tracker) Wait(inc model.Incarnation) time.Duration {
	if t == nil {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.limits[inc]
	if l == nil || l.rate < 0 {
		return 0
	}
	return t.wait(inc, l)
}

// Never is the wait of a router that has no share of a limit.
const Never = time.Duration(math.MaxInt64)

// Take takes the right to send one request to a server. It returns false if this router may
// not send one now.
func (t *Tracker) Take(inc model.Incarnation) bool {
	if t == nil {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.limits[inc]
	if l != nil && l.rate >= 0 {
		if t.wait(inc, l) > 0 {
			return false
		}
		l.tokens--
	}
	c := t.sent[inc]
	if c == nil {
		c = &counter{}
		t.sent[inc] = c
	}
	c.add(t.clock())
	return true
}

// Return gives back what Take took for a request that was not sent after all.
func (t *Tracker) Return(inc model.Incarnation) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if l := t.limits[inc]; l != nil && l.rate >= 0 {
		l.tokens++
	}
	if c := t.sent[inc]; c != nil {
		c.remove(t.clock())
	}
}

// wait implements Wait for a server with a limit. What all routers sent before they knew the
// limit counts against it. This router assumes that each of the others that sent to the server
// sent as much as itself. The caller holds t.mu.
func (t *Tracker) wait(inc model.Incarnation, l *limit) time.Duration {
	rate := t.fill(inc, l)
	if rate <= 0 {
		return Never
	}
	var missing float64
	if l.tokens < 1 {
		missing = 1 - l.tokens
	}
	wait := time.Duration(missing / rate * float64(time.Second))
	if c := t.sent[inc]; c != nil {
		allowed := max(l.rate, minRate) * window.Seconds() / float64(max(l.senders, 1))
		wait = max(wait, c.waitUntilBelow(t.clock(), l.since, int(allowed)+1))
	}
	return wait
}

// fill adds the tokens since the last call and returns the rate at which this router gets
// them. The caller holds t.mu.
func (t *Tracker) fill(inc model.Incarnation, l *limit) (rate float64) {
	now := t.clock()
	rate = t.shareOf(inc, l).rate
	l.tokens = min(l.tokens+rate*(now-l.filledAt).Seconds(), max(rate, maxBurst))
	l.filledAt = now
	return rate
}

// recent returns the number of requests that this router sent to a server within the
// window. The caller holds t.mu.
func (t *Tracker) recent(inc model.Incarnation) int {
	if c := t.sent[inc]; c != nil {
		return c.sum(t.clock())
	}
	return 0
}
