package worker

import (
	"sync"
	"time"

	"rhubarbstall.example/standin/history"
	"rhubarbstall.example/standin/process"
	wire "rhubarbstall.example/wire/worker"
)

// defaultTaskLease applies until a sync sets the task lease.
const defaultTaskLease = time.Minute

// failingRunTime is the run time of a task while the worker makes all tasks fail.
const failingRunTime = 10 * time.Millisecond

// taskKey identifies a task without its attempt.
type taskKey struct {
	job   string
	index int
}

// Worker is the simulated worker. It is safe for concurrent use. Every call first processes
// the timer events that are due, in order of time. A worker whose process was paused thus
// acts as if its timers had fired on time.
type Worker struct {
	o Options

	mu        sync.Mutex
	startedAt time.Time
	owner     owner
	taskLease time.Duration
	tasks     map[taskKey]*task
	// attempts holds the number of the last attempt of each task that was started here.
	attempts map[taskKey]int
	// outcomes holds the outcomes that have not been acknowledged, in order of their end.
	outcomes []*outcome
	// claimed is the sum of the declared sizes of the running tasks.
	claimed wire.Size
	// sequence is the sequence number of the last change, firstSequence that of the start.
	sequence      uint64
	firstSequence uint64
	leaving       bool
	// failingAll makes every task that starts fail after failingRunTime.
	failingAll bool
}

// outcome is an outcome that has not been acknowledged.
type outcome struct {
	wire.Outcome
	sequence uint64
	reported bool
}

// New returns a worker that starts now.
func New(o Options) *Worker {
	o.setDefaults(process.NewInstance)
	now := o.Now()
	// Sequence numbers start at the current time in microseconds, so that a number of an
	// earlier instance is below them and is answered with the full state.
	first := uint64(now.UnixMicro())
	w := &Worker{
		o: o, startedAt: now, taskLease: defaultTaskLease, sequence: first, firstSequence: first,
		tasks: make(map[taskKey]*task), attempts: make(map[taskKey]int),
	}
	capacity := o.Capacity
	w.write(history.Event{At: now, Type: history.ProcessStarted, Role: "worker", Capacity: &capacity})
	return w
}

// Advance processes the timer events that are due. It returns the time of the next one, or
// zero if there is none.
func (w *Worker) Advance() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(w.o.Now())
	_, at, _ := w.nextTimer()
	return at
}

// SetLeaving makes the worker refuse or accept new tasks. It records a change in the history.
func (w *Worker) SetLeaving(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if on != w.leaving {
		w.write(history.Event{At: w.o.Now(), Type: history.Leaving, State: leavingState(on)})
	}
	w.leaving = on
}

// SetFailing sets whether every task that starts from now on fails.
func (w *Worker) SetFailing(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failingAll = on
}

// Stop records the end of the process in the history. Tasks that are still running get no
// outcome, as on a VM that is switched off.
func (w *Worker) Stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.o.Now()
	w.advance(now)
	w.write(history.Event{At: now, Type: history.ProcessStopped, Role: "worker"})
}

func (w *Worker) write(e history.Event) {
	e.Node, e.Instance = w.o.ID, w.o.Instance
	w.o.History.Write(e)
}

func (w *Worker) info() wire.Info {
	return wire.Info{
		ID: w.o.ID, AvailabilityZone: w.o.AvailabilityZone, Rack: w.o.Rack,
		Capacity: w.o.Capacity, Leaving: w.leaving,
	}
}

func leavingState(on bool) string {
	if on {
		return history.LeavingOn
	}
	return history.LeavingOff
}

func addSize(a, b wire.Size, sign int64) wire.Size {
	return wire.Size{
		MilliCPU:     a.MilliCPU + sign*b.MilliCPU,
		MemoryMB:     a.MemoryMB + sign*b.MemoryMB,
		Accelerators: a.Accelerators + sign*b.Accelerators,
	}
}

func fits(used, capacity wire.Size) bool {
	return used.MilliCPU <= capacity.MilliCPU && used.MemoryMB <= capacity.MemoryMB &&
		used.Accelerators <= capacity.Accelerators
}
