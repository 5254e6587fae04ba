package vmlist

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	wire "rhubarbstall.example/wire/platform"
)

const (
	// pollInterval keeps the time until a leaving upstream is noticed well under
	// the 3 s target.
	pollInterval = time.Second
	pollTimeout  = 2 * time.Second
)

// Lister reads the platform's list.
type Lister interface {
	VMs(ctx context.Context) ([]wire.VM, error)
}

// Poller reads the list at an interval. It implements Source and keeps the last
// list while the platform is away.
type Poller struct {
	lister Lister
	log    *zap.Logger

	mu  sync.RWMutex
	vms []wire.VM
	at  time.Time
}

// NewPoller returns a poller without a list.
func NewPoller(lister Lister, log *zap.Logger) *Poller {
	return &Poller{lister: lister, log: log}
}

// VMs implements Source.
func (p *Poller) VMs() ([]wire.VM, time.Time) {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.vms, p.at
}

// Run polls until the context ends.
func (p *Poller) Run(ctx context.Context) error {
	failing := false
	for {
		err := p.poll(ctx)
		if (err != nil) != failing {
			failing = err != nil
			p.log.Info("[vmlist] platform list reachable", zap.Bool("reachable", !failing), zap.Error(err))
		}
		// The jitter keeps entry VMs that start together from polling together.
		wait := pollInterval*3/4 + rand.N(pollInterval/2)
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(wait):
		}
	}
}

func (p *Poller) poll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	vms, err := p.lister.VMs(ctx)
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms, p.at = vms, time.Now()
	return nil
}
