package cell

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/bits"
	"slices"
	"time"
)

// SavedJob is the part of a job's state that is stored and survives a change of scheduler.
type SavedJob struct {
	State   JobState     `json:"state"`
	Started bool         `json:"started,omitempty"`
	Groups  []SavedGroup `json:"groups,omitempty"`
	// Occupied is what the runs of an ended job of a client account occupied; nil for none.
	Occupied *SavedUsage `json:"occupied,omitempty"`
}

// SavedGroup is the stored state of one step in one occurrence. Groups that have not begun
// are left out.
type SavedGroup struct {
	// Index is the occurrence times the number of steps, plus the step.
	Index int `json:"i"`
	// AllDone stands for a Done in which every bit is set.
	AllDone bool `json:"all,omitempty"`
	// Begun is the begin mark: runs of the group may exist.
	Begun bool `json:"begun,omitempty"`
	// Done has one bit for each task.
	Done []byte `json:"done,omitempty"`
	// Failures holds the failed executions by task.
	Failures       map[int][]int64 `json:"fail,omitempty"`
	Checkpoints    map[int]string  `json:"ckpt,omitempty"`
	GangFailures   []int64         `json:"gfail,omitempty"`
	GangCheckpoint string          `json:"gckpt,omitempty"`
}

// DirtyState is a changed job state that is to be stored.
type DirtyState struct {
	ID    string
	Value []byte
	// Version tells MarkSaved which version of the state was stored.
	Version int
	State   JobState
}

// TakeDirty returns the states of up to limit changed jobs, except jobs with a write in
// progress. The caller passes each of them to MarkSaved or RequeueUnsaved.
func (c *Cell) TakeDirty(limit int) ([]DirtyState, error) {
	return c.TakeDirtyBatch(limit, func(JobState) int { return 1 })
}

// progressShareDivisor divides the budget of a batch; the quotient is kept for states that
// nothing waits for.
const progressShareDivisor = 15

// TakeDirtyBatch is like TakeDirty, but limits the total cost of the states to budget; cost
// returns the cost of a job in a given state, at least 1. States that something waits for
// come first: begin marks, because nothing starts without them, and final states, because
// callers learn of them only afterwards. The other states record progress: once a done task
// is stored, its runner may forget the end, which it repeats in every report until then.
func (c *Cell) TakeDirtyBatch(budget int, cost func(JobState) int) ([]DirtyState, error) {
	b := batch{budgetLeft: budget, cost: cost}
	forProgress := max(1, budget/progressShareDivisor)
	b.budgetLeft -= forProgress
	b.take(c, true)
	b.budgetLeft += forProgress
	b.take(c, false)
	b.take(c, true)
	return b.out, b.err
}

// batch collects the states of one write.
type batch struct {
	budgetLeft int
	cost       func(JobState) int
	out        []DirtyState
	err        error
}

// take adds changed states: those that something waits for, or the others.
func (b *batch) take(c *Cell, awaited bool) {
	for id, j := range c.dirty {
		if b.budgetLeft <= 0 || b.err != nil {
			return
		}
		if j.writeAwaited != awaited || j.writeInFlight || b.cost(j.state) > b.budgetLeft {
			continue
		}
		value, err := json.Marshal(j.save())
		if err != nil {
			b.err = fmt.Errorf("encode state of job %s: %w", id, err)
			return
		}
		b.budgetLeft -= b.cost(j.state)
		delete(c.dirty, id)
		j.writeInFlight, j.writeAwaited, j.inFlightAwaited = true, false, awaited
		j.inFlightSince, j.dirtySince = j.dirtySince, time.Time{}
		b.out = append(b.out, DirtyState{ID: id, Value: value, Version: j.version, State: j.state})
	}
}

// HasDirty reports whether TakeDirty would return a state.
func (c *Cell) HasDirty() bool {
	for _, j := range c.dirty {
		if !j.writeInFlight {
			return true
		}
	}
	return false
}

// DirtyJobCount returns how many changed jobs wait to be stored.
func (c *Cell) DirtyJobCount() int { return len(c.dirty) }

// MarkSaved records that a state is stored.
func (c *Cell) MarkSaved(d DirtyState) {
	j := c.jobs[d.ID]
	if j == nil {
		return
	}
	j.writeInFlight = false
	if d.Version > j.savedVersion {
		j.savedVersion = d.Version
		j.savedState = d.State
		if d.State.Final() {
			c.dropTasks(j)
		}
	}
}

// RequeueUnsaved returns states that could not be stored to the changed ones.
func (c *Cell) RequeueUnsaved(d []DirtyState) {
	for _, x := range d {
		if j := c.jobs[x.ID]; j != nil {
			j.writeInFlight, j.dirtySince = false, j.inFlightSince
			j.writeAwaited = j.writeAwaited || j.inFlightAwaited
			c.dirty[x.ID] = j
		}
	}
}

