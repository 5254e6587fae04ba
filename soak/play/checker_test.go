package play

import (
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"rhubarbstall.example/standin/cellrunner"
)

const checkedJob = "00000000000000aa"

// history builds the events of a run for a checker.
type history struct {
	t       *testing.T
	job     *job
	checker *checker
	now     time.Time
	calm    bool
}

// newHistory returns a history with one job that was sent.
func newHistory(t *testing.T, body jobBody) *history {
	h := &history{t: t, now: time.Unix(1000, 0), calm: true}
	body.Specification = "x"
	h.job = &job{id: checkedJob, queue: plainQueue, body: body, sent: true}
	jobs := newJobTable()
	jobs.add(h.job)
	h.checker = newChecker(jobs, func(time.Time) bool { return !h.calm })
	return h
}

func (h *history) start(runner, kind, task string, change ...func(*cellrunner.Event)) {
	e := cellrunner.Event{
		At: h.now, Kind: cellrunner.RunStarted, Runner: runner, RunnerKind: kind, Rack: "rack0", Task: checkedJob + "." + task, Execution: 1, Payload: "x",
	}
	for _, c := range change {
		c(&e)
	}
	h.checker.observe(e)
}

func (h *history) end(runner, task, result string, execution int64) {
	h.checker.observe(cellrunner.Event{At: h.now, Kind: cellrunner.RunEnded, Runner: runner, Task: checkedJob + "." + task, Execution: execution, Result: result})
}

// holds checks that no rule is broken so far.
func (h *history) holds() {
	h.t.Helper()
	must.SliceEmpty(h.t, h.checker.violations())
}

// breaks checks that one rule is broken so far, and which.
func (h *history) breaks(rule string) {
	h.t.Helper()
	broken := h.checker.violations()
	must.SliceLen(h.t, 1, broken, must.Sprint(broken))
	must.True(h.t, strings.HasPrefix(broken[0], rule+":"), must.Sprint(broken[0]))
}

func oneStep(s step) jobBody {
	s.Count = max(1, s.Count)
	return jobBody{Steps: []step{s}}
}

// Guards against a check of UNASKED that takes what no client sent, or bars what one did.
func TestUnaskedStartsAreFound(t *testing.T) {
	h := newHistory(t, oneStep(step{Count: 2}))
	h.start("i-0", plainKind, "0.0.0")
	h.start("i-0", plainKind, "0.0.1", func(e *cellrunner.Event) { e.Checkpoint = e.Task + ":500" })
	h.holds()
	for name, change := range map[string]func(*cellrunner.Event){
		"no such task":              func(e *cellrunner.Event) { e.Task = checkedJob + ".0.0.2" },
		"no such occurrence":        func(e *cellrunner.Event) { e.Task = checkedJob + ".1.0.0" },
		"another specification":     func(e *cellrunner.Event) { e.Payload = "y" },
		"another task's checkpoint": func(e *cellrunner.Event) { e.Checkpoint = checkedJob + ".0.0.0:500" },
	} {
		t.Run(name, func(t *testing.T) {
			h := newHistory(t, oneStep(step{Count: 2}))
			h.start("i-0", plainKind, "0.0.1", change)
			h.breaks("UNASKED")
		})
	}
	h = newHistory(t, oneStep(step{}))
	h.job.sent = false
	h.start("i-0", plainKind, "0.0.0")
	h.breaks("UNASKED")
}

// Guards against a check of cancelled jobs that waits too long, or that counts a fault's time.
func TestStartAfterCancellationIsFound(t *testing.T) {
	h := newHistory(t, oneStep(step{}))
	h.job.cancelled = h.now
	h.now = h.now.Add(cancelBound)
	h.start("i-0", plainKind, "0.0.0")
	h.holds()
	h.now = h.now.Add(time.Millisecond)
	h.calm = false
	h.start("i-0", plainKind, "0.0.0")
	h.holds()
	h.calm = true
	h.start("i-0", plainKind, "0.0.0")
	h.breaks("UNASKED")
}

// Guards against a check of ORDER that misses a step that began too early, or bars one in time.
func TestStartBeforeItsTurnIsFound(t *testing.T) {
	body := jobBody{Steps: []step{{Count: 2}, {Count: 1, After: []int{0}}}}
	h := newHistory(t, body)
	h.start("i-0", plainKind, "0.0.0")
	h.start("i-0", plainKind, "0.0.1")
	h.end("i-0", "0.0.0", "done", 1)
	h.end("i-0", "0.0.1", "done", 1)
	h.start("i-0", plainKind, "0.1.0")
	h.holds()
	h = newHistory(t, body)
	h.start("i-0", plainKind, "0.0.0")
	h.end("i-0", "0.0.0", "done", 1)
	h.start("i-0", plainKind, "0.1.0")
	h.breaks("ORDER")
}

