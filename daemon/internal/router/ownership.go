package router

import (
	"slices"
	"strconv"
	"time"

	"rhubarbstall.example/daemon/internal/rendezvous"
	wireplatform "rhubarbstall.example/wire/platform"
	wire "rhubarbstall.example/wire/runner"
)

// ownerOf returns the ID of the entry VM that owns a slot.
func (r *Router) ownerOf(runner string, slot int) string {
	return rendezvous.Owner(runner+"/"+strconv.Itoa(slot), r.ownerIDs)
}

// refreshState applies the current settings, VM list, slot owners and peer
// reports. r.mu must be held.
func (r *Router) refreshState(now time.Time) {
	r.declareKinds(now)
	owners := r.owners()
	slices.Sort(owners)
	vms, at := r.cfg.VMs.VMs()
	listChanged := !at.Equal(r.vmListAt)
	r.vmListAt = at
	if listChanged {
		r.updateUpstreams(vms)
	}
	ownersChanged := !slices.Equal(owners, r.ownerIDs)
	r.ownerIDs = owners
	if listChanged || ownersChanged {
		r.assignSlots()
	}
	r.updateUsableSlots()
	r.updatePeers(now)
	failing := 0
	for _, u := range r.upstreams {
		u.releaseHeldSlots(now)
		if u.health.ejected() && !u.health.unreachable {
			failing++
		}
	}
	for _, u := range r.upstreams {
		u.health.panicMode = 2*failing > len(r.upstreams)
	}
}

// updateUpstreams creates, updates and removes upstreams to match the VM list.
func (r *Router) updateUpstreams(vms []wireplatform.VM) {
	listed := map[string]bool{}
	for _, vm := range vms {
		if vm.Role != wireplatform.RoleRunner || vm.AvailabilityZone != r.cfg.Self.Zone {
			continue
		}
		listed[vm.ID] = true
		u := r.upstreamByID[vm.ID]
		if u == nil || u.addr != vm.Addr {
			if u != nil {
				u.delisted = true
			}
			u = newUpstream(vm.ID, vm.AvailabilityZone, vm.Addr)
			r.upstreamByID[vm.ID] = u
			r.upstreams = append(r.upstreams, u)
		}
		u.delisted = false
		u.leaving.listedAsLeaving = vm.State == wireplatform.VMLeaving
	}
	r.upstreams = slices.DeleteFunc(r.upstreams, func(u *upstream) bool {
		u.delisted = u.delisted || !listed[u.id]
		if !u.delisted || u.busySlots() > 0 {
			return false
		}
		if r.upstreamByID[u.id] == u {
			delete(r.upstreamByID, u.id)
		}
		u.close()
		return true
	})
	slices.SortFunc(r.upstreams, func(a, b *upstream) int {
		if a.id < b.id {
			return -1
		}
		return 1
	})
}

// assignSlots recomputes which slots belong to this entry VM, and its share of
// the connections to each runner. Only owners of a slot connect to a runner.
func (r *Router) assignSlots() {
	share := max(1, wire.MaxConnections/max(1, len(r.ownerIDs)))
	for _, u := range r.upstreams {
		assignedAny := false
		for i := range u.assigned {
			u.assigned[i] = r.ownerOf(u.id, i) == r.cfg.Self.ID
			assignedAny = assignedAny || u.assigned[i]
		}
		if !assignedAny {
			u.close()
		}
		u.pool.limit.Store(int64(share))
	}
}

// updateUsableSlots marks the assigned slots as usable once the join is complete,
// except those that another owner still uses.
func (r *Router) updateUsableSlots() {
	for _, u := range r.upstreams {
		for i := range u.usable {
			u.usable[i] = u.assigned[i] && r.join.joined
		}
	}
	for _, refs := range r.join.busyElsewhere {
		for _, ref := range refs {
			if u := r.upstreamByID[ref.Runner]; u != nil && ref.Slot >= 0 && ref.Slot < wire.Slots {
				u.usable[ref.Slot] = false
			}
		}
	}
}
