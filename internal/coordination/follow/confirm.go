package follow

import (
	"context"
	"errors"
	"sync"

	"k8s.io/klog/v2"
)

// maxConfirmations is how often registered routers are asked whether they run, before the store is
// used instead. With askTimeout it bounds the time that routers which have ended cost.
const maxConfirmations = 3

// unheardState is what is known of a registered router that sent no heartbeat to this process.
type unheardState int

const (
	unconfirmed unheardState = iota // it was not asked yet
	confirmed                       // it answered
	absent                          // it was asked and did not answer
)

// confirmSource returns a source that is known to run. A router that starts knows the others only
// by their registrations, and those of routers that ended stay until the leader removes them.
func (f *Follower) confirmSource(ctx context.Context, next Source) Source {
	if f.Picker == nil || !f.hasContents || f.detour.active || next.Address == f.source.Address {
		return next
	}
	for range maxConfirmations {
		if next.IsStore() || !f.Picker.IsUnconfirmed(next.Address) {
			return next
		}
		f.confirmRegistered(ctx)
		next = f.nextSource(ctx)
	}
	if !next.IsStore() && f.Picker.IsUnconfirmed(next.Address) {
		return Source{Reason: "registered routers do not answer", Fallback: true}
	}
	return next
}

// confirmRegistered asks the possible sources that sent no heartbeat to this process whether they
// run. It asks all of them at once, and waits for all answers for up to askTimeout.
func (f *Follower) confirmRegistered(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	start := f.Clock()
	var asking sync.WaitGroup
	for _, addr := range f.Picker.UnconfirmedPeers() {
		asking.Go(func() {
			_, err := f.PollPeer(ctx, addr, f.Revision(), 0)
			runs := err == nil || errors.Is(err, ErrNotWatching)
			klog.InfoS("registered router asked whether it runs", "peer", addr, "runs", runs, "took", f.Clock()-start, "err", err)
			f.Picker.RecordAnswer(addr, runs)
		})
	}
	asking.Wait()
}

// IsUnconfirmed reports whether a router is only registered, and was not asked yet whether it runs.
func (p *Picker) IsUnconfirmed(addr string) bool {
	for _, r := range p.routers() {
		if r.Address == addr {
			return !r.Heard && p.unheardState(addr) == unconfirmed
		}
	}
	return false
}

// UnconfirmedPeers returns the watchers of this router's failure domain, and those of other ones
// that it may poll, which IsUnconfirmed reports.
func (p *Picker) UnconfirmedPeers() []string {
	domains := p.watchers()
	var out []string
	for _, addr := range append(domains[p.Domain], p.remoteWatchers(domains)...) {
		if p.IsUnconfirmed(addr) {
			out = append(out, addr)
		}
	}
	return out
}

// RecordAnswer records whether a router that was not heard of answered. One that did not is neither
// a watcher nor a source until it sends a heartbeat.
func (p *Picker) RecordAnswer(addr string, runs bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.unheard == nil {
		p.unheard = map[string]unheardState{}
	}
	p.unheard[addr] = absent
	if runs {
		p.unheard[addr] = confirmed
	}
}

func (p *Picker) unheardState(addr string) unheardState {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.unheard[addr]
}

// routers returns the reachable routers without those that are only registered and did not answer.
func (p *Picker) routers() []Router {
	all := p.Routers()
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.unheard) == 0 {
		return all
	}
	out := make([]Router, 0, len(all))
	for _, r := range all {
		if r.Heard {
			delete(p.unheard, r.Address)
		}
		if r.Heard || p.unheard[r.Address] != absent {
			out = append(out, r)
		}
	}
	return out
}
