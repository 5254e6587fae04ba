package relays

import (
	"fmt"
	"slices"
	"testing"

	"github.com/shoenig/test/must"
)

// fleet returns VMs of which the first few are large.
func fleet(large, small int) []VM {
	var vms []VM
	for i := range large + small {
		vm := VM{Name: fmt.Sprintf("vm%03d", i), Cores: 0.2}
		if i < large {
			vm.Cores = 0.8
		}
		vms = append(vms, vm)
	}
	return vms
}

func runnerIDs(n int) []string {
	var ids []string
	for i := range n {
		ids = append(ids, fmt.Sprintf("i-%08x", i*7919))
	}
	return ids
}

// Guards against relays in cells in which they cost more than they save, and against flapping when
// single runners come and go.
func TestSmallCellsHaveNoRelays(t *testing.T) {
	vms := fleet(0, 8)
	must.SliceEmpty(t, Select(vms, nil, 0.4, 80))
	must.SliceNotEmpty(t, Select(vms, nil, 0.4, 81))
	must.SliceNotEmpty(t, Select(vms, vms[:2], 0.4, 65))
	must.SliceEmpty(t, Select(vms, vms[:2], 0.4, 64))
	must.SliceEmpty(t, Select(vms, nil, 0, 1000))
}

// Guards against relays that are too small for their share although larger VMs are idle, and against
// more relays than are needed.
func TestLargestVMsAreSelected(t *testing.T) {
	selected := Select(fleet(18, 129), nil, 0.8, 1100)
	must.Len(t, 4, selected)
	for _, vm := range selected {
		must.Eq(t, 0.8, vm.Cores)
	}
	must.Len(t, minRelays, Select(fleet(18, 0), nil, 0.8, 200))
	must.Len(t, 14, Select(fleet(0, 146), nil, 0.2, 1100))
	must.Len(t, maxRelays, Select(fleet(0, 146), nil, 0.2, 30000))
}

// Guards against runners that change their relay, which opens new connections, when VMs are added.
func TestAddedVMsDoNotReplaceRelays(t *testing.T) {
	before := Select(fleet(8, 40)[2:], nil, 0.8, 1100)
	after := Select(fleet(18, 200), before, 0.8, 1100)
	must.SliceContainsAll(t, after, before)
	must.Len(t, len(before), after)
}

// Guards against shares that do not follow the size of the relays.
func TestSharesAreProportionalToCores(t *testing.T) {
	vms := []VM{{Name: "a", Cores: 0.8}, {Name: "b", Cores: 0.4}, {Name: "c", Cores: 0.4}}
	counts := make([]int, len(vms))
	for _, id := range runnerIDs(4000) {
		counts[Owner(id, vms)]++
	}
	must.Between(t, 1850, counts[0], 2150)
	must.Between(t, 900, counts[1], 1100)
	must.Between(t, 900, counts[2], 1100)
	must.Eq(t, -1, Owner("r", nil))
}

// Guards against the loss of one relay moving the runners of others.
func TestLossOfARelayMovesOnlyItsRunners(t *testing.T) {
	vms := fleet(2, 6)
	left := slices.Delete(slices.Clone(vms), 3, 4)
	for _, id := range runnerIDs(1000) {
		before := vms[Owner(id, vms)].Name
		after := left[Owner(id, left)].Name
		if before != vms[3].Name {
			must.Eq(t, before, after)
		}
	}
}
