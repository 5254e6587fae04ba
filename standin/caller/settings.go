package caller

import (
	"context"
	"fmt"
	"time"

	"rhubarbstall.example/api/oas"
)

// Apply applies a settings document. It calls the entry VMs in turn until one
// accepts the document or ctx is done, and returns the accepted revision.
func (c *Caller) Apply(ctx context.Context, document, comment string) (int64, error) {
	for {
		revision, err := c.ApplyVia(ctx, c.NextEntry(), document, comment)
		if err == nil {
			return revision, nil
		}
		if !waitBeforeRetry(ctx, resultOfError(err).RetryAfter) {
			return 0, fmt.Errorf("apply settings: %w", err)
		}
	}
}

// ApplyEverywhere applies a settings document and waits until every entry VM has
// the accepted revision in force.
func (c *Caller) ApplyEverywhere(ctx context.Context, document, comment string) error {
	revision, err := c.Apply(ctx, document, comment)
	if err != nil {
		return err
	}
	for i := range c.entries {
		if _, err := c.AwaitRevision(ctx, i, revision); err != nil {
			return err
		}
	}
	return nil
}

// ApplyVia applies a settings document through the given entry VM, without retries, and
// returns the accepted revision.
func (c *Caller) ApplyVia(ctx context.Context, entry int, document, comment string) (int64, error) {
	// An entry VM without settings may refuse the read. Revision 0 is then expected,
	// as before the first change.
	var expected int64
	if current, err := c.clients[entry].GetSettings(ctx); err == nil {
		expected = current.Revision
	}
	res, err := c.clients[entry].ApplySettings(ctx, &oas.SettingsChange{
		ExpectedRevision: expected, Document: document,
		Author: oas.NewOptString("operator"), Comment: oas.NewOptString(comment),
	})
	if err != nil {
		return 0, err
	}
	return res.Revision, nil
}

// statePollInterval is the interval between queries for the settings revision, the
// VMs or the upstreams that an entry VM knows.
const statePollInterval = 50 * time.Millisecond

// AwaitRevision waits until an entry VM has the given or a later settings revision
// in force, and returns how long it waited.
func (c *Caller) AwaitRevision(ctx context.Context, entry int, revision int64) (time.Duration, error) {
	start := time.Now()
	for {
		current, err := c.clients[entry].GetSettings(ctx)
		if err == nil && current.Revision >= revision {
			return time.Since(start), nil
		}
		select {
		case <-time.After(statePollInterval):
		case <-ctx.Done():
			return time.Since(start), fmt.Errorf("settings revision %d is not in force on entry VM %s", revision, c.entries[entry].Name)
		}
	}
}
