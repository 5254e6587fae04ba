package check

import (
	"time"

	"rhubarbstall.example/standin/history"
	"rhubarbstall.example/wire/worker"
)

// place identifies a process instance: each start of a process has a new instance.
type place struct {
	node     string
	instance string
}

// taskRun is one attempt to run a task on a worker.
type taskRun struct {
	place place
	ref   worker.TaskRef
	start time.Time
	end   time.Time
	// result is empty if the worker recorded no end of the attempt, for example
	// because the worker was killed.
	result string
	// reported is when the owner first received the outcome; acknowledged is when
	// the owner acknowledged it. Each is zero if that did not happen.
	reported     time.Time
	acknowledged time.Time
}

// taskKey identifies a task across its attempts.
type taskKey struct {
	job   string
	index int
}

func (t *taskRun) key() taskKey { return taskKey{t.ref.Job, t.ref.Index} }

// taskRuns returns the attempts in order of start. An attempt without a recorded
// end is taken to end when its worker was killed, stopped or started again, or
// else at the last event of the history.
func taskRuns(events []history.Event) []*taskRun {
	type id struct {
		place place
		ref   worker.TaskRef
	}
	var runs []*taskRun
	byID := make(map[id]*taskRun)
	open := make(map[string]map[*taskRun]struct{})
	for _, e := range events {
		switch e.Type {
		case history.TaskStarted:
			t := &taskRun{place: place{e.Node, e.Instance}, ref: *e.Ref, start: e.At}
			runs = append(runs, t)
			byID[id{t.place, t.ref}] = t
			if open[e.Node] == nil {
				open[e.Node] = make(map[*taskRun]struct{})
			}
			open[e.Node][t] = struct{}{}
		case history.TaskEnded:
			if t := byID[id{place{e.Node, e.Instance}, *e.Ref}]; t != nil {
				t.end, t.result = e.At, e.Result
				delete(open[e.Node], t)
			}
		case history.OutcomeReported:
			if t := byID[id{place{e.Node, e.Instance}, *e.Ref}]; t != nil {
				t.reported = e.At
			}
		case history.OutcomeAcked:
			if t := byID[id{place{e.Node, e.Instance}, *e.Ref}]; t != nil {
				t.acknowledged = e.At
			}
		case history.ProcessKilled, history.ProcessStopped, history.ProcessStarted:
			for t := range open[e.Node] {
				t.end = e.At
			}
			delete(open, e.Node)
		}
	}
	if len(events) > 0 {
		last := events[len(events)-1].At
		for _, tasks := range open {
			for t := range tasks {
				t.end = last
			}
		}
	}
	return runs
}
