package placement

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

const (
	// backoffThreshold is how many processes may end at an address while they load a range before
	// the next one there waits for its order.
	backoffThreshold = 3
	// initialBackoff and longestBackoff bound that wait, which doubles with each end.
	initialBackoff = 10 * time.Second
	maxBackoff     = 5 * time.Minute
)

// loadExits counts the processes at one address that ended while they loaded a range.
type loadExits struct {
	layers  model.LayerRange
	count   int
	retryAt time.Time // no order before
}

// recordLoadExit takes in that an engine's process ended with an order of its own not
// carried out. An order that ends the engine which it is given to would else be given to
// each process that comes after it at the address: the layers would never be held, each
// load would slow the others down, and streams that are moved there would be lost with it.
// The caller holds the lock.
func (c *Controller) recordLoadExit(o order) {
	if !o.sent {
		return
	}
	e := c.loadExits[o.address]
	if e == nil || e.layers != o.want {
		e = &loadExits{layers: o.want}
		c.loadExits[o.address] = e
	}
	e.count++
	if e.count < backoffThreshold {
		return
	}
	backoff := min(initialBackoff<<min(e.count-backoffThreshold, 10), maxBackoff)
	e.retryAt = c.Now().Add(backoff)
	klog.InfoS("orders withheld: engines end under them", "address", o.address, "layers", o.want.String(), "ends", e.count, "for", backoff)
}

// mayLoad tells whether an engine at an address may be ordered to hold a range. The caller
// holds the lock.
func (c *Controller) mayLoad(address string, want model.LayerRange) bool {
	e := c.loadExits[address]
	return e == nil || e.layers != want || !c.Now().Before(e.retryAt)
}

// clearLoadExits takes in that an engine holds what it was ordered to. The caller holds the
// lock.
func (c *Controller) clearLoadExits(b *model.BackendServer) {
	if b.Holds.Len() > 0 {
		delete(c.loadExits, b.Address)
	}
}
