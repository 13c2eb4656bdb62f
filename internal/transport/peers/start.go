package peers

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/skylarkwood/skylarkwood/internal/protocol/wire"
)

// startAskTimeout bounds how long a router that starts waits for the versions that its
// peers have in force.
const startAskTimeout = 150 * time.Millisecond

// running is what a router that starts learns of the configuration from those that run.
type running struct {
	// known is closed when all have answered, or their time is over; nil if none was asked.
	known chan struct{}

	mu      sync.Mutex
	version int64
	from    string
}

// QueryPeerVersions asks the seeds which version they have in force. The store may be back from
// an older copy, with a configuration that still holds keys which were taken away.
func (x *Exchange) QueryPeerVersions() {
	x.running.known = make(chan struct{})
	ctx, cancel := context.WithTimeout(context.Background(), startAskTimeout)
	var asked sync.WaitGroup
	for _, addr := range x.Seeds {
		if addr == x.Self {
			continue
		}
		asked.Go(func() {
			var rep wire.RouterConfig
			err := x.Pool.Call(ctx, addr, wire.MethodRouterConfig, wire.RouterConfigRequest{VersionOnly: true}, &rep)
			klog.V(1).InfoS("peer asked for its version", "peer", addr, "version", rep.Version, "err", err)
			if err == nil {
				x.running.note(rep.Version, addr)
			}
		})
	}
	go func() {
		defer cancel()
		asked.Wait()
		close(x.running.known)
	}()
}

func (r *running) note(version int64, from string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if version > r.version {
		r.version, r.from = version, from
	}
}

// FetchNewer puts a peer's configuration in force if AskVersions found one that is newer
// than a version.
//
// Without AskVersions it does nothing.
func (x *Exchange) FetchNewer(version int64) {
	if x.running.known == nil {
		return
	}
	<-x.running.known
	x.running.mu.Lock()
	newest, from := x.running.version, x.running.from
	x.running.mu.Unlock()
	if newest <= version {
		return
	}
	klog.InfoS("the store has an older configuration than a peer", "version", version, "peer", from, "peerVersion", newest)
	if err := x.fetch(from); err != nil {
		klog.InfoS("configuration not fetched", "peer", from, "err", err)
	}
}
