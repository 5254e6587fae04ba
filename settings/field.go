package settings

import (
	"slices"
	"strconv"
	"strings"
	"time"
)

// field describes an inheritable value of a kind.
type field struct {
	// name is the name in the document.
	name string
	// apply copies the value to the policy if the kind sets it, and reports whether it does.
	apply func(*Kind, *Policy) bool
	// format returns the value in the notation of the document.
	format func(*Policy) string
}

// fields lists every value of a kind in display order.
var fields = []field{
	intField("urgency", func(k *Kind) *int { return k.Urgency }, func(p *Policy) *int { return &p.Urgency }),
	millisField("patience_ms", func(k *Kind) *int64 { return k.PatienceMillis }, func(p *Policy) *time.Duration { return &p.Patience }),
	millisField("deadline_ms", func(k *Kind) *int64 { return k.DeadlineMillis }, func(p *Policy) *time.Duration { return &p.Deadline }),
	intField("weight", func(k *Kind) *int { return k.Weight }, func(p *Policy) *int { return &p.Weight }),
	intField("reserve_percent", func(k *Kind) *int { return k.ReservePercent }, func(p *Policy) *int { return &p.ReservePercent }),
	intField("floor_percent", func(k *Kind) *int { return k.FloorPercent }, func(p *Policy) *int { return &p.FloorPercent }),
	{
		"sacrifice",
		func(k *Kind, p *Policy) bool {
			if k.Sacrifice != nil {
				p.Sacrifice = slices.Clone(*k.Sacrifice)
			}
			return k.Sacrifice != nil
		},
		func(p *Policy) string { return "[" + strings.Join(p.Sacrifice, ", ") + "]" },
	},
	boolField("no_repeat", func(k *Kind) *bool { return k.NoRepeat }, func(p *Policy) *bool { return &p.NoRepeat }),
	intField("max_attempts", func(k *Kind) *int { return k.MaxAttempts }, func(p *Policy) *int { return &p.MaxAttempts }),
	millisField("backoff_ms", func(k *Kind) *int64 { return k.BackoffMillis }, func(p *Policy) *time.Duration { return &p.Backoff }),
	boolField("spread_racks", func(k *Kind) *bool { return k.SpreadRacks }, func(p *Policy) *bool { return &p.SpreadRacks }),
	{
		"cut_off",
		func(k *Kind, p *Policy) bool { return assign(k.CutOff, &p.CutOff) },
		func(p *Policy) string { return p.CutOff },
	},
}

func intField(name string, from func(*Kind) *int, to func(*Policy) *int) field {
	return field{
		name,
		func(k *Kind, p *Policy) bool { return assign(from(k), to(p)) },
		func(p *Policy) string { return strconv.Itoa(*to(p)) },
	}
}

func boolField(name string, from func(*Kind) *bool, to func(*Policy) *bool) field {
	return field{
		name,
		func(k *Kind, p *Policy) bool { return assign(from(k), to(p)) },
		func(p *Policy) string { return strconv.FormatBool(*to(p)) },
	}
}

func millisField(name string, from func(*Kind) *int64, to func(*Policy) *time.Duration) field {
	return field{
		name,
		func(k *Kind, p *Policy) bool {
			v := from(k)
			if v != nil {
				*to(p) = time.Duration(*v) * time.Millisecond
			}
			return v != nil
		},
		func(p *Policy) string { return strconv.FormatInt(to(p).Milliseconds(), 10) },
	}
}

func assign[T any](from, to *T) bool {
	if from != nil {
		*to = *from
	}
	return from != nil
}

// defaultPolicy holds the values that apply where no node sets one.
var defaultPolicy = Policy{
	Urgency:     50,
	Patience:    10 * time.Second,
	Deadline:    30 * time.Second,
	Weight:      1,
	MaxAttempts: 3,
	Backoff:     time.Second,
	CutOff:      CutOffStay,
}

// Values of Kind.CutOff.
const (
	CutOffStay = "stay"
	CutOffMove = "move"
)

// Values of Kind.Sacrifice.
const (
	SacrificeThrottle   = "throttle"
	SacrificeCheckpoint = "checkpoint"
	SacrificePreempt    = "preempt"
	SacrificeDrop       = "drop"
)
