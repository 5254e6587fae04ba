package cellsched

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"rhubarbstall.example/api/codes"
	"rhubarbstall.example/daemon/internal/relay"
	"rhubarbstall.example/sched/cell"
)

// Methods for operators.
const (
	methodView    = "cell.view"
	methodRunners = "cell.runners"
	methodRelays  = "cell.relays"
)

type viewReply struct {
	Known bool         `json:"known"`
	View  cell.JobView `json:"view"`
	// Loading tells that the job is not known yet because the scheduler still loads the jobs.
	Loading bool `json:"loading,omitempty"`
}

type runnersReply struct {
	Runners []cell.RunnerView `json:"runners"`
}

type relaysReply struct {
	VMs []string `json:"vms"`
}

// view returns a job and the reasons why it waits, if the scheduler knows it.
func (s *Scheduler) view(id string) *viewReply {
	now := time.Now()
	s.mu.Lock()
	defer s.unlock()
	r := &viewReply{}
	r.View, r.Known = s.cell.JobView(now, now.Round(0), id)
	r.Loading = !r.Known && !s.jobsLoaded
	return r
}

// RunnerViews returns the known runners, sorted by id.
func (s *Scheduler) RunnerViews() []cell.RunnerView {
	s.mu.Lock()
	defer s.unlock()
	return s.cell.RunnerViews(time.Now())
}

// View returns a job and the reasons why it waits. It fails with JobGone if the scheduler does
// not know the job, and with NoZoneScheduler if the scheduler cannot be reached or still loads the jobs.
func (c *Client) View(ctx context.Context, id string) (cell.JobView, error) {
	r := &viewReply{}
	if s := c.local.Current(); s != nil {
		r = s.view(id)
	} else {
		var err error
		if r, err = callScheduler[idArgs, viewReply](ctx, c, methodView, &idArgs{id}); err != nil {
			return cell.JobView{}, schedulerUnreachable(err)
		}
	}
	if r.Loading {
		return cell.JobView{}, codes.NoZoneScheduler.Errorf("the scheduler of the cell still loads its jobs")
	}
	if !r.Known {
		return cell.JobView{}, codes.JobGone.Errorf("the scheduler knows no job %s", id)
	}
	return r.View, nil
}

// RunnerViews returns the runners that the scheduler knows, sorted by id. It fails with
// NoZoneScheduler if the scheduler cannot be reached.
func (c *Client) RunnerViews(ctx context.Context) ([]cell.RunnerView, error) {
	if s := c.local.Current(); s != nil {
		return s.RunnerViews(), nil
	}
	r, err := callScheduler[empty, runnersReply](ctx, c, methodRunners, &empty{})
	if err != nil {
		return nil, schedulerUnreachable(err)
	}
	return r.Runners, nil
}

func schedulerUnreachable(err error) error {
	return codes.NoZoneScheduler.Errorf("cannot reach the scheduler of the cell: %w", err)
}

// VMView is an entry VM as this one knows it.
type VMView struct {
	VM string
	// StoreUnreachable tells whether the VM reported that it cannot reach the store.
	StoreUnreachable bool
	// Self tells whether it is this VM, Scheduler whether it holds the scheduler role.
	Self      bool
	Scheduler bool
	// Relay tells whether the scheduler calls runners through the VM.
	Relay bool
}

// VMViews returns the entry VMs that this one knows, itself first. If the scheduler cannot be reached, none of
// them counts as a relay.
func (c *Client) VMViews(ctx context.Context) []VMView {
	holder := c.elector.Current().VM
	relays := c.relayNames(ctx)
	out := []VMView{{VM: c.vm, StoreUnreachable: c.storeUnreachable(), Self: true, Scheduler: holder == c.vm, Relay: slices.Contains(relays, c.vm)}}
	for _, p := range c.directory.vmViews(time.Now()) {
		p.Scheduler, p.Relay = holder == p.VM, slices.Contains(relays, p.VM)
		out = append(out, p)
	}
	return out
}

// relayNames returns the VMs through which the scheduler calls runners.
func (c *Client) relayNames(ctx context.Context) []string {
	if s := c.local.Current(); s != nil {
		return s.RelayNames()
	}
	r, err := callScheduler[empty, relaysReply](ctx, c, methodRelays, &empty{})
	if err != nil {
		c.log.Info("[peers] relays not known", zap.Error(err))
		return nil
	}
	return r.VMs
}

// RelayNames returns the VMs through which the scheduler calls runners.
func (s *Scheduler) RelayNames() []string {
	var pool *relay.Pool
	s.exclusive(func() { pool = s.relays })
	if pool == nil {
		return nil
	}
	return pool.Names()
}
