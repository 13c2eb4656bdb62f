package follow

import "context"

// turnedAwayHow are the ways in which the store turns a router away: it answers 503, it resets the
// connections, or it does not respond.
var turnedAwayHow = []string{"rejected", "reset", "silent"}

func (n *node) turnAway(how string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.turnedAway = how
	if n.cut != nil {
		close(n.cut)
	}
	n.cut = make(chan struct{})
}

func (n *node) isTurnedAway() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.turnedAway != ""
}

// awaitTurnedAway waits until ctx is done or the store turns this router away. A silent store
// does not end the call in progress.
func (n *node) awaitTurnedAway(ctx context.Context) (ended bool) {
	n.mu.Lock()
	cut := n.cut
	n.mu.Unlock()
	select {
	case <-cut:
		n.mu.Lock()
		how := n.turnedAway
		n.mu.Unlock()
		return how != "silent"
	case <-ctx.Done():
		return false
	}
}

// turnAway makes the store answer no calls of the given routers: it rejects or resets them, or
// does not respond.
func (f *fleet) turnAway(nodes map[*node]bool, how string) {
	for n := range nodes {
		n.turnAway(how)
	}
}

// servedWithout returns the routers that lack a key's value although the store serves them.
func (f *fleet) servedWithout(key, value string) []string {
	var out []string
	for _, addr := range f.without(key, value) {
		if !f.node(addr).isTurnedAway() {
			out = append(out, addr)
		}
	}
	return out
}
