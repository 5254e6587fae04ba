package ledger

import (
	"time"

	"rhubarbstall.example/sched/model"
)

// maxBackoff is the upper limit of the delay between attempts, which doubles with each
// failure.
const maxBackoff = time.Hour

// RevertStart ends an attempt that the worker did not start. It returns the attempt,
// nil if it is unknown, and whether the task waits again.
func (jt *JobTable) RevertStart(now time.Time, ref model.TaskRef) (*Run, bool) {
	r := jt.FindRun(ref)
	if r == nil {
		return nil, false
	}
	return r, jt.endRun(now, r, !r.Job.Cancelled, 0)
}

// FinishRun ends an attempt whose outcome is known. The returned run is nil if the
// attempt is unknown or belongs to another worker.
func (jt *JobTable) FinishRun(now time.Time, o model.Outcome, p model.Policy) (*Run, model.Verdict) {
	r := jt.FindRun(o.Ref)
	if r == nil || r.Worker != o.Worker {
		return nil, model.VerdictIgnored
	}
	task := &r.Job.TaskStates[r.Index]
	v := verdict(r, task, o.Result, p)
	var delay time.Duration
	switch o.Result {
	case model.Failed, model.OutOfMemory:
		delay = Backoff(p.Backoff, int(task.Failures))
	case model.Checkpointed:
		task.Checkpoint = true
	}
	jt.endRun(now, r, v == model.VerdictRetry, delay)
	return r, v
}

// verdict decides whether a task is retried after an attempt with the given result, and
// counts a failure. A task of a job with NoRepeat is never retried, because any attempt
// may have had its effect, whatever its result.
func verdict(r *Run, task *Task, result model.Result, p model.Policy) model.Verdict {
	switch {
	case result == model.Succeeded:
		return model.VerdictSucceeded
	case r.Job.Cancelled:
		return model.VerdictCancelled
	case r.Job.NoRepeat && result == model.LeaseLapsed:
		return model.VerdictUnknown
	case r.Job.NoRepeat || r.FailOnStop:
		return model.VerdictFailed
	case result == model.Failed || result == model.OutOfMemory:
		task.Failures++
		if int(task.Failures) >= max(p.MaxAttempts, 1) {
			return model.VerdictFailed
		}
	}
	return model.VerdictRetry
}

// FinishLostRun ends an attempt whose outcome will never be known. The returned run is
// nil if the attempt is unknown.
func (jt *JobTable) FinishLostRun(now time.Time, ref model.TaskRef) (*Run, model.Verdict) {
	r := jt.FindRun(ref)
	if r == nil {
		return nil, model.VerdictIgnored
	}
	v := model.VerdictRetry
	switch {
	case r.Job.NoRepeat:
		v = model.VerdictUnknown
	case r.Job.Cancelled:
		v = model.VerdictCancelled
	case r.FailOnStop:
		v = model.VerdictFailed
	}
	jt.endRun(now, r, v == model.VerdictRetry, 0)
	return r, v
}

// endRun releases the attempt of a task. If retry is set, the task waits again and may
// start after the delay; otherwise it has ended. endRun returns retry.
func (jt *JobTable) endRun(now time.Time, r *Run, retry bool, delay time.Duration) bool {
	j, task := r.Job, &r.Job.TaskStates[r.Index]
	task.Run = nil
	task.Phase = Ended
	j.Active--
	if retry {
		task.Phase = Waiting
		task.ReadyNanos = now.Add(delay).UnixNano()
		j.Waiting++
	}
	jt.deleteIfDone(j)
	return retry
}

// Backoff returns the delay before the next attempt after the given number of failures.
// It starts at base and doubles with each further failure, up to one hour.
func Backoff(base time.Duration, failures int) time.Duration {
	d := base
	for i := 1; i < failures && d < maxBackoff; i++ {
		d *= 2
	}
	return min(d, maxBackoff)
}
