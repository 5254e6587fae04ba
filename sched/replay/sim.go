package replay

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"rhubarbstall.example/sched/model"
)

const (
	// decisionIntervalMS is the minimum time between two decisions of the engine.
	decisionIntervalMS = 10
	// startDelayMS is the time until a start or a control action reaches a worker.
	startDelayMS = 5
	// outcomeDelayMS is the time until the engine learns of the end of an attempt.
	outcomeDelayMS = 100
	// checkpointDelayMS is the time that saving a checkpoint takes.
	checkpointDelayMS = 2000
	// leaseExpiryMS is the time until the attempts on a failed worker count as lost.
	leaseExpiryMS = 30_000
	// usageIntervalMS is the time between two usage reports, and also their delay.
	usageIntervalMS = 10_000
	// maxStartsPerDecision is the maximum number of starts in one decision.
	maxStartsPerDecision = 256
)

// virtualEpoch is the wall-clock time that stands for virtual time 0.
var virtualEpoch = time.Unix(1_700_000_000, 0)

// sim is the state of a replay.
type sim struct {
	clock
	trace          *Trace
	engine         model.Engine
	workers        map[string]*simWorker
	workersInOrder []*simWorker
	jobs           map[string]*replayedJob
	// tasksLeft is the number of tasks that have not ended, eventsLeft that of trace
	// events that are still to come.
	tasksLeft, eventsLeft int
	decisionPending       bool
	// wakeAtMS is the time of the latest timer set for Decisions.WakeAt.
	wakeAtMS int64
	report   *Report
	err      error
}

// simWorker is a simulated worker VM.
type simWorker struct {
	spec *WorkerSpec
	up   bool
	runs []*attempt
	// nextUsage is the usage that the next report contains.
	nextUsage []model.Usage
}

func (s *sim) time() time.Time { return virtualEpoch.Add(time.Duration(s.nowMS) * time.Millisecond) }

// Run replays a trace until all tasks have ended or the horizon is reached, a virtual
// time in milliseconds. It returns an error if the engine violates an invariant, for
// example by starting a task twice. With a horizon above 1<<50 all tasks must end: Run
// also returns an error if such a horizon is reached.
func Run(t *Trace, e model.Engine, horizonMS int64) (*Report, error) {
	s := &sim{trace: t, engine: e, workers: map[string]*simWorker{}, jobs: map[string]*replayedJob{}, report: newReport(t)}
	policies := newPolicies(&t.Header)
	e.SetPolicies(s.time(), policies)
	for i := range t.Workers {
		w := &simWorker{spec: &t.Workers[i]}
		s.workers[w.spec.ID] = w
		s.workersInOrder = append(s.workersInOrder, w)
		s.addWorker(w)
	}
	for i := range t.Events {
		ev := &t.Events[i]
		s.eventsLeft++
		s.schedule(ev.AtMS, func() { s.eventsLeft--; s.apply(ev); s.requestDecision() })
	}
	s.schedule(usageIntervalMS, s.reportUsage)
	for s.err == nil && (s.tasksLeft > 0 || s.eventsLeft > 0) && s.runNext(horizonMS) {
	}
	if s.err == nil && s.tasksLeft > 0 && horizonMS > 1<<50 {
		s.err = errors.New("the engine makes no more decisions although some tasks have not ended")
	}
	s.report.compute(s)
	return s.report, s.err
}

// failf ends the replay with an error. Only the first error is kept.
func (s *sim) failf(format string, args ...any) {
	if s.err == nil {
		s.err = fmt.Errorf("at %d ms: "+format, append([]any{s.nowMS}, args...)...)
	}
}

// requestDecision schedules a decision at the next multiple of decisionIntervalMS.
func (s *sim) requestDecision() {
	if !s.decisionPending {
		s.decisionPending = true
		s.schedule(s.nowMS-s.nowMS%decisionIntervalMS+decisionIntervalMS, s.decide)
	}
}

// decide calls the engine and carries out its decisions.
func (s *sim) decide() {
	s.decisionPending = false
	began := time.Now()
	d := s.engine.Decide(s.time(), maxStartsPerDecision)
	s.report.decideTime += time.Since(began)
	s.report.Decisions++
	for _, st := range d.Starts {
		s.startAttempt(st)
	}
	for _, c := range d.Controls {
		s.schedule(s.nowMS+startDelayMS, func() { s.applyControl(c) })
	}
	if len(d.Starts) > 0 {
		s.requestDecision()
	}
	if !d.WakeAt.IsZero() {
		wakeAtMS := max(d.WakeAt.Sub(virtualEpoch).Milliseconds(), s.nowMS+decisionIntervalMS)
		if s.wakeAtMS <= s.nowMS || wakeAtMS < s.wakeAtMS {
			s.wakeAtMS = wakeAtMS
			s.schedule(wakeAtMS, func() { s.requestDecision() })
		}
	}
}

