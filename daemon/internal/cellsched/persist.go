package cellsched

import (
	"context"
	"errors"
	"strings"
	"time"

	"go.uber.org/zap"

	"rhubarbstall.example/daemon/internal/wait"
	"rhubarbstall.example/platform"
	"rhubarbstall.example/sched/cell"
)

const (
	// maxEntriesPerWrite keeps a transaction below the platform's limit; one entry is the
	// condition that guards the term. A state takes a condition and a write; the state of a
	// completed job also takes a write of the job's record.
	maxEntriesPerWrite       = platform.MaxTxnEntries - 1
	entriesPerState          = 2
	entriesPerCompletedState = 3
	// defaultPersistInterval is the interval between the starts of two writes while all
	// changes fit into one write. It batches changes.
	defaultPersistInterval = 40 * time.Millisecond
	// stateWriteShare is the share of the store's write limit that may be used for states.
	// The rest is for new jobs and the leader election.
	stateWriteShare = 0.3
	// persistWorkers is the number of concurrent writes. They store 600 states a second in a
	// store that takes 300 ms for a write.
	persistWorkers = 12
	// sweepInterval is how often expired jobs are removed. retentionSlack is how much longer
	// than the promised retention jobs are kept.
	sweepInterval  = 5 * time.Second
	retentionSlack = 15 * time.Second
	// maxJobsPerSweep fits one transaction, which removes three records for each job.
	maxJobsPerSweep = (platform.MaxTxnEntries - 1) / 3
)

// persistLoop stores changed job states. Several loops run concurrently, so that a slow store
// does not delay the marks of steps. The mark of a step has to be stored before its first task
// may start, and tells the next scheduler that runs of the step may exist.
func (s *Scheduler) persistLoop() {
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-s.statesDirty:
		}
		if !wait.For(s.ctx, s.writeLimiter.reserve(time.Now(), s.persistInterval())) {
			return
		}
		s.persist(s.ctx)
	}
}

// persistInterval returns the interval between the starts of two writes. It is shorter if
// there are more changes than fit into one write, because waiting would only let them
// accumulate: no step starts before its mark is stored, and no caller learns of the end of a job
// before it is stored.
func (s *Scheduler) persistInterval() time.Duration {
	dirtyJobs := 0
	s.exclusive(func() { dirtyJobs = s.cell.DirtyJobCount() })
	if dirtyJobs < maxEntriesPerWrite/entriesPerState || s.settings.StoreWritesPerSecond <= 0 {
		return defaultPersistInterval
	}
	return min(defaultPersistInterval, time.Duration(float64(time.Second)/(stateWriteShare*s.settings.StoreWritesPerSecond)))
}

// persist stores one batch of changed states. It returns false if there was none, or if this
// term is over.
func (s *Scheduler) persist(ctx context.Context) bool {
	batch, txn := s.takeStateBatch()
	if len(batch) == 0 || s.broken.Load() {
		return false
	}
	callCtx, cancel := context.WithTimeout(ctx, s.settings.storeTimeout())
	revision, err := s.store.Commit(callCtx, txn)
	cancel()
	s.mu.Lock()
	defer s.unlock()
	if err != nil {
		s.cell.RequeueUnsaved(batch)
		superseded := s.handleWriteError(ctx, err)
		signal(s.statesDirty)
		return !superseded
	}
	for _, d := range batch {
		s.revisions[d.ID] = revision
		s.cell.MarkSaved(d)
	}
	s.endWaiters.notify(func(runner string) bool {
		_, all := s.cell.StoredEnds(runner)
		return all
	})
	// Steps whose marks are now stored may start.
	s.requestDecision()
	close(s.statesStored)
	s.statesStored = make(chan struct{})
	return true
}

// takeStateBatch takes the next changed states and returns the transaction that stores them.
func (s *Scheduler) takeStateBatch() ([]cell.DirtyState, platform.Txn) {
	s.mu.Lock()
	defer s.unlock()
	batch, err := s.cell.TakeDirtyBatch(maxEntriesPerWrite, entriesForState)
	if err != nil {
		s.log.Error("[sched] encoding job states failed", zap.Error(err))
	}
	if s.cell.HasDirty() {
		signal(s.statesDirty)
	}
	txn := platform.Txn{Expected: []platform.Condition{s.term.Guard}}
	for _, d := range batch {
		txn.Expected = append(txn.Expected, platform.Condition{Key: StateKey(d.ID), Revision: s.revisions[d.ID]})
		txn.Write = append(txn.Write, platform.Write{Key: StateKey(d.ID), Value: d.Value})
		if d.State == cell.Completed {
			// The body is dropped: the next scheduler reads the records of all jobs over its
			// VM's link, and of a completed job it needs only the header.
			txn.Write = append(txn.Write, platform.Write{Key: JobKey(d.ID), Value: encodeHeader(s.cell.Job(d.ID))})
		}
	}
	return batch, txn
}

