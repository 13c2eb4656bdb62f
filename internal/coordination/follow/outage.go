package follow

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"
)

// recordStoreContact records that the store answered. If that ends an outage of more than
// minOutage, removals get removalGrace.
func (f *Follower) recordStoreContact(at time.Duration) {
	f.storeFailures = 0
	f.failing.set(false)
	f.reread.failed = false
	silent := f.SinceLastContact()
	if f.disconnected || silent > maxWatchTimeout+minOutage {
		if f.outage(at) > minOutage {
			f.graceUntil.Store(int64(at + removalGrace))
		}
		if f.disconnected {
			klog.InfoS("store available again", "silent", silent, "outage", f.outage(at), "graceForRemoved", f.grace())
		}
		f.disconnected = false
	}
	f.lastContact.Store(int64(at))
}

// outage returns for how long no router had contact with the store. If a peer had contact
// throughout, only this process was disconnected. In that case removed backend servers
// have exited and must not get requests.
func (f *Follower) outage(at time.Duration) time.Duration {
	last := time.Duration(f.lastContact.Load())
	if f.PeersLastContact != nil {
		last = max(last, f.PeersLastContact())
	}
	return at - last
}

func (f *Follower) markDisconnected(err error) {
	if !f.disconnected {
		klog.InfoS("store unavailable", "err", err, "lastHeard", f.SinceLastContact())
	}
	f.disconnected = true
}

// failingState tells those that wait when a process begins to fail.
type failingState struct {
	mu     sync.Mutex
	failed bool
	begun  chan struct{} // closed when it begins to fail
}

func (s *failingState) set(failed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if failed && !s.failed && s.begun != nil {
		close(s.begun)
		s.begun = nil
	}
	s.failed = failed
}

func (s *failingState) get() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failed
}

// cancelOnBegin returns a context that is done as soon as the process begins to fail.
func (s *failingState) cancelOnBegin(ctx context.Context) (context.Context, context.CancelFunc) {
	s.mu.Lock()
	if s.begun == nil {
		s.begun = make(chan struct{})
	}
	begun := s.begun
	s.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		select {
		case <-begun:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

func (f *Follower) grace() time.Duration {
	return max(time.Duration(f.graceUntil.Load())-f.Clock(), 0)
}
