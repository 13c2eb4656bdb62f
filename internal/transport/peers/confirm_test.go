package peers

import (
	"context"
	"net"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/coordination/catalog"
	"github.com/skylarkwood/skylarkwood/internal/coordination/chains"
	"github.com/skylarkwood/skylarkwood/internal/coordination/limits"
	"github.com/skylarkwood/skylarkwood/internal/coordination/routes"
	"github.com/skylarkwood/skylarkwood/internal/hlc"
	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/internal/protocol/wire"
	"github.com/skylarkwood/skylarkwood/internal/transport/link"
)

func metadataOf(self string) *link.Metadata {
	return &link.Metadata{Clock: hlc.New(time.Now), Revision: func() int64 { return 0 }, ObservePeerRevision: func(string, int64) {}, Self: self}
}

// newFetching returns a router with version 1 in force and the address of a peer that
// answers with another version. The router's clock advances by duration during the request.
func newFetching(t *testing.T, version int64, duration time.Duration) (x *Exchange, peer string) {
	var clock atomic.Int64
	clock.Store(int64(time.Hour))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	srv := link.NewServer(metadataOf(l.Addr().String()))
	srv.Register(wire.MethodRouterConfig, link.Handle(func(context.Context, string, wire.RouterConfigRequest) (wire.RouterConfig, error) {
		clock.Add(int64(duration))
		return wire.RouterConfig{Version: version, Raw: []byte(strconv.FormatInt(version, 10))}, nil
	}))
	done := make(chan error, 1)
	go func() { done <- srv.Serve(ctx, l) }()
	x = &Exchange{
		Self:   "self:1",
		Pool:   link.NewPool(metadataOf("self:1")),
		Config: &routes.ActiveConfig{},
		Decode: func(raw []byte) (*model.RouteConfig, error) {
			v, err := strconv.ParseInt(string(raw), 10, 64)
			return &model.RouteConfig{Version: v}, err
		},
		Catalog:             catalog.New(time.Now),
		Usage:               chains.NewUsageTracker(time.Now),
		Interconnect:        chains.NewInterconnect(time.Now),
		ObservePeerRevision: func(model.Revision) {},
		Clock:               func() time.Duration { return time.Duration(clock.Load()) },
		Now:                 time.Now,
		RetryBorrower:       &limits.RetryBorrower{Now: time.Now},
		HasTraffic:          func() bool { return true },
	}
	x.Register(link.NewServer(metadataOf("self:1")))
	x.Config.Apply(&model.RouteConfig{Version: 1}, nil, "")
	t.Cleanup(func() {
		x.Pool.Close()
		stop()
		assert.Check(t, <-done)
	})
	return x, l.Addr().String()
}

// heartbeatAndFetch applies a heartbeat and waits until the advertised version was
// fetched.
func (x *Exchange) heartbeatAndFetch(t *testing.T, peer string, b wire.RouterHeartbeat) {
	assert.NilError(t, x.handleHeartbeat(peer, b.Pack()))
	for busy := true; busy; time.Sleep(time.Millisecond) {
		x.mu.Lock()
		busy = x.fetching
		x.mu.Unlock()
	}
}

// Guards against counting the age of a fetched configuration from the end of the fetch.
// Requests for routes added meanwhile would then be rejected permanently.
func TestFetchedConfigurationHasTheAgeAtTheHeartbeat(t *testing.T) {
	const age, takes = 100 * time.Millisecond, 3 * time.Second
	x, peer := newFetching(t, 2, takes)
	x.heartbeatAndFetch(t, peer, wire.RouterHeartbeat{Config: 2, ConfigAgeMS: age.Milliseconds(), IntervalMS: 250})
	assert.Equal(t, x.Config.Version(), int64(2))
	assert.Assert(t, x.Config.Age(x.Clock()) >= age+takes, "age %v", x.Config.Age(x.Clock()))
}

// A restarted peer returns an older version than it advertised. That version is applied
// but does not count as the newest.
func TestConfigurationOlderThanAdvertisedIsNotConfirmed(t *testing.T) {
	x, peer := newFetching(t, 5, 0)
	before := x.Config.LastConfirmed()
	x.heartbeatAndFetch(t, peer, wire.RouterHeartbeat{Config: 9, ConfigAgeMS: 100, IntervalMS: 250})
	assert.Equal(t, x.Config.Version(), int64(5))
	assert.Equal(t, x.Config.LastConfirmed(), before)
}
