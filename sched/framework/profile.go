package framework

import "rhubarbstall.example/sched/cache"

// Profile is the list of plugins of an engine by extension point.
type Profile struct {
	permits    []Permit
	filters    []Filter
	scores     []Score
	reserves   []Reserve
	candidates []Candidates
}

// NewProfile returns a profile that calls the plugins in the given order at each
// extension point that they implement.
func NewProfile(plugins ...any) *Profile {
	p := &Profile{}
	for _, plugin := range plugins {
		if x, ok := plugin.(Permit); ok {
			p.permits = append(p.permits, x)
		}
		if x, ok := plugin.(Filter); ok {
			p.filters = append(p.filters, x)
		}
		if x, ok := plugin.(Score); ok {
			p.scores = append(p.scores, x)
		}
		if x, ok := plugin.(Candidates); ok {
			p.candidates = append(p.candidates, x)
		}
		if x, ok := plugin.(Reserve); ok {
			p.reserves = append(p.reserves, x)
		}
	}
	return p
}

// Permit returns false and a reason if some plugin does not let the task start.
func (p *Profile) Permit(t *Task) (string, bool) {
	for _, x := range p.permits {
		if reason, ok := x.Permit(t); !ok {
			return reason, false
		}
	}
	return "", true
}

// Feasible reports whether all filters allow the task on the node.
func (p *Profile) Feasible(t *Task, n *cache.Node) bool {
	return p.RejectedBy(t, n) == ""
}

// RejectedBy returns the name of the first filter that rejects the node for the task,
// empty if none does.
func (p *Profile) RejectedBy(t *Task, n *cache.Node) string {
	for _, x := range p.filters {
		if !x.Allow(t, n) {
			return x.Name()
		}
	}
	return ""
}

// Score returns the sum of all scores.
func (p *Profile) Score(t *Task, n *cache.Node) float64 {
	sum := 0.0
	for _, x := range p.scores {
		sum += x.Score(t, n)
	}
	return sum
}

// Reserve accounts for the start of a task on a node.
func (p *Profile) Reserve(t *Task, n *cache.Node) {
	for _, x := range p.reserves {
		x.Reserve(t, n)
	}
}

// Release accounts for the end of a task on a node.
func (p *Profile) Release(t *Task, n *cache.Node) {
	for _, x := range p.reserves {
		x.Release(t, n)
	}
}
