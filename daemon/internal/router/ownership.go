package router

import (
	"slices"
	"strconv"
	"time"

	"rhubarbstall.example/daemon/internal/rendezvous"
	wireplatform "rhubarbstall.example/wire/platform"
	wire "rhubarbstall.example/wire/runner"
)

// ownerOf returns the entry VM that owns a slot.
func (r *Router) ownerOf(runner string, slot int) string {
	return rendezvous.Owner(runner+"/"+strconv.Itoa(slot), r.ownerIDs)
}

// refresh takes the platform's list and the owners over. The lock is held.
func (r *Router) refresh(now time.Time) {
	r.declare(now)
	owners := r.owners()
	slices.Sort(owners)
	vms, at := r.cfg.VMs.VMs()
	listChanged := !at.Equal(r.listAt)
	r.listAt = at
	if listChanged {
		r.takeList(vms)
	}
	ownersChanged := !slices.Equal(owners, r.ownerIDs)
	r.ownerIDs = owners
	if listChanged || ownersChanged {
		r.assign()
	}
	r.block()
	r.updatePeers(now)
	failing := 0
	for _, u := range r.upstreams {
		u.endHold(now)
		if u.health.ejected() && !u.health.unreachable {
			failing++
		}
	}
	for _, u := range r.upstreams {
		u.health.lenient = 2*failing > len(r.upstreams)
	}
}

// takeList creates, updates and removes runners.
func (r *Router) takeList(vms []wireplatform.VM) {
	listed := map[string]bool{}
	for _, vm := range vms {
		if vm.Role != wireplatform.RoleRunner || vm.AvailabilityZone != r.cfg.Self.Zone {
			continue
		}
		listed[vm.ID] = true
		u := r.byID[vm.ID]
		if u == nil || u.addr != vm.Addr {
			if u != nil {
				u.gone = true
			}
			u = newUpstream(vm.ID, vm.AvailabilityZone, vm.Addr)
			r.byID[vm.ID] = u
			r.upstreams = append(r.upstreams, u)
		}
		u.gone = false
		u.leaving.listed = vm.State == wireplatform.VMLeaving
	}
	r.upstreams = slices.DeleteFunc(r.upstreams, func(u *upstream) bool {
		u.gone = u.gone || !listed[u.id]
		if !u.gone || u.inFlight() > 0 {
			return false
		}
		if r.byID[u.id] == u {
			delete(r.byID, u.id)
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

// assign sets the owners of every slot and the share of each runner's
// connections. Only owners of a slot connect to a runner.
func (r *Router) assign() {
	share := max(1, wire.MaxConnections/max(1, len(r.ownerIDs)))
	for _, u := range r.upstreams {
		some := false
		for i := range u.mine {
			u.mine[i] = r.ownerOf(u.id, i) == r.cfg.Self.ID
			some = some || u.mine[i]
		}
		if !some {
			u.close()
		}
		u.pool.limit.Store(int64(share))
	}
}

// block withholds the slots that this entry VM may not use yet.
func (r *Router) block() {
	for _, u := range r.upstreams {
		for i := range u.owned {
			u.owned[i] = u.mine[i] && r.join.joined
		}
	}
	for _, refs := range r.join.blocked {
		for _, ref := range refs {
			if u := r.byID[ref.Runner]; u != nil && ref.Slot >= 0 && ref.Slot < wire.Slots {
				u.owned[ref.Slot] = false
			}
		}
	}
}
