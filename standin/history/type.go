package history

// Type is the kind of an event.
type Type string

// Events of processes, written by any simulated service or by a test harness.
const (
	ProcessStarted Type = "process_started"
	// ProcessKilled is written by a test harness for a process that it has killed or that
	// has ended with an error.
	ProcessKilled  Type = "process_killed"
	ProcessStopped Type = "process_stopped"
	Fault          Type = "fault"
)

// Events of the platform.
const (
	KeyWritten   Type = "key_written"
	KeyDeleted   Type = "key_deleted"
	LeaseGranted Type = "lease_granted"
	LeaseLapsed  Type = "lease_lapsed"
	VMListed     Type = "vm_listed"
	VMRemoved    Type = "vm_removed"
	CallRefused  Type = "call_refused"
)

// Events of a worker.
const (
	TaskStarted       Type = "task_started"
	TaskEnded         Type = "task_ended"
	TaskRefused       Type = "task_refused"
	OverfillAttempted Type = "overfill_attempted"
	OutcomeReported   Type = "outcome_reported"
	OutcomeAcked      Type = "outcome_acknowledged"
	OwnerChanged      Type = "owner_changed"
	// Leaving has LeavingOn or LeavingOff as its State.
	Leaving Type = "leaving"
)

// Events of a runner.
const (
	RunStarted Type = "run_started"
	RunEnded   Type = "run_ended"
	// RunRefused has ReasonFull or ReasonLeaving as its Reason.
	RunRefused Type = "run_refused"
	// RunAbandoned records that the sender closed the connection before the run ended.
	RunAbandoned       Type = "run_abandoned"
	ConnectionsOverrun Type = "connections_overrun"
)

// Events of a caller.
const (
	RequestSent  Type = "request_sent"
	RequestEnded Type = "request_ended"
	JobSent      Type = "job_sent"
	JobAcked     Type = "job_acknowledged"
	JobRefused   Type = "job_refused"
	// JobSeen records the state of a job that an entry VM reported.
	JobSeen Type = "job_seen"
	// JobMissing records that an entry VM did not know an acknowledged job.
	JobMissing Type = "job_missing"
)

// States of a Leaving event.
const (
	LeavingOn  = "on"
	LeavingOff = "off"
)

// Outcomes of a RequestEnded event. OutcomeAnswered and OutcomeUnsent exist only in the
// history; the other ones are outcomes that the API states.
const (
	OutcomeAnswered   = "answered"
	OutcomeNotRun     = "not_run"
	OutcomeInProgress = "in_progress"
	OutcomeUnknown    = "unknown"
	// OutcomeUnsent records that no connection to an entry VM could be made.
	OutcomeUnsent = "unsent"
)

// Reasons of a RunRefused event.
const (
	ReasonFull    = "full"
	ReasonLeaving = "leaving"
)
