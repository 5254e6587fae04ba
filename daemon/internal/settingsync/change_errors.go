package settingsync

import (
	"context"
	"fmt"
	"time"

	"rhubarbstall.example/api/codes"
	"rhubarbstall.example/settings"
)

// revisionMismatch returns the error of a change whose expected revision is not the
// one in force. If the change may have been stored and so many changes followed that
// the history would no longer contain it, the outcome is unknown; otherwise the change
// conflicts with the revision in force.
func (w *changeWrite) revisionMismatch(base *snapshot) error {
	if w.maybeStored && base.revision() >= w.entry.Revision+maxHistoryEntries {
		return w.unknownOutcomeError(fmt.Errorf("at least %d later changes were stored", maxHistoryEntries))
	}
	return w.conflictError(base)
}

// conflictError returns the error of a change that conflicts with the revision in
// force. Its details list the changes since the expected revision and the differences
// between the revision in force and the document of the change.
func (w *changeWrite) conflictError(base *snapshot) error {
	details := []string{fmt.Sprintf("revision in force: %d", base.revision())}
	for _, e := range base.record.History {
		if e.Revision > w.change.ExpectedRevision {
			details = append(details, fmt.Sprintf("revision %d by %q at %s: %s", e.Revision, e.Author, e.At.Format(time.RFC3339), e.Comment))
		}
	}
	if changes := settings.Diff(base.document, w.document); len(changes) > 0 {
		details = append(details, "your document on top of the revision in force would change:")
		details = append(details, changes...)
	} else {
		details = append(details, "your document on top of the revision in force would change no effective value")
	}
	return codes.SettingsConflict.With(
		fmt.Sprintf("revision %d was expected, but revision %d is in force", w.change.ExpectedRevision, base.revision()),
		codes.WithDetails(details...), codes.WithOutcome(codes.OutcomeNotRun))
}

// timeoutError returns the error of a change that was not stored before its deadline.
func (w *changeWrite) timeoutError(ctx context.Context) error {
	if w.maybeStored {
		return w.unknownOutcomeError(ctx.Err())
	}
	return unavailableError("the change could not be stored in time", ctx.Err())
}

func (w *changeWrite) unknownOutcomeError(cause error) error {
	return codes.OutcomeUnknown.With(
		fmt.Sprintf("the change may have been stored as revision %d (change id %s): %v; look at the settings history", w.entry.Revision, w.entry.ID, cause),
		codes.WithOutcome(codes.OutcomeIndeterminate))
}

func unavailableError(message string, cause error) error {
	if cause != nil {
		message = fmt.Sprintf("%s: %v", message, cause)
	}
	return codes.PlatformUnavailable.With(message, codes.RetryAfter(time.Second), codes.WithOutcome(codes.OutcomeNotRun))
}
