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
	// zoneInterval keeps the time until a leaving upstream is noticed well under
	// the 3 s target.
	zoneInterval = time.Second
	// entryInterval suffices for entry VMs, whose heartbeats are faster.
	entryInterval = 5 * time.Second
	pollTimeout   = 2 * time.Second
)

// Lister reads the platform's list.
type Lister interface {
	ListVMs(ctx context.Context, q wire.VMQuery) (wire.VMList, error)
}

// Poller reads two parts of the list at intervals: every VM of the own zone, and
// the entry VMs of all zones. The whole list would be 14,000 workers a second
// for each entry VM. It implements Source and keeps the last list while the
// platform is away.
type Poller struct {
	lister Lister
	zone   string
	log    *zap.Logger

	// own and entries are the parts; only Run uses them.
	own     wire.VMList
	entries wire.VMList

	mu  sync.RWMutex
	vms []wire.VM
	at  time.Time
}

// NewPoller returns a poller of an availability zone without a list.
func NewPoller(lister Lister, zone string, log *zap.Logger) *Poller {
	return &Poller{lister: lister, zone: zone, log: log}
}

// VMs implements Source.
func (p *Poller) VMs() ([]wire.VM, time.Time) {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.vms, p.at
}

// Run polls until the context ends.
func (p *Poller) Run(ctx context.Context) error {
	var entriesAt time.Time
	failing := false
	for {
		err := p.pollZone(ctx)
		if err == nil && time.Since(entriesAt) >= entryInterval {
			if err = p.pollEntries(ctx); err == nil {
				entriesAt = time.Now()
			}
		}
		if (err != nil) != failing {
			failing = err != nil
			p.log.Info("[vmlist] platform list reachable", zap.Bool("reachable", !failing), zap.Error(err))
		}
		// The jitter keeps entry VMs that start together from polling together.
		wait := zoneInterval*3/4 + rand.N(zoneInterval/2)
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(wait):
		}
	}
}

func (p *Poller) pollZone(ctx context.Context) error {
	return p.poll(ctx, &p.own, wire.VMQuery{AvailabilityZone: p.zone, Revision: p.own.Revision})
}

func (p *Poller) pollEntries(ctx context.Context) error {
	return p.poll(ctx, &p.entries, wire.VMQuery{Role: wire.RoleEntry, Revision: p.entries.Revision})
}

// poll reads one part and publishes the list if it changed.
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
	p.vms, p.at = merged, time.Now()
	return nil
}

// merge joins the parts. The zone's own part is the newer one for its VMs.
func (p *Poller) merge() []wire.VM {
	merged := make([]wire.VM, 0, len(p.own.VMs)+len(p.entries.VMs))
	for _, vm := range p.own.VMs {
		// A platform that ignores the query answers the whole list.
		if vm.AvailabilityZone == p.zone {
			merged = append(merged, vm)
		}
	}
	for _, vm := range p.entries.VMs {
		if vm.Role == wire.RoleEntry && vm.AvailabilityZone != p.zone {
			merged = append(merged, vm)
		}
	}
	return slices.Clip(merged)
}
