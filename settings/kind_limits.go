package settings

import (
	"time"

	"rhubarbstall.example/api/codes"
)

// kindLimits holds the largest values that a child may set for a kind.
type kindLimits struct {
	// limited is false if no ancestor defines a kind, so that no limit applies.
	limited        bool
	urgency        int
	reservePercent int
	deadline       time.Duration
}

// largestLimits returns the largest limits among policies.
func largestLimits(policies map[string]*Policy) *kindLimits {
	l := new(kindLimits)
	for _, p := range policies {
		l.limited = true
		l.urgency = max(l.urgency, p.Urgency)
		l.reservePercent = max(l.reservePercent, p.ReservePercent)
		l.deadline = max(l.deadline, p.Deadline)
	}
	return l
}

// clamp lowers the values of p that exceed the limits.
func (l *kindLimits) clamp(p Policy) Policy {
	if l.limited {
		p.Urgency = min(p.Urgency, l.urgency)
		p.ReservePercent = min(p.ReservePercent, l.reservePercent)
		p.Deadline = min(p.Deadline, l.deadline)
	}
	return p
}

// check reports the values of p that exceed the limits.
func (l *kindLimits) check(problems *problemList, path string, p *Policy) {
	if !l.limited {
		return
	}
	const format = "%d widens the parent's limit of %d"
	if p.Urgency > l.urgency {
		problems.add(codes.SettingsWidens, path+"/urgency", format, p.Urgency, l.urgency)
	}
	if p.ReservePercent > l.reservePercent {
		problems.add(codes.SettingsWidens, path+"/reserve_percent", format, p.ReservePercent, l.reservePercent)
	}
	if p.Deadline > l.deadline {
		problems.add(codes.SettingsWidens, path+"/deadline_ms", format, p.Deadline.Milliseconds(), l.deadline.Milliseconds())
	}
}
