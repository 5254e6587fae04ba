package settings

import (
	"time"

	"rhubarbstall.example/api/codes"
)

// kindLimits holds what a child's kind may not exceed.
type kindLimits struct {
	// set is false where nothing above bounds the kind.
	set      bool
	urgency  int
	reserve  int
	deadline time.Duration
}

// limitsOf returns the largest limits among policies.
func limitsOf(policies map[string]*Policy) *kindLimits {
	l := new(kindLimits)
	for _, p := range policies {
		l.set = true
		l.urgency = max(l.urgency, p.Urgency)
		l.reserve = max(l.reserve, p.ReservePercent)
		l.deadline = max(l.deadline, p.Deadline)
	}
	return l
}

// clamp lowers the limited values of p to the limits.
func (l *kindLimits) clamp(p Policy) Policy {
	if l.set {
		p.Urgency = min(p.Urgency, l.urgency)
		p.ReservePercent = min(p.ReservePercent, l.reserve)
		p.Deadline = min(p.Deadline, l.deadline)
	}
	return p
}

// check reports the values of p above the limits.
func (l *kindLimits) check(found *problems, path string, p *Policy) {
	if !l.set {
		return
	}
	const format = "%d widens the parent's limit of %d"
	if p.Urgency > l.urgency {
		found.add(codes.SettingsWidens, path+"/urgency", format, p.Urgency, l.urgency)
	}
	if p.ReservePercent > l.reserve {
		found.add(codes.SettingsWidens, path+"/reserve_percent", format, p.ReservePercent, l.reserve)
	}
	if p.Deadline > l.deadline {
		found.add(codes.SettingsWidens, path+"/deadline_ms", format, p.Deadline.Milliseconds(), l.deadline.Milliseconds())
	}
}
