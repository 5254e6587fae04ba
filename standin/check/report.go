// Package check verifies that the event histories of a run satisfy the promises
// P1 to P6 and P9 of docs/design.md. P7 and P8 have no rule here.
package check

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"rhubarbstall.example/standin/history"
)

// Rule identifies the invariant that a violation breaks.
type Rule string

// The rules that Run checks.
const (
	Overfill              Rule = "overfilled_vm"
	ConcurrentAttempts    Rule = "task_in_two_places"
	WrongAnswer           Rule = "answer_of_other_request"
	NotRunRequestRan      Rule = "not_run_request_ran"
	RepeatedRequest       Rule = "no_repeat_request_ran_twice"
	RepeatedTask          Rule = "no_repeat_task_ran_again"
	NewWorkOnLeavingVM    Rule = "new_work_on_leaving_upstream"
	LostJob               Rule = "acknowledged_job_lost"
	TaskRerunAfterSuccess Rule = "task_ran_after_acknowledged_success"
	FalseSuccess          Rule = "job_succeeded_without_its_tasks"
)

// Promises maps each rule to the promise of docs/design.md that it checks.
var Promises = map[Rule]string{
	Overfill: "P1", ConcurrentAttempts: "P2", WrongAnswer: "P3", NotRunRequestRan: "P4", RepeatedRequest: "P5",
	RepeatedTask: "P9", NewWorkOnLeavingVM: "P6", LostJob: "P9", TaskRerunAfterSuccess: "P9", FalseSuccess: "P9",
}

// Violation is one breach of a rule.
type Violation struct {
	Rule Rule
	At   time.Time
	Text string
}

// String returns the violation as one line.
func (v Violation) String() string {
	return fmt.Sprintf("%s %s at %s: %s", Promises[v.Rule], v.Rule, v.At.Format("15:04:05.000"), v.Text)
}

// Report is the result of a check.
type Report struct {
	Violations []Violation
	// Events is the number of events by type.
	Events map[history.Type]int
}

// OK reports whether the check found no violation.
func (r *Report) OK() bool { return len(r.Violations) == 0 }

// Count returns the number of violations of a rule.
func (r *Report) Count(rule Rule) int {
	n := 0
	for _, v := range r.Violations {
		if v.Rule == rule {
			n++
		}
	}
	return n
}

// String returns one line for each violation.
func (r *Report) String() string {
	var b strings.Builder
	for _, v := range r.Violations {
		b.WriteString(v.String())
		b.WriteByte('\n')
	}
	return b.String()
}

func (r *Report) add(rule Rule, at time.Time, format string, args ...any) {
	r.Violations = append(r.Violations, Violation{Rule: rule, At: at, Text: fmt.Sprintf(format, args...)})
}

// Run checks the events of all processes of one run. It sorts events by time in
// place.
func Run(events []history.Event) *Report {
	history.Sort(events)
	r := &Report{Events: make(map[history.Type]int)}
	for _, e := range events {
		r.Events[e.Type]++
	}
	runs := taskRuns(events)
	r.checkCapacity(events)
	r.checkSlots(events)
	r.checkConcurrentAttempts(runs)
	r.checkRequests(events)
	r.checkLeaving(events)
	r.checkJobs(events, runs)
	slices.SortStableFunc(r.Violations, func(a, b Violation) int { return a.At.Compare(b.At) })
	return r
}

// Dir checks the history files in a directory. It returns an error if the history
// of a named process is missing or empty, because violations that only this
// history shows would go undetected.
func Dir(dir string, processes ...string) (*Report, error) {
	for _, name := range processes {
		path := filepath.Join(dir, name+".jsonl")
		if info, err := os.Stat(path); err != nil || info.Size() == 0 {
			return nil, fmt.Errorf("history of process %s is missing or empty", name)
		}
	}
	events, err := history.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	if len(events) == 0 {
		return nil, fmt.Errorf("no history events in %s", dir)
	}
	return Run(events), nil
}
