package replay

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"rhubarbstall.example/sched/model"
)

const (
	// roundMS is the least time between two decisions.
	roundMS = 10
	// sendMS is the time until a worker has a start, reportMS until an outcome is
	// known, saveMS until a state is saved, lapseMS until a dead worker is known.
	sendMS   = 5
	reportMS = 100
	saveMS   = 2000
	lapseMS  = 30_000
	// usageMS is the time between two usage reports, and their lag.
	usageMS = 10_000
	// startLimit is the limit of starts in one decision.
	startLimit = 256
)

// epoch is the virtual time 0.
var epoch = time.Unix(1_700_000_000, 0)

// sim replays a trace through an engine.
type sim struct {
	clock
	trace   *Trace
	engine  model.Engine
	workers map[string]*simWorker
	order   []*simWorker
	jobs    map[string]*jobRun
	// left counts the tasks that have not ended, arrivals the jobs to come.
	left, arrivals int
	pending        bool
	wakeAt         int64
	report         *Report
	err            error
}

// simWorker is a VM of the replay.
type simWorker struct {
	spec *WorkerSpec
	up   bool
	runs []*attempt
	// lagged holds the usage to be reported next.
	lagged []model.Usage
}

func (s *sim) time() time.Time { return epoch.Add(time.Duration(s.now) * time.Millisecond) }

// Run replays a trace until all work has ended or the horizon is reached. It
// returns an error if the engine breaks a promise.
func Run(t *Trace, e model.Engine, horizonMS int64) (*Report, error) {
	s := &sim{trace: t, engine: e, workers: map[string]*simWorker{}, jobs: map[string]*jobRun{}, report: newReport(t)}
	p := newPolicies(&t.Header)
	e.SetPolicies(s.time(), p)
	for i := range t.Workers {
		w := &simWorker{spec: &t.Workers[i]}
		s.workers[w.spec.ID] = w
		s.order = append(s.order, w)
		s.raise(w)
	}
	for i := range t.Events {
		ev := &t.Events[i]
		s.arrivals++
		s.at(ev.AtMS, func() { s.arrivals--; s.event(ev); s.poke() })
	}
	s.at(usageMS, s.usage)
	for s.err == nil && (s.left > 0 || s.arrivals > 0) && s.step(horizonMS) {
	}
	if s.err == nil && s.left > 0 && horizonMS > 1<<50 {
		s.err = errors.New("the engine stopped with work left")
	}
	s.report.finish(s)
	return s.report, s.err
}

func (s *sim) fail(format string, args ...any) {
	if s.err == nil {
		s.err = fmt.Errorf("at %d ms: "+format, append([]any{s.now}, args...)...)
	}
}

// poke asks for a decision in the next round.
func (s *sim) poke() {
	if !s.pending {
		s.pending = true
		s.at(s.now-s.now%roundMS+roundMS, s.decide)
	}
}

func (s *sim) decide() {
	s.pending = false
	began := time.Now()
	d := s.engine.Decide(s.time(), startLimit)
	s.report.deciding += time.Since(began)
	s.report.Decisions++
	for _, st := range d.Starts {
		s.start(st)
	}
	for _, c := range d.Controls {
		s.at(s.now+sendMS, func() { s.control(c) })
	}
	if len(d.Starts) > 0 {
		s.poke()
	}
	if !d.WakeAt.IsZero() {
		at := max(d.WakeAt.Sub(epoch).Milliseconds(), s.now+roundMS)
		if s.wakeAt <= s.now || at < s.wakeAt {
			s.wakeAt = at
			s.at(at, func() { s.poke() })
		}
	}
}

func (s *sim) event(e *Event) {
	switch {
	case e.Job != nil:
		if err := s.engine.AddJob(s.time(), e.Job.Model(s.time())); err != nil {
			s.report.Rejected++
			return
		}
		s.jobs[e.Job.ID] = newJobRun(e.Job, s.now)
		s.left += e.Job.Tasks
	case e.Cancel != "":
		s.cancel(e.Cancel)
	case e.Down != "":
		s.lower(s.workers[e.Down])
	case e.Up != "":
		s.raise(s.workers[e.Up])
	}
}

func (s *sim) cancel(id string) {
	j := s.jobs[id]
	if j == nil || j.over {
		return
	}
	stop := s.engine.CancelJob(s.time(), id)
	j.over = true
	s.left -= j.left
	j.left = 0
	for _, p := range stop {
		s.at(s.now+sendMS, func() { s.control(model.Control{Placement: p, Action: model.ActionStop}) })
	}
}

func (s *sim) raise(w *simWorker) {
	if w == nil || w.up {
		return
	}
	w.up = true
	s.engine.UpsertWorker(s.time(), model.Worker{ID: w.spec.ID, Rack: w.spec.Rack, Zone: s.trace.Name, Capacity: w.spec.Capacity()})
}

// lower takes a worker away; its attempts are lost once their leases lapsed.
func (s *sim) lower(w *simWorker) {
	if w == nil || !w.up {
		return
	}
	w.up = false
	s.engine.RemoveWorker(s.time(), w.spec.ID)
	for _, a := range slices.Clone(w.runs) {
		s.stop(a, false)
		s.at(s.now+lapseMS, func() { s.verdict(a, s.engine.Lost(s.time(), a.placement.Ref)) })
	}
	w.lagged = nil
}

func (s *sim) start(st model.Start) {
	j, w := s.jobs[st.Ref.Job], s.workers[st.Worker]
	if j == nil || j.over {
		s.fail("start of a cancelled job %v", st.Ref)
		return
	}
	if w == nil || !w.up {
		s.fail("start on the missing worker %q", st.Worker)
		return
	}
	if !j.started[st.Ref.Index] {
		j.started[st.Ref.Index] = true
		s.report.waited(j, s.now+sendMS-j.at)
	}
	a := &attempt{placement: st.Placement, job: j, startMS: s.now + sendMS}
	a.endMS = a.startMS + j.remaining(a.startMS, st.Ref.Index).Milliseconds()
	for _, o := range w.runs {
		if o.placement.Ref.Job == st.Ref.Job && o.placement.Ref.Index == st.Ref.Index {
			s.fail("task %v runs twice", st.Ref)
		}
	}
	w.runs = append(w.runs, a)
	s.checkRoom(w)
	s.engine.Started(s.time(), st.Ref)
	if w.spec.Broken || j.spec.Fails {
		s.at(a.startMS+1000, func() { s.end(a, model.Failed) })
		return
	}
	s.plan(a)
}

// checkRoom fails the replay if the claims of the attempts exceed the capacity.
func (s *sim) checkRoom(w *simWorker) {
	var sum model.Resources
	for _, a := range w.runs {
		sum = sum.Add(a.placement.Size)
	}
	if !sum.Fits(w.spec.Capacity()) {
		s.fail("worker %q is overfilled: %v", w.spec.ID, sum)
	}
}

func (s *sim) plan(a *attempt) {
	a.version++
	v := a.version
	s.at(a.endMS, func() {
		if a.version == v {
			s.end(a, model.Succeeded)
		}
	})
}
