package placement

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

const (
	// freeEnds is how many processes may end at an address while they load a range before
	// the next one there waits for its order.
	freeEnds = 3
	// firstBackoff and longestBackoff bound that wait, which doubles with each end.
	firstBackoff   = 10 * time.Second
	longestBackoff = 5 * time.Minute
)

// loadEnds counts the processes at one address that ended while they loaded a range.
type loadEnds struct {
	layers model.LayerRange
	count  int
	until  time.Time // no order before
}

// endedLoading takes in that an engine's process ended with an order of its own not
// carried out. An order that ends the engine which it is given to would else be given to
// each process that comes after it at the address: the layers would never be held, each
// load would slow the others down, and streams that are moved there would be lost with it.
// The caller holds the lock.
func (c *Controller) endedLoading(o order) {
	if !o.given {
		return
	}
	e := c.loadEnds[o.address]
	if e == nil || e.layers != o.want {
		e = &loadEnds{layers: o.want}
		c.loadEnds[o.address] = e
	}
	e.count++
	if e.count < freeEnds {
		return
	}
	backoff := min(firstBackoff<<min(e.count-freeEnds, 10), longestBackoff)
	e.until = c.Now().Add(backoff)
	klog.InfoS("orders withheld: engines end under them", "address", o.address, "layers", o.want.String(), "ends", e.count, "for", backoff)
}

// mayLoad tells whether an engine at an address may be ordered to hold a range. The caller
// holds the lock.
func (c *Controller) mayLoad(address string, want model.LayerRange) bool {
	e := c.loadEnds[address]
	return e == nil || e.layers != want || !c.Now().Before(e.until)
}

// carriedOut takes in that an engine holds what it was ordered to. The caller holds the
// lock.
func (c *Controller) carriedOut(b *model.BackendServer) {
	if b.Holds.Len() > 0 {
		delete(c.loadEnds, b.Address)
	}
}
