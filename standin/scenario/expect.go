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

// anyFinalState is the value of state= in a script that stands for any final job state.
const anyFinalState = "finished"

// cmdAwait waits until all requests of a group have ended, until a job is in a state, or
// until a number of its tasks run or have started.
func (s *scenario) cmdAwait(_ *testscript.TestScript, words []string) error {
	a, err := parse(words, 1)
	if err != nil {
		return err
	}
	if err := a.check("state", "running", "started", "for"); err != nil {
		return err
	}
	d, err := a.duration("for", defaultWaitTimeout)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(s.ctx, d)
	defer cancel()
	if g, ok := s.requestGroups[a.names[0]]; ok {
		select {
		case <-g.done:
			return nil
		case <-ctx.Done():
			return fmt.Errorf("requests have not all ended: %s, after %v", g.summary(), d)
		}
	}
	id, err := s.job(a.names)
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
	job, err := s.caller.AwaitJob(ctx, id, func(j *oas.Job) bool {
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
	if running < 0 && started < 0 && string(job.State) != state && state != anyFinalState {
		return fmt.Errorf("job %s ended in state %s: %s", a.names[0], job.State, job.Message.Or(""))
	}
	return nil
}

// comparison matches an expectation such as answered>=90.
var comparison = regexp.MustCompile(`^([a-z0-9_]+)(=|>=|<=)([0-9.]+)$`)

// cmdExpect compares counts and wait times of a group of requests, or task counts of a
// job, with the expected numbers.
func (s *scenario) cmdExpect(_ *testscript.TestScript, words []string) error {
	if len(words) < 2 {
		return fmt.Errorf("want a name and at least one expectation")
	}
	figure, summary, err := s.figures(words[0])
	if err != nil {
		return err
	}
	for _, word := range words[1:] {
		m := comparison.FindStringSubmatch(word)
		if m == nil {
			return fmt.Errorf("invalid expectation %q: want NAME=NUMBER, NAME>=NUMBER or NAME<=NUMBER", word)
		}
		want, err := strconv.ParseFloat(m[3], 64)
		if err != nil {
			return err
		}
		got, err := figure(m[1])
		if err != nil {
			return err
		}
		if m[2] == "=" && got != want || m[2] == ">=" && got < want || m[2] == "<=" && got > want {
			return fmt.Errorf("%s is %v, want %s%v (%s)", m[1], got, m[2], want, summary)
		}
	}
	return nil
}

// figures returns a function that returns the figures of a group of requests or a job
// by name, and a summary for error messages.
func (s *scenario) figures(name string) (func(string) (float64, error), string, error) {
	if g, ok := s.requestGroups[name]; ok {
		return g.figure, g.summary(), nil
	}
	id, err := s.job([]string{name})
	if err != nil {
		return nil, "", err
	}
	job, err := s.caller.AwaitJob(s.ctx, id, func(*oas.Job) bool { return true })
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
			return 0, fmt.Errorf("a job has no task count %q", key)
		}
		return float64(n), nil
	}, fmt.Sprintf("%s: %s", name, job.State), nil
}

// cmdApply applies a settings document and waits until it is in force on all entry
// VMs or, with on=NAME, on one of them.
func (s *scenario) cmdApply(ts *testscript.TestScript, words []string) error {
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
	ctx, cancel := context.WithTimeout(s.ctx, defaultWaitTimeout)
	defer cancel()
	revision, err := s.applyVia(ctx, a.text("via", ""), string(document))
	if err != nil {
		return err
	}
	entries := s.caller.Entries()
	inForce, cancel := context.WithTimeout(s.ctx, within)
	defer cancel()
	for i, e := range entries {
		if on := a.text("on", ""); on != "" && on != e.Name {
			continue
		}
		if _, err := s.caller.AwaitRevision(inForce, i, revision); err != nil {
			return fmt.Errorf("%w after %v", err, within)
		}
	}
	return nil
}

// applyVia applies a document through the named entry VM, or through the entry VMs in
// turn until one accepts it.
func (s *scenario) applyVia(ctx context.Context, via, document string) (int64, error) {
	if via == "" {
		return s.caller.Apply(ctx, document, "scenario")
	}
	i, err := s.entry(via)
	if err != nil {
		return 0, err
	}
	return s.caller.ApplyVia(ctx, i, document, "scenario")
}

// cmdZoneScheduler waits until a zone has a zone scheduler and sets $SCHEDULER to its
// VM ID. With not=NAME it waits for a zone scheduler other than NAME.
func (s *scenario) cmdZoneScheduler(ts *testscript.TestScript, words []string) error {
	a, err := parse(words, 1)
	if err != nil {
		return err
	}
	if err := a.check("not", "for"); err != nil {
		return err
	}
	d, err := a.duration("for", defaultWaitTimeout)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(s.ctx, d)
	defer cancel()
	name, err := s.caller.AwaitZoneScheduler(ctx, a.names[0], a.text("not", ""))
	if err != nil {
		return err
	}
	ts.Setenv("SCHEDULER", name)
	return nil
}

// recordJobStates queries each job, so that the history contains its last state. The
// history check reports a job that no entry VM knows as lost.
func (s *scenario) recordJobStates() {
	ctx, cancel := context.WithTimeout(s.ctx, recordJobStatesTimeout)
	defer cancel()
	for _, id := range s.jobs {
		// The error needs no handling: the history contains the answer "not found", and the
		// check reports the job.
		_, _ = s.caller.AwaitJob(ctx, id, func(*oas.Job) bool { return true })
	}
}

// recordJobStatesTimeout limits the queries of recordJobStates.
const recordJobStatesTimeout = 5 * time.Second

// cmdCheckHistory records the last job states, stops the deployment and checks the
// histories.
func (s *scenario) cmdCheckHistory(ts *testscript.TestScript, words []string) error {
	s.recordJobStates()
	s.stop()
	report, err := s.cluster.CheckHistory()
	if err != nil {
		return err
	}
	if !report.OK() {
		return fmt.Errorf("%d violations of promises:\n%s", len(report.Violations), report)
	}
	ts.Logf("# history: %v", report.Events)
	return nil
}
