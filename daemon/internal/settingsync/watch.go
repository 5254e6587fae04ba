package settingsync

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"rhubarbstall.example/daemon/internal/membership"
	"rhubarbstall.example/daemon/internal/platform"
	"rhubarbstall.example/daemon/internal/rendezvous"
	"rhubarbstall.example/daemon/internal/wait"
	wire "rhubarbstall.example/wire/platform"
)

const (
	// watchTimeout is how long the platform may hold a watch without events. It and
	// platformCallTimeout are short enough that a read replaces a hung watch within
	// the 3 s in which a change must be in force.
	watchTimeout        = time.Second
	platformCallTimeout = 2 * time.Second
	// watcherCheckInterval is how often an entry VM checks whether it is the watcher
	// of its zone.
	watcherCheckInterval = 250 * time.Millisecond
	// maxWatchBackoff bounds the delay after failed watches.
	maxWatchBackoff = 2 * time.Second
	// pollInterval is the mean time between two reads of the record by each entry VM,
	// independently of the watcher. 136 entry VMs read it 14 times a second in total.
	pollInterval = 10 * time.Second
)

// isWatcher reports whether this entry VM watches the platform for its zone: the
// first member in rendezvous order that is alive, not draining, and reaches the
// platform does.
func (s *Syncer) isWatcher() bool {
	ids := []string{s.cfg.Self}
	for _, m := range s.cfg.View.InZone(s.cfg.Zone) {
		if m.ID != s.cfg.Self && m.State == membership.Alive && m.Report.PlatformReachable && !m.Report.Draining {
			ids = append(ids, m.ID)
		}
	}
	return rendezvous.Owner(Key, ids) == s.cfg.Self
}

// watchPlatform follows the record while this entry VM is the watcher of its zone.
func (s *Syncer) watchPlatform(ctx context.Context) error {
	backoff := watcherCheckInterval
	for ctx.Err() == nil {
		if !s.Ready() || !s.isWatcher() {
			wait.For(ctx, watcherCheckInterval)
			continue
		}
		started := time.Now()
		if err := s.listAndWatch(ctx); err != nil && ctx.Err() == nil {
			s.metrics.countError("watch")
			s.log.Debug("[settings] watch failed", zap.Error(err))
			if time.Since(started) > maxWatchBackoff*2 {
				backoff = watcherCheckInterval
			}
			wait.For(ctx, backoff)
			backoff = min(2*backoff, maxWatchBackoff)
			continue
		}
		// Limits the calls to a platform that keeps answering that the history is
		// compacted.
		wait.For(ctx, watcherCheckInterval)
	}
	return nil
}

// listAndWatch reads the record and follows its changes until the watch fails, the
// platform has compacted the history, or another entry VM is the watcher.
func (s *Syncer) listAndWatch(ctx context.Context) error {
	after, err := s.listRecord(ctx)
	if err != nil {
		return err
	}
	for ctx.Err() == nil && s.isWatcher() {
		started := time.Now()
		callCtx, cancel := context.WithTimeout(ctx, platformCallTimeout)
		resp, err := s.cfg.Store.Watch(callCtx, Key, after, watchTimeout)
		cancel()
		if err != nil {
			return err
		}
		for _, e := range resp.Events {
			s.handleEvent(e)
			after = max(after, e.Entry.Revision)
		}
		after = max(after, resp.Revision)
		if resp.Compacted {
			return nil
		}
		if len(resp.Events) == 0 && time.Since(started) < watchTimeout/2 {
			// Limits the calls to a platform that answers before the watch timed out.
			wait.For(ctx, watcherCheckInterval)
		}
	}
	return nil
}

// listRecord reads the record and returns the store revision to watch from.
func (s *Syncer) listRecord(ctx context.Context) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, platformCallTimeout)
	defer cancel()
	entries, revision, err := s.cfg.Store.List(ctx, Key)
	if err != nil {
		return 0, err
	}
	for _, e := range entries {
		s.handleEvent(wire.Event{Type: wire.EventPut, Entry: e})
	}
	return revision, nil
}

// handleEvent handles one event of the watch. Events may arrive late and out of order.
func (s *Syncer) handleEvent(e wire.Event) {
	if e.Entry.Key != Key {
		return
	}
	if e.Type == wire.EventPut {
		// handleRecord reports an unusable record.
		_, _ = s.handleRecord(e.Entry.Value, e.Entry.Revision, originPlatform, Key)
		return
	}
	s.reportMissing()
}

// reportMissing logs that the platform has no record although a stored revision is
// in force.
func (s *Syncer) reportMissing() {
	if revision := s.revision(); revision > 0 && s.rejections.add(Key+"/missing", revision) {
		s.metrics.countRefused("missing")
		s.log.Error("[settings] the platform has no settings record; keeping the revision in force",
			zap.Uint64("in_force", revision))
	}
}

// pollPlatform reads the record periodically, so that this entry VM gets a revision
// that neither the watch nor a peer delivered.
func (s *Syncer) pollPlatform(ctx context.Context) error {
	for wait.For(ctx, pollInterval/2+rand.N(pollInterval)) {
		if _, err := s.readRecord(ctx); err != nil && !errors.Is(err, platform.ErrNotFound) && ctx.Err() == nil {
			s.metrics.countError("read")
		}
	}
	return nil
}

// readRecord fetches the record from the platform and handles it. An unusable record
// is not an error here.
func (s *Syncer) readRecord(ctx context.Context) (wire.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, platformCallTimeout)
	defer cancel()
	entry, err := s.cfg.Store.Get(ctx, Key)
	switch {
	case errors.Is(err, platform.ErrNotFound):
		s.reportMissing()
	case err == nil:
		_, _ = s.handleRecord(entry.Value, entry.Revision, originPlatform, Key)
	}
	return entry, err
}
