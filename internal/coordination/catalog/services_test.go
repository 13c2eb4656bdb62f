package catalog

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

// Another program may list the address of a running engine under a service that no configuration names.
// Guards against taking the engine for exited and its streams for lost.
func TestEntryOfUnknownServiceReplacesNoServer(t *testing.T) {
	_, now := clock()
	c := New(now)
	c.SetServices(map[string]bool{"s": true, "t": true})
	engine := start(100, 1, 9)
	foreign := server("x", engine.Address, 2)
	foreign.Service, foreign.Born = "elsewhere", 200
	for _, order := range [][]model.BackendServer{{engine, foreign}, {foreign, engine}} {
		for _, b := range order {
			assert.Equal(t, len(c.Put(b).Exited), 0)
		}
		assert.Equal(t, c.Load().ByAddress(engine.Address).ID, "a")
	}
	assert.Equal(t, len(c.Replace([]model.BackendServer{foreign, engine}, nil, time.Minute).Exited), 0)
	assert.Equal(t, c.Load().ByAddress(engine.Address).ID, "a")

	// Another service may use the address of an engine that is gone.
	successor := server("b", engine.Address, 3)
	successor.Service, successor.Born = "t", 300
	assert.DeepEqual(t, c.Put(successor).Exited, []model.BackendServer{engine})
	assert.Equal(t, c.Load().ByAddress(engine.Address).ID, "b")
}

// A configuration may name a service after its engines were registered.
func TestEntryCountsOnceItsServiceIsNamed(t *testing.T) {
	_, now := clock()
	c := New(now)
	c.SetServices(map[string]bool{"s": true})
	engine, successor := start(100, 1, 9), server("b", "1:1", 2)
	successor.Service, successor.Born = "t", 300
	c.Put(engine)
	c.Put(successor)
	assert.Equal(t, c.Load().ByAddress("1:1").ID, "a")
	c.SetServices(map[string]bool{"s": true, "t": true})
	assert.Equal(t, c.Load().ByAddress("1:1").ID, "b")
	successor.Revision++
	assert.DeepEqual(t, c.Put(successor).Exited, []model.BackendServer{engine})
}
