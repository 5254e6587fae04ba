package scenario

import (
	"context"
	"fmt"
	"os"
	"regexp"
	"strconv"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"rhubarbstall.example/api/oas"
	"rhubarbstall.example/standin/check"
)

// anyEnd stands for any state in which a job can no longer run.
const anyEnd = "finished"

// cmdAwait waits for the end of a flow, for a job's state, or for a number of
// tasks of a job that run or have started.
func (w *world) cmdAwait(_ *testscript.TestScript, words []string) error {
	a, err := parse(words, 1)
	if err != nil {
		return err
	}
	if err := a.check("state", "running", "started", "for"); err != nil {
		return err
	}
	d, err := a.duration("for", waitLimit)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(w.ctx, d)
	defer cancel()
	if f, ok := w.flows[a.names[0]]; ok {
		select {
		case <-f.done:
			return nil
		case <-ctx.Done():
			return fmt.Errorf("%s, after %v", f.summary(), d)
		}
	}
	id, err := w.job(a.names)
	if err != nil {
		return err
	}
	running, err := a.number("running", -1)
	if err != nil {
		return err
	}
	started, err := a.number("started", -1)
	if err != nil {
		return err
	}
	state := a.text("state", "succeeded")
	job, err := w.caller.AwaitJob(ctx, id, func(j *oas.Job) bool {
		switch {
		case running >= 0:
			return j.Counts.Running == running
		case started >= 0:
			return j.Counts.Running+j.Counts.Succeeded+j.Counts.Failed >= started
		}
		return string(j.State) == state || check.Finished(string(j.State))
	})
	if err != nil {
		return err
	}
	if running < 0 && started < 0 && string(job.State) != state && state != anyEnd {
		return fmt.Errorf("job %s is %s: %s", a.names[0], job.State, job.Message.Or(""))
	}
	return nil
}

// comparison is an expectation such as answered>=90.
var comparison = regexp.MustCompile(`^([a-z0-9_]+)(=|>=|<=)([0-9.]+)$`)

// cmdExpect compares the figures of a flow or the counts of a job.
func (w *world) cmdExpect(_ *testscript.TestScript, words []string) error {
	if len(words) < 2 {
		return fmt.Errorf("a name and an expectation are needed")
	}
	measure, summary, err := w.measures(words[0])
	if err != nil {
		return err
	}
	for _, word := range words[1:] {
		m := comparison.FindStringSubmatch(word)
		if m == nil {
			return fmt.Errorf("%q is no comparison", word)
		}
		want, err := strconv.ParseFloat(m[3], 64)
		if err != nil {
			return err
		}
		got, err := measure(m[1])
		if err != nil {
			return err
		}
		if m[2] == "=" && got != want || m[2] == ">=" && got < want || m[2] == "<=" && got > want {
			return fmt.Errorf("%s is %v, not %s%v (%s)", m[1], got, m[2], want, summary)
		}
	}
	return nil
}

func (w *world) measures(name string) (func(string) (float64, error), string, error) {
	if f, ok := w.flows[name]; ok {
		return f.measure, f.summary(), nil
	}
	id, err := w.job([]string{name})
	if err != nil {
		return nil, "", err
	}
	job, err := w.caller.AwaitJob(w.ctx, id, func(*oas.Job) bool { return true })
	if err != nil {
		return nil, "", err
	}
	counts := map[string]int{
		"pending": job.Counts.Pending, "running": job.Counts.Running, "succeeded": job.Counts.Succeeded,
		"failed": job.Counts.Failed, "cancelled": job.Counts.Cancelled, "unknown": job.Counts.Unknown,
	}
	return func(key string) (float64, error) {
		n, ok := counts[key]
		if !ok {
			return 0, fmt.Errorf("a job has no %q", key)
		}
		return float64(n), nil
	}, fmt.Sprintf("%s: %s", name, job.State), nil
}

// cmdApply applies a settings document and waits until it is in force on the
// entry VMs that answer, or on those that are named.
func (w *world) cmdApply(ts *testscript.TestScript, words []string) error {
	a, err := parse(words, 1)
	if err != nil {
		return err
	}
	if err := a.check("on", "via", "within"); err != nil {
		return err
	}
	document, err := os.ReadFile(ts.MkAbs(a.names[0]))
	if err != nil {
		return err
	}
	within, err := a.duration("within", 3*time.Second)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(w.ctx, waitLimit)
	defer cancel()
	revision, err := w.applyVia(ctx, a.text("via", ""), string(document))
	if err != nil {
		return err
	}
	entries := w.caller.Entries()
	inForce, cancel := context.WithTimeout(w.ctx, within)
	defer cancel()
	for i, e := range entries {
		if on := a.text("on", ""); on != "" && on != e.Name {
			continue
		}
		if _, err := w.caller.AwaitRevision(inForce, i, revision); err != nil {
			return fmt.Errorf("%w after %v", err, within)
		}
	}
	return nil
}

func (w *world) applyVia(ctx context.Context, via, document string) (int64, error) {
	if via == "" {
		return w.caller.Apply(ctx, document, "scenario")
	}
	i, err := w.entry(via)
	if err != nil {
		return 0, err
	}
	return w.caller.ApplyVia(ctx, i, document, "scenario")
}

// cmdZoneScheduler waits until a zone has a zone scheduler and sets
// $SCHEDULER to it. With not=NAME it waits for another one.
func (w *world) cmdZoneScheduler(ts *testscript.TestScript, words []string) error {
	a, err := parse(words, 1)
	if err != nil {
		return err
	}
	if err := a.check("not", "for"); err != nil {
		return err
	}
	d, err := a.duration("for", waitLimit)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(w.ctx, d)
	defer cancel()
	name, err := w.caller.AwaitZoneScheduler(ctx, a.names[0], a.text("not", ""))
	if err != nil {
		return err
	}
	ts.Setenv("SCHEDULER", name)
	return nil
}

// lookAtJobs writes the last state of each job to the history. A job that no
// entry VM knows counts as lost in the check.
func (w *world) lookAtJobs() {
	ctx, cancel := context.WithTimeout(w.ctx, lookLimit)
	defer cancel()
	for _, id := range w.jobs {
		// The error is in the history.
		_, _ = w.caller.AwaitJob(ctx, id, func(*oas.Job) bool { return true })
	}
}

// lookLimit bounds the last look at the jobs.
const lookLimit = 5 * time.Second

// cmdCheckHistory ends the deployment and checks the histories.
func (w *world) cmdCheckHistory(ts *testscript.TestScript, words []string) error {
	w.lookAtJobs()
	w.stop()
	report, err := w.cluster.CheckHistory()
	if err != nil {
		return err
	}
	if !report.OK() {
		return fmt.Errorf("%d promises broken:\n%s", len(report.Violations), report)
	}
	ts.Logf("# history: %v", report.Events)
	return nil
}
