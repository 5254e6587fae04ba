package cellrunner

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Size is the capacity of a runner or the share of it that a task claims.
type Size struct {
	MilliCPU, MemoryMB, GPUs int64
}

type run struct {
	task      string
	execution int64
	endsAt    time.Time
	size      Size
	// work is the time that all work of the task takes; checkpoint and payload are those of the order.
	work                time.Duration
	checkpoint, payload string
	traits              Traits
	// gang is nil for a task that needs no other tasks to make progress.
	gang      *gang
	startedAt time.Time
}

// runList returns the runs of a runner with the times of their starts.
func (r *Runner) runList() string {
	var out []string
	for _, x := range r.runs {
		out = append(out, fmt.Sprintf("%s#%d at %s", x.task, x.execution, timeOfDay(x.startedAt)))
	}
	slices.Sort(out)
	return strings.Join(out, ", ")
}

type end struct {
	sequence  int64
	task      string
	execution int64
	result    string
	// saved is the last checkpoint.
	saved string
	at    time.Time
	// leaseLapsed reports whether the runner's lease lapsed after the end.
	leaseLapsed bool
}
