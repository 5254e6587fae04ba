package health

import "time"

// failedAttempt is a failed attempt as the outage detector records it.
type failedAttempt struct {
	at                time.Time
	worker, rack, job string
}

// outageDetector finds racks and zones in which many workers fail at the same time.
type outageDetector struct {
	recent []failedAttempt
}

// outageScope is the largest unit that a failure affects.
type outageScope int

const (
	scopeWorker outageScope = iota
	scopeRack
	scopeZone
)

// add records a failure and classifies it. rackSize is the number of workers of the
// rack, racks the number of racks of the zone. A rack has an outage if at least two, and
// at least half, of its workers failed within outageWindow. A zone has one if the rack of
// the attempt does, and at least three, and at least half, of its racks have two failing
// workers. Failures of a single job never count as an outage, since the job itself is
// the more likely cause.
func (d *outageDetector) add(now time.Time, attempt failedAttempt, rackSize, racks int) outageScope {
	kept := d.recent[:0]
	for _, f := range d.recent {
		if now.Sub(f.at) < outageWindow && f.worker != attempt.worker {
			kept = append(kept, f)
		}
	}
	d.recent = append(kept, attempt)
	failing := map[string]int{}
	jobs := map[string]map[string]bool{}
	for _, f := range d.recent {
		failing[f.rack]++
		if jobs[f.rack] == nil {
			jobs[f.rack] = map[string]bool{}
		}
		jobs[f.rack][f.job] = true
	}
	rackFailing := func(rack string, size int) bool {
		return failing[rack] >= 2 && 2*failing[rack] >= size && len(jobs[rack]) >= 2
	}
	if !rackFailing(attempt.rack, rackSize) {
		return scopeWorker
	}
	failingRacks := 0
	for rack, n := range failing {
		if n >= 2 && len(jobs[rack]) >= 2 {
			failingRacks++
		}
	}
	if failingRacks >= 3 && 2*failingRacks >= racks {
		return scopeZone
	}
	return scopeRack
}
