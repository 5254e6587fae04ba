package zonelead

import (
	"time"

	"rhubarbstall.example/sched/quorum"
	wire "rhubarbstall.example/wire/platform"
)

// removedAfter is how long a worker must be missing from the platform's VM list
// before it counts as removed. The list drops a VM late, never early, and the
// longest owner lease that the VM may have granted has expired by then.
const removedAfter = 15 * time.Second

// removedWorkers tracks which workers of the roster are missing from the platform's
// VM list. Only the goroutine that runs campaigns uses it.
type removedWorkers struct {
	// missing holds the time since when a worker is missing.
	missing map[string]time.Time
}

// vmList is the zone's part of the platform's VM list.
type vmList struct {
	workers map[string]bool
	// complete is set if the list was read and contains this entry VM. In an empty
	// list, or one of another deployment, a missing worker proves nothing.
	complete bool
}

// update records which workers are missing and returns those that count as removed.
func (r *removedWorkers) update(now time.Time, roster quorum.Roster, list vmList) map[string]bool {
	if !list.complete {
		return nil
	}
	if r.missing == nil {
		r.missing = make(map[string]time.Time)
	}
	removed := make(map[string]bool)
	for _, w := range roster.Workers {
		if list.workers[w] {
			delete(r.missing, w)
			continue
		}
		since, ok := r.missing[w]
		if !ok {
			r.missing[w] = now
			continue
		}
		if now.Sub(since) >= removedAfter {
			removed[w] = true
		}
	}
	return removed
}

// vmList returns the zone's part of the VM list that was read last.
func (e *Elector) vmList() vmList {
	vms, at := e.cfg.VMs.VMs()
	list := vmList{workers: make(map[string]bool)}
	for _, vm := range vms {
		if vm.AvailabilityZone != e.cfg.Zone {
			continue
		}
		switch {
		case vm.Role == wire.RoleWorker:
			list.workers[vm.ID] = true
		case vm.Role == wire.RoleEntry && vm.ID == e.cfg.SelfID:
			list.complete = !at.IsZero()
		}
	}
	return list
}
