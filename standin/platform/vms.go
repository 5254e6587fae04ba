package platform

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"slices"
	"sync"
	"time"

	"rhubarbstall.example/standin/history"
	wire "rhubarbstall.example/wire/platform"
)

// vmList is the VM list. A change becomes visible after the lag.
type vmList struct {
	lag     time.Duration
	history *history.Writer

	mu      sync.Mutex
	visible map[string]wire.VM
	pending []vmChange
}

// vmChange is a change that is not visible yet. If vm is nil, it removes the VM.
type vmChange struct {
	visibleAt time.Time
	id        string
	vm        *wire.VM
}

func (v *vmList) set(vm wire.VM) {
	v.enqueue(vmChange{id: vm.ID, vm: &vm})
	v.history.Write(history.Event{Type: history.VMListed, Key: vm.ID, Role: string(vm.Role), State: string(vm.State)})
}

func (v *vmList) remove(id string) {
	v.enqueue(vmChange{id: id})
	v.history.Write(history.Event{Type: history.VMRemoved, Key: id})
}

func (v *vmList) enqueue(c vmChange) {
	v.mu.Lock()
	defer v.mu.Unlock()
	c.visibleAt = time.Now().Add(v.lag)
	v.pending = append(v.pending, c)
}

// query returns the VMs that match q. The revision is a digest of these VMs, so changes of
// other VMs do not alter it.
func (v *vmList) query(q wire.VMQuery) wire.VMList {
	var vms []wire.VM
	digest := fnv.New64a()
	for _, vm := range v.list() {
		if (q.AvailabilityZone != "" && vm.AvailabilityZone != q.AvailabilityZone) || (q.Role != "" && vm.Role != q.Role) {
			continue
		}
		vms = append(vms, vm)
		fmt.Fprintf(digest, "%+v", vm)
	}
	revision := digest.Sum64()
	if q.Revision == revision {
		return wire.VMList{Revision: revision, Unchanged: true}
	}
	return wire.VMList{Revision: revision, VMs: vms}
}

func (v *vmList) list() []wire.VM {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := time.Now()
	for len(v.pending) > 0 && !v.pending[0].visibleAt.After(now) {
		c := v.pending[0]
		v.pending = v.pending[1:]
		if c.vm == nil {
			delete(v.visible, c.id)
		} else {
			v.visible[c.id] = *c.vm
		}
	}
	vms := make([]wire.VM, 0, len(v.visible))
	for _, vm := range v.visible {
		vms = append(vms, vm)
	}
	slices.SortFunc(vms, func(a, b wire.VM) int { return cmp.Compare(a.ID, b.ID) })
	return vms
}
