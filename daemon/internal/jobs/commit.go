package jobs

import (
	"context"
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"rhubarbstall.example/daemon/internal/platform"
	"rhubarbstall.example/daemon/internal/wait"
)

const (
	// writesPerSecond limits the segment writes of a zone. With this limit, 17 zones
	// use 68 of the several hundred writes per second that the platform handles.
	writesPerSecond = 4
	// maxWritesInFlight bounds the concurrent writes, each of a different segment.
	maxWritesInFlight = 4
	// batchDelay is how long outcomes are batched if no caller waits for the write.
	batchDelay = time.Second
	// writeTimeout bounds one write, including the reads and retries that resolve an
	// ambiguous result.
	writeTimeout = 4 * time.Second
	// writeRetryDelay is the pause after a failed write.
	writeRetryDelay = time.Second
)

// run writes dirty segments until ctx ends; then it fails all remaining waiters.
func (js *jobStore) run(ctx context.Context) {
	defer js.close()
	limiter := rate.NewLimiter(writesPerSecond, 1)
	slots := make(chan struct{}, maxWritesInFlight)
	for {
		s, delay := js.nextSegment(time.Now())
		if s == nil {
			t := time.NewTimer(delay)
			select {
			case <-ctx.Done():
				t.Stop()
				js.waitForWrites(slots)
				return
			case <-js.wake:
			case <-t.C:
			}
			t.Stop()
			continue
		}
		if limiter.Wait(ctx) != nil {
			js.endWrite(s)
			js.waitForWrites(slots)
			return
		}
		select {
		case slots <- struct{}{}:
		case <-ctx.Done():
			js.endWrite(s)
			js.waitForWrites(slots)
			return
		}
		go func() {
			defer func() { <-slots }()
			if !js.writeSegment(ctx, s) {
				wait.For(ctx, writeRetryDelay)
			}
			js.endWrite(s)
			js.wakeWriter()
		}()
	}
}

// waitForWrites waits until no write is in progress.
func (js *jobStore) waitForWrites(slots chan struct{}) {
	for range maxWritesInFlight {
		slots <- struct{}{}
	}
}

func (js *jobStore) endWrite(s *segment) {
	js.mu.Lock()
	defer js.mu.Unlock()
	s.writing = false
}

// nextSegment returns the segment to write next: urgent segments come first, then
// the segment that has been dirty longest. If no segment is due, it returns the time
// to wait.
func (js *jobStore) nextSegment(now time.Time) (*segment, time.Duration) {
	js.mu.Lock()
	defer js.mu.Unlock()
	var best *segment
	wait := batchDelay
	for _, s := range js.segments {
		if !s.dirty || s.writing || len(s.writeAfter) > 0 {
			continue
		}
		if age := time.Duration(now.UnixNano() - s.dirtySince); !s.urgent && age < batchDelay {
			wait = min(wait, batchDelay-age)
			continue
		}
		if best == nil || s.urgent && !best.urgent || s.urgent == best.urgent && s.dirtySince < best.dirtySince {
			best = s
		}
	}
	if best == nil {
		return nil, max(wait, time.Millisecond)
	}
	best.writing = true
	return best, 0
}