// StoredEnds returns the highest end number of a runner up to which every end is stored,
// and whether all ends are stored.
func (c *Cell) StoredEnds(id string) (number int64, all bool) {
	r := c.runners[id]
	if r == nil {
		return 0, true
	}
	n := 0
	for n < len(r.unsavedEnds) {
		e := r.unsavedEnds[n]
		if e.job != nil && e.job.savedVersion < e.version {
			break
		}
		r.storedEndNumber = e.number
		n++
	}
	r.unsavedEnds = r.unsavedEnds[n:]
	return r.storedEndNumber, len(r.unsavedEnds) == 0
}

// EndToAcknowledge returns the end number up to which the runner may forget its ends; 0 if it has answered that
// acknowledgement. A call that acknowledges nothing does no harm if the next incarnation executes it.
func (c *Cell) EndToAcknowledge(id string) int64 {
	number, _ := c.StoredEnds(id)
	if r := c.runners[id]; r == nil || number <= r.acknowledgedEnd {
		return 0
	}
	return number
}

func (j *Job) save() SavedJob {
	s := SavedJob{State: j.state, Started: j.started}
	if j.state.Final() {
		s.Occupied = j.savedUsage()
		return s
	}
	steps := len(j.Spec.Steps)
	open := j.occurrences
	for k := range j.Spec.Occurrences() {
		if j.finished.contains(k) {
			for i := range steps {
				s.Groups = append(s.Groups, SavedGroup{Index: k*steps + i, AllDone: true})
			}
			continue
		}
		if len(open) == 0 || open[0].number != k {
			continue
		}
		for i, g := range open[0].groups {
			if x, ok := g.save(k*steps + i); ok {
				s.Groups = append(s.Groups, x)
			}
		}
		open = open[1:]
	}
	return s
}

func (g *group) save(index int) (SavedGroup, bool) {
	s := SavedGroup{Index: index, Begun: g.begun, GangFailures: g.gangFailed, GangCheckpoint: g.gangCheckpoint}
	if g.openTasks == 0 {
		return SavedGroup{Index: index, AllDone: true}, true
	}
	if g.openTasks < len(g.tasks) {
		s.Done = make([]byte, (len(g.tasks)+7)/8)
	}
	for i := range g.tasks {
		t := &g.tasks[i]
		if t.done {
			s.Done[i/8] |= 1 << (i % 8)
			continue
		}
		if len(t.failedExecutions) > 0 {
			if s.Failures == nil {
				s.Failures = make(map[int][]int64)
			}
			s.Failures[i] = t.failedExecutions
		}
		if t.checkpoint != "" {
			if s.Checkpoints == nil {
				s.Checkpoints = make(map[int]string)
			}
			s.Checkpoints[i] = t.checkpoint
		}
	}
	empty := !s.Begun && s.Done == nil && s.Failures == nil && s.Checkpoints == nil && s.GangFailures == nil && s.GangCheckpoint == ""
	return s, !empty
}

// restoreOccurrences opens the occurrences that have begun by the stored state, and records those that have
// ended.
func (c *Cell) restoreOccurrences(now time.Time, j *Job, s *SavedJob) {
	steps := len(j.Spec.Steps)
	known := make(map[int]bool, len(s.Groups))
	byOccurrence := make(map[int][]SavedGroup)
	done := make(map[int]int)
	for _, x := range s.Groups {
		if x.Index < 0 || x.Index >= steps*j.Spec.Occurrences() || known[x.Index] {
			continue
		}
		known[x.Index] = true
		k := x.Index / steps
		byOccurrence[k] = append(byOccurrence[k], x)
		if x.AllDone {
			done[k]++
		}
	}
	for k := range byOccurrence {
		if done[k] == steps {
			j.finished.add(k, j.Spec.Occurrences())
			delete(byOccurrence, k)
		}
	}
	for _, k := range slices.Sorted(maps.Keys(byOccurrence)) {
		c.openOccurrence(now, j, k, byOccurrence[k])
	}
}

func (s *SavedGroup) restore(g *group) {
	g.gangFailed, g.gangCheckpoint = s.GangFailures, s.GangCheckpoint
	g.begun, g.begunEarlier = s.Begun, s.Begun
	done := 0
	for i := range g.tasks {
		t := &g.tasks[i]
		t.failedExecutions, t.checkpoint = s.Failures[i], s.Checkpoints[i]
		t.done = s.AllDone || (i/8 < len(s.Done) && bits.OnesCount8(s.Done[i/8]&(1<<(i%8))) == 1)
		if t.done {
			done++
		}
	}
	g.openTasks -= done
	g.waitingTasks -= done
}

// ParseSavedJob parses a stored job state.
func ParseSavedJob(value []byte) (*SavedJob, error) {
	s := new(SavedJob)
	if err := json.Unmarshal(value, s); err != nil {
		return nil, fmt.Errorf("decode stored job state: %w", err)
	}
	switch s.State {
	case Queued, Running, Completed, Failed, Cancelled:
		return s, nil
	}
	return nil, fmt.Errorf("decode stored job state: unknown state %q", s.State)
}
