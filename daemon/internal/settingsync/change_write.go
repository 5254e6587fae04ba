package settingsync

import (
	"context"
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	"rhubarbstall.example/api/codes"
	"rhubarbstall.example/daemon/internal/platform"
	"rhubarbstall.example/daemon/internal/wait"
	"rhubarbstall.example/settings"
	wire "rhubarbstall.example/wire/platform"
)

// changeWrite is the attempt to store one change.
type changeWrite struct {
	s        *Syncer
	change   Change
	document *settings.Document
	entry    HistoryEntry
	encoded  []byte
	record   record
	changes  []string
	// catchUpDeadline ends the wait for a higher revision that a peer has.
	catchUpDeadline time.Time
	// maybeStored is set after a write whose response was lost.
	maybeStored bool
}

// dryRun compares the change with the newest settings of the platform and the peers.
func (w *changeWrite) dryRun(ctx context.Context) (Result, error) {
	_, _ = w.s.readRecord(ctx)
	w.s.catchUp(ctx)
	base := w.s.current.Load()
	if base.revision() != w.change.ExpectedRevision {
		return Result{}, w.conflictError(base)
	}
	return Result{Revision: base.revision(), Changes: settings.Diff(base.document, w.document)}, nil
}

func (w *changeWrite) run(ctx context.Context) (Result, error) {
	delay := minRetryDelay
	for attempt := 0; ; attempt++ {
		storeRevision, err := w.prepare(ctx, attempt)
		if err == nil {
			var stored bool
			if stored, err = w.put(ctx, storeRevision); stored {
				return Result{Revision: w.entry.Revision, Changes: w.changes}, nil
			}
		}
		if err != nil {
			if errors.Is(err, errAlreadyStored) {
				return Result{Revision: w.entry.Revision, Changes: w.changes}, nil
			}
			if !errors.Is(err, errNotCaughtUp) && (!w.maybeStored || decidesOutcome(err)) {
				return Result{}, err
			}
		}
		if !wait.For(ctx, delay) {
			return Result{}, w.timeoutError(ctx)
		}
		delay = min(2*delay, maxRetryDelay)
	}
}

// errAlreadyStored means that the history of the record contains the change.
var errAlreadyStored = errors.New("change is already stored")

// errNotCaughtUp means that another entry VM has a higher revision, which this one
// has not fetched yet.
var errNotCaughtUp = errors.New("another entry VM has a higher revision")

// decidesOutcome reports whether an error ends a change whose write may have been
// stored. After any other error the record is read again.
func decidesOutcome(err error) bool {
	code := codes.Of(err)
	return code == codes.SettingsConflict || code == codes.OutcomeUnknown
}

// prepare reads the stored record, checks that the change still applies to it, and
// returns the platform's revision of the record for the compare-and-swap.
func (w *changeWrite) prepare(ctx context.Context, attempt int) (uint64, error) {
	entry, stored, err := w.readStored(ctx)
	if base := w.s.current.Load(); err != nil && !w.maybeStored && base.revision() > w.change.ExpectedRevision {
		// Another change was stored first, so the failed read does not matter.
		return 0, w.conflictError(base)
	}
	if err != nil {
		return 0, err
	}
	w.s.catchUp(ctx)
	base := w.s.current.Load()
	if found, ok := findHistoryEntry(base.record.History, w.entry.ID); ok {
		w.entry = found
		return 0, errAlreadyStored
	}
	if found, ok := findHistoryEntry(stored.History, w.entry.ID); ok {
		w.entry = found
		return 0, errAlreadyStored
	}
	if stored.Revision > base.revision() {
		return 0, codes.SettingsConflict.Errorf("the platform has revision %d, which this entry VM cannot use", stored.Revision)
	}
	if base.revision() < w.change.ExpectedRevision && time.Now().Before(w.catchUpDeadline) {
		return 0, errNotCaughtUp
	}
	if base.revision() != w.change.ExpectedRevision {
		return 0, w.revisionMismatch(base)
	}
	if highest := w.s.highestPeerRevision(); highest > base.revision() {
		if time.Now().Before(w.catchUpDeadline) {
			return 0, errNotCaughtUp
		}
		return 0, unavailableError(fmt.Sprintf("another entry VM has revision %d, which could not be fetched", highest), nil)
	}
	if w.entry.ID == "" {
		if err := w.buildRecord(base); err != nil {
			return 0, err
		}
	}
	// The read may be stale, or the platform may have been restored from an old
	// backup. A wrong revision only fails the compare-and-swap, so the attempts
	// alternate between both revisions.
	if entry.Revision < base.storeRevision && attempt%2 == 0 {
		return base.storeRevision, nil
	}
	return entry.Revision, nil
}

// readStored reads the record from the platform. A missing or corrupt record is not
// an error: the change replaces it, based on the revision in force.
func (w *changeWrite) readStored(ctx context.Context) (wire.Entry, record, error) {
	entry, err := w.s.readRecord(ctx)
	if errors.Is(err, platform.ErrNotFound) {
		return wire.Entry{}, record{}, nil
	}
	if err != nil {
		return wire.Entry{}, record{}, unavailableError("the settings record could not be read from the platform", err)
	}
	r, err := decodeRecord(entry.Value)
	if errors.Is(err, errNewerFormat) {
		return entry, r, codes.SettingsConflict.Errorf("a newer version of the daemon wrote the settings; apply through an entry VM of that version: %w", err)
	}
	return entry, r, nil
}

// buildRecord builds the record that every attempt writes.
func (w *changeWrite) buildRecord(base *snapshot) error {
	w.entry = newHistoryEntry(base.revision()+1, w.change)
	w.changes = settings.Diff(base.document, w.document)
	history := append([]HistoryEntry{w.entry}, base.record.History...)
	w.record = record{
		Revision: w.entry.Revision,
		History:  history[:min(len(history), maxHistoryEntries)],
		document: w.change.Document,
	}
	var err error
	w.encoded, err = w.record.encode()
	return err
}

// put writes the record once. It returns false without an error if the caller has
// to read the record again before the next attempt.
func (w *changeWrite) put(ctx context.Context, storeRevision uint64) (bool, error) {
	callCtx, cancel := context.WithTimeout(ctx, platformCallTimeout)
	defer cancel()
	revision, err := w.s.cfg.Store.Put(callCtx, Key, w.encoded, storeRevision, "")
	switch {
	case err == nil:
		w.s.adopt(&snapshot{document: w.document, record: w.record, encoded: w.encoded, storeRevision: revision, origin: originApply})
		return true, nil
	case errors.Is(err, platform.ErrConflict), errors.Is(err, platform.ErrNotFound):
		return false, nil
	case errors.Is(err, platform.ErrBudgetExceeded):
		return false, codes.WriteBudget.With("the budget of platform writes is used up", codes.RetryAfter(time.Second), codes.WithOutcome(codes.OutcomeNotRun))
	case errors.Is(err, platform.ErrTooLarge):
		return false, codes.SettingsTooLarge.Errorf("the platform refused the record as too large")
	case errors.Is(err, platform.ErrUnavailable):
		return false, unavailableError("the platform could not store the settings", err)
	default:
		// Only the errors above guarantee that nothing was stored.
		w.maybeStored = true
		w.s.log.Warn("[settings] no response to a settings write; reading the record back",
			zap.String("change", w.entry.ID), zap.Error(err))
		return false, nil
	}
}
