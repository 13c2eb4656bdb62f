package clientbudget

import (
	"context"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// ErrYielded means that the account of a connection has yielded to other clients.
var ErrYielded = errors.New("connection ended in favour of other clients")

// Phase is what a connection does for its client.
type Phase int

// String returns the name of the phase.
func (p Phase) String() string { return [...]string{"idle", "reading", "working"}[p] }

// The phases of a connection.
const (
	Idle    Phase = iota // no request
	Reading              // a request is read; nothing of it was handed on
	Working              // a request was handed on
)

// Account is what a process holds for the client of one connection. It is safe for concurrent use.
// All methods of a nil account do nothing and grant everything.
type Account struct {
	budget      *Budget
	connections *connections
	listener    Listener
	client      string
	knownPeer   bool
	wake        func()
	// endHidden reports whether unread bytes may keep the end of the connection from arriving; may be nil.
	endHidden func() bool

	// Guarded by the budget's mutex.
	phase   Phase
	held    int64         // bytes, with the connection's own
	moved   int64         // bytes since the last progress
	movedAt time.Duration // of the last progress
	writing bool          // a write waits for the client since movedAt
	closed  bool

	// yielded is set with the budget's mutex held.
	yielded atomic.Bool
}

// Take takes n bytes. It reports false, and takes nothing, if there is no room for them. It waits only
// for accounts that yield already.
func (a *Account) Take(n int64) bool {
	if a == nil || n <= 0 {
		return true
	}
	ok := a.tryTake(n)
	if !ok && !a.Yielded() {
		a.budget.recordRefusal()
	}
	return ok
}

// tryTake is Take, and does not count a refusal.
func (a *Account) tryTake(n int64) bool {
	ok, freed := a.take(n)
	if freed == nil {
		return ok
	}
	timer := time.NewTimer(yieldTime)
	defer timer.Stop()
	for freed != nil {
		select {
		case <-freed:
		case <-timer.C:
			return false
		}
		ok, freed = a.take(n)
	}
	return ok
}

// take takes n bytes if there is room. freed is not nil if there will be room once it is closed.
func (a *Account) take(n int64) (ok bool, freed <-chan struct{}) {
	b := a.budget
	b.mu.Lock()
	if a.closed || a.yielded.Load() {
		b.mu.Unlock()
		return false, nil
	}
	now := b.clock()
	victims, ok := b.makeRoom(a, n, now)
	if ok = ok || a.knownPeer && b.fitsPeer(n); ok {
		a.held += n
		b.used += n
	} else if b.willFit(a, n) {
		freed = b.freed
	}
	b.log.write(now, b)
	b.mu.Unlock()
	wakeAll(victims)
	return ok, freed
}

func (b *Budget) recordRefusal() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.log.refused(memoryRefused)
	b.log.write(b.clock(), b)
}

// takeRetryInterval is the time between two attempts of Wait.
const takeRetryInterval = 20 * time.Millisecond

// Wait takes n bytes, and waits for room until ctx is done or two stall times have passed. It is for
// what a request that was handed on cannot do without: its response.
func (a *Account) Wait(ctx context.Context, n int64) bool {
	if a == nil || n <= 0 {
		return true
	}
	for end := a.budget.clock() + 2*stallTime; !a.tryTake(n); {
		if a.budget.clock() > end || a.Yielded() {
			a.budget.recordRefusal()
			return false
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(takeRetryInterval):
		}
	}
	return true
}

// Give gives n bytes back.
func (a *Account) Give(n int64) {
	if a == nil || n <= 0 {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.give(n)
}

// Detach separates n bytes from the account, at most those that it holds besides the connection's own.
// They stay taken until release is called, whatever becomes of the connection.
func (a *Account) Detach(n int64) (release func()) {
	if a == nil {
		return func() {}
	}
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	n = max(min(n, a.held-connectionCost), 0)
	a.give(n)
	b.used += n
	b.detached += n
	return sync.OnceFunc(func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.used -= n
		b.detached -= n
	})
}

func (a *Account) give(n int64) {
	if a.closed {
		return
	}
	n = min(n, a.held)
	a.held -= n
	a.budget.used -= n
	if a.yielded.Load() {
		a.budget.yielding -= n
		close(a.budget.freed)
		a.budget.freed = make(chan struct{})
	}
}

// Enter starts a phase. It reports false if the account has yielded: then nothing of the request may
// be handed on. Idle and Reading begin with progress, as their time counts from then on. Idle gives
// back everything but the connection's own.
func (a *Account) Enter(p Phase) bool {
	if a == nil {
		return true
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	if a.yielded.Load() {
		return false
	}
	if p == a.phase {
		return true
	}
	a.phase = p
	a.moved = 0
	a.movedAt = a.budget.clock()
	if p == Idle {
		a.give(a.held - connectionCost)
	}
	return true
}

// BeginWrite records that a write waits for the client, and EndWrite that it took all of it.
func (a *Account) BeginWrite() { a.setWriting(true) }

// EndWrite ends what BeginWrite began.
func (a *Account) EndWrite() { a.setWriting(false) }

func (a *Account) setWriting(writing bool) {
	if a == nil {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.writing = writing
	a.movedAt = a.budget.clock()
}

// Moved records that the client has sent n bytes.
func (a *Account) Moved(n int) {
	if a == nil || n <= 0 {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.moved += int64(n)
	if a.moved >= progressBytes {
		a.moved = 0
		a.movedAt = a.budget.clock()
	}
}

// Yielded reports whether the account has ended in favour of others.
func (a *Account) Yielded() bool {
	if a == nil {
		return false
	}
	return a.yielded.Load()
}

// LargestBody is Limits.LargestBody of the account's budget; the largest number for a nil account.
func (a *Account) LargestBody() int64 {
	if a == nil {
		return math.MaxInt64
	}
	return a.budget.limits.LargestBody()
}

// KnownPeer reports whether the client is another process of the system.
func (a *Account) KnownPeer() bool { return a != nil && a.knownPeer }

// RetryAfter returns when a refused client may come back.
func (a *Account) RetryAfter() time.Duration {
	if a == nil {
		return stallTime
	}
	return a.budget.RetryAfter()
}

// Close ends the account with its connection.
func (a *Account) Close() {
	if a == nil {
		return
	}
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.closed {
		return
	}
	a.give(a.held)
	a.closed = true
	delete(a.connections.accounts, a)
	if a.yielded.Load() {
		a.connections.yielding--
	}
}

type contextKey struct{}

// NewContext returns a context that carries the account of a request.
func NewContext(ctx context.Context, a *Account) context.Context {
	return context.WithValue(ctx, contextKey{}, a)
}

// FromContext returns the account of a request; nil if there is none.
func FromContext(ctx context.Context) *Account {
	a, _ := ctx.Value(contextKey{}).(*Account)
	return a
}
