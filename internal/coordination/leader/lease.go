package leader

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"k8s.io/klog/v2"

	"github.com/skylarkwood/skylarkwood/internal/platform"
)

// lease is a lease held by this process. The zero value means none.
type lease struct {
	id         platform.LeaseID
	validUntil time.Duration // earliest time at which it can expire, by this process's clock
	renewAt    time.Duration
}

func newLease(id platform.LeaseID, began, ttl time.Duration) lease {
	return lease{id: id, validUntil: began + ttl, renewAt: began + time.Duration(renewFraction*float64(ttl))}
}

// maintainLeases renews the leases that are due and registers this router if it has no entry.
func (e *Elector) maintainLeases(ctx context.Context) {
	e.renewLeaderLease(ctx)
	e.mu.Lock()
	member := e.memberLease
	due := e.Clock() >= e.registerAfter
	e.mu.Unlock()
	switch {
	case member.id == 0 && due:
		e.register(ctx)
	case member.id != 0 && e.Clock() >= member.renewAt:
		renewed := e.renew(ctx, member, memberTTL)
		e.mu.Lock()
		if e.memberLease.id == member.id { // false if the store was restored meanwhile
			e.memberLease = renewed
		}
		e.mu.Unlock()
		if renewed.id == 0 {
			e.register(ctx)
		}
	}
}

// renewLeaderLease renews the lease of the leadership key while this router leads. The lease of a
// failed campaign is left to expire.
func (e *Elector) renewLeaderLease(ctx context.Context) {
	e.mu.Lock()
	held := e.leaderLease
	leads := e.fencingToken != 0
	e.mu.Unlock()
	if held.id == 0 || !leads {
		return
	}
	renewed := e.renew(ctx, held, leaderTTL)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leaderLease.id != held.id {
		return // the store was restored meanwhile
	}
	e.leaderLease = renewed
	if renewed.id == 0 {
		e.fencingToken = 0
	}
}

// renew renews a lease and returns it. It returns the zero lease if the lease no longer exists,
// and the lease unchanged if the outcome is unknown.
func (e *Elector) renew(ctx context.Context, l lease, ttl time.Duration) lease {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	began := e.Clock()
	err := e.Store.KeepAlive(ctx, l.id)
	switch {
	case err == nil:
		return newLease(l.id, began, ttl)
	case errors.Is(err, platform.ErrLeaseNotFound):
		klog.InfoS("lease no longer exists", "lease", l.id)
		return lease{}
	}
	klog.V(1).InfoS("failed to renew the lease", "lease", l.id, "err", err)
	return l
}

// grant requests a new lease. It returns the zero lease on failure.
func (e *Elector) grant(ctx context.Context, ttl time.Duration) lease {
	began := e.Clock()
	id, granted, err := e.Store.Grant(ctx, ttl)
	if err != nil {
		klog.V(1).InfoS("failed to get a lease", "err", err)
		return lease{}
	}
	return newLease(id, began, granted)
}

// register writes this router's entry under a new lease.
func (e *Elector) register(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	member := e.grant(ctx, memberTTL)
	if member.id == 0 {
		return
	}
	value, err := json.Marshal(e.Self)
	if err != nil {
		klog.ErrorS(err, "failed to encode the router's entry")
		return
	}
	item := platform.Item{Key: MemberPrefix + e.Self.Instance, Value: value, Lease: member.id}
	// If the outcome is unknown, the entry may exist under this lease. It does no harm, and
	// the next attempt overwrites it.
	if _, err := e.Store.Commit(ctx, platform.Txn{Put: []platform.Item{item}}); err != nil {
		klog.InfoS("failed to register the router", "err", err)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.memberLease = member
	klog.InfoS("registered", "lease", member.id, "ttl", memberTTL)
}

// releaseLeases resigns and revokes the leases of this router.
func (e *Elector) releaseLeases() {
	held := e.resign()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	for _, id := range held {
		if id == 0 {
			continue
		}
		if err := e.Store.Revoke(ctx, id); err != nil {
			klog.InfoS("failed to revoke the lease; it will expire", "lease", id, "err", err)
		}
	}
}
