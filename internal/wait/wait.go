// Package wait waits for a duration or until a context is done.
package wait

import (
	"context"
	"time"
)

// For waits for d and reports whether d elapsed before ctx was done.
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
