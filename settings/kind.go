package settings

// Kind holds the settings of a kind of work. An absent field is inherited from
// the parent node, and at the root it has its default.
type Kind struct {
	// Urgency is 0 for the most patient work and 100 for the most urgent.
	Urgency *int `json:"urgency,omitempty"`
	// PatienceMillis is how long work may wait before it starts, in milliseconds.
	PatienceMillis *int64 `json:"patience_ms,omitempty"`
	// DeadlineMillis is the default and the largest time of a whole request.
	DeadlineMillis *int64 `json:"deadline_ms,omitempty"`
	// Weight is the kind's share among the kinds of its department.
	Weight *int `json:"weight,omitempty"`
	// ReservePercent is the share of slots that only this kind and more urgent
	// ones may use.
	ReservePercent *int `json:"reserve_percent,omitempty"`
	// FloorPercent is the share that the kind keeps while other kinds flood.
	FloorPercent *int `json:"floor_percent,omitempty"`
	// Sacrifice lists what may be done to this work for other work: "throttle",
	// "checkpoint", "preempt", "drop".
	Sacrifice *[]string `json:"sacrifice,omitempty"`
	// NoRepeat marks work that must run at most once.
	NoRepeat *bool `json:"no_repeat,omitempty"`
	// MaxAttempts bounds the attempts of a task that fails.
	MaxAttempts *int `json:"max_attempts,omitempty"`
	// BackoffMillis is the delay before the second attempt; it doubles with each one.
	BackoffMillis *int64 `json:"backoff_ms,omitempty"`
	// SpreadRacks places the tasks of a job on as many racks as possible.
	SpreadRacks *bool `json:"spread_racks,omitempty"`
	// CutOff is "stay" or "move": whether jobs may move to another availability
	// zone when theirs is cut off.
	CutOff *string `json:"cut_off,omitempty"`
}