// Guards against a check of ORDER that misses an occurrence that began before it was due.
func TestStartBeforeItsDueTimeIsFound(t *testing.T) {
	body := oneStep(step{})
	body.Repetitions, body.FirstRunMS, body.IntervalMS = 2, time.Unix(1000, 0).UnixMilli(), 1000
	h := newHistory(t, body)
	h.now = time.Unix(1001, 0).Add(-earlyBound)
	h.start("i-0", plainKind, "1.0.0")
	h.holds()
	h.now = h.now.Add(-time.Millisecond)
	h.start("i-0", plainKind, "1.0.0")
	h.breaks("ORDER")
}

// Guards against a check of ROUTE that misses a runner without the label, or too many tasks on one runner.
func TestStartOnWrongRunnerIsFound(t *testing.T) {
	h := newHistory(t, oneStep(step{RunnerLabel: rareKind}))
	h.start("i-0", rareKind, "0.0.0")
	h.holds()
	h.start("i-1", plainKind, "0.0.0")
	h.breaks("ROUTE")
	h = newHistory(t, oneStep(step{Count: 3, MaxPerRunner: 2}))
	h.start("i-0", plainKind, "0.0.0")
	h.start("i-0", plainKind, "0.0.1")
	h.end("i-0", "0.0.1", "stopped", 1)
	h.start("i-0", plainKind, "0.0.2")
	h.holds()
	h.start("i-0", plainKind, "0.0.1")
	h.breaks("ROUTE")
}

// Guards against a check of DRAIN that misses late work, or bars work within drain_timeout_ms.
func TestStartOnDrainingRunnerIsFound(t *testing.T) {
	h := newHistory(t, oneStep(step{}))
	h.checker.setDraining("i-0", h.now)
	h.now = h.now.Add(drainTime)
	h.start("i-0", plainKind, "0.0.0")
	h.now = h.now.Add(time.Millisecond)
	h.start("i-1", plainKind, "0.0.0")
	h.holds()
	h.start("i-0", plainKind, "0.0.0")
	h.breaks("DRAIN")
}

// Guards against a check of states that believes a job is completed, failed or cancelled without cause.
func TestStateWithoutCauseIsFound(t *testing.T) {
	h := newHistory(t, oneStep(step{Count: 2}))
	h.start("i-0", plainKind, "0.0.0")
	h.end("i-0", "0.0.0", "done", 1)
	h.checker.checkState(h.job, "running", "vm1")
	h.holds()
	h.checker.checkState(h.job, "completed", "vm1")
	h.breaks("MIXED")
	for _, s := range []struct {
		step     step
		state    string
		failures []string
		asked    bool
		broken   bool
	}{
		{step{Count: 2}, "failed", []string{"0.0.0", "0.0.0"}, false, true},
		{step{Count: 2}, "failed", []string{"0.0.0", "0.0.0", "0.0.0"}, false, false},
		{step{Count: 2}, "failed", []string{"0.0.0", "0.0.1", "0.0.0"}, false, true},
		{step{Count: 2, Gang: true}, "failed", []string{"0.0.0", "0.0.1", "0.0.0"}, false, false},
		{step{Count: 2}, "cancelled", nil, false, true},
		{step{Count: 2}, "cancelled", nil, true, false},
	} {
		h := newHistory(t, oneStep(s.step))
		h.job.asked = s.asked
		for i, task := range s.failures {
			h.start("i-0", plainKind, task)
			h.end("i-0", task, "failed", int64(i+1))
		}
		h.checker.checkState(h.job, s.state, "vm1")
		must.Eq(t, s.broken, len(h.checker.violations()) > 0, must.Sprint(s))
	}
}

// Guards against a job at rest that passes for one at work, and the other way round.
func TestJobAtRestIsFound(t *testing.T) {
	body := oneStep(step{Count: 2, Lasting: true})
	h := newHistory(t, body)
	c := &clients{w: &world{checker: h.checker}}
	calm := time.Now().Add(-time.Minute)
	h.now = calm
	h.start("i-0", plainKind, "0.0.0")
	must.StrContains(t, c.rests(h.job, calm), "is away")
	h.start("i-1", plainKind, "0.0.1")
	must.Eq(t, "", c.rests(h.job, calm))
	h = newHistory(t, oneStep(step{}))
	c = &clients{w: &world{checker: h.checker}}
	must.StrContains(t, c.rests(h.job, calm), "nothing running")
	must.Eq(t, "", c.rests(h.job, time.Now()))
	h.now = calm
	h.start("i-0", plainKind, "0.0.0")
	must.Eq(t, "", c.rests(h.job, calm))
}
