package replay

import (
	"slices"
	"time"

	"rhubarbstall.example/sched/model"
)

// throttlePercent is the speed of a throttled task in percent of its normal speed.
const throttlePercent = 70

// removeAttempt removes an attempt from its worker and records its run interval. useful
// is false if its work is lost.
func (s *sim) removeAttempt(a *attempt, useful bool) {
	a.ended = true
	a.endVersion++
	w := s.workers[a.placement.Worker]
	w.runs = slices.DeleteFunc(w.runs, func(o *attempt) bool { return o == a })
	s.report.recordRun(a, s.nowMS, useful)
}

// endAttempt ends an attempt with the given result. The engine learns of it after
// outcomeDelayMS.
func (s *sim) endAttempt(a *attempt, r model.Result) {
	if a.ended {
		return
	}
	index := a.placement.Ref.Index
	if r == model.Checkpointed {
		a.job.savedMS[index] += s.nowMS - a.startMS
	}
	s.removeAttempt(a, r == model.Succeeded || r == model.Checkpointed)
	switch r {
	case model.OutOfMemory:
		s.report.OutOfMemory++
	case model.Stopped, model.Checkpointed:
		s.report.Stopped++
	}
	peak := a.used(s.nowMS)
	s.schedule(s.nowMS+outcomeDelayMS, func() {
		s.applyVerdict(a, s.engine.Finished(s.time(), model.Outcome{
			Ref: a.placement.Ref, Worker: a.placement.Worker, Result: r, PeakUsed: peak,
			RunTime: time.Duration(max(s.nowMS-outcomeDelayMS-a.startMS, 0)) * time.Millisecond,
		}))
	})
}

// applyVerdict updates the job after the engine's verdict on an ended attempt.
func (s *sim) applyVerdict(a *attempt, verdict model.Verdict) {
	s.requestDecision()
	if a.job.cancelled {
		return
	}
	switch verdict {
	case model.VerdictRetry, model.VerdictParked:
		if a.job.spec.NoRepeat {
			s.failf("engine retries a NoRepeat task after attempt %v", a.placement.Ref)
		}
		if a.job.spec.Fails && verdict == model.VerdictParked {
			// A failing job would stay parked, since nothing repairs it during a replay.
			s.report.Parked++
			s.cancelJob(a.job.spec.ID)
		}
		return
	case model.VerdictIgnored:
		s.failf("engine ignored the end of attempt %v", a.placement.Ref)
	case model.VerdictFailed, model.VerdictUnknown:
		s.report.Failed++
	}
	if verdict == model.VerdictSucceeded {
		a.job.succeeded[a.placement.Ref.Index] = true
	}
	s.tasksLeft--
	a.job.tasksLeft--
	s.report.lastEndMS = s.nowMS
}

func (s *sim) applyControl(c model.Control) {
	w := s.workers[c.Worker]
	i := slices.IndexFunc(w.runs, func(a *attempt) bool { return a.placement.Ref == c.Ref })
	if i < 0 {
		return
	}
	a := w.runs[i]
	switch c.Action {
	case model.ActionStop:
		s.endAttempt(a, model.Stopped)
	case model.ActionCheckpoint:
		s.schedule(s.nowMS+checkpointDelayMS, func() { s.endAttempt(a, model.Checkpointed) })
	case model.ActionThrottle:
		s.setThrottled(a, true)
	case model.ActionResume:
		s.setThrottled(a, false)
	}
}

// setThrottled throttles an attempt or restores its speed, and reschedules its end.
func (s *sim) setThrottled(a *attempt, throttled bool) {
	if a.throttled == throttled || a.ended || s.workers[a.placement.Worker].spec.Broken || a.job.spec.Fails {
		return
	}
	a.throttled = throttled
	rest := max(a.endMS-s.nowMS, 0)
	if throttled {
		rest = rest * 100 / throttlePercent
	} else {
		rest = rest * throttlePercent / 100
	}
	a.endMS = s.nowMS + rest
	s.scheduleEnd(a)
}

// reportUsage sends the usage that was measured one interval earlier, measures the
// current usage, and kills a task on each worker whose memory is exhausted.
func (s *sim) reportUsage() {
	for _, w := range s.workersInOrder {
		if !w.up {
			continue
		}
		if len(w.nextUsage) > 0 {
			s.engine.ReportUsage(s.time(), w.spec.ID, w.nextUsage)
		}
		w.nextUsage = w.nextUsage[:0]
		sum := int64(0)
		for _, a := range w.runs {
			used := a.used(s.nowMS)
			sum += used.MemoryMB
			w.nextUsage = append(w.nextUsage, model.Usage{Ref: a.placement.Ref, Used: used})
		}
		if sum > w.spec.MemoryMB {
			s.killOutOfMemory(w)
		}
	}
	s.requestDecision()
	s.schedule(s.nowMS+usageIntervalMS, s.reportUsage)
}

// killOutOfMemory ends the attempt that exceeds its memory allocation the most.
func (s *sim) killOutOfMemory(w *simWorker) {
	var largest *attempt
	largestExcess := int64(-1)
	for _, a := range w.runs {
		if excess := a.used(s.nowMS).MemoryMB - a.placement.Size.MemoryMB; excess > largestExcess {
			largest, largestExcess = a, excess
		}
	}
	if largest != nil {
		s.endAttempt(largest, model.OutOfMemory)
	}
}
