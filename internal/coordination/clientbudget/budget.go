// Package clientbudget owns the memory and the connections that a process spends on clients that
// it does not control.
//
// Each accepted connection has an account. Whatever the process keeps for its client is taken from
// the account before it is read. If there is no room, the largest account yields whose client has made
// no progress for a time; if there is none, the request that asks is refused before anything of it
// runs. See docs/design/client-resources.md.
package clientbudget

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// stallTime is the time without progress after which an account yields to others.
	stallTime = time.Second
	// progressBytes is what a client must send or read for its account to have made progress.
	// Single bytes are none.
	progressBytes = 16 << 10
	// smallAccount is the size in bytes up to which an account may use the reserve.
	smallAccount = 64 << 10
	// reserveShare is the share of the memory that is kept for small accounts.
	reserveShare = 0.25
	// connectionCost is the memory in bytes of an open connection and of its request in progress: their
	// goroutines and buffers, without the header and the body.
	connectionCost = 20 << 10
	// yieldingShare is the share of the memory and of the connections that accounts which yield may
	// still hold while others use them. They release them as soon as their goroutines run.
	yieldingShare = 0.125
	// peerShare is the share of the memory by which known peers may exceed it.
	peerShare = 0.5
	// yieldTime is how long a request waits for what accounts that yield hold beyond that.
	yieldTime = 250 * time.Millisecond
)

// Listener is what a connection was accepted on.
type Listener string

// The listeners of a process. Each has connections of its own, so that a crowd at one leaves the
// others their descriptors.
const (
	Callers   Listener = "callers"   // requests of callers
	Peers     Listener = "peers"     // links from other processes
	Readiness Listener = "readiness" // checks of the balancer
	Metrics   Listener = "metrics"   // collectors
)

// Budget is the memory and the connections for the clients of a process. It is safe for concurrent
// use.
type Budget struct {
	limits Limits
	clock  func() time.Duration

	mu       sync.Mutex
	open     map[Listener]*connections
	used     int64 // bytes of all accounts, and detached ones
	detached int64 // bytes of requests that outlast their connections
	yielding int64 // bytes of the accounts that yield
	servers  int   // open connections to backend servers
	// noneStalledUntil is a time before which no account can have been without progress for
	// stallTime.
	noneStalledUntil time.Duration
	// noneAbandonedUntil is the time until which abandoned requests are not looked for again.
	noneAbandonedUntil time.Duration
	// freed is closed and replaced once an account that yields has released memory.
	freed chan struct{}
	// responses are those that hold or wait for memory, the earliest first.
	responses []*Response
	// responsesWait is set if a response waits for responseReleased, which is closed and replaced once one
	// has released memory.
	responsesWait    bool
	responseReleased chan struct{}
	log              usageLog
}

// connections are the open connections of one listener.
type connections struct {
	accounts map[*Account]struct{}
	limit    int
	yielding int // of accounts
}

// inUse returns the number of connections. Of those that yield some count as closed already.
func (c *connections) inUse() int {
	return len(c.accounts) - min(c.yielding, c.maxYielding())
}

// maxYielding returns how many connections that yield count as closed.
func (c *connections) maxYielding() int { return max(1, int(yieldingShare*float64(c.limit))) }

// New returns a budget without accounts. clock returns a monotonic time.
func New(limits Limits, clock func() time.Duration) *Budget {
	b := &Budget{limits: limits, clock: clock, open: map[Listener]*connections{}, freed: make(chan struct{}), responseReleased: make(chan struct{})}
	for l, n := range limits.Connections {
		b.open[l] = &connections{accounts: map[*Account]struct{}{}, limit: n}
	}
	return b
}

// Limits returns the limits of the budget.
func (b *Budget) Limits() Limits { return b.limits }

// Open returns an account for a new connection, or nil if the connection must be closed unread.
// wake is called, without a lock, once the account yields: it must make the reads and writes of the
// connection return. endHidden reports whether unread bytes may keep the end of the connection from
// arriving; it may be nil. A known peer keeps its connection while it is idle.
func (b *Budget) Open(l Listener, client string, knownPeer bool, wake func(), endHidden func() bool) *Account {
	a := &Account{budget: b, connections: b.open[l], listener: l, client: client, knownPeer: knownPeer, wake: wake, endHidden: endHidden}
	b.mu.Lock()
	now := b.clock()
	victims, ok := b.makeConnection(a.connections, now)
	if ok {
		var more []*Account
		more, ok = b.makeRoom(a, connectionCost, now)
		victims = append(victims, more...)
	}
	if ok {
		a.movedAt = now
		a.held = connectionCost
		a.connections.accounts[a] = struct{}{}
		b.used += connectionCost
	} else {
		b.log.refused(connectionRefused)
	}
	b.log.write(now, b)
	b.mu.Unlock()
	wakeAll(victims)
	if !ok {
		return nil
	}
	return a
}

