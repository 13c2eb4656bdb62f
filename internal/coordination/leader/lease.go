package leader

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"k8s.io/klog/v2"

	"github.com/skylarkwood/skylarkwood/internal/platform"
)

// lease is one lease of this process; the zero value is none.
type lease struct {
	id    platform.LeaseID
	until time.Duration // by this process's clock it runs at least so long
	renew time.Duration // when it is due to be renewed
}

func granted(id platform.LeaseID, began, ttl time.Duration) lease {
	return lease{id: id, until: began + ttl, renew: began + time.Duration(renewShare*float64(ttl))}
}

// turn renews what is due, and registers where there is no entry.
func (e *Elector) turn(ctx context.Context) {
	e.keepClaim(ctx)
	e.mu.Lock()
	member := e.member
	due := e.Clock() >= e.registerAt
	e.mu.Unlock()
	switch {
	case member.id == 0 && due:
		e.register(ctx)
	case member.id != 0 && e.Clock() >= member.renew:
		kept := e.keep(ctx, member, memberTTL)
		e.mu.Lock()
		if e.member.id == member.id { // else a new era began meanwhile
			e.member = kept
		}
		e.mu.Unlock()
		if kept.id == 0 {
			e.register(ctx)
		}
	}
}

// keepClaim renews the lease of the leadership key while this router leads. That
// of a claim which did not win runs out by itself: nothing hangs on it.
func (e *Elector) keepClaim(ctx context.Context) {
	e.mu.Lock()
	claim := e.claim
	leads := e.token != 0
	e.mu.Unlock()
	if claim.id == 0 || !leads {
		return
	}
	kept := e.keep(ctx, claim, leaderTTL)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.claim.id != claim.id {
		return // a new era began meanwhile
	}
	e.claim = kept
	if kept.id == 0 {
		e.token = 0
	}
}

// keep renews a lease; it gives none where the lease has ended, and the lease as
// it was where that is not known.
func (e *Elector) keep(ctx context.Context, l lease, ttl time.Duration) lease {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	began := e.Clock()
	err := e.Store.KeepAlive(ctx, l.id)
	switch {
	case err == nil:
		return granted(l.id, began, ttl)
	case errors.Is(err, platform.ErrLeaseNotFound):
		klog.InfoS("lease ended", "lease", l.id)
		return lease{}
	}
	klog.V(1).InfoS("lease not renewed", "lease", l.id, "err", err)
	return l
}

// grant takes a new lease; the zero value where there is none.
func (e *Elector) grant(ctx context.Context, ttl time.Duration) lease {
	began := e.Clock()
	id, given, err := e.Store.Grant(ctx, ttl)
	if err != nil {
		klog.V(1).InfoS("no lease granted", "err", err)
		return lease{}
	}
	return granted(id, began, given)
}

// register takes a lease and writes this router's entry under it.
func (e *Elector) register(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	member := e.grant(ctx, memberTTL)
	if member.id == 0 {
		return
	}
	value, err := json.Marshal(e.Self)
	if err != nil {
		klog.ErrorS(err, "member entry not encoded")
		return
	}
	item := platform.Item{Key: MemberPrefix + e.Self.Instance, Value: value, Lease: member.id}
	// Without an answer the entry may stand or not; it only helps peers to find
	// each other, and the next lease writes it again.
	if _, err := e.Store.Commit(ctx, platform.Txn{Put: []platform.Item{item}}); err != nil {
		klog.InfoS("not registered", "err", err)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.member = member
	klog.InfoS("registered", "lease", member.id, "ttl", memberTTL)
}

// leave gives back what this router holds, the leadership first.
func (e *Elector) leave() {
	held := e.resign()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	for _, id := range held {
		if id == 0 {
			continue
		}
		if err := e.Store.Revoke(ctx, id); err != nil {
			klog.InfoS("lease not given back; it runs out", "lease", id, "err", err)
		}
	}
}
