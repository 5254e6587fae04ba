package relays

import (
	"hash/fnv"
	"math"
)

// Owner returns the index of the VM that relays the calls to a runner, or -1 if there are no VMs. Each VM's
// share of the runners is proportional to its cores. When a VM comes or goes, only runners of its own
// share change their VM (weighted rendezvous hashing).
func Owner(runner string, vms []VM) int {
	owner, best := -1, 0.0
	for i := range vms {
		// The logarithm of a uniform number, divided by the weight, is smallest in proportion to
		// the weight.
		score := -math.Log(uniform(vms[i].Name, runner)) / vms[i].Cores
		if owner < 0 || score < best {
			owner, best = i, score
		}
	}
	return owner
}

// uniform returns a number above 0 and below 1 that depends only on a VM and a runner.
func uniform(vm, runner string) float64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(vm))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(runner))
	return (float64(mix(h.Sum64())>>11) + 0.5) / (1 << 53)
}

// mix spreads the bits of a hash, of which the high ones depend little on the last bytes.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
