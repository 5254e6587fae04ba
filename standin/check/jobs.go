package check

import (
	"time"

	"rhubarbstall.example/standin/history"
	"rhubarbstall.example/wire/worker"
)

// job holds what callers observed of an acknowledged job.
type job struct {
	acknowledged history.Event
	// lastSeen and lastMissing are the last answers with a state and with "not found".
	lastSeen    history.Event
	lastMissing history.Event
	finished    bool
}

// Finished reports whether a job state of the API is final.
func Finished(state string) bool {
	switch state {
	case "succeeded", "failed", "cancelled", "unknown":
		return true
	}
	return false
}

// checkJobs reports lost jobs and jobs that succeeded without all their tasks.
// Callers must query each job after its acknowledgment: a job that no caller saw
// again counts as lost.
func (r *Report) checkJobs(events []history.Event, runs []*taskRun) {
	jobs := make(map[string]*job)
	for _, e := range events {
		j := jobs[e.Job]
		switch {
		case e.Type == history.JobAcked && j == nil:
			jobs[e.Job] = &job{acknowledged: e}
		case j == nil:
		case e.Type == history.JobSeen:
			j.lastSeen = e
			j.finished = j.finished || Finished(e.State)
		case e.Type == history.JobMissing:
			j.lastMissing = e
		}
	}
	succeeded := make(map[taskKey]bool)
	for _, t := range runs {
		if t.result == string(worker.ResultSucceeded) {
			succeeded[t.key()] = true
		}
	}
	for id, j := range jobs {
		switch {
		case j.finished:
		case j.lastSeen.At.IsZero():
			r.add(LostJob, j.acknowledged.At, "job %s was acknowledged, but no caller saw it again", id)
		case j.lastMissing.At.After(j.lastSeen.At):
			r.add(LostJob, j.lastMissing.At, "job %s was %s and is now reported as not found", id, j.lastSeen.State)
		}
		if j.lastSeen.State != "succeeded" {
			continue
		}
		var missingTasks []int
		for i := range j.acknowledged.Tasks {
			if !succeeded[taskKey{id, i}] {
				missingTasks = append(missingTasks, i)
			}
		}
		if len(missingTasks) > 0 {
			r.add(FalseSuccess, j.lastSeen.At, "job %s of %d tasks succeeded, but %d of its tasks did not, the first being task %d",
				id, j.acknowledged.Tasks, len(missingTasks), missingTasks[0])
		}
	}
	r.checkRepeats(jobs, runs)
}

// checkRepeats reports attempts that started after an acknowledged success of the
// task, and attempts of no_repeat tasks that started before the outcome of an
// earlier attempt was reported.
func (r *Report) checkRepeats(jobs map[string]*job, runs []*taskRun) {
	byTask := make(map[taskKey][]*taskRun)
	for _, t := range runs {
		j := jobs[t.ref.Job]
		for _, before := range byTask[t.key()] {
			if before.result == string(worker.ResultSucceeded) && happenedBy(before.acknowledged, t.start) {
				r.add(TaskRerunAfterSuccess, t.start, "task %s/%d started on %s after its success on %s was acknowledged",
					t.ref.Job, t.ref.Index, t.place.node, before.place.node)
			}
			if j != nil && j.acknowledged.NoRepeat && !happenedBy(before.reported, t.start) {
				r.add(RepeatedTask, t.start, "task %s/%d started on %s while the outcome on %s was not known",
					t.ref.Job, t.ref.Index, t.place.node, before.place.node)
			}
		}
		byTask[t.key()] = append(byTask[t.key()], t)
	}
}

// happenedBy reports whether an event, zero if it never happened, happened at or
// before at.
func happenedBy(event, at time.Time) bool { return !event.IsZero() && !event.After(at) }
