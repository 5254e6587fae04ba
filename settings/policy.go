package settings

import "time"

// Policy holds the effective values of a kind in a department; [Kind] describes them.
type Policy struct {
	Department     string
	Kind           string
	Urgency        int
	Patience       time.Duration
	Deadline       time.Duration
	Weight         int
	ReservePercent int
	FloorPercent   int
	Sacrifice      []string
	NoRepeat       bool
	MaxAttempts    int
	Backoff        time.Duration
	SpreadRacks    bool
	CutOff         string
}
