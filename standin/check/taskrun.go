package check

import (
	"time"

	"rhubarbstall.example/standin/history"
	"rhubarbstall.example/wire/worker"
)

// place is one start of a process.
type place struct {
	node     string
	instance string
}

// taskRun is one attempt of a task on a worker.
type taskRun struct {
	place place
	ref   worker.TaskRef
	start time.Time
	end   time.Time
	// result is empty if the attempt did not end by itself.
	result string
	// reported and acknowledged are when the owner first saw the outcome and
	// when it acknowledged it; zero if it did not.
	reported     time.Time
	acknowledged time.Time
}

// taskKey names a task without its attempt.
type taskKey struct {
	job   string
	index int
}

func (t *taskRun) key() taskKey { return taskKey{t.ref.Job, t.ref.Index} }

// taskRuns returns the attempts in order of start. An attempt without an end
// lasts until its worker was killed or started again, or to the end of the history.
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
