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
	// watchWait and platformCallTime are short enough that a watch which hangs is
	// replaced by a read within the 3 s in which a change must be in force.
	watchWait        = time.Second
	platformCallTime = 2 * time.Second
	// roleInterval is how often an entry VM checks whether it holds the watch.
	roleInterval = 250 * time.Millisecond
	// maxWatchBackoff bounds the delay after failed watches.
	maxWatchBackoff = 2 * time.Second
	// pollInterval is how often every entry VM reads the record, whatever the
	// watch holder does. 136 entry VMs read it 14 times a second in total.
	pollInterval = 10 * time.Second
)

// holdsWatch tells whether this entry VM watches the platform for its zone. It
// does if no member before it in rendezvous order is alive and reaches the platform.
func (s *Syncer) holdsWatch() bool {
	ids := []string{s.cfg.Self}
	for _, m := range s.cfg.View.InZone(s.cfg.Zone) {
		if m.ID != s.cfg.Self && m.State == membership.Alive && m.Report.PlatformReachable && !m.Report.Draining {
			ids = append(ids, m.ID)
		}
	}
	return rendezvous.Owner(Key, ids) == s.cfg.Self
}

// watchPlatform follows the record while this entry VM holds the watch.
func (s *Syncer) watchPlatform(ctx context.Context) error {
	backoff := roleInterval
	for ctx.Err() == nil {
		if !s.Ready() || !s.holdsWatch() {
			wait.For(ctx, roleInterval)
			continue
		}
		started := time.Now()
		if err := s.watchOnce(ctx); err != nil && ctx.Err() == nil {
			s.metrics.countError("watch")
			s.log.Debug("[settings] watch failed", zap.Error(err))
			if time.Since(started) > maxWatchBackoff*2 {
				backoff = roleInterval
			}
			wait.For(ctx, backoff)
			backoff = min(2*backoff, maxWatchBackoff)
			continue
		}
		// Bounds the calls to a platform that keeps forgetting its history.
		wait.For(ctx, roleInterval)
	}
	return nil
}

// watchOnce reads the record and follows its changes until the watch fails, its
// history is gone, or another entry VM holds the watch.
func (s *Syncer) watchOnce(ctx context.Context) error {
	after, err := s.list(ctx)
	if err != nil {
		return err
	}
	for ctx.Err() == nil && s.holdsWatch() {
		started := time.Now()
		callCtx, cancel := context.WithTimeout(ctx, platformCallTime)
		resp, err := s.cfg.Store.Watch(callCtx, Key, after, watchWait)
		cancel()
		if err != nil {
			return err
		}
		for _, e := range resp.Events {
			s.observe(e)
			after = max(after, e.Entry.Revision)
		}
		after = max(after, resp.Revision)
		if resp.Compacted {
			return nil
		}
		if len(resp.Events) == 0 && time.Since(started) < watchWait/2 {
			// Bounds the calls to a platform that answers before the wait is over.
			wait.For(ctx, roleInterval)
		}
	}
	return nil
}

// list reads the record and returns the store revision to watch from.
func (s *Syncer) list(ctx context.Context) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, platformCallTime)
	defer cancel()
	entries, revision, err := s.cfg.Store.List(ctx, Key)
	if err != nil {
		return 0, err
	}
	for _, e := range entries {
		s.observe(wire.Event{Type: wire.EventPut, Entry: e})
	}
	return revision, nil
}

// observe handles one event of the watch. Events may arrive late and out of order.
func (s *Syncer) observe(e wire.Event) {
	if e.Entry.Key != Key {
		return
	}
	if e.Type == wire.EventPut {
		// An unusable record was reported by offer; the one in force stays.
		_, _ = s.offer(e.Entry.Value, e.Entry.Revision, fromPlatform, Key)
		return
	}
	s.noteMissing()
}

// noteMissing reports that the platform has no record although there are settings.
func (s *Syncer) noteMissing() {
	if revision := s.revision(); revision > 0 && s.refusals.add(Key+"/missing", revision) {
		s.metrics.countRefused("missing")
		s.log.Error("[settings] the platform has no settings record; the revision in force stays",
			zap.Uint64("in_force", revision))
	}
}

// pollPlatform reads the record now and then, which repairs what watches and
// peers missed.
func (s *Syncer) pollPlatform(ctx context.Context) error {
	for wait.For(ctx, pollInterval/2+rand.N(pollInterval)) {
		if _, err := s.read(ctx); err != nil && !errors.Is(err, platform.ErrNotFound) && ctx.Err() == nil {
			s.metrics.countError("read")
		}
	}
	return nil
}

// read fetches the record from the platform and offers it. An unusable record
// is not an error here.
func (s *Syncer) read(ctx context.Context) (wire.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, platformCallTime)
	defer cancel()
	entry, err := s.cfg.Store.Get(ctx, Key)
	switch {
	case errors.Is(err, platform.ErrNotFound):
		s.noteMissing()
	case err == nil:
		_, _ = s.offer(entry.Value, entry.Revision, fromPlatform, Key)
	}
	return entry, err
}
