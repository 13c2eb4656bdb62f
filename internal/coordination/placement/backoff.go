package placement

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/skylarkwood/skylarkwood/internal/model"
)

const (
	// backoffThreshold is how many processes may exit at an address while they load a
	// range before further orders there are delayed.
	backoffThreshold = 3
	// initialBackoff and maxBackoff bound the delay, which doubles with each further exit.
	initialBackoff = 10 * time.Second
	maxBackoff     = 5 * time.Minute
)

// loadExits counts the processes at one address that exited while they loaded a range.
type loadExits struct {
	layers  model.LayerRange
	count   int
	retryAt time.Time // no order is sent earlier
}

// recordLoadExit records that an engine process exited before it carried out its order.
// Without a backoff, an order that crashes its engine would be sent to every process that
// restarts at the address. The layers would never be held, and each load would slow down
// the others. The caller holds c.mu.
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
	klog.InfoS("orders withheld: engine processes exit while they load these layers", "address", o.address, "layers", o.want.String(), "ends", e.count, "for", backoff)
}

// mayLoad reports whether an engine at an address may be ordered to hold a range. The
// caller holds c.mu.
func (c *Controller) mayLoad(address string, want model.LayerRange) bool {
	e := c.loadExits[address]
	return e == nil || e.layers != want || !c.Now().Before(e.retryAt)
}

// clearLoadExits resets the backoff of an engine that holds layers. The caller holds c.mu.
func (c *Controller) clearLoadExits(b *model.BackendServer) {
	if b.Holds.Len() > 0 {
		delete(c.loadExits, b.Address)
	}
}
