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

func stampOf(self string) *link.Metadata {
	return &link.Metadata{Clock: hlc.New(time.Now), Revision: func() int64 { return 0 }, ObservePeerRevision: func(string, int64) {}, Self: self}
}

// fetching is a router with version 1 in force and a peer that answers with a
// version; while the router asks, its clock moves on by some time.
func fetching(t *testing.T, version int64, takes time.Duration) (x *Exchange, peer string) {
	var clock atomic.Int64
	clock.Store(int64(time.Hour))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	serving, stop := context.WithCancel(context.Background())
	srv := link.NewServer(stampOf(l.Addr().String()))
	srv.Register(wire.MethodRouterConfig, link.Handle(func(context.Context, string, wire.RouterConfigRequest) (wire.RouterConfig, error) {
		clock.Add(int64(takes))
		return wire.RouterConfig{Version: version, Raw: []byte(strconv.FormatInt(version, 10))}, nil
	}))
	ended := make(chan error, 1)
	go func() { ended <- srv.Serve(serving, l) }()
	x = &Exchange{
		Self:   "self:1",
		Pool:   link.NewPool(stampOf("self:1")),
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
	x.Register(link.NewServer(stampOf("self:1")))
	x.Config.Apply(&model.RouteConfig{Version: 1}, nil)
	t.Cleanup(func() {
		x.Pool.Close()
		stop()
		assert.Check(t, <-ended)
	})
	return x, l.Addr().String()
}

// beatAndFetch takes in a peer's message and waits until what it names was fetched.
func (x *Exchange) beatAndFetch(t *testing.T, peer string, b wire.RouterHeartbeat) {
	assert.NilError(t, x.heartbeat(peer, b.Pack()))
	for busy := true; busy; time.Sleep(time.Millisecond) {
		x.mu.Lock()
		busy = x.fetching
		x.mu.Unlock()
	}
}

// A router that is cut off from the store fetches a peer's configuration, long after
// the peer said how old its word of the store is: it first waits for the store, and
// a busy peer answers late. Counted from the end, the configuration would be taken
// for younger than it is, and a caller's request for a route that was added meanwhile
// be refused for good instead of for now.
func TestFetchedConfigurationIsAsOldAsThePeerSaid(t *testing.T) {
	const age, takes = 100 * time.Millisecond, 3 * time.Second
	x, peer := fetching(t, 2, takes)
	x.beatAndFetch(t, peer, wire.RouterHeartbeat{Config: 2, ConfigAgeMS: age.Milliseconds(), IntervalMS: 250})
	assert.Equal(t, x.Config.Version(), int64(2))
	assert.Assert(t, x.Config.Age(x.Clock()) >= age+takes, "age %v", x.Config.Age(x.Clock()))
}

// A peer says that version 9 is the newest, and is started again before it is asked
// for it: it gives version 5. That is newer than the one in force here, but known not
// to be the newest: what it lacks must not be refused for good.
func TestOlderConfigurationThanToldIsNotConfirmed(t *testing.T) {
	x, peer := fetching(t, 5, 0)
	before := x.Config.LastConfirmed()
	x.beatAndFetch(t, peer, wire.RouterHeartbeat{Config: 9, ConfigAgeMS: 100, IntervalMS: 250})
	assert.Equal(t, x.Config.Version(), int64(5))
	assert.Equal(t, x.Config.LastConfirmed(), before)
}
