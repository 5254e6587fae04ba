package cellsched

import (
	"sort"
	"sync"
	"time"
)

// VMAddr is the name, the peer address and the scheduling capacity of an entry VM.
type VMAddr struct {
	VM   string `json:"vm"`
	Addr string `json:"addr"`
	// Capacity is the VM's capacity as scheduler, in cores; 0 if not available.
	Capacity float64 `json:"capacity,omitempty"`
}

// peerTimeout is how long an entry VM stays in the directory without contact. It is longer
// than an outage or a network partition usually lasts.
const peerTimeout = 30 * time.Second

// Directory holds the other entry VMs that this one knows. It is safe for concurrent use.
type Directory struct {
	self string

	mu    sync.Mutex
	peers map[string]*knownPeer
}

type knownPeer struct {
	addr string
	// lastHeard is when the VM was last contacted, or first reported by another VM.
	lastHeard time.Time
	// contacted tells whether the VM called this one or was called by it; otherwise another VM
	// has reported it.
	contacted bool
	// storeUnreachable tells whether the VM reported that it cannot reach the store.
	storeUnreachable bool
	// capacity is the VM's capacity as scheduler, in cores.
	capacity float64
}

// NewDirectory returns an empty directory for the VM named self.
func NewDirectory(self string) *Directory {
	return &Directory{self: self, peers: make(map[string]*knownPeer)}
}

// RecordContact records that a VM called this one or was called by it, and whether the VM
// cannot reach the store.
func (d *Directory) RecordContact(now time.Time, a VMAddr, storeUnreachable bool) {
	if a.VM == "" || a.VM == d.self || a.Addr == "" {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.peers[a.VM] = &knownPeer{addr: a.Addr, lastHeard: now, contacted: true, storeUnreachable: storeUnreachable, capacity: a.Capacity}
}

// AddReported adds the VMs that another VM reported.
func (d *Directory) AddReported(now time.Time, reported []VMAddr) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, a := range reported {
		if a.VM == d.self || a.Addr == "" {
			continue
		}
		if p := d.peers[a.VM]; p == nil || p.addr != a.Addr {
			d.peers[a.VM] = &knownPeer{addr: a.Addr, lastHeard: now, capacity: a.Capacity}
		}
	}
}

// candidateTimeout is how long after its last call a VM counts as a candidate for the
// scheduler's role. Two calls in a row may be lost, because VMs call each helloInterval, and
// sooner after a failed call.
const candidateTimeout = 5 * helloInterval / 2

// LargestCapacity returns the largest capacity, in cores, among the VMs that were contacted
// within candidateTimeout and can reach the store; 0 if there is none.
func (d *Directory) LargestCapacity(now time.Time) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	largest := 0.0
	for _, p := range d.peers {
		if p.contacted && !p.storeUnreachable && now.Sub(p.lastHeard) < candidateTimeout {
			largest = max(largest, p.capacity)
		}
	}
	return largest
}

// All returns the VMs in the directory, sorted by name.
func (d *Directory) All(now time.Time) []VMAddr {
	return d.filter(now, func(*knownPeer) bool { return true })
}

// Contacted returns the VMs that were themselves contacted, sorted by name. Only these are
// reported to other VMs: otherwise VMs would report terminated VMs to each other forever.
func (d *Directory) Contacted(now time.Time) []VMAddr {
	return d.filter(now, func(p *knownPeer) bool { return p.contacted })
}

// ReachingStore returns the VMs that have not reported that they cannot reach the store, sorted by name.
func (d *Directory) ReachingStore(now time.Time) []VMAddr {
	return d.filter(now, func(p *knownPeer) bool { return !p.storeUnreachable })
}

func (d *Directory) filter(now time.Time, include func(*knownPeer) bool) []VMAddr {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make([]VMAddr, 0, len(d.peers))
	for vm, p := range d.peers {
		if now.Sub(p.lastHeard) > peerTimeout {
			delete(d.peers, vm)
			continue
		}
		if include(p) {
			out = append(out, VMAddr{VM: vm, Addr: p.addr, Capacity: p.capacity})
		}
	}
	sort.Slice(out, func(i, k int) bool { return out[i].VM < out[k].VM })
	return out
}

// vmViews returns the VMs in the directory for operators, sorted by name.
func (d *Directory) vmViews(now time.Time) []VMView {
	all := d.All(now)
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make([]VMView, 0, len(all))
	for _, a := range all {
		if p := d.peers[a.VM]; p != nil {
			out = append(out, VMView{VM: a.VM, StoreUnreachable: p.storeUnreachable})
		}
	}
	return out
}

// ProxyCandidates returns the VMs that may be able to store jobs for this one. VMs that
// reported that they cannot reach the store come last.
func (d *Directory) ProxyCandidates(now time.Time) []VMAddr {
	all := d.All(now)
	d.mu.Lock()
	defer d.mu.Unlock()
	storeUnreachable := func(a VMAddr) bool { p := d.peers[a.VM]; return p != nil && p.storeUnreachable }
	sort.SliceStable(all, func(i, k int) bool { return !storeUnreachable(all[i]) && storeUnreachable(all[k]) })
	return all
}
