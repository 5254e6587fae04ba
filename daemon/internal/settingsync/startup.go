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

// startupRetryInterval is the time between two rounds of queries at startup.
const startupRetryInterval = 200 * time.Millisecond

// waitForSettings queries the platform and the peers until settings are in force,
// and adopts the highest revision among the answers. If the platform returns an
// old revision, the answer of a peer in the same round takes precedence.
func (s *Syncer) waitForSettings(ctx context.Context) error {
	begin := time.Now()
	for ctx.Err() == nil && !s.Ready() {
		if s.queryAll(ctx, time.Since(begin) >= s.cfg.StartupWait) {
			return nil
		}
		wait.For(ctx, startupRetryInterval)
	}
	return nil
}

// queryAll queries the platform and every peer once, and reports whether settings
// are in force afterwards. Until waited is true, it adopts nothing unless there is
// a peer and every peer answered: the list of peers is empty before the first
// heartbeats.
func (s *Syncer) queryAll(ctx context.Context, waited bool) bool {
	found := &startupAnswers{}
	var missing bool
	var wg sync.WaitGroup
	wg.Go(func() {
		callCtx, cancel := context.WithTimeout(ctx, platformCallTimeout)
		defer cancel()
		entry, err := s.cfg.Store.Get(callCtx, Key)
		switch {
		case err == nil:
			found.add(s, &Transfer{Record: entry.Value, Token: entry.Revision}, Key)
		case errors.Is(err, platform.ErrNotFound):
			missing = true
		case ctx.Err() == nil:
			s.metrics.countError("read")
			s.log.Warn("[settings] could not read the settings record from the platform at startup", zap.Error(err))
		}
	})
	peers := s.candidatePeers()
	for _, m := range peers {
		wg.Go(func() { s.queryPeer(ctx, m, found) })
	}
	wg.Wait()
	if !waited && (len(peers) == 0 || found.answers < len(peers)) {
		return false
	}
	if found.best != nil {
		s.adopt(found.best)
		return true
	}
	if missing && !found.unusable && s.highestPeerRevision() == 0 {
		s.adopt(builtinSnapshot())
		return true
	}
	return false
}

// queryPeer fetches the record of a peer and adds it to the answers.
func (s *Syncer) queryPeer(ctx context.Context, m membership.Member, found *startupAnswers) {
	t, err := s.fetch(ctx, m)
	if err != nil {
		// A peer without settings has answered too.
		if isNotReady(err) {
			found.countAnswer()
		}
		return
	}
	found.countAnswer()
	found.add(s, t, m.ID)
}

// candidatePeers returns the other entry VMs that are neither dead nor left.
func (s *Syncer) candidatePeers() []membership.Member {
	var list []membership.Member
	for _, m := range s.cfg.View.Members() {
		if m.ID != s.cfg.Self && m.State != membership.Dead && m.State != membership.Left {
			list = append(list, m)
		}
	}
	return list
}

// highestPeerRevision returns the highest revision that peers report in their
// heartbeats.
func (s *Syncer) highestPeerRevision() uint64 {
	var highest uint64
	for _, m := range s.candidatePeers() {
		highest = max(highest, m.Report.SettingsRevision)
	}
	return highest
}
