package cellsched

import (
	"context"
	"encoding/json"
	"time"

	"go.uber.org/zap"

	"rhubarbstall.example/daemon/internal/wait"
	"rhubarbstall.example/platform"
	"rhubarbstall.example/sched/cell"
)

const (
	// startsRecordDelay is the time from the start order after which the record is written. Most starts are answered earlier, and
	// need no record.
	startsRecordDelay = 20 * time.Millisecond
	// startsRecordInterval is the least pause between two writes of the record of unanswered starts. It batches those
	// that get no answer at the same time.
	startsRecordInterval = 100 * time.Millisecond
	// startsRecordBytesPerSecond bounds the bandwidth of these writes: each holds the whole record.
	startsRecordBytesPerSecond = 100_000
	// maxRecordedStarts bounds the record to the size of one value in the store.
	maxRecordedStarts = 10_000
)

// recordedStart is a start order in the record of those that runners may still carry out.
type recordedStart struct {
	Task      string `json:"task"`
	Execution int64  `json:"execution"`
	Runner    string `json:"runner"`
	Closed    bool   `json:"closed,omitempty"`
	// Account is the client account that a run of the order counts for, empty for none, and Size how much it counts.
	Account string       `json:"account,omitempty"`
	Size    *accountSize `json:"size,omitempty"`
}

// loadUnsettledStarts tells the cell which starts of earlier schedulers may still be carried out.
func (s *Scheduler) loadUnsettledStarts() bool {
	item, found, ok := s.readRecord(startsKey)
	if !ok || !found {
		s.exclusive(func() { s.startsRecordEmpty = ok })
		return ok
	}
	var rows []recordedStart
	if err := json.Unmarshal(item.Value, &rows); err != nil {
		s.log.Error("[sched] decoding the record of unanswered starts failed; they are not known", zap.Error(err))
	}
	starts := make([]cell.UnsettledStart, 0, len(rows))
	for _, row := range rows {
		task, err := cell.ParseTaskRef(row.Task)
		if err != nil {
			s.log.Error("[sched] malformed row in the record of unanswered starts", zap.Error(err))
			continue
		}
		starts = append(starts, cell.UnsettledStart{
			Task: task, Execution: row.Execution, Runner: row.Runner, Closed: row.Closed, ClientAccount: row.Account, Size: row.Size.resources(),
		})
	}
	s.exclusive(func() {
		s.startsRevision = item.Revision
		s.cell.AdoptUnsettledStarts(time.Now(), starts)
	})
	if len(starts) > 0 {
		s.log.Info("[sched] starts of an earlier scheduler may still be carried out", zap.Int("starts", len(starts)))
	}
	return true
}

// startsRecordLoop keeps the stored record equal to the set of unanswered starts.
func (s *Scheduler) startsRecordLoop() {
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-s.startsChanged:
		}
		if !wait.For(s.ctx, startsRecordDelay) {
			return
		}
		bytes := s.storeUnsettledStarts(s.ctx)
		wait.For(s.ctx, max(startsRecordInterval, time.Duration(bytes)*time.Second/startsRecordBytesPerSecond))
	}
}

// storeUnsettledStarts stores the starts that runners may still carry out, unless the record is current. It returns the
// size of the record.
func (s *Scheduler) storeUnsettledStarts(ctx context.Context) int {
	var rows []recordedStart
	var version int
	var revision int64
	current := false
	s.exclusive(func() {
		version, revision = s.cell.UnsettledVersion(), s.startsRevision
		if current = version == s.startsVersion; current {
			return
		}
		if current = s.cell.UnsettledCount() == 0 && s.startsRecordEmpty; current {
			s.startsVersion = version
			return
		}
		for _, u := range s.cell.UnsettledStarts(maxRecordedStarts) {
			row := recordedStart{Task: u.Task.String(), Execution: u.Execution, Runner: u.Runner, Closed: u.Closed, Account: u.ClientAccount}
			if u.ClientAccount != "" {
				row.Size = newAccountSize(u.Size)
			}
			rows = append(rows, row)
		}
	})
	if current || s.broken.Load() {
		return 0
	}
	value, err := json.Marshal(rows)
	if err != nil {
		s.log.Error("[sched] encoding the record of unanswered starts failed", zap.Error(err))
		return 0
	}
	callCtx, cancel := context.WithTimeout(ctx, s.settings.storeTimeout())
	defer cancel()
	stored, err := s.store.Commit(callCtx, platform.Txn{
		Expected: []platform.Condition{s.term.Guard, {Key: startsKey, Revision: revision}},
		Write:    []platform.Write{{Key: startsKey, Value: value}},
	})
	s.mu.Lock()
	defer s.unlock()
	// After an error the write may have been done all the same.
	s.startsRecordEmpty = err == nil && len(rows) == 0
	if err != nil {
		s.handleWriteError(ctx, err)
		signal(s.startsChanged)
		return len(value)
	}
	s.startsRevision, s.startsVersion = stored, version
	if s.cell.UnsettledVersion() != version {
		signal(s.startsChanged)
	}
	return len(value)
}
