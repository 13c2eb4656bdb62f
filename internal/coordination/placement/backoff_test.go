package placement

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

// An engine's process ends while it loads what it was ordered to, comes back under its id
// and is ordered the same again, and so on. After three ends the address is left alone for
// a while, then tried once; an engine that carries its order out is as good as any. Without
// that each of the twelve processes was given the order.
func TestOrderThatEndsItsEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, all := newLoadedCluster(t)
		e := all[3]
		want := s.held(e.Address)
		given := 0
		for range 12 {
			s.restart(e)
			s.run(800 * time.Millisecond)
			given += int(s.orders[e.Address])
		}
		assert.Equal(t, given, backoffThreshold)
		s.run(initialBackoff)
		assert.Equal(t, s.held(e.Address), want, "tried again")
		s.restart(e)
		s.run(2 * time.Second)
		assert.Equal(t, s.held(e.Address), want, "nothing is held against it any more")
	})
}

// What ended under one order may carry out another.
func TestOtherOrderIsNotWithheld(t *testing.T) {
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
