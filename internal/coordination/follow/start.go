package follow

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	pause "github.com/skylarkwood/skylarkwood/internal/wait"
)

const (
	// registrationDelay is how long a router waits at the first start of the system before
	// it reads the store, unless callers come. All routers register meanwhile, so that the
	// first read names the watchers.
	registrationDelay = time.Second
	// startPatience is how long a router without contents asks other routers for them before
	// it reads the store, and maxStartPatience the same while one of these says that it reads
	// the store. To read it as well would not be faster.
	startPatience    = time.Second
	maxStartPatience = 4 * time.Second
	// minRoutersToAsk is the number of routers from which one that starts asks others for the
	// contents. Fewer get them sooner from the store, even if all start together.
	minRoutersToAsk = 100
	// idleCheckInterval is the time between two checks in that delay whether callers came.
	idleCheckInterval = 50 * time.Millisecond
)

// waitForRegistrations waits for registrationDelay at the first start of the system.
func (f *Follower) waitForRegistrations(ctx context.Context) {
	if f.Idle == nil {
		return
	}
	for until := f.Clock() + registrationDelay; f.Idle() && f.Clock() < until && ctx.Err() == nil; {
		pause.For(ctx, idleCheckInterval)
	}
}

// readRouters reads the registered routers before the first contents. If that fails, the
// contents are read from the store, or from a peer once it sent a heartbeat.
func (f *Follower) readRouters(ctx context.Context) {
	if f.ReadRouters == nil || f.Picker == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, minRangeTimeout)
	defer cancel()
	routers, err := f.ReadRouters(ctx)
	if err != nil {
		klog.InfoS("reading the registered routers failed", "err", err)
		return
	}
	f.startedAt = f.Clock()
	f.startUntil = f.startedAt
	if routers >= minRoutersToAsk {
		f.startUntil += startPatience
	}
}

// nextSource returns the source of the next query.
func (f *Follower) nextSource(ctx context.Context) Source {
	switch {
	case f.Picker == nil:
		return Source{}
	case f.hasContents, f.startUntil == 0:
		return f.Picker.Pick()
	}
	for f.Clock() < f.startUntil {
		s := f.Picker.PickForStart()
		if !s.Fallback {
			return s
		}
		// The watchers may be starting as well.
		pause.For(ctx, minRetryDelay)
		f.Picker.ForgetFailures()
	}
	return Source{Reason: "no contents yet"}
}
