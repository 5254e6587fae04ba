package worker

import (
	"encoding/json"

	wire "rhubarbstall.example/wire/worker"
)

// Behavior is the JSON payload with which a test makes a simulated task differ from its
// declaration. A zero field has no effect, and a payload that is not JSON is ignored.
type Behavior struct {
	// Fail makes the task fail when its run time is over.
	Fail bool `json:"fail,omitempty"`
	// ActualRunMillis replaces the declared run time.
	ActualRunMillis int64 `json:"actual_run_ms,omitempty"`
	// ActualMemoryMB replaces the declared memory as the amount in use.
	ActualMemoryMB int64 `json:"actual_memory_mb,omitempty"`
	// ActualMilliCPU replaces the declared CPU share as the amount in use.
	ActualMilliCPU int64 `json:"actual_milli_cpu,omitempty"`
}

func behaviorOf(spec wire.TaskSpec) Behavior {
	var b Behavior
	if json.Unmarshal(spec.Payload, &b) != nil {
		b = Behavior{}
	}
	if b.ActualRunMillis == 0 {
		b.ActualRunMillis = spec.RunMillis
	}
	if b.ActualMemoryMB == 0 {
		b.ActualMemoryMB = spec.Size.MemoryMB
	}
	if b.ActualMilliCPU == 0 {
		b.ActualMilliCPU = spec.Size.MilliCPU
	}
	return b
}

// progress is the content of a checkpoint.
type progress struct {
	DoneMillis int64 `json:"done_ms"`
}

// checkpointedMillis returns the work done that a checkpoint records, in ms; 0 if the
// checkpoint is invalid.
func checkpointedMillis(checkpoint []byte) int64 {
	var p progress
	if json.Unmarshal(checkpoint, &p) != nil {
		return 0
	}
	return p.DoneMillis
}
