// Package wait provides a sleep that a context can interrupt.
package wait

import (
	"context"
	"time"
)

// For waits for d and returns true, or returns false early if ctx ends first.
func For(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
