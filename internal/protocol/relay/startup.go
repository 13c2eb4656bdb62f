package relay

import (
	"context"
	"time"

	"github.com/skylarkwood/skylarkwood/internal/coordination/routes"
)

// startupConfigTimeout bounds, from the start of the process, how long requests wait for
// the first configuration. Callers retry only once, and a refusal would use that up. It
// comes within milliseconds from the store, within half a second from a peer, and with the
// first reads after an outage of the store.
const startupConfigTimeout = 2 * time.Second

// table returns the active configuration, or nil if there is none. Shortly after the
// start it waits for the first one.
func (r *Relay) table(ctx context.Context) *routes.Table {
	table := r.Config.Load()
	remaining := startupConfigTimeout - r.Now().Sub(r.Started)
	if table != nil || remaining <= 0 {
		return table
	}
	timer := time.NewTimer(remaining)
	defer timer.Stop()
	select {
	case <-r.Config.Ready():
	case <-timer.C:
	case <-ctx.Done():
	}
	return r.Config.Load()
}
