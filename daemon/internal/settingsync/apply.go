package settingsync

import (
	"bytes"
	"context"
	"time"

	"rhubarbstall.example/settings"
)

const (
	// applyTime bounds a change whose caller set no deadline. A slow platform may
	// need several calls to settle a lost answer.
	applyTime = 10 * time.Second
	// settleInterval is the first delay between two tries; it doubles.
	settleInterval    = 20 * time.Millisecond
	maxSettleInterval = 500 * time.Millisecond
	// catchUpTime is how long a change waits for this entry VM to learn the
	// revision that its author has seen on another one.
	catchUpTime = 2 * time.Second
)

// Apply checks a change and stores it with a compare-and-swap. Its errors carry
// a code: those of settings.Parse; SettingsConflict for a lost race, with the
// differences as details; PlatformUnavailable or WriteBudget if nothing was
// stored; OutcomeUnknown if the change may have been stored.
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
		ctx, cancel = context.WithTimeout(ctx, applyTime)
		defer cancel()
	}
	select {
	case s.applying <- struct{}{}:
		defer func() { <-s.applying }()
	case <-ctx.Done():
		return Result{}, unavailable("another change is still being stored", ctx.Err())
	}
	change.Document = bytes.Clone(change.Document)
	w := &write{s: s, change: change, document: document, catchUpUntil: time.Now().Add(catchUpTime)}
	if change.DryRun {
		return w.dryRun(ctx)
	}
	return w.run(ctx)
}
