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

// startFetch brings the configuration up to what a peer's message told, and then takes
// the message for what it said when it arrived. Counted from the end of the fetch, which
// waits for the store and the peer, the configuration would be taken for seconds younger
// than it is, and what it lacks be refused for good. A peer that was started again may
// give an older version than it told of; that one is not confirmed.
func (x *Exchange) startFetch(from string, b wire.RouterHeartbeat, arrived time.Duration) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.fetching {
		return
	}
	x.fetching = true
	go func() {
		err := x.fetchIfBehind(from, b)
		if x.Config.Version() >= b.Config {
			x.confirm(b, arrived)
		}
		x.mu.Lock()
		x.fetching = false
		x.mu.Unlock()
		if err != nil {
			klog.InfoS("configuration not fetched", "peer", from, "err", err)
		}
	}()
}

// fetchIfBehind fetches a peer's configuration unless the store told of it first.
func (x *Exchange) fetchIfBehind(from string, b wire.RouterHeartbeat) error {
	if x.HasTraffic() || x.PeerHasTraffic() {
		time.Sleep(limits.Jitter(fetchAfter))
	} else {
		time.Sleep(restingFetchAfter)
	}
	if x.Config.Version() >= b.Config {
		return nil
	}
	return x.fetch(from)
}

func (x *Exchange) fetch(from string) error {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	var rep wire.RouterConfig
	if err := x.Pool.Call(ctx, from, wire.MethodRouterConfig, wire.RouterConfigRequest{Servers: x.Catalog.Empty()}, &rep); err != nil {
		return err
	}
	cfg, err := x.Decode(rep.Raw)
	if err != nil {
		return err
	}
	if x.Catalog.Seed(rep.Servers) {
		klog.InfoS("backend servers taken from a peer", "peer", from, "servers", len(rep.Servers))
	}
	before := x.Config.Version()
	if x.Config.Apply(cfg, rep.Raw) {
		klog.InfoS("configuration in force", "version", cfg.Version, "before", before, "source", "peer", "peer", from)
	}
	return nil
}

// config gives a peer the configuration in force.
func (x *Exchange) config(_ context.Context, _ string, ask wire.RouterConfigRequest) (wire.RouterConfig, error) {
	p := x.Config.Raw()
	if p == nil {
		return wire.RouterConfig{}, errors.WithStack(fault.New(fault.NotReady, "no configuration yet"))
	}
	if ask.VersionOnly {
		return wire.RouterConfig{Version: p.Version}, nil
	}
	rep := wire.RouterConfig{Version: p.Version, Raw: p.Raw}
	if ask.Servers {
		rep.Servers = x.Catalog.Entries()
	}
	return rep, nil
}
