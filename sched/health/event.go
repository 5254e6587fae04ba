package health

import "time"

// blow is a failed attempt as the event detector sees it.
type blow struct {
	at                time.Time
	worker, rack, job string
}

// events finds racks and zones that fail at once.
type events struct {
	recent []blow
}

// scope tells how far a failure reaches.
type scope int

const (
	scopeWorker scope = iota
	scopeRack
	scopeZone
)

// add records a failure and classifies it. rackSize is the number of workers of
// the rack and racks the number of racks. Failures of a single job never make an
// event, since the job itself is the likelier cause.
func (e *events) add(now time.Time, b blow, rackSize, racks int) scope {
	kept := e.recent[:0]
	for _, x := range e.recent {
		if now.Sub(x.at) < eventWindow && x.worker != b.worker {
			kept = append(kept, x)
		}
	}
	e.recent = append(kept, b)
	failing := map[string]int{}
	jobs := map[string]map[string]bool{}
	for _, x := range e.recent {
		failing[x.rack]++
		if jobs[x.rack] == nil {
			jobs[x.rack] = map[string]bool{}
		}
		jobs[x.rack][x.job] = true
	}
	down := func(rack string, size int) bool {
		return failing[rack] >= 2 && 2*failing[rack] >= size && len(jobs[rack]) >= 2
	}
	if !down(b.rack, rackSize) {
		return scopeWorker
	}
	many := 0
	for rack, n := range failing {
		if n >= 2 && len(jobs[rack]) >= 2 {
			many++
		}
	}
	if many >= 3 && 2*many >= racks {
		return scopeZone
	}
	return scopeRack
}
