package jobs

import (
	"slices"

	"rhubarbstall.example/sched/model"
	"rhubarbstall.example/settings"
)

// policies converts a settings document to the policies of the scheduling engine.
type policies struct {
	doc *settings.Document
}

// Policy returns the effective policy of a kind in a department.
func (p policies) Policy(department, kind string) (model.Policy, bool) {
	s, ok := p.doc.Resolve(department, kind)
	if !ok {
		return model.Policy{}, false
	}
	return model.Policy{
		Urgency: s.Urgency, Patience: s.Patience, FloorPercent: s.FloorPercent,
		Sacrifice: model.Sacrifice{
			Checkpoint: slices.Contains(s.Sacrifice, "checkpoint"),
			Preempt:    slices.Contains(s.Sacrifice, "preempt"),
			Throttle:   slices.Contains(s.Sacrifice, "throttle"),
			Drop:       slices.Contains(s.Sacrifice, "drop"),
		},
		MaxAttempts: s.MaxAttempts, Backoff: s.Backoff, SpreadRacks: s.SpreadRacks,
	}, true
}

// Departments returns all departments: parents before children, siblings by name.
func (p policies) Departments() []model.Department {
	var out []model.Department
	var walk func(path string, n *settings.Node)
	walk = func(path string, n *settings.Node) {
		d := model.Department{Path: path, Weight: 1}
		if n.Weight != nil {
			d.Weight = *n.Weight
		}
		if n.Quota != nil {
			d.Quota = model.Resources(*n.Quota)
		}
		out = append(out, d)
		names := make([]string, 0, len(n.Children))
		for name := range n.Children {
			names = append(names, name)
		}
		slices.Sort(names)
		for _, name := range names {
			child := n.Children[name]
			walk(path+"/"+name, &child)
		}
	}
	walk(settings.RootPath, &p.doc.Root)
	return out
}
