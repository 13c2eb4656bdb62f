package limits

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/skylarkwood/skylarkwood/internal/coordination/caller"
)

const (
	// borrowBatch is how many retry tokens are requested at once. An engine that exits
	// interrupts ten to fifty streams of a router at once.
	borrowBatch = 8
	// borrowedLifetime is how long borrowed tokens may be used. The peer counts them as
	// spent when it lends them, and after a window may spend them again. The time
	// counts from the request, which is never later than the loan.
	borrowedLifetime = 500 * time.Millisecond
	// maxBorrowAttempts is how many peers are asked before the router gives up.
	maxBorrowAttempts = 2
	// borrowTimeout is the timeout for the answer of one peer. It takes 2 ms, or 20 ms from
	// a busy peer.
	borrowTimeout = 100 * time.Millisecond
	// borrowRetryDelay is how long no peer is asked after all refused. It is the time
	// in which peers advertise new spare tokens.
	borrowRetryDelay = 250 * time.Millisecond
)

// RetryBorrower takes retry tokens from a router's own part of the shared budget, or
// borrows spare ones from peers if that is used up. The loss of an engine affects the
// routers of one failure domain, while the other routers have tokens left. A peer
// counts what it lends as spent, so the sum over all routers stays within the budget
// even if routers are cut off from each other.
type RetryBorrower struct {
	Budget *SharedRetryBudget
	// Borrow asks a peer to lend up to want tokens and returns how many it lent.
	Borrow func(ctx context.Context, peer, service string, want int) (int, error)
	Now    func() time.Time

	mu       sync.Mutex
	services map[string]*borrowState
}

// borrowState holds what a router borrowed for one service, and what its peers can
// lend.
type borrowState struct {
	borrowed   int
	expires    time.Time     // of the borrowed tokens
	inProgress chan struct{} // closed when the request in progress ends; nil if there is none
	retryAt    time.Time     // no peer is asked before
	peers      map[string]peerTokens
}

type peerTokens struct {
	spare   int
	expires time.Time
}

// SetPeerTokens stores the spare tokens that a peer advertised, by service. They are
// valid for lifetime.
func (b *RetryBorrower) SetPeerTokens(peer string, spare map[string]int, lifetime time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	expires := b.Now().Add(lifetime)
	for service, n := range spare {
		b.state(service).peers[peer] = peerTokens{spare: n, expires: expires}
	}
}

func (b *RetryBorrower) state(service string) *borrowState {
	if b.services == nil {
		b.services = map[string]*borrowState{}
	}
	st, ok := b.services[service]
	if !ok {
		st = &borrowState{peers: map[string]peerTokens{}}
		b.services[service] = st
	}
	return st
}

// Take takes one retry token for a service and reports whether it got one. It may wait
// while tokens are borrowed. It takes none once ctx is done, as a cancelled request
// needs no retry.
func (b *RetryBorrower) Take(ctx context.Context, service string) bool {
	for caller.Check(ctx, caller.Waiting) == nil {
		if b.Budget.Take(service) {
			return true
		}
		wait, ok := b.takeBorrowed(service)
		if ok {
			return true
		}
		if wait == nil {
			return false
		}
		select {
		case <-wait:
		case <-ctx.Done():
		}
	}
	return false
}

// takeBorrowed takes one borrowed token. If none is left, it returns a channel that is
// closed when the request for more ends, or nil if there is none.
func (b *RetryBorrower) takeBorrowed(service string) (wait <-chan struct{}, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Now()
	st := b.state(service)
	if st.borrowed > 0 && now.Before(st.expires) {
		st.borrowed--
		return nil, true
	}
	if st.inProgress != nil {
		return st.inProgress, false
	}
	if now.Before(st.retryAt) {
		return nil, false
	}
	st.inProgress = make(chan struct{})
	go b.borrow(service, st)
	return st.inProgress, false
}

// borrow asks the peers with the most spare tokens until one lends some.
func (b *RetryBorrower) borrow(service string, st *borrowState) {
	lent := 0
	var requestedAt time.Time
	for attempt := 0; attempt < maxBorrowAttempts && lent == 0; attempt++ {
		peer := b.reserveFromPeer(st)
		if peer == "" {
			break
		}
		ctx, cancel := context.WithTimeout(context.Background(), borrowTimeout)
		requestedAt = b.Now()
		n, err := b.Borrow(ctx, peer, service, borrowBatch)
		cancel()
		klog.InfoS("requested retry tokens from peer", "service", service, "peer", peer, "lent", n, "err", err)
		lent = n
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Now()
	st.borrowed = lent
	st.expires = requestedAt.Add(borrowedLifetime)
	if lent == 0 {
		st.retryAt = now.Add(borrowRetryDelay)
	}
	close(st.inProgress)
	st.inProgress = nil
}

// reserveFromPeer returns the peer with the most spare tokens and deducts those to
// borrow. It returns an empty string if no peer has any.
func (b *RetryBorrower) reserveFromPeer(st *borrowState) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Now()
	best := ""
	for peer, tokens := range st.peers {
		if !now.Before(tokens.expires) {
			delete(st.peers, peer)
			continue
		}
		if tokens.spare > 0 && (best == "" || tokens.spare > st.peers[best].spare) {
			best = peer
		}
	}
	if best != "" {
		tokens := st.peers[best]
		tokens.spare = max(tokens.spare-borrowBatch, 0)
		st.peers[best] = tokens
	}
	return best
}
