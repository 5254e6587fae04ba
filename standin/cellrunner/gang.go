package cellrunner

import (
	"fmt"
	"strings"
	"time"
)

// gangTimeout is how long a gang member waits for the other members to start.
const gangTimeout = 4 * time.Second

// gang is one execution of a step whose tasks make progress only while all of them run.
type gang struct {
	members []gangMember
	working bool
}

type gangMember struct {
	runner *Runner
	run    *run
}

// SetGangSize enables gangs. size returns the number of tasks in the gang of a task, or 0
// for a task without a gang.
func (f *Fleet) SetGangSize(size func(task string) int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.gangSize, f.gangs = size, make(map[string]*gang)
}

// GangTimeouts returns the times at which a gang member stopped waiting for the others.
func (f *Fleet) GangTimeouts() []time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]time.Time(nil), f.gangTimeouts...)
}

// working reports whether a run makes progress; a gang member does once the gang is complete.
func (x *run) working() bool { return x.gang == nil || x.gang.working }

// joinGang adds a run to its gang. When the last member joins, the work of all members
// starts.
func (f *Fleet) joinGang(now time.Time, r *Runner, x *run, work time.Duration) {
	if f.gangSize == nil {
		return
	}
	n := f.gangSize(x.task)
	if n == 0 {
		return
	}
	key := fmt.Sprintf("%s#%d", x.task[:strings.LastIndexByte(x.task, '.')], x.execution)
	g := f.gangs[key]
	if g == nil {
		g = &gang{}
		f.gangs[key] = g
	}
	x.gang = g
	g.members = append(g.members, gangMember{r, x})
	if len(g.members) < n {
		return
	}
	delete(f.gangs, key)
	g.working = true
	for _, m := range g.members {
		m.run.endsAt = now.Add(work)
	}
}

// finishGang ends all members of the gang of a run as done: they end together.
func (f *Fleet) finishGang(x *run) {
	members := x.gang.members
	x.gang.members = nil
	for _, m := range members {
		if m.runner.runs[m.run.task] == m.run {
			m.runner.finish(m.run, "done")
		}
	}
}

// breakGang ends the other members of the gang of a run that ended without success.
func (f *Fleet) breakGang(x *run) {
	members := x.gang.members
	x.gang.members = nil
	for _, m := range members {
		if m.run != x && m.runner.runs[m.run.task] == m.run {
			m.runner.finish(m.run, "broken")
		}
	}
}
