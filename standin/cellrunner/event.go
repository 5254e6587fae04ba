package cellrunner

import "time"

// EventKind says what an Event tells.
type EventKind string

// The kinds of events.
const (
	// RunStarted means that a runner began a run on an order.
	RunStarted EventKind = "started"
	// RunEnded means that a run ended; Event.Result says how.
	RunEnded EventKind = "ended"
	// EndNoted means that the scheduler took note of an end while the runner's lease held.
	EndNoted EventKind = "noted"
)

// ResultLost is the result of a run that ended in a crash, which no report tells.
const ResultLost = "lost"

// Event is what a runner saw of a run.
type Event struct {
	At   time.Time
	Kind EventKind
	// Runner is the runner's id; RunnerKind and Rack are its labels in its present life.
	Runner, RunnerKind, Rack string
	Task                     string
	Execution                int64
	// Payload and Checkpoint are those of the start order.
	Payload, Checkpoint string
	// Result says how the run ended; empty for RunStarted.
	Result string
}

// SetObserver sets a function that is called for each event, in order. It must not call the fleet.
func (f *Fleet) SetObserver(observe func(Event)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.observe = observe
}

// notify tells the observer of an event of a run on a runner.
func (f *Fleet) notify(kind EventKind, r *Runner, x *run, result string) {
	if f.observe == nil {
		return
	}
	f.observe(Event{
		At: time.Now(), Kind: kind, Runner: r.ID, RunnerKind: r.kind(), Rack: r.rack(), Task: x.task, Execution: x.execution,
		Payload: x.payload, Checkpoint: x.checkpoint, Result: result,
	})
}
