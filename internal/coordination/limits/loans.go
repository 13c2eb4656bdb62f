package limits

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"
)

const (
	// loanSize is how many repeated sends are asked for at once. An engine that
	// dies interrupts some ten to fifty streams of a router within moments.
	loanSize = 8
	// loanLasts is how long after the question borrowed sends may be used. The
	// lender counted them when it lent them, which may be long before its answer
	// is here; used much later they would fall into a window in which it has them
	// to spend again, and more are sent than the budget allows. The question is
	// never later than the loan, so counting from it is enough.
	loanLasts = 500 * time.Millisecond
	// loanTries is how many peers are asked before none is taken to have spares.
	loanTries = 2
	// loanWait bounds one peer's answer; it takes 2 ms, or 20 at a busy peer.
	loanWait = 100 * time.Millisecond
	// loanPause is how long nobody is asked after no peer had spares: as long
	// as peers take to tell of new ones.
	loanPause = 250 * time.Millisecond
)

// RetryBorrower lets a router whose part of the shared budget is used up borrow from
// peers that have spares. An engine's loss hits the routers of one failure
// domain; their own parts are used up at once while the others' lie idle, and
// streams that could go on are broken off. What is lent counts as spent at the
// lender, so the sum over all routers holds whoever is cut off from whom.
type RetryBorrower struct {
	Budget *SharedRetryBudget
	// Borrow asks a peer to lend; it gives how many it lent.
	Borrow func(ctx context.Context, peer, service string, want int) (int, error)
	Now    func() time.Time

	mu       sync.Mutex
	services map[string]*account
}

// account is what a router borrowed for one service, and from whom it may.
type account struct {
	left    int
	until   time.Time     // what is left may be used so long
	asking  chan struct{} // closed when the query under way ends; nil if none is
	pause   time.Time     // nobody is asked before
	lenders map[string]lender
}

type lender struct {
	spare int
	until time.Time // believed so long
}

// SetPeerTokens takes in what a peer could lend, and how long that is believed.
func (l *RetryBorrower) SetPeerTokens(peer string, spares map[string]int, good time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	until := l.Now().Add(good)
	for service, n := range spares {
		l.account(service).lenders[peer] = lender{spare: n, until: until}
	}
}

func (l *RetryBorrower) account(service string) *account {
	if l.services == nil {
		l.services = map[string]*account{}
	}
	a, ok := l.services[service]
	if !ok {
		a = &account{lenders: map[string]lender{}}
		l.services[service] = a
	}
	return a
}

// Take takes one repeated send from the router's own part, or borrows it. Nothing is
// taken after the end of ctx: the budget would be spent on a caller that left, and
// miss where streams are interrupted.
func (l *RetryBorrower) Take(ctx context.Context, service string) bool {
	for ctx.Err() == nil {
		if l.Budget.Take(service) {
			return true
		}
		wait, ok := l.borrowed(service)
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

// borrowed takes one of the borrowed sends. Where none is left it gives what to
// wait for before another try, nil if there is nothing to wait for.
func (l *RetryBorrower) borrowed(service string) (wait <-chan struct{}, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Now()
	a := l.account(service)
	if a.left > 0 && now.Before(a.until) {
		a.left--
		return nil, true
	}
	if a.asking != nil {
		return a.asking, false
	}
	if now.Before(a.pause) {
		return nil, false
	}
	a.asking = make(chan struct{})
	go l.borrow(service, a)
	return a.asking, false
}

// borrow asks the peers that told of most spares.
func (l *RetryBorrower) borrow(service string, a *account) {
	got := 0
	var asked time.Time
	for try := 0; try < loanTries && got == 0; try++ {
		peer := l.richest(a)
		if peer == "" {
			break
		}
		ctx, cancel := context.WithTimeout(context.Background(), loanWait)
		asked = l.Now()
		n, err := l.Borrow(ctx, peer, service, loanSize)
		cancel()
		klog.InfoS("repeated sends borrowed", "service", service, "peer", peer, "lent", n, "err", err)
		got = n
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Now()
	a.left = got
	a.until = asked.Add(loanLasts)
	if got == 0 {
		a.pause = now.Add(loanPause)
	}
	close(a.asking)
	a.asking = nil
}

// richest chooses the peer to ask and counts the loan off what it told.
func (l *RetryBorrower) richest(a *account) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Now()
	best := ""
	for peer, of := range a.lenders {
		if !now.Before(of.until) {
			delete(a.lenders, peer)
			continue
		}
		if of.spare > 0 && (best == "" || of.spare > a.lenders[best].spare) {
			best = peer
		}
	}
	if best != "" {
		of := a.lenders[best]
		of.spare = max(of.spare-loanSize, 0)
		a.lenders[best] = of
	}
	return best
}
