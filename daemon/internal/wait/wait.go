// Package wait waits for time to pass, unless a context ends first.
package wait

import (
	"context"
	"time"
)

// For waits for d; it reports false if the context ended first.
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
