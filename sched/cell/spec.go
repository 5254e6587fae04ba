package cell

import (
	"fmt"
	"time"

	"rhubarbstall.example/sched/model"
)

// Limits of a job, which keep its state within one record of the store.
const (
	MaxSteps        = 256
	MaxTasksPerStep = 4096
	MaxTasksPerJob  = 8192
	MaxPayloadBytes = 4000
	// MaxTasksAllOccurrences limits the tasks of all occurrences together.
	MaxTasksAllOccurrences = 4 * MaxTasksPerJob
)

// Step is a set of identical tasks of a job.
type Step struct {
	Count int
	Size  model.Resources
	// Estimate is the expected run time of a task.
	Estimate time.Duration
	// DependsOn lists the indexes of earlier steps whose tasks must all be done first.
	DependsOn     []int
	Checkpointing bool
	// Gang marks tasks that start together, work only together and end together.
	Gang bool
	// SameRack marks a gang that is slow if it spans racks.
	SameRack bool
	// RunnerLabel is a label that the runner must have; empty for none.
	RunnerLabel string
	// DataRack is the rack of the input data; empty for none.
	DataRack string
	// MaxPerRunner limits the tasks of the step on one runner; 0 for no limit.
	MaxPerRunner int
	// Speculative allows parallel copies of a task.
	Speculative bool
	// LongRunning marks tasks that run until the job is cancelled.
	LongRunning bool
	// Image names the program; tasks with the same image behave alike.
	Image string
	// TailLatencyTarget is the tail latency that a serving task must stay below; 0 for
	// none.
	TailLatencyTarget time.Duration
	// BestEffort marks tasks that use only processor time that other tasks leave idle.
	BestEffort bool
	// MaxUnavailable is how many tasks of a long-running step the scheduler may interrupt
	// at the same time.
	MaxUnavailable int
}

// Spec is what a caller submits.
type Spec struct {
	Payload string
	Steps   []Step
	// Repetitions is how often the steps run; 0 means once, without a due time.
	Repetitions int
	// FirstRun is the due time of the first occurrence on the wall clock.
	FirstRun time.Time
	Interval time.Duration
}

// Occurrences returns how often the steps run, at least 1.
func (s *Spec) Occurrences() int { return max(1, s.Repetitions) }

// Validate returns an error for the first invalid field of the spec.
func (s *Spec) Validate() error {
	if len(s.Payload) > MaxPayloadBytes {
		return fmt.Errorf("payload has %d bytes; at most %d are allowed", len(s.Payload), MaxPayloadBytes)
	}
	if len(s.Steps) == 0 || len(s.Steps) > MaxSteps {
		return fmt.Errorf("job has %d steps; between 1 and %d are allowed", len(s.Steps), MaxSteps)
	}
	if s.Repetitions < 0 || s.Interval < 0 {
		return fmt.Errorf("repetitions and interval must not be negative")
	}
	total := 0
	for i := range s.Steps {
		if err := s.Steps[i].validate(i); err != nil {
			return fmt.Errorf("step %d: %w", i, err)
		}
		total += s.Steps[i].Count
	}
	if total > MaxTasksPerJob {
		return fmt.Errorf("job has %d tasks; at most %d are allowed", total, MaxTasksPerJob)
	}
	if s.Repetitions > MaxTasksAllOccurrences/total {
		return fmt.Errorf("%d repetitions of %d tasks are more than the %d tasks allowed in all repetitions", s.Repetitions, total, MaxTasksAllOccurrences)
	}
	return nil
}

// claim returns the capacity that a task of the step occupies.
func (st *Step) claim() model.Resources {
	size := st.Size
	if st.BestEffort {
		size.MilliCPU = 0
	}
	return size
}

func (st *Step) validate(index int) error {
	if st.Count < 1 || st.Count > MaxTasksPerStep {
		return fmt.Errorf("step has %d tasks; between 1 and %d are allowed", st.Count, MaxTasksPerStep)
	}
	if st.Size.MilliCPU < 0 || st.Size.MemoryMB < 0 || st.Size.Accelerators < 0 || st.Estimate < 0 {
		return fmt.Errorf("size and estimate must not be negative")
	}
	if st.MaxPerRunner < 0 || st.MaxUnavailable < 0 || st.TailLatencyTarget < 0 {
		return fmt.Errorf("tasks per runner, miss allowance and tail latency target must not be negative")
	}
	for _, dependency := range st.DependsOn {
		if dependency < 0 || dependency >= index {
			return fmt.Errorf("depends on step %d; only earlier steps are allowed", dependency)
		}
	}
	return nil
}
