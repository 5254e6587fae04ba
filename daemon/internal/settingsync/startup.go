package settingsync

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"rhubarbstall.example/daemon/internal/membership"
	"rhubarbstall.example/daemon/internal/platform"
	"rhubarbstall.example/daemon/internal/wait"
)

// startUpInterval is the time between two rounds of questions at the start.
const startUpInterval = 200 * time.Millisecond

// startUp asks the platform and the peers until there are settings to use, and
// takes the highest revision of the answers. A platform that answers an old
// revision is corrected by a peer in the same round.
func (s *Syncer) startUp(ctx context.Context) error {
	begin := time.Now()
	for ctx.Err() == nil && !s.Ready() {
		if s.startUpRound(ctx, time.Since(begin) >= s.cfg.StartupWait) {
			return nil
		}
		wait.For(ctx, startUpInterval)
	}
	return nil
}

// startUpRound asks everybody once; true if there are settings in force then.
// Before waited is true, no answer counts unless some peer answered too, since
// the list of peers is empty until the first heartbeats.
func (s *Syncer) startUpRound(ctx context.Context, waited bool) bool {
	found := &candidate{}
	var missing bool
	var wg sync.WaitGroup
	wg.Go(func() {
		callCtx, cancel := context.WithTimeout(ctx, platformCallTime)
		defer cancel()
		entry, err := s.cfg.Store.Get(callCtx, Key)
		switch {
		case err == nil:
			found.add(s, &Transfer{Record: entry.Value, Token: entry.Revision}, Key)
		case errors.Is(err, platform.ErrNotFound):
			missing = true
		case ctx.Err() == nil:
			s.metrics.countError("read")
			s.log.Warn("[settings] the platform did not answer at the start", zap.Error(err))
		}
	})
	peers := s.others()
	for _, m := range peers {
		wg.Go(func() { s.ask(ctx, m, found) })
	}
	wg.Wait()
	if !waited && (len(peers) == 0 || found.answers < len(peers)) {
		return false
	}
	if found.best != nil {
		s.adopt(found.best)
		return true
	}
	if missing && !found.unusable && s.highestReported() == 0 {
		s.adopt(builtinState())
		return true
	}
	return false
}

// ask fetches the record of a peer as a candidate.
func (s *Syncer) ask(ctx context.Context, m membership.Member, found *candidate) {
	t, err := s.fetch(ctx, m)
	if err != nil {
		// A peer that answers that it has no settings has answered.
		if isNotReady(err) {
			found.answered()
		}
		return
	}
	found.answered()
	found.add(s, t, m.ID)
}

// others returns the other entry VMs that may answer.
func (s *Syncer) others() []membership.Member {
	var list []membership.Member
	for _, m := range s.cfg.View.Members() {
		if m.ID != s.cfg.Self && m.State != membership.Dead && m.State != membership.Left {
			list = append(list, m)
		}
	}
	return list
}

// highestReported returns the highest revision in the heartbeats.
func (s *Syncer) highestReported() uint64 {
	var highest uint64
	for _, m := range s.others() {
		highest = max(highest, m.Report.SettingsRevision)
	}
	return highest
}