func entriesForState(state cell.JobState) int {
	if state == cell.Completed {
		return entriesPerCompletedState
	}
	return entriesPerState
}

// handleWriteError updates the expected revisions after a conflict. One arises when the answer
// to an earlier write was lost although the write took effect, or when a later term has begun; in
// the second case it steps down and returns true. The caller holds s.mu.
func (s *Scheduler) handleWriteError(ctx context.Context, err error) (superseded bool) {
	var conflict *platform.ConflictError
	if !errors.As(err, &conflict) {
		if ctx.Err() == nil {
			s.log.Warn("[sched] writing to the store failed; retrying", zap.Error(err))
		}
		return false
	}
	for _, item := range conflict.Current {
		if item.Key == s.term.Guard.Key && item.Revision != s.term.Guard.Revision {
			s.log.Warn("[sched] a later term has begun; stepping down", zap.Int64("term", s.term.Number))
			s.stepDown()
			return true
		}
		switch item.Key {
		case rosterKey:
			s.rosterRevision = item.Revision
		case startsKey:
			s.startsRevision = item.Revision
		}
		if id, ok := strings.CutPrefix(item.Key, statePrefix); ok {
			s.revisions[id] = item.Revision
		}
	}
	return false
}

// flush stores the remaining changes when the term ends. The next scheduler learns the
// changes that cannot be stored from the runners' reports.
func (s *Scheduler) flush() {
	ctx, cancel := context.WithTimeout(context.Background(), storeCallTimeout)
	defer cancel()
	s.storeUnsettledStarts(ctx)
	for s.persist(ctx) && ctx.Err() == nil {
		wait.For(ctx, time.Millisecond)
	}
}

// sweepLoop removes jobs whose retention has expired.
func (s *Scheduler) sweepLoop() {
	for wait.For(s.ctx, sweepInterval) {
		for s.sweep() {
		}
	}
}

// sweep removes one batch of expired jobs and tombstones. It returns false if there was none or if the write
// failed.
func (s *Scheduler) sweep() bool {
	before := time.Now().Add(-s.settings.JobRetention - retentionSlack)
	var ids []string
	s.exclusive(func() {
		ids = s.cell.EndedJobs(before, maxJobsPerSweep)
		ids = append(ids, s.tombstones.seenBefore(before, maxJobsPerSweep-len(ids))...)
	})
	if len(ids) == 0 {
		return false
	}
	txn := platform.Txn{Expected: []platform.Condition{s.term.Guard}}
	for _, id := range ids {
		txn.Remove = append(txn.Remove, JobKey(id), CancelKey(id), StateKey(id))
	}
	ctx, cancel := context.WithTimeout(s.ctx, s.settings.storeTimeout())
	defer cancel()
	revision, err := s.store.Commit(ctx, txn)
	if err != nil {
		s.log.Warn("[sched] removing expired jobs failed; retrying", zap.Int("jobs", len(ids)), zap.Error(err))
		return false
	}
	s.mu.Lock()
	defer s.unlock()
	s.forgetJobs(time.Now(), ids, revision)
	return true
}

// sweptRetention is how long the removal of a job is remembered; it is longer than a listing
// takes.
const sweptRetention = time.Minute

// sweptJob is a removed job.
type sweptJob struct {
	// revision is the revision of the removal. A record with a later one belongs to another
	// job with the same id.
	revision int64
	sweptAt  time.Time
}

// forgetJobs removes from the cell the jobs whose records were removed in a revision. The
// caller holds s.mu.
func (s *Scheduler) forgetJobs(now time.Time, ids []string, revision int64) {
	for id, old := range s.sweptJobs {
		if now.Sub(old.sweptAt) > sweptRetention {
			delete(s.sweptJobs, id)
		}
	}
	for _, id := range ids {
		s.cell.RemoveJob(id)
		delete(s.revisions, id)
		delete(s.tombstones, id)
		s.sweptJobs[id] = sweptJob{revision: revision, sweptAt: now}
	}
}

// visibleState returns the state of a job that callers may see: a final state only once it is
// stored.
func visibleState(j *cell.Job) cell.JobState { return j.VisibleState() }