// makeConnection lets connections yield if a listener has no more, and reports whether it has one
// then. Several must yield if connections to servers have taken the places of callers. The caller must
// hold b.mu.
func (b *Budget) makeConnection(c *connections, now time.Duration) (victims []*Account, ok bool) {
	for !b.hasConnection(c) {
		from := c
		if c.inUse() < c.limit {
			from = b.open[Callers]
		}
		if from.yielding >= from.maxYielding() {
			return victims, false
		}
		victim := b.yieldConnection(from, now)
		if victim == nil {
			return victims, false
		}
		victims = append(victims, victim)
	}
	return victims, true
}

// hasConnection reports whether a listener may have one more connection.
func (b *Budget) hasConnection(c *connections) bool {
	return c.inUse() < c.limit && b.hasSocket(c == b.open[Callers])
}

// yieldConnection makes the connection of a listener yield that has been without progress for longest,
// idle ones first, or else one whose client may have left. It returns nil if no connection may yield. The
// caller must hold b.mu and wake the account without it.
func (b *Budget) yieldConnection(c *connections, now time.Duration) *Account {
	var first *Account
	if now >= b.noneStalledUntil {
		for a := range c.accounts {
			if a.mayYield(now) && (first == nil || a.yieldsConnectionBefore(first)) {
				first = a
			}
		}
	}
	if first == nil {
		first = b.abandoned(c, now)
	}
	if first != nil {
		b.yield(first, connectionYielded)
	}
	return first
}

// abandoned returns the account of a request in progress whose client may have left without being
// noticed. Looking at a connection takes a system call, so it looks once in stallTime if it finds none.
func (b *Budget) abandoned(c *connections, now time.Duration) *Account {
	if now < b.noneAbandonedUntil {
		return nil
	}
	for a := range c.accounts {
		if a.mayBeAbandoned(now) {
			return a
		}
	}
	b.noneAbandonedUntil = now + stallTime
	return nil
}

// makeRoom lets accounts yield until n more bytes will fit for an account, and reports whether they
// fit now. The caller must hold b.mu.
func (b *Budget) makeRoom(a *Account, n int64, now time.Duration) (victims []*Account, ok bool) {
	limit, minHeld := b.memoryFor(a, n), int64(0)
	if limit < b.limits.Memory {
		minHeld = smallAccount
	}
	for b.used-b.yielding+n > limit {
		victim := b.largestStalled(a, minHeld, now)
		if victim == nil {
			return victims, false
		}
		b.yield(victim, memoryYielded)
		victims = append(victims, victim)
	}
	return victims, b.used-b.released()+n <= limit
}

// memoryFor returns the memory of which an account may use n more bytes.
func (b *Budget) memoryFor(a *Account, n int64) int64 {
	if a.held+n > smallAccount {
		return b.limits.Memory - int64(reserveShare*float64(b.limits.Memory))
	}
	return b.limits.Memory
}

// fitsPeer reports whether n more bytes fit for a known peer, which may exceed the memory.
func (b *Budget) fitsPeer(n int64) bool {
	return b.used+n <= b.limits.Memory+int64(peerShare*float64(b.limits.Memory))
}

// willFit reports whether n more bytes fit for an account once the accounts that yield have released
// theirs.
func (b *Budget) willFit(a *Account, n int64) bool {
	return b.used-b.yielding+n <= b.memoryFor(a, n)
}

// released returns the bytes of accounts that yield which count as free already.
func (b *Budget) released() int64 {
	return min(b.yielding, int64(yieldingShare*float64(b.limits.Memory)))
}

// largestStalled returns the account that holds most, and more than minHeld, of those that may yield
// to another.
func (b *Budget) largestStalled(other *Account, minHeld int64, now time.Duration) *Account {
	if now < b.noneStalledUntil {
		return nil
	}
	var largest *Account
	next := now + stallTime
	for _, c := range b.open {
		for a := range c.accounts {
			if at, ok := a.stalledAt(); ok {
				next = min(next, at)
			}
			if a != other && a.held > minHeld && a.mayYield(now) && (largest == nil || a.held > largest.held) {
				largest = a
			}
		}
	}
	b.noneStalledUntil = next
	return largest
}

// yield makes an account end. The caller must hold b.mu and wake the account without it.
func (b *Budget) yield(a *Account, why yieldReason) {
	a.yielded.Store(true)
	a.connections.yielding++
	b.yielding += a.held
	b.log.yielded(why, a)
}

func wakeAll(accounts []*Account) {
	for _, a := range accounts {
		a.wake()
	}
}

// RetryAfter returns when a refused client may come back. By then clients that make no progress
// have yielded. Clients are spread, so that they do not come back together.
func (b *Budget) RetryAfter() time.Duration {
	return stallTime/2 + rand.N(stallTime)
}
