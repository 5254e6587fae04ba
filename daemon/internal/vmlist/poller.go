package vmlist

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	wire "rhubarbstall.example/wire/platform"
)

const (
	// zoneInterval is short enough that a leaving upstream is noticed well within the target
	// of 3 s.
	zoneInterval = time.Second
	// entryVMInterval can be long because the heartbeats of entry VMs are faster.
	entryVMInterval = 5 * time.Second
	pollTimeout     = 2 * time.Second
)

// Lister reads the platform's list of VMs.
type Lister interface {
	ListVMs(ctx context.Context, q wire.VMQuery) (wire.VMList, error)
}

// Poller periodically reads two parts of the list: all VMs of its own zone, and the entry VMs
// of all zones. With the whole list, each entry VM would read 14,000 workers every second.
// Poller implements Source and keeps the last list while the platform is unreachable.
type Poller struct {
	lister Lister
	zone   string
	log    *zap.Logger

	// zoneVMs and entryVMs are the two parts; only Run uses them.
	zoneVMs  wire.VMList
	entryVMs wire.VMList

	mu  sync.RWMutex
	vms []wire.VM
	// readAt is the time of the last successful read.
	readAt time.Time
}

// NewPoller returns a poller for an availability zone. It has no list before Run.
func NewPoller(lister Lister, zone string, log *zap.Logger) *Poller {
	return &Poller{lister: lister, zone: zone, log: log}
}

// VMs implements Source.
func (p *Poller) VMs() ([]wire.VM, time.Time) {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.vms, p.readAt
}

// Run polls until the context ends.
func (p *Poller) Run(ctx context.Context) error {
	var entryVMsReadAt time.Time
	failing := false
	for {
		err := p.pollZone(ctx)
		if err == nil && time.Since(entryVMsReadAt) >= entryVMInterval {
			if err = p.pollEntryVMs(ctx); err == nil {
				entryVMsReadAt = time.Now()
			}
		}
		if (err != nil) != failing {
			failing = err != nil
			p.log.Info("[vmlist] reachability of the platform's VM list changed", zap.Bool("reachable", !failing), zap.Error(err))
		}
		// Jitter, so that entry VMs that start at the same time do not poll at the same time.
		wait := zoneInterval*3/4 + rand.N(zoneInterval/2)
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(wait):
		}
	}
}

func (p *Poller) pollZone(ctx context.Context) error {
	return p.poll(ctx, &p.zoneVMs, wire.VMQuery{AvailabilityZone: p.zone, Revision: p.zoneVMs.Revision})
}

func (p *Poller) pollEntryVMs(ctx context.Context) error {
	return p.poll(ctx, &p.entryVMs, wire.VMQuery{Role: wire.RoleEntry, Revision: p.entryVMs.Revision})
}

// poll reads one part unless it is unchanged, and publishes the merged list.
func (p *Poller) poll(ctx context.Context, part *wire.VMList, q wire.VMQuery) error {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	list, err := p.lister.ListVMs(ctx, q)
	if err != nil {
		return err
	}
	if !list.Unchanged {
		*part = list
	}
	merged := p.merge()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms, p.readAt = merged, time.Now()
	return nil
}

// merge combines the two parts. VMs of the own zone come only from the zone's part, which is
// read more often.
func (p *Poller) merge() []wire.VM {
	merged := make([]wire.VM, 0, len(p.zoneVMs.VMs)+len(p.entryVMs.VMs))
	for _, vm := range p.zoneVMs.VMs {
		// A platform that ignores the query returns the whole list.
		if vm.AvailabilityZone == p.zone {
			merged = append(merged, vm)
		}
	}
	for _, vm := range p.entryVMs.VMs {
		if vm.Role == wire.RoleEntry && vm.AvailabilityZone != p.zone {
			merged = append(merged, vm)
		}
	}
	return slices.Clip(merged)
}
