package replay

import (
	"time"

	"rhubarbstall.example/sched/model"
)

// Trace is a fleet of workers with the events that occur during a replay.
type Trace struct {
	Header
	Events []Event
}

// Header is the first line of a trace.
type Header struct {
	Name        string           `json:"name"`
	Workers     []WorkerSpec     `json:"workers"`
	Kinds       []KindSpec       `json:"kinds"`
	Departments []DepartmentSpec `json:"departments"`
}

// WorkerSpec describes a worker VM.
type WorkerSpec struct {
	ID           string `json:"id"`
	Rack         string `json:"rack"`
	MilliCPU     int64  `json:"milli_cpu"`
	MemoryMB     int64  `json:"memory_mb"`
	Accelerators int64  `json:"accelerators,omitempty"`
	// Broken makes every attempt on the worker fail after one second.
	Broken bool `json:"broken,omitempty"`
}

// KindSpec is the scheduling policy of a kind.
type KindSpec struct {
	Name         string `json:"name"`
	Urgency      int    `json:"urgency"`
	PatienceMS   int64  `json:"patience_ms"`
	FloorPercent int    `json:"floor_percent,omitempty"`
	Checkpoint   bool   `json:"checkpoint,omitempty"`
	Preempt      bool   `json:"preempt,omitempty"`
	SpreadRacks  bool   `json:"spread_racks,omitempty"`
}

// DepartmentSpec is a department of the quota tree.
type DepartmentSpec struct {
	Path   string `json:"path"`
	Weight int    `json:"weight"`
}

// Event is a line of a trace after the header.
type Event struct {
	AtMS int64 `json:"at_ms"`
	// Exactly one of the following fields is set. Job is a submitted job, Cancel the ID
	// of a job to cancel, Down and Up the ID of a worker that fails or returns.
	Job    *JobSpec `json:"job,omitempty"`
	Cancel string   `json:"cancel,omitempty"`
	Down   string   `json:"down,omitempty"`
	Up     string   `json:"up,omitempty"`
}

// JobSpec describes a job with its declared and its actual run time and memory.
type JobSpec struct {
	ID            string        `json:"id"`
	Department    string        `json:"department"`
	Kind          string        `json:"kind"`
	Type          model.JobType `json:"type"`
	Tasks         int           `json:"tasks"`
	MilliCPU      int64         `json:"milli_cpu"`
	MemoryMB      int64         `json:"memory_mb"`
	Accelerators  int64         `json:"accelerators,omitempty"`
	DeclaredMS    int64         `json:"declared_ms,omitempty"`
	Checkpointing bool          `json:"checkpointing,omitempty"`
	NoRepeat      bool          `json:"no_repeat,omitempty"`
	// RunMS is the actual run time. The tasks deviate from it by up to SpreadPercent.
	RunMS         int64 `json:"run_ms"`
	SpreadPercent int64 `json:"spread_percent,omitempty"`
	// UsedMemoryMB is the actual peak memory use.
	UsedMemoryMB int64 `json:"used_memory_mb"`
	// Fails makes every attempt of the job fail after one second.
	Fails bool `json:"fails,omitempty"`
}

// Size returns the declared size of a task.
func (j *JobSpec) Size() model.Resources {
	return model.Resources{MilliCPU: j.MilliCPU, MemoryMB: j.MemoryMB, Accelerators: j.Accelerators}
}

// RequiredSize returns the smallest allocation with which a task cannot exhaust the
// memory of its worker: the declared size with at least the actual peak memory.
func (j *JobSpec) RequiredSize() model.Resources {
	n := j.Size()
	n.MemoryMB = max(n.MemoryMB, j.UsedMemoryMB)
	return n
}

// RunTime returns the actual run time of a task.
func (j *JobSpec) RunTime(index int) time.Duration {
	if j.Fails {
		return time.Second
	}
	// A fixed permutation of the indexes spreads the run times evenly.
	off := (int64(index)*7919)%101 - 50
	return time.Duration(j.RunMS+j.RunMS*j.SpreadPercent*off/5000) * time.Millisecond
}

// Model returns the job as it is submitted to an engine.
func (j *JobSpec) Model(now time.Time) model.Job {
	return model.Job{
		ID: j.ID, Department: j.Department, Kind: j.Kind, Type: j.Type, Tasks: j.Tasks, Size: j.Size(),
		RunTime:       time.Duration(j.DeclaredMS) * time.Millisecond,
		Checkpointing: j.Checkpointing, NoRepeat: j.NoRepeat, Submitted: now,
	}
}

// Capacity returns the capacity of the worker.
func (w *WorkerSpec) Capacity() model.Resources {
	return model.Resources{MilliCPU: w.MilliCPU, MemoryMB: w.MemoryMB, Accelerators: w.Accelerators}
}

// Capacity returns the total capacity of all workers.
func (h *Header) Capacity() model.Resources {
	var sum model.Resources
	for i := range h.Workers {
		sum = sum.Add(h.Workers[i].Capacity())
	}
	return sum
}
