package cellsched

import (
	"context"
	"time"

	"go.uber.org/zap"

	"rhubarbstall.example/daemon/internal/election"
	"rhubarbstall.example/daemon/internal/peer"
	"rhubarbstall.example/daemon/internal/wait"
	"rhubarbstall.example/sched/cell"
)

const (
	// helloInterval is the interval of the heartbeat calls to the scheduler's VM. Through
	// them each VM learns of all other VMs, and of a new scheduler while it cannot reach the
	// store.
	helloInterval = time.Second
	// searchInterval is the pause between these calls while the scheduler's VM is not known,
	// cannot be reached or cannot reach the store.
	searchInterval = 200 * time.Millisecond
	// maxSearchDoublings keeps the pause from overflowing.
	maxSearchDoublings = 8
	// helloTimeout is the timeout of a heartbeat call.
	helloTimeout = 300 * time.Millisecond
)

type helloArgs struct {
	From             VMAddr `json:"from"`
	StoreUnreachable bool   `json:"away"`
	// KnownVMs is the checksum of the list of VMs that the called VM sent last; 0 if none. The
	// list is as long as there are VMs, and each of them calls the scheduler's VM every second,
	// so sending it each time would cost bytes in proportion to the square of their number.
	KnownVMs uint64 `json:"known_vms,omitempty"`
	// Config is the caller's version of the operator's configuration; 0 if the settings have no client accounts.
	Config int64 `json:"config,omitempty"`
}

type helloReply struct {
	Holder           election.Holder `json:"holder"`
	StoreUnreachable bool            `json:"away"`
	// VMs is nil if the caller knows the list with the checksum VMsSum.
	VMs    []VMAddr `json:"vms"`
	VMsSum uint64   `json:"vms_sum,omitempty"`
	// Load is the scheduler's load; only the scheduler's VM sets it, once it has loaded the jobs.
	Load *cell.Load `json:"load,omitempty"`
	// Config is the called VM's version of the operator's configuration, ConfigAgeMS how long ago it was confirmed as the
	// newest, as in configReply; 0 if the settings have no client accounts.
	Config      int64 `json:"config,omitempty"`
	ConfigAgeMS int64 `json:"config_age_ms,omitempty"`
}

// handleHello answers the heartbeat call of another VM.
func (c *Client) handleHello(a *helloArgs) *helloReply {
	now := time.Now()
	c.directory.RecordContact(now, a.From, a.StoreUnreachable)
	c.learnConfigVersion(a.From, a.Config)
	vms := append(c.directory.Contacted(now), VMAddr{VM: c.vm, Addr: c.addr})
	r := &helloReply{Holder: c.elector.Current(), StoreUnreachable: c.storeUnreachable(), VMs: vms, VMsSum: vmListSum(vms)}
	r.Config, r.ConfigAgeMS = c.configState()
	if a.KnownVMs == r.VMsSum {
		r.VMs = nil
	}
	if s := c.local.Current(); s != nil {
		if load, loaded := s.Load(now); loaded {
			r.Load = &load
		}
	}
	return r
}

// RunPeerDiscovery keeps the directory of VMs up to date until the context ends. A VM that
// cannot reach the store learns of a new scheduler only in this way.
func (c *Client) RunPeerDiscovery(ctx context.Context) {
	failures := 0
	for attempt := 0; ctx.Err() == nil; attempt++ {
		if c.contactScheduler(ctx, attempt) {
			failures = 0
		} else {
			failures++
		}
		wait.For(ctx, discoveryInterval(failures, c.storeUnreachable()))
	}
}

// discoveryInterval returns the pause before the next heartbeat call after a number of failures in a row. A VM
// that reaches the store learns of a new scheduler from there; its calls become rarer, since those
// of all VMs together would keep a scheduler busy that answers late because it is overloaded.
func discoveryInterval(failures int, storeUnreachable bool) time.Duration {
	switch {
	case failures == 0:
		return helloInterval
	case storeUnreachable:
		return searchInterval
	}
	return min(searchInterval<<min(failures-1, maxSearchDoublings), helloInterval)
}

// contactScheduler calls the scheduler's VM. If that VM cannot be reached or cannot reach the
// store, it calls another VM, which attempt selects, and returns false.
func (c *Client) contactScheduler(ctx context.Context, attempt int) bool {
	storeUnreachable := c.storeUnreachable()
	holder := c.elector.Current()
	switch {
	case holder.VM == c.vm && !storeUnreachable:
		return true
	case holder.Addr != "" && holder.VM != c.vm:
		if r, err := c.sendHello(ctx, VMAddr{VM: holder.VM, Addr: holder.Addr}, storeUnreachable); err == nil && !r.StoreUnreachable {
			return true
		}
	}
	others := c.directory.ProxyCandidates(time.Now())
	if len(others) == 0 {
		return false
	}
	if to := others[attempt%len(others)]; to.VM != holder.VM {
		// sendHello logs a failure, and the next attempt calls another VM.
		_, _ = c.sendHello(ctx, to, storeUnreachable)
	}
	return false
}

// self returns the address of this VM and its capacity as scheduler.
func (c *Client) self() VMAddr {
	return VMAddr{VM: c.vm, Addr: c.addr, Capacity: c.elector.Capacity()}
}

// LargestPeerCapacity returns the largest capacity, in cores, among the other VMs that could
// run the scheduler.
func (c *Client) LargestPeerCapacity(now time.Time) float64 { return c.directory.LargestCapacity(now) }

// sendHello calls one VM and records the VMs, the load and the scheduler that it reports.
func (c *Client) sendHello(ctx context.Context, to VMAddr, storeUnreachable bool) (*helloReply, error) {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	known := c.reportedVMs.Load()
	if known == nil || known.from != to {
		known = &vmList{from: to}
	}
	args := &helloArgs{From: c.self(), StoreUnreachable: storeUnreachable, KnownVMs: known.sum}
	var sent time.Duration
	if c.config != nil {
		args.Config, sent = c.config.Version(), c.config.Now()
	}
	r, err := peer.Call[helloArgs, helloReply](ctx, c.peers, to.Addr, methodHello, args)
	if err != nil {
		c.peers.CloseIfSilent(to.Addr, silentConnectionTimeout)
		c.log.Debug("[peers] hello call failed", zap.String("vm", to.VM), zap.Error(err))
		return nil, err
	}
	now := time.Now()
	c.directory.RecordContact(now, to, r.StoreUnreachable)
	if r.VMs == nil && r.VMsSum == known.sum {
		r.VMs = known.vms
	}
	c.reportedVMs.Store(&vmList{to, r.VMsSum, r.VMs})
	c.directory.AddReported(now, r.VMs)
	c.learnConfigVersion(to, r.Config)
	c.confirmConfig(r.Config, r.ConfigAgeMS, sent)
	if r.Load != nil && r.Holder.Term >= c.elector.Current().Term {
		// A VM that has lost the role, and does not know it yet, reports an old load.
		c.schedulerLoad.Store(&loadReading{*r.Load, now})
	}
	if current := c.elector.Current(); r.Holder.Term > current.Term {
		c.log.Info("[peers] new scheduler discovered", zap.String("holder", r.Holder.VM), zap.Int64("term", r.Holder.Term), zap.String("from", to.VM))
		c.elector.ObserveHolder(r.Holder)
	}
	return r, nil
}
