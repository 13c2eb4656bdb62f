package daemon

import (
	"time"

	"github.com/skylarkwood/skylarkwood/internal/boottime"
	"github.com/skylarkwood/skylarkwood/internal/coordination/leader"
	"github.com/skylarkwood/skylarkwood/internal/coordination/placement"
	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/internal/protocol/relay"
)

// engines returns the engines of all engine services, draining ones included.
func (r *Router) engines() []*model.BackendServer {
	table := r.config.Load()
	if table == nil {
		return nil
	}
	var out []*model.BackendServer
	for i := range table.Config.Services {
		if svc := &table.Config.Services[i]; svc.Engine != nil {
			out = append(out, r.catalog.Load().All(svc.Name)...)
		}
	}
	return out
}

// enginesInUse returns the engines that may run requests. Before callers come, none does.
func (r *Router) enginesInUse() []*model.BackendServer {
	if !r.hasTraffic() {
		return nil
	}
	return r.engines()
}

func (r *Router) buildController() {
	r.elector = &leader.Elector{
		Store:       r.store,
		Self:        leader.Member{Instance: r.settings.Instance, Address: r.settings.Router.Peers, Domain: r.settings.FailureDomain, LinkMbps: r.settings.Router.LinkMbps},
		Incarnation: NewID(),
		Clock:       boottime.Now,
		// Routers that watch the store learn first that there is no leader. If all routers
		// were candidates, each election would cost two store calls a router.
		Eligible: func() bool { return !r.draining.Load() && r.follower.Watching() },
	}
	r.controller = &placement.Controller{
		Config:       r.config,
		Catalog:      r.catalog,
		Store:        r.store,
		Engines:      relay.EngineClient{Relay: r.front.Relay},
		FencingToken: r.elector.FencingToken,
		OnFenced:     r.elector.TokenRejected,
		HasTraffic:   r.hasTraffic,
		Paused:       r.pauses.Paused,
		Suspected:    func(engine model.Incarnation) bool { return r.health.Suspected(engine) || r.pauses.Paused(engine) },
		Unreachable:  r.prober.Lost,
		RateLimits:   r.limits.Rates,
		StreamCount:  func(engine model.Incarnation) float64 { return r.usage.Used(engine).Streams },
		Now:          time.Now,

		UsedTokenLayers: func(engine model.Incarnation) float64 { return r.usage.Used(engine).TokenLayers },
		OnMissingLayers: r.metrics.setMissingLayers,
	}
}
