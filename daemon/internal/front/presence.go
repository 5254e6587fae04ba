package front

// presence is whether the store has a job, as far as the requester may know.
type presence int

const (
	// presenceUnknown means that the store could not be read.
	presenceUnknown presence = iota
	// absent means that the store does not have the job, or has it as cancelled before it was stored.
	absent
	// foreign means that the job belongs to another client account.
	foreign
	// accessible means that the store has the job and the requester may see and cancel it.
	accessible
)
