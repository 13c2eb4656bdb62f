package follow

import (
	"time"

	"k8s.io/klog/v2"
)

// noteHeard takes in that the store answered, and whether that ends an outage.
func (f *Follower) noteHeard(at time.Duration) {
	f.failures = 0
	silent := f.SinceLastContact()
	if f.lost || silent > longestWait+outageAfter {
		if f.outage(at) > outageAfter {
			f.graceUntil.Store(int64(at + comeBack))
		}
		if f.lost {
			klog.InfoS("store regained", "silent", silent, "outage", f.outage(at), "graceForRemoved", f.grace())
		}
		f.lost = false
	}
	f.lastHeard.Store(int64(at))
}

// outage is for how long nobody heard from the store. Where a peer heard from
// it all the time, only this process was cut off: the backend servers were
// not, and what was removed meanwhile is gone. Believing in it all the same
// would send work to servers that left long ago.
func (f *Follower) outage(at time.Duration) time.Duration {
	last := time.Duration(f.lastHeard.Load())
	if f.PeersLastContact != nil {
		last = max(last, f.PeersLastContact())
	}
	return at - last
}

func (f *Follower) noteLost(err error) {
	if !f.lost {
		klog.InfoS("store lost", "err", err, "lastHeard", f.SinceLastContact())
	}
	f.lost = true
}

func (f *Follower) grace() time.Duration {
	return max(time.Duration(f.graceUntil.Load())-f.Clock(), 0)
}
