package peers

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/skylarkwood/skylarkwood/internal/protocol/wire"
)

// versionQueryTimeout is how long a starting router waits for the configuration versions
// of its peers.
const versionQueryTimeout = 150 * time.Millisecond

// versionQuery collects the configuration versions of running peers during the start.
type versionQuery struct {
	// done is closed when all peers have answered or the timeout has passed. It is nil if
	// no peer was queried.
	done chan struct{}

	mu      sync.Mutex
	version int64
	from    string
}

// QueryPeerVersions asks the seeds which version they have in force, without waiting for
// the answers. The store may have been restored from an older copy whose configuration
// holds revoked keys.
func (x *Exchange) QueryPeerVersions() {
	x.versionQuery.done = make(chan struct{})
	ctx, cancel := context.WithTimeout(context.Background(), versionQueryTimeout)
	var queries sync.WaitGroup
	for _, addr := range x.Seeds {
		if addr == x.Self {
			continue
		}
		queries.Go(func() {
			var reply wire.RouterConfig
			err := x.Pool.Call(ctx, addr, wire.MethodRouterConfig, wire.RouterConfigRequest{VersionOnly: true}, &reply)
			klog.V(1).InfoS("configuration version of peer queried", "peer", addr, "version", reply.Version, "err", err)
			if err == nil {
				x.versionQuery.record(reply.Version, addr)
			}
		})
	}
	go func() {
		defer cancel()
		queries.Wait()
		close(x.versionQuery.done)
	}()
}

func (q *versionQuery) record(version int64, from string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if version > q.version {
		q.version, q.from = version, from
	}
}

// FetchNewer waits for the answers to QueryPeerVersions and applies a peer's configuration
// if it is newer than version. It does nothing if QueryPeerVersions was not called.
func (x *Exchange) FetchNewer(version int64) {
	if x.versionQuery.done == nil {
		return
	}
	<-x.versionQuery.done
	x.versionQuery.mu.Lock()
	newest, from := x.versionQuery.version, x.versionQuery.from
	x.versionQuery.mu.Unlock()
	if newest <= version {
		return
	}
	klog.InfoS("the store has an older configuration than a peer", "version", version, "peer", from, "peerVersion", newest)
	if err := x.fetch(from); err != nil {
		klog.InfoS("configuration not fetched", "peer", from, "err", err)
	}
}
