package worker

import (
	"encoding/json"
	"time"

	wire "rhubarbstall.example/wire/worker"
)

// throttleSlowdown is the factor by which throttling increases the run time of a task.
const throttleSlowdown = 2

// task is a running simulated task.
type task struct {
	spec         wire.TaskSpec
	behavior     Behavior
	started      time.Time
	leaseExpires time.Time
	// endsAt is when the task ends by itself; zero if it runs until it is stopped.
	endsAt time.Time
	// speedSince is when the task started or its speed last changed. doneMillis is the work
	// that it had done by then, as run time at full speed in ms.
	speedSince time.Time
	doneMillis float64
	throttled  bool
	// usageVisible is set once the usage lag has passed since the start.
	usageVisible bool
	// sequence is the sequence number of the last change of the task.
	sequence uint64
}

func newTask(spec wire.TaskSpec, now time.Time, lease time.Duration) *task {
	t := &task{
		spec: spec, behavior: behaviorOf(spec), started: now, speedSince: now,
		leaseExpires: now.Add(lease), doneMillis: float64(checkpointedMillis(spec.Checkpoint)),
	}
	t.schedule(now)
	return t
}

// schedule sets endsAt from the remaining work and the speed.
func (t *task) schedule(now time.Time) {
	if t.behavior.ActualRunMillis == 0 {
		return
	}
	remaining := max(0, float64(t.behavior.ActualRunMillis)-t.doneMillis)
	if t.throttled {
		remaining *= throttleSlowdown
	}
	t.endsAt = now.Add(time.Duration(remaining * float64(time.Millisecond)))
}

// doneMillisAt returns the work done until now, as run time at full speed in ms.
func (t *task) doneMillisAt(now time.Time) float64 {
	d := float64(now.Sub(t.speedSince)) / float64(time.Millisecond)
	if t.throttled {
		d /= throttleSlowdown
	}
	return t.doneMillis + d
}

// throttle slows the task down or restores its speed. It returns false if nothing changed.
func (t *task) throttle(on bool, now time.Time) bool {
	if t.throttled == on {
		return false
	}
	t.doneMillis = t.doneMillisAt(now)
	t.speedSince = now
	t.throttled = on
	t.schedule(now)
	return true
}

func (t *task) checkpoint(now time.Time) []byte {
	if !t.spec.Checkpointing {
		return nil
	}
	b, err := json.Marshal(progress{DoneMillis: int64(t.doneMillisAt(now))})
	if err != nil {
		panic(err) // The type always marshals.
	}
	return b
}

func (t *task) usage() wire.Size {
	cpu := t.behavior.ActualMilliCPU
	if t.throttled {
		cpu /= throttleSlowdown
	}
	return wire.Size{MilliCPU: cpu, MemoryMB: t.behavior.ActualMemoryMB, Accelerators: t.spec.Size.Accelerators}
}

func (t *task) running(now time.Time) wire.RunningTask {
	r := wire.RunningTask{
		Ref: t.spec.Ref, Kind: t.spec.Kind, Requested: t.spec.Size,
		AgeMillis: now.Sub(t.started).Milliseconds(), Throttled: t.throttled,
	}
	if t.usageVisible {
		r.Used = t.usage()
	}
	return r
}
