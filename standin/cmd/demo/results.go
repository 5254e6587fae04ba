package main

import (
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"rhubarbstall.example/standin/caller"
	"rhubarbstall.example/standin/check"
	"rhubarbstall.example/standin/history"
)

// row is one row of the printed table: the requests of a kind or a group of jobs.
type row struct {
	name    string
	sent    int
	done    int
	unknown int
	failed  int
	// waitsMS holds the time from arrival to dispatch of each answered request.
	waitsMS []float64
}

// results collects the results of requests, jobs and settings changes. It is safe
// for concurrent use.
type results struct {
	mu       sync.Mutex
	rows     []*row
	failures []string
	// slowestSettings is the longest time until a settings change was in force on an
	// entry VM.
	slowestSettings time.Duration
}

func newResults() *results {
	r := &results{}
	for _, name := range []string{"check", "proof", "batch", "array", "gang", "service"} {
		r.rows = append(r.rows, &row{name: name})
	}
	return r
}

func (r *results) row(name string) *row {
	for _, w := range r.rows {
		if w.name == name {
			return w
		}
	}
	panic("no row " + name)
}

func (r *results) request(kind string, res caller.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.row(kind)
	w.sent++
	switch {
	case res.Outcome == history.OutcomeAnswered:
		w.done++
		w.waitsMS = append(w.waitsMS, res.WaitMillis)
	case outcomeAllowed(kind, res.Outcome):
		w.unknown++
	default:
		w.failed++
		r.failures = append(r.failures, fmt.Sprintf("%s request ended with outcome %s, code %d: %s", kind, res.Outcome, res.Code, res.Message))
	}
}

func (r *results) job(name string, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.row(name)
	w.sent++
	if err == nil {
		w.done++
		return
	}
	w.failed++
	r.failures = append(r.failures, err.Error())
}

// settingsInForce adds the time until a settings change was in force on an entry VM.
func (r *results) settingsInForce(took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.slowestSettings = max(r.slowestSettings, took)
}

// fail adds a failure to print.
func (r *results) fail(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failures = append(r.failures, fmt.Sprintf(format, args...))
}

// maxPrintedLines limits the printed failures, and likewise the printed violations.
const maxPrintedLines = 20

// print prints the table, the failures and the violations. It returns false if there
// is a failure or a violation.
func (r *results) print(w io.Writer, report *check.Report) bool {
	fmt.Fprintf(w, "%-10s %6s %9s %8s %7s %12s %12s\n", "work", "sent", "completed", "unknown", "failed", "wait p50 ms", "wait p99 ms")
	for _, row := range r.rows {
		fmt.Fprintf(w, "%-10s %6d %9d %8d %7d", row.name, row.sent, row.done, row.unknown, row.failed)
		if len(row.waitsMS) > 0 {
			slices.Sort(row.waitsMS)
			fmt.Fprintf(w, " %12.1f %12.1f", quantile(row.waitsMS, 0.5), quantile(row.waitsMS, 0.99))
		}
		fmt.Fprintln(w)
	}
	fmt.Fprintf(w, "settings in force on all entry VMs after %.0f ms\n", float64(r.slowestSettings.Milliseconds()))
	fmt.Fprintf(w, "runs on upstreams %d, task attempts %d, refused starts %d, refused platform calls %d\n",
		report.Events[history.RunStarted], report.Events[history.TaskStarted],
		report.Events[history.TaskRefused], report.Events[history.CallRefused])
	fmt.Fprintf(w, "lost: %d jobs; repeated: %d requests, %d tasks; other violations: %d\n",
		report.Count(check.LostJob)+report.Count(check.FalseSuccess), report.Count(check.RepeatedRequest),
		report.Count(check.ConcurrentAttempts)+report.Count(check.TaskRerunAfterSuccess)+report.Count(check.RepeatedTask),
		report.Count(check.Overfill)+report.Count(check.WrongAnswer)+report.Count(check.NotRunRequestRan)+report.Count(check.NewWorkOnLeavingVM))
	for _, f := range r.failures[:min(len(r.failures), maxPrintedLines)] {
		fmt.Fprintln(w, "failed:", f)
	}
	for _, v := range report.Violations[:min(len(report.Violations), maxPrintedLines)] {
		fmt.Fprintln(w, "broken:", v)
	}
	return len(r.failures) == 0 && report.OK()
}

// quantile returns the q-quantile of sorted values by the nearest-rank method. There
// must be at least one value.
func quantile(sorted []float64, q float64) float64 {
	i := int(q*float64(len(sorted))+0.5) - 1
	return sorted[min(max(i, 0), len(sorted)-1)]
}
