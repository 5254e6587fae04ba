package settingsync

import (
	"bytes"
	"context"
	"time"

	"rhubarbstall.example/settings"
)

const (
	// defaultApplyTimeout bounds a change whose caller set no deadline. After a lost
	// response, a slow platform may need several calls until the outcome is known.
	defaultApplyTimeout = 10 * time.Second
	// minRetryDelay is the delay before the second attempt. It doubles with each
	// further attempt up to maxRetryDelay.
	minRetryDelay = 20 * time.Millisecond
	maxRetryDelay = 500 * time.Millisecond
	// catchUpTimeout is how long a change waits until this entry VM has the
	// revision that the author of the change saw on another one.
	catchUpTimeout = 2 * time.Second
)

// Apply validates a change and stores it with a compare-and-swap. Its errors carry
// a code: those of settings.Parse; SettingsConflict if another change was stored
// first, with the differences as details; PlatformUnavailable or WriteBudget if
// nothing was stored; OutcomeUnknown if the change may have been stored.
func (s *Syncer) Apply(ctx context.Context, change Change) (Result, error) {
	document, err := settings.Parse(change.Document)
	if err != nil {
		return Result{}, err
	}
	if !s.Ready() {
		return Result{}, errNotReady()
	}
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, defaultApplyTimeout)
		defer cancel()
	}
	select {
	case s.applySlot <- struct{}{}:
		defer func() { <-s.applySlot }()
	case <-ctx.Done():
		return Result{}, unavailableError("another change is still being stored", ctx.Err())
	}
	change.Document = bytes.Clone(change.Document)
	w := &changeWrite{s: s, change: change, document: document, catchUpDeadline: time.Now().Add(catchUpTimeout)}
	if change.DryRun {
		return w.dryRun(ctx)
	}
	return w.run(ctx)
}
