package follow

import (
	"time"

	"k8s.io/klog/v2"
)

// recordStoreContact records that the store answered. If that ends an outage of more than
// minOutage, removals get removalGrace.
func (f *Follower) recordStoreContact(at time.Duration) {
	f.storeFailures = 0
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

func (f *Follower) grace() time.Duration {
	return max(time.Duration(f.graceUntil.Load())-f.Clock(), 0)
}