// writeSegment stores a segment. It returns false if the caller must pause before
// the next write.
func (js *jobStore) writeSegment(ctx context.Context, s *segment) bool {
	js.mu.Lock()
	js.writes++
	value, err := s.encode(fmt.Sprintf("%s/%d", js.writer, js.writes))
	if err == nil && len(value) > maxSegmentBytes && len(s.records) > 1 {
		js.split(s)
		js.mu.Unlock()
		return true
	}
	waiters, revision := s.waiters, s.revision
	s.waiters, s.dirty, s.urgent = nil, false, false
	s.size = len(value)
	intents := make(map[*record]indexSet)
	for _, r := range s.records {
		if r.Intended.n > r.storedIntents.n {
			intents[r] = r.Intended.clone()
		}
	}
	empty := len(s.records) == 0 && s != js.openSegment && revision != 0
	js.mu.Unlock()
	if err != nil {
		js.log.Error("[jobs] failed to encode segment", zap.String("key", s.key), zap.Error(err))
		js.writeFailed(s, waiters, err)
		return false
	}
	start := time.Now()
	callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), writeTimeout)
	defer cancel()
	if empty {
		err = js.store.Delete(callCtx, s.key, revision)
		if errors.Is(err, platform.ErrNotFound) {
			err = nil
		}
	} else {
		revision, err = platform.PutConfirmed(callCtx, js.store, s.key, value, revision, "")
	}
	js.metrics.write(ctx, len(value), time.Since(start), err)
	switch {
	case err == nil:
		js.writeSucceeded(s, revision, empty, intents, waiters)
		return true
	case errors.Is(err, platform.ErrConflict):
		return js.reload(callCtx, s, waiters)
	case errors.Is(err, platform.ErrAmbiguous):
		js.mu.Lock()
		for _, r := range s.records {
			r.maybePersisted = true
		}
		js.requeueWaiters(s, waiters)
		js.mu.Unlock()
		return false
	}
	js.log.Warn("[jobs] failed to write segment", zap.String("key", s.key), zap.Error(err))
	js.writeFailed(s, waiters, err)
	return false
}

// writeSucceeded records a successful write. It reports success to the waiters only
// if this entry VM still has the quorum after the reply. Otherwise the next zone
// scheduler may have read the segments before the write, so the write must not be
// acknowledged.
func (js *jobStore) writeSucceeded(s *segment, revision uint64, deleted bool, intents map[*record]indexSet, waiters []waiter) {
	js.mu.Lock()
	s.revision = revision
	if deleted {
		s.revision = 0
		if len(s.records) == 0 && !s.dirty {
			delete(js.segments, s.number)
		}
	}
	for r, set := range intents {
		r.storedIntents.union(&set)
	}
	for _, other := range js.segments {
		delete(other.writeAfter, s)
	}
	js.mu.Unlock()
	var err error
	if !js.hasQuorum() {
		err = errLeadershipLost
	}
	for _, w := range waiters {
		w.done(err)
	}
}

// requeueWaiters keeps the waiters for the next write. The caller holds the lock.
func (js *jobStore) requeueWaiters(s *segment, waiters []waiter) {
	s.waiters = append(waiters, s.waiters...)
	s.urgent = s.urgent || len(s.waiters) > 0
	js.markDirty(s)
}

// writeFailed handles a write that had no effect: it reverts the changes that can be
// reverted and reports the error to their waiters. The other changes stay in memory
// and are written later.
func (js *jobStore) writeFailed(s *segment, waiters []waiter, err error) {
	js.mu.Lock()
	var reverted, kept []waiter
	for _, w := range waiters {
		if w.undo != nil && w.undo() {
			reverted = append(reverted, w)
		} else {
			kept = append(kept, w)
		}
	}
	js.requeueWaiters(s, kept)
	js.mu.Unlock()
	for _, w := range reverted {
		w.done(err)
	}
}

// split moves about half of the records of a segment to a new one. The old segment
// is written after the new one, so that every job is in a stored segment at all times.
func (js *jobStore) split(s *segment) {
	to := js.newSegment()
	moved := 0
	for i, r := range s.sorted() {
		if i%2 == 1 {
			delete(s.records, r.ID)
			to.records[r.ID] = r
			r.segment = to
			moved++
		}
	}
	if js.openSegment == s {
		js.openSegment = nil
	}
	js.markDirty(to)
	to.urgent = true
	s.writeAfter = map[*segment]bool{to: true}
	js.log.Info("[jobs] segment split", zap.String("key", s.key), zap.String("to", to.key), zap.Int("jobs", moved))
}

// close fails all waiters with errLeadershipLost.
func (js *jobStore) close() {
	js.mu.Lock()
	js.closed = true
	var all []waiter
	for _, s := range js.segments {
		all = append(all, s.waiters...)
		s.waiters = nil
	}
	js.mu.Unlock()
	for _, w := range all {
		w.done(errLeadershipLost)
	}
}
