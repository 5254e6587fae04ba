package replay

import (
	"slices"
	"time"

	"rhubarbstall.example/sched/model"
)

// throttlePercent is the speed of a throttled task.
const throttlePercent = 70

// stop takes an attempt off its worker and records what it was good for.
func (s *sim) stop(a *attempt, useful bool) {
	a.ended = true
	a.version++
	w := s.workers[a.placement.Worker]
	w.runs = slices.DeleteFunc(w.runs, func(o *attempt) bool { return o == a })
	s.report.ran(a, s.now, useful)
}

// end ends an attempt now; the engine learns of it after the report delay.
func (s *sim) end(a *attempt, r model.Result) {
	if a.ended {
		return
	}
	index := a.placement.Ref.Index
	if r == model.Checkpointed {
		a.job.doneMS[index] += s.now - a.startMS
	}
	s.stop(a, r == model.Succeeded || r == model.Checkpointed)
	switch r {
	case model.OutOfMemory:
		s.report.OutOfMemory++
	case model.Stopped, model.Checkpointed:
		s.report.Stopped++
	}
	peak := a.used(s.now)
	s.at(s.now+reportMS, func() {
		s.verdict(a, s.engine.Finished(s.time(), model.Outcome{
			Ref: a.placement.Ref, Worker: a.placement.Worker, Result: r, PeakUsed: peak,
			RunTime: time.Duration(max(s.now-reportMS-a.startMS, 0)) * time.Millisecond,
		}))
	})
}

func (s *sim) verdict(a *attempt, v model.Verdict) {
	s.poke()
	if a.job.over {
		return
	}
	switch v {
	case model.VerdictRetry, model.VerdictParked:
		if a.job.spec.NoRepeat {
			s.fail("task %v is repeated", a.placement.Ref)
		}
		if a.job.spec.Fails && v == model.VerdictParked {
			// Nobody repairs the job during a replay.
			s.report.Parked++
			s.cancel(a.job.spec.ID)
		}
		return
	case model.VerdictIgnored:
		s.fail("the engine does not know attempt %v", a.placement.Ref)
	case model.VerdictFailed, model.VerdictUnknown:
		s.report.Failed++
	}
	if v == model.VerdictSucceeded {
		a.job.succeeded[a.placement.Ref.Index] = true
	}
	s.left--
	a.job.left--
	s.report.lastMS = s.now
}

func (s *sim) control(c model.Control) {
	w := s.workers[c.Worker]
	at := slices.IndexFunc(w.runs, func(a *attempt) bool { return a.placement.Ref == c.Ref })
	if at < 0 {
		return
	}
	a := w.runs[at]
	switch c.Action {
	case model.ActionStop:
		s.end(a, model.Stopped)
	case model.ActionCheckpoint:
		s.at(s.now+saveMS, func() { s.end(a, model.Checkpointed) })
	case model.ActionThrottle:
		s.pace(a, true)
	case model.ActionResume:
		s.pace(a, false)
	}
}

// pace changes the speed of the rest of an attempt.
func (s *sim) pace(a *attempt, slow bool) {
	if a.slow == slow || a.ended || s.workers[a.placement.Worker].spec.Broken || a.job.spec.Fails {
		return
	}
	a.slow = slow
	rest := max(a.endMS-s.now, 0)
	if slow {
		rest = rest * 100 / throttlePercent
	} else {
		rest = rest * throttlePercent / 100
	}
	a.endMS = s.now + rest
	s.plan(a)
}

// usage reports the usage of the period before, and kills tasks on workers whose
// memory is exhausted.
func (s *sim) usage() {
	for _, w := range s.order {
		if !w.up {
			continue
		}
		if len(w.lagged) > 0 {
			s.engine.ReportUsage(s.time(), w.spec.ID, w.lagged)
		}
		w.lagged = w.lagged[:0]
		sum := int64(0)
		for _, a := range w.runs {
			used := a.used(s.now)
			sum += used.MemoryMB
			w.lagged = append(w.lagged, model.Usage{Ref: a.placement.Ref, Used: used})
		}
		if sum > w.spec.MemoryMB {
			s.kill(w)
		}
	}
	s.poke()
	s.at(s.now+usageMS, s.usage)
}

// kill ends the attempt that exceeds its claim the most.
func (s *sim) kill(w *simWorker) {
	var worst *attempt
	over := int64(-1)
	for _, a := range w.runs {
		if x := a.used(s.now).MemoryMB - a.placement.Size.MemoryMB; x > over {
			worst, over = a, x
		}
	}
	if worst != nil {
		s.end(worst, model.OutOfMemory)
	}
}
