package main

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// step is a step of a job, as the body of a POST names its fields.
type step struct {
	Count       int    `json:"count"`
	CPU         int64  `json:"cpu,omitempty"`
	Memory      int64  `json:"requested_memory_mb,omitempty"`
	EstimatedMS int64  `json:"estimated_ms,omitempty"`
	After       []int  `json:"after,omitempty"`
	Gang        bool   `json:"gang_scheduled,omitempty"`
	SameRack    bool   `json:"same_rack,omitempty"`
	Label       string `json:"requirements,omitempty"`
	DataRack    string `json:"affinity,omitempty"`
	PerRunner   int    `json:"anti_affinity,omitempty"`
	Lasting     bool   `json:"long_running,omitempty"`
	Filling     bool   `json:"fill_count,omitempty"`
	Image       string `json:"image,omitempty"`
	TargetMS    int64  `json:"target_ms,omitempty"`

	// work is how long a task takes.
	work time.Duration
}

// claim is what a task takes of the capacity of a runner.
func (s *step) claim() size {
	if s.Filling {
		return size{Memory: s.Memory}
	}
	return size{CPU: s.CPU, Memory: s.Memory}
}

// job is the body of a POST.
type job struct {
	Specification string `json:"specification"`
	Steps         []step `json:"steps"`
}

// taskName is the name of a task: ID.K.STEP.INDEX.
type taskName struct {
	id                      string
	occurrence, step, index int
}

func (t taskName) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", t.id, t.occurrence, t.step, t.index)
}

func parseTask(name string) (taskName, error) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return taskName{}, fmt.Errorf("task name %q has %d parts", name, len(parts))
	}
	var n [3]int
	for i := range n {
		var err error
		if n[i], err = strconv.Atoi(parts[i+1]); err != nil {
			return taskName{}, err
		}
	}
	return taskName{parts[0], n[0], n[1], n[2]}, nil
}