// apply carries out an event of the trace.
func (s *sim) apply(e *Event) {
	switch {
	case e.Job != nil:
		if err := s.engine.AddJob(s.time(), e.Job.Model(s.time())); err != nil {
			s.report.Rejected++
			return
		}
		s.jobs[e.Job.ID] = newReplayedJob(e.Job, s.nowMS)
		s.tasksLeft += e.Job.Tasks
	case e.Cancel != "":
		s.cancelJob(e.Cancel)
	case e.Down != "":
		s.removeWorker(s.workers[e.Down])
	case e.Up != "":
		s.addWorker(s.workers[e.Up])
	}
}

func (s *sim) cancelJob(id string) {
	j := s.jobs[id]
	if j == nil || j.cancelled {
		return
	}
	stop := s.engine.CancelJob(s.time(), id)
	j.cancelled = true
	s.tasksLeft -= j.tasksLeft
	j.tasksLeft = 0
	for _, placement := range stop {
		s.schedule(s.nowMS+startDelayMS, func() { s.applyControl(model.Control{Placement: placement, Action: model.ActionStop}) })
	}
}

func (s *sim) addWorker(w *simWorker) {
	if w == nil || w.up {
		return
	}
	w.up = true
	s.engine.UpsertWorker(s.time(), model.Worker{ID: w.spec.ID, Rack: w.spec.Rack, Zone: s.trace.Name, Capacity: w.spec.Capacity()})
}

// removeWorker simulates the failure of a worker. Its attempts are reported as lost
// after their leases have expired.
func (s *sim) removeWorker(w *simWorker) {
	if w == nil || !w.up {
		return
	}
	w.up = false
	s.engine.RemoveWorker(s.time(), w.spec.ID)
	for _, a := range slices.Clone(w.runs) {
		s.removeAttempt(a, false)
		s.schedule(s.nowMS+leaseExpiryMS, func() { s.applyVerdict(a, s.engine.Lost(s.time(), a.placement.Ref)) })
	}
	w.nextUsage = nil
}

// startAttempt carries out a start and checks that the engine may make it.
func (s *sim) startAttempt(st model.Start) {
	j, w := s.jobs[st.Ref.Job], s.workers[st.Worker]
	if j == nil || j.cancelled {
		s.failf("engine started attempt %v of an unknown or cancelled job", st.Ref)
		return
	}
	if w == nil || !w.up {
		s.failf("engine started a task on worker %q, which is not available", st.Worker)
		return
	}
	if !j.started[st.Ref.Index] {
		j.started[st.Ref.Index] = true
		s.report.recordWait(j, s.nowMS+startDelayMS-j.arrivedMS)
	}
	a := &attempt{placement: st.Placement, job: j, startMS: s.nowMS + startDelayMS}
	a.endMS = a.startMS + j.remaining(a.startMS, st.Ref.Index).Milliseconds()
	for _, o := range w.runs {
		if o.placement.Ref.Job == st.Ref.Job && o.placement.Ref.Index == st.Ref.Index {
			s.failf("engine started attempt %v on a worker that already runs the task", st.Ref)
		}
	}
	w.runs = append(w.runs, a)
	s.checkCapacity(w)
	s.engine.Started(s.time(), st.Ref)
	if w.spec.Broken || j.spec.Fails {
		s.schedule(a.startMS+1000, func() { s.endAttempt(a, model.Failed) })
		return
	}
	s.scheduleEnd(a)
}

// checkCapacity fails the replay if the allocations on a worker exceed its capacity.
func (s *sim) checkCapacity(w *simWorker) {
	var sum model.Resources
	for _, a := range w.runs {
		sum = sum.Add(a.placement.Size)
	}
	if !sum.Fits(w.spec.Capacity()) {
		s.failf("allocations on worker %q exceed its capacity: %v", w.spec.ID, sum)
	}
}

// scheduleEnd sets the timer for the successful end of an attempt and invalidates
// earlier ones.
func (s *sim) scheduleEnd(a *attempt) {
	a.endVersion++
	version := a.endVersion
	s.schedule(a.endMS, func() {
		if a.endVersion == version {
			s.endAttempt(a, model.Succeeded)
		}
	})
}
