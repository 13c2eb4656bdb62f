package peers

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/skylarkwood/skylarkwood/internal/coordination/limits"
	"github.com/skylarkwood/skylarkwood/internal/fault"
	"github.com/skylarkwood/skylarkwood/internal/protocol/wire"
)

// startFetch fetches the configuration that a peer advertised in a heartbeat, then
// confirms it as of the arrival of the heartbeat. The time of the fetch would be too late:
// the fetch waits for the store and the peer, so the configuration would count as seconds
// newer than it is, and requests for routes that it lacks would be rejected permanently. A
// restarted peer may return an older version than it advertised. That version is not
// confirmed.
func (x *Exchange) startFetch(from string, heartbeat wire.RouterHeartbeat, arrived time.Duration) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.fetching {
		return
	}
	x.fetching = true
	go func() {
		err := x.fetchIfBehind(from, heartbeat)
		if x.Config.Version() >= heartbeat.Config {
			x.confirmConfig(heartbeat, arrived)
		}
		x.mu.Lock()
		x.fetching = false
		x.mu.Unlock()
		if err != nil {
			klog.InfoS("configuration not fetched", "peer", from, "err", err)
		}
	}()
}

// fetchIfBehind fetches a peer's configuration unless the store delivers that version
// first.
func (x *Exchange) fetchIfBehind(from string, heartbeat wire.RouterHeartbeat) error {
	if x.HasTraffic() || x.PeerHasTraffic() {
		time.Sleep(limits.Jitter(fetchDelay))
	} else {
		time.Sleep(idleFetchDelay)
	}
	if x.Config.Version() >= heartbeat.Config {
		return nil
	}
	x.TransferSlot.Acquire(context.Background())
	defer x.TransferSlot.Release()
	if x.Config.Version() >= heartbeat.Config {
		return nil
	}
	return x.fetch(from)
}

func (x *Exchange) fetch(from string) error {
	reply, err := x.requestConfig(from)
	if err != nil {
		return err
	}
	if len(reply.Raw) == 0 {
		it, err := x.Values.Fetch(context.Background(), from, activeConfigKey, fetchTimeout)
		if err != nil {
			return err
		}
		reply.Raw = it.Value
	}
	cfg, err := x.Decode(reply.Raw)
	if err != nil {
		return err
	}
	if x.Catalog.Seed(reply.Servers) {
		klog.InfoS("backend servers copied from a peer", "peer", from, "servers", len(reply.Servers))
	}
	before := x.Config.Version()
	if x.Config.Apply(cfg, reply.Raw, from) {
		klog.InfoS("configuration in force", "version", cfg.Version, "before", before, "source", from, "why", "its heartbeat had a newer version")
	}
	return nil
}

func (x *Exchange) requestConfig(from string) (wire.RouterConfig, error) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	var reply wire.RouterConfig
	err := x.Pool.Call(ctx, from, wire.MethodRouterConfig, wire.RouterConfigRequest{Servers: x.Catalog.Empty(), Parts: true}, &reply)
	return reply, err
}

// handleConfigRequest returns the configuration in force to a peer.
func (x *Exchange) handleConfigRequest(_ context.Context, _ string, req wire.RouterConfigRequest) (wire.RouterConfig, error) {
	raw := x.Config.Raw()
	if raw == nil {
		return wire.RouterConfig{}, errors.WithStack(fault.New(fault.NotReady, "no configuration loaded yet"))
	}
	if req.VersionOnly {
		return wire.RouterConfig{Version: raw.Version}, nil
	}
	reply := wire.RouterConfig{Version: raw.Version}
	if !req.Parts || len(raw.Raw) <= partSize {
		reply.Raw = raw.Raw
	}
	if req.Servers {
		reply.Servers = x.Catalog.Entries()
	}
	return reply, nil
}
