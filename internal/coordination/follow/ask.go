package follow

import (
	"context"
	"time"
)

// hedgeDelay is how long a router that is asked may keep silent before the next one is asked too.
// Answers of routers that run take a few milliseconds.
const hedgeDelay = 10 * time.Millisecond

// askAll asks routers for their updates, in order, and returns the first one whose answer is
// accepted, or an empty string. The next one is asked as soon as the last one was not accepted, or
// after hedgeDelay: one that is silent would otherwise take the whole timeout. answered is set if
// any of them answered.
func (f *Follower) askAll(ctx context.Context, addrs []string, timeout time.Duration, accept func(Updates) bool) (accepted string, answered bool) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	type answer struct {
		addr    string
		updates Updates
		err     error
	}
	answers := make(chan answer, len(addrs))
	next, pending := 0, 0
	ask := func() {
		if next == len(addrs) {
			return
		}
		addr := addrs[next]
		next++
		pending++
		go func() {
			updates, err := f.PollPeer(ctx, addr, f.Revision(), 0)
			answers <- answer{addr, updates, err}
		}()
	}
	hedge := time.NewTicker(hedgeDelay)
	defer hedge.Stop()
	for ask(); pending > 0; {
		select {
		case <-hedge.C:
			ask()
		case a := <-answers:
			pending--
			answered = answered || a.err == nil
			if a.err == nil && accept(a.updates) {
				return a.addr, true
			}
			ask()
		}
	}
	return "", answered
}
