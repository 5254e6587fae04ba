package relays

import (
	"cmp"
	"slices"
)

const (
	// directRunnersPerCore is how many runners a scheduler's VM converses with itself for each of its
	// cores. It leaves most of the processor to decisions.
	directRunnersPerCore = 200
	// runnersPerCore is how many runners a VM relays calls to for each of its cores. Calls with a busy
	// runner take about 0.5 ms of processor time a second, so a relay has most of its processor left
	// for callers.
	runnersPerCore = 400
	// minRelays limits the share of the runners that the loss of one relay affects.
	minRelays = 2
	// maxRelays limits the messages that the scheduler's VM exchanges with relays.
	maxRelays = 32
	// keepFactor lowers the number of runners at which relays in use are given up below the number at
	// which they are introduced, so that single runners that come and go do not switch them on and off.
	keepFactor = 0.8
)

// Select returns the VMs that relay the calls to a number of runners for a scheduler on a VM with ownCores
// cores: the largest candidates that are enough. It returns none if the scheduler's VM can carry the calls
// itself. Of VMs of the same size it prefers those in current, since each change of a relay opens new connections to
// runners.
func Select(candidates, current []VM, ownCores float64, runners int) []VM {
	direct := directRunnersPerCore * ownCores
	if len(current) > 0 {
		direct *= keepFactor
	}
	if ownCores <= 0 || float64(runners) <= direct {
		return nil
	}
	used := make(map[string]bool, len(current))
	for _, vm := range current {
		used[vm.Name] = true
	}
	inOrder := slices.Clone(candidates)
	slices.SortFunc(inOrder, func(a, b VM) int {
		if c := cmp.Compare(b.Cores, a.Cores); c != 0 {
			return c
		}
		if used[a.Name] != used[b.Name] {
			if used[a.Name] {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.Name, b.Name)
	})
	needed := float64(runners) / runnersPerCore
	total := 0.0
	for i, vm := range inOrder {
		if vm.Cores <= 0 || i == maxRelays || (i >= minRelays && total >= needed) {
			return inOrder[:i]
		}
		total += vm.Cores
	}
	return inOrder
}
