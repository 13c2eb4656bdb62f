package peers

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

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
