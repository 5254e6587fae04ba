package cellsched

import (
	"hash/fnv"
	"strconv"
)

// vmList is a list of VMs with its checksum and the VM that sent it.
type vmList struct {
	from VMAddr
	sum  uint64
	vms  []VMAddr
}

// vmListSum returns a checksum of a list of VMs; it is never 0.
func vmListSum(vms []VMAddr) uint64 {
	h := fnv.New64a()
	for _, a := range vms {
		_, _ = h.Write([]byte(a.VM + "\x00" + a.Addr + "\x00" + strconv.FormatFloat(a.Capacity, 'g', -1, 64) + "\x00"))
	}
	return max(1, h.Sum64())
}
