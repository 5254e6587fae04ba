package worker

// Action is an operation on a running task.
type Action string

// The actions. ActionCheckpoint saves the progress of the task and stops it.
const (
	ActionStop       Action = "stop"
	ActionCheckpoint Action = "checkpoint"
	ActionThrottle   Action = "throttle"
	ActionResume     Action = "resume"
)

// TaskControl requests an action on a task.
type TaskControl struct {
	Ref    TaskRef `json:"ref"`
	Action Action  `json:"action"`
}

// ControlRequest requests a batch of actions. An action on a task that is not
// running has no effect.
type ControlRequest struct {
	Owner   Owner         `json:"owner"`
	Actions []TaskControl `json:"actions"`
}
