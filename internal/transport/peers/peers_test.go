package peers

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/coordination/routes"
	"github.com/skylarkwood/skylarkwood/internal/model"
	"github.com/skylarkwood/skylarkwood/internal/protocol/wire"
	"github.com/skylarkwood/skylarkwood/internal/transport/link"
)

// However many routers there are, one tells and hears a bounded number of
// messages a second: with a fixed interval the cost of control would grow with
// their number, and over all routers with its square.
func TestExchangeIsBounded(t *testing.T) {
	for _, routers := range []int{1, 4, 21, 100, 380} {
		x := &Exchange{Self: "self:1", Now: time.Now}
		x.Register(link.NewServer(&link.Stamp{}))
		members := map[string]string{}
		for i := range routers {
			members[fmt.Sprint(i)] = fmt.Sprintf("r%d:1", i)
		}
		members["0"] = x.Self
		x.SetMembers(members)
		assert.Equal(t, x.Routers(), routers)
		perSecond := float64(routers-1) / x.interval().Seconds()
		assert.Assert(t, perSecond <= 96, "%d routers: %.0f messages a second", routers, perSecond)
		assert.Assert(t, x.interval() <= 4*time.Second)
	}
}

// A peer has a newer configuration in force, and the store tells of it a moment
// later. The router waits for the store: in a quick succession of versions it would
// else read each twice, and fall behind with its callers' streams.
func TestStoreGoesBeforePeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := &Exchange{Config: &routes.Current{}, Traffic: func() bool { return true }} // without a pool: a fetch would panic
		x.Config.Apply(&model.RouteConfig{Version: 2}, nil)
		time.AfterFunc(300*time.Millisecond, func() { x.Config.Apply(&model.RouteConfig{Version: 4}, nil) })
		assert.NilError(t, x.fetchIfBehind("peer", wire.RouterBeat{Config: 4}))
		assert.Equal(t, x.Config.Version(), int64(4))
	})
}
