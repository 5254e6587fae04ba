package cellrunner

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Traits are what sets a task apart from one that works for its time and ends.
type Traits struct {
	// Lasting tasks work until they are stopped.
	Lasting bool
	// Checkpoints tells that the task's progress is saved as it works, and when it is stopped.
	Checkpoints bool
	// Poisoned tasks always fail.
	Poisoned bool
	// Image names the program. A task that starts beside one of the image SlowBeside takes twice as long.
	Image, SlowBeside string
}

// slowed reports whether a run that starts on the runner is slowed down by another one there.
func (r *Runner) slowed(t Traits) bool {
	if t.SlowBeside == "" {
		return false
	}
	for _, x := range r.runs {
		if x.traits.Image == t.SlowBeside {
			return true
		}
	}
	return false
}

const (
	// checkpointInterval is the work between two checkpoints.
	checkpointInterval = 500 * time.Millisecond
	// startupTime is how long a task that lasts takes to be at work.
	startupTime = 300 * time.Millisecond
	// unlimited is the work of a task that lasts.
	unlimited = 24 * time.Hour
)

// SetTraits sets a function that returns the traits of a task.
func (f *Fleet) SetTraits(traits func(task string) Traits) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.traits = traits
}

// FormatCheckpoint returns the checkpoint of a task after some work.
func FormatCheckpoint(task string, work time.Duration) string {
	return fmt.Sprintf("%s:%d", task, work.Milliseconds())
}

// checkpointWork returns the work that a checkpoint has saved; 0 for none.
func checkpointWork(checkpoint string) time.Duration {
	_, text, _ := strings.Cut(checkpoint, ":")
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0 // The observer judges odd checkpoints.
	}
	return time.Duration(n) * time.Millisecond
}

// done returns the work of a run up to now, with what its checkpoint saved.
func (x *run) done(now time.Time) time.Duration {
	if !x.working() {
		return checkpointWork(x.checkpoint)
	}
	return x.work - max(0, x.endsAt.Sub(now))
}

// saved returns the last checkpoint of a run; if atOnce, one that was taken now.
func (x *run) saved(now time.Time, atOnce bool) string {
	if !x.traits.Checkpoints {
		return ""
	}
	done := x.done(now)
	if !atOnce {
		done = max(done.Truncate(checkpointInterval), checkpointWork(x.checkpoint))
	}
	if done < checkpointInterval {
		return x.checkpoint
	}
	return FormatCheckpoint(x.task, done)
}

// progress returns the percent of a run that runners report. It grows by 1 every 10 ms and reaches 100
// when the run ends, or when a task that lasts is at work; it is negative while more than 1 s remains.
func (x *run) progress(now time.Time) int {
	switch {
	case !x.working():
		return 0
	case x.traits.Lasting && now.Sub(x.startedAt) < startupTime:
		return 0
	case x.traits.Lasting:
		return 100
	}
	return 100 - int(x.endsAt.Sub(now)/(10*time.Millisecond))
}
