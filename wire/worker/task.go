package worker

// TaskRef identifies an attempt of a task of a job. Attempt increases with each
// attempt. A worker refuses an attempt unless its number is above the last one that
// the worker has seen.
type TaskRef struct {
	Job     string `json:"job"`
	Index   int    `json:"index"`
	Attempt int    `json:"attempt"`
}

// TaskSpec specifies a task to start. RunMillis is the declared run time; zero means
// that the task runs until it is stopped. The scheduler does not interpret Payload.
type TaskSpec struct {
	Ref           TaskRef `json:"ref"`
	Kind          string  `json:"kind"`
	Size          Size    `json:"size"`
	RunMillis     int64   `json:"run_ms"`
	Checkpointing bool    `json:"checkpointing,omitempty"`
	Checkpoint    []byte  `json:"checkpoint,omitempty"`
	Payload       []byte  `json:"payload,omitempty"`
}

// RunningTask is a running task with its requested resources and its last measured
// usage, which lags behind the actual usage. AgeMillis is the time since its start.
type RunningTask struct {
	Ref       TaskRef `json:"ref"`
	Kind      string  `json:"kind"`
	Requested Size    `json:"claimed"`
	Used      Size    `json:"used"`
	AgeMillis int64   `json:"age_ms"`
	Throttled bool    `json:"throttled,omitempty"`
}

// Result is the way in which an attempt of a task ended.
type Result string

// The results of an attempt.
const (
	ResultSucceeded    Result = "succeeded"
	ResultFailed       Result = "failed"
	ResultStopped      Result = "stopped"
	ResultCheckpointed Result = "checkpointed"
	ResultLeaseLapsed  Result = "lease_lapsed"
	ResultOutOfMemory  Result = "out_of_memory"
)

// Outcome describes a finished attempt. The worker keeps it until the owner
// acknowledges it. RunMillis is the time from the start to the end of the attempt.
type Outcome struct {
	Ref        TaskRef `json:"ref"`
	Result     Result  `json:"result"`
	Message    string  `json:"message,omitempty"`
	Checkpoint []byte  `json:"checkpoint,omitempty"`
	PeakUsed   Size    `json:"peak_used"`
	RunMillis  int64   `json:"run_ms"`
}
