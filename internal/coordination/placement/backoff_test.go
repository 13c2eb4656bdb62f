package placement

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

// An engine exits under each order and restarts under its ID. Further orders are delayed,
// and a completed load resets the delay.
func TestOrderThatCrashesItsEngineIsDelayed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, all := newLoadedCluster(t)
		e := all[3]
		want := s.held(e.Address)
		ordered := 0
		for range 12 {
			s.restart(e)
			s.run(800 * time.Millisecond)
			ordered += int(s.orders[e.Address])
		}
		assert.Equal(t, ordered, backoffThreshold)
		s.run(initialBackoff)
		assert.Equal(t, s.held(e.Address), want, "ordered again after the delay")
		s.restart(e)
		s.run(2 * time.Second)
		assert.Equal(t, s.held(e.Address), want, "a completed load resets the delay")
	})
}

// Exits under one order do not delay other layers or other addresses.
func TestOtherOrdersAreNotDelayed(t *testing.T) {
	c := &Controller{Now: time.Now}
	c.init()
	bad := order{address: "a:1", want: model.LayerRange{To: 4}, sent: true}
	for range backoffThreshold + 20 {
		c.recordLoadExit(bad)
	}
	assert.Assert(t, !c.mayLoad(bad.address, bad.want))
	assert.Assert(t, c.mayLoad(bad.address, model.LayerRange{From: 4, To: 8}))
	assert.Assert(t, c.mayLoad("b:1", bad.want))
	assert.Assert(t, time.Until(c.loadExits["a:1"].retryAt) <= maxBackoff)
}
