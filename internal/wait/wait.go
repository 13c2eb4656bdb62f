// Package wait pauses until a time is over or a context ends.
package wait

import (
	"context"
	"time"
)

// For waits for d; it tells whether d is over, rather than ctx.
func For(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
