package follow

import (
	"context"
	"time"
)

// askAll asks routers for their updates, all at once, and returns the first one whose answer is
// accepted, or an empty string. answered is set if any of them answered. One that is silent takes
// the whole timeout, so that to ask one after the other would take the sum of these.
func (f *Follower) askAll(ctx context.Context, addrs []string, timeout time.Duration, accept func(Updates) bool) (accepted string, answered bool) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	type answer struct {
		addr    string
		updates Updates
		err     error
	}
	answers := make(chan answer, len(addrs))
	for _, addr := range addrs {
		go func() {
			updates, err := f.PollPeer(ctx, addr, f.Revision(), 0)
			answers <- answer{addr, updates, err}
		}()
	}
	for range addrs {
		a := <-answers
		if a.err != nil {
			continue
		}
		answered = true
		if accept(a.updates) {
			return a.addr, true
		}
	}
	return "", answered
}
