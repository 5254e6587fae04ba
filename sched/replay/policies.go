package replay

import (
	"time"

	"rhubarbstall.example/sched/model"
)

// policies implements model.Policies with the kinds and departments of a trace header.
type policies struct {
	kinds       map[string]model.Policy
	departments []model.Department
}

func newPolicies(h *Header) policies {
	p := policies{kinds: map[string]model.Policy{}}
	for _, k := range h.Kinds {
		p.kinds[k.Name] = model.Policy{
			Urgency: k.Urgency, Patience: time.Duration(k.PatienceMS) * time.Millisecond, FloorPercent: k.FloorPercent,
			Sacrifice:   model.Sacrifice{Checkpoint: k.Checkpoint, Preempt: k.Preempt},
			MaxAttempts: 6, Backoff: time.Second, SpreadRacks: k.SpreadRacks,
		}
	}
	for _, d := range h.Departments {
		p.departments = append(p.departments, model.Department{Path: d.Path, Weight: d.Weight})
	}
	return p
}

// Policy implements model.Policies.
func (p policies) Policy(_, kind string) (model.Policy, bool) {
	x, ok := p.kinds[kind]
	return x, ok
}

// Departments implements model.Policies.
func (p policies) Departments() []model.Department { return p.departments }
