package settings

// Kind holds the settings of a kind of work. An absent field is inherited from
// the parent node; at the root it takes its default.
type Kind struct {
	// Urgency is the priority, from 0 for the least urgent work to 100.
	Urgency *int `json:"urgency,omitempty"`
	// PatienceMillis is the longest time that work may wait before it starts.
	PatienceMillis *int64 `json:"patience_ms,omitempty"`
	// DeadlineMillis is the time allowed for a whole request: the default, and the
	// largest value that a caller may ask for.
	DeadlineMillis *int64 `json:"deadline_ms,omitempty"`
	// Weight is the relative share among the kinds of the department; at least 1.
	Weight *int `json:"weight,omitempty"`
	// ReservePercent is the percentage of slots reserved for this kind and more urgent
	// kinds.
	ReservePercent *int `json:"reserve_percent,omitempty"`
	// FloorPercent is the percentage of slots that the kind keeps while other kinds are
	// overloaded.
	FloorPercent *int `json:"floor_percent,omitempty"`
	// Sacrifice lists the actions that the scheduler may take against this work to
	// make room for other work: "throttle", "checkpoint", "preempt", "drop".
	Sacrifice *[]string `json:"sacrifice,omitempty"`
	// NoRepeat marks work that must run at most once.
	NoRepeat *bool `json:"no_repeat,omitempty"`
	// MaxAttempts is the maximum number of attempts of a failing task.
	MaxAttempts *int `json:"max_attempts,omitempty"`
	// BackoffMillis is the delay before the second attempt; it doubles with each
	// further attempt.
	BackoffMillis *int64 `json:"backoff_ms,omitempty"`
	// SpreadRacks places the tasks of a job on as many racks as possible.
	SpreadRacks *bool `json:"spread_racks,omitempty"`
	// CutOff is "move" if jobs may move to another availability zone when their own
	// is partitioned from the others, else "stay".
	CutOff *string `json:"cut_off,omitempty"`
}
