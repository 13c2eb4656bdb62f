package leader

import (
	"context"
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

// release resigns, revokes the lease of the leadership key and removes this router's entry.
func (e *Elector) release() {
	held, member := e.resign()
	if held != 0 {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		if err := e.Store.Revoke(ctx, held); err != nil {
			klog.InfoS("failed to revoke the lease; it will expire", "lease", held, "err", err)
		}
	}
	e.unregister(member)
}
