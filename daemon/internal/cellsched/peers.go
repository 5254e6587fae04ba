package cellsched

import (
	"context"
	"errors"
	"strings"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/singleflight"

	"rhubarbstall.example/api/codes"
	"rhubarbstall.example/daemon/internal/election"
	"rhubarbstall.example/daemon/internal/operatorconfig"
	"rhubarbstall.example/daemon/internal/peer"
	"rhubarbstall.example/daemon/internal/relay"
	"rhubarbstall.example/platform"
)

// Methods that peers call; those for operators are in views.go.
const (
	methodPrefix  = "cell."
	methodHello   = "cell.hello"
	methodSubmit  = "cell.submit"
	methodPut     = "cell.put"
	methodState   = "cell.state"
	methodCancel  = "cell.cancel"
	methodPending = "cell.pending"
	methodAdvice  = "cell.advice"
	methodAdvised = "cell.advised"
	methodRelay   = "cell.relay"
)

// ErrNoScheduler means that no scheduler is known, or that it has not loaded its jobs yet.
var ErrNoScheduler = errors.New("no scheduler is known or ready")

type idArgs struct {
	ID string `json:"id"`
}

type cancelArgs struct {
	ID string `json:"id"`
	// ClientAccount is the account that asks to cancel the job.
	ClientAccount string `json:"account,omitempty"`
}

type stateReply struct {
	JobStatus
}

type pendingArgs struct {
	Queue string `json:"queue"`
}

type pendingReply struct {
	Count int  `json:"count"`
	Ready bool `json:"ready"`
}

type adviceArgs struct {
	VM string `json:"vm"`
	// Result is that of the VM's last call; nil if there is none to report.
	Result *AdviceResult `json:"result,omitempty"`
}

type adviceReply struct {
	Request  AdviceRequest `json:"task"`
	Assigned bool          `json:"given"`
	// Recorded tells that the result was recorded. Schedulers of earlier releases ignore it.
	Recorded bool `json:"recorded,omitempty"`
}

type empty struct{}

// Register registers the methods that this VM serves for its peers. All but methodHello, methodPut,
// methodRelay and methodConfig fail with NoZoneScheduler on a VM that does not run the scheduler.
func Register(server *peer.Server, c *Client) {
	if c.relay != nil {
		handle(server, c, methodRelay, func(ctx context.Context, _ string, b *relay.Batch) (*relay.Reply, error) {
			return c.relay.Exchange(ctx, b), nil
		})
	}
	if c.config != nil {
		handle(server, c, methodConfig, func(_ context.Context, _ string, a *configArgs) (*configReply, error) {
			return c.handleConfig(a), nil
		})
	}
	handle(server, c, methodSubmit, func(ctx context.Context, _ string, a *Submission) (*empty, error) {
		return &empty{}, c.withLocalScheduler(func(s *Scheduler) error { return s.Submit(*a) })
	})
	handle(server, c, methodHello, func(_ context.Context, _ string, a *helloArgs) (*helloReply, error) {
		return c.handleHello(a), nil
	})
	handle(server, c, methodPut, func(ctx context.Context, _ string, a *Submission) (*putReply, error) {
		return c.putForPeer(ctx, *a)
	})
	handleUnlessOverloaded(server, c, methodState, func(_ context.Context, _ string, a *idArgs) (*stateReply, error) {
		r := &stateReply{}
		return r, c.withLocalScheduler(func(s *Scheduler) error { r.JobStatus = s.State(a.ID); return nil })
	})
	handle(server, c, methodCancel, func(ctx context.Context, _ string, a *cancelArgs) (*stateReply, error) {
		r := &stateReply{}
		return r, c.withLocalScheduler(func(s *Scheduler) (err error) { r.Known, err = s.Cancel(ctx, a.ID, a.ClientAccount); return err })
	})
	handleUnlessOverloaded(server, c, methodPending, func(_ context.Context, _ string, a *pendingArgs) (*pendingReply, error) {
		r := &pendingReply{}
		return r, c.withLocalScheduler(func(s *Scheduler) error { r.Count, r.Ready = s.Pending(a.Queue); return nil })
	})
	handle(server, c, methodView, func(_ context.Context, _ string, a *idArgs) (*viewReply, error) {
		var r *viewReply
		err := c.withLocalScheduler(func(s *Scheduler) error { r = s.view(a.ID); return nil })
		return r, err
	})
	handle(server, c, methodRunners, func(context.Context, string, *empty) (*runnersReply, error) {
		r := &runnersReply{}
		return r, c.withLocalScheduler(func(s *Scheduler) error { r.Runners = s.RunnerViews(); return nil })
	})
	handle(server, c, methodInterference, func(context.Context, string, *empty) (*interferenceReply, error) {
		r := &interferenceReply{}
		return r, c.withLocalScheduler(func(s *Scheduler) error { r.Pairs = s.InterferenceViews(); return nil })
	})
	handle(server, c, methodRelays, func(context.Context, string, *empty) (*relaysReply, error) {
		r := &relaysReply{}
		return r, c.withLocalScheduler(func(s *Scheduler) error { r.VMs = s.RelayNames(); return nil })
	})
	handle(server, c, methodAdvice, func(ctx context.Context, _ string, a *adviceArgs) (*adviceReply, error) {
		r := &adviceReply{Recorded: a.Result != nil}
		return r, c.withLocalScheduler(func(s *Scheduler) error {
			if a.Result != nil {
				s.RecordAdviceResult(*a.Result)
			}
			r.Request, r.Assigned = s.NextAdviceRequest(ctx, a.VM)
			return nil
		})
	})
	handle(server, c, methodAdvised, func(_ context.Context, _ string, a *AdviceResult) (*empty, error) {
		return &empty{}, c.withLocalScheduler(func(s *Scheduler) error { s.RecordAdviceResult(*a); return nil })
	})
}

// handle registers a method whose calls the load line counts.
func handle[A, R any](server *peer.Server, c *Client, method string, h func(ctx context.Context, from string, args *A) (*R, error)) {
	peer.Handle(server, method, func(ctx context.Context, from string, args *A) (*R, error) {
		c.local.peerCalls.add(strings.TrimPrefix(method, methodPrefix))
		return h(ctx, from, args)
	})
}

// handleUnlessOverloaded registers a method that a scheduler refuses while it is short of processor time; see
// shedding.
func handleUnlessOverloaded[A, R any](server *peer.Server, c *Client, method string, h func(ctx context.Context, from string, args *A) (*R, error)) {
	handle(server, c, method, func(ctx context.Context, from string, args *A) (*R, error) {
		if s := c.local.Current(); s != nil && s.shedding() {
			c.local.shedCalls.add(strings.TrimPrefix(method, methodPrefix))
			return nil, codes.TooManyRequests.With("the scheduler is short of processor time", codes.WithOutcome(codes.OutcomeNotRun))
		}
		return h(ctx, from, args)
	})
}

// silentConnectionTimeout is how long a connection may deliver no reply before it is replaced;
// it is a few times as long as a reply usually takes.
const silentConnectionTimeout = 600 * time.Millisecond

// Client calls the scheduler of the cell, on this VM or another, and the other VMs.
type Client struct {
	local     *LocalScheduler
	elector   *election.Elector
	peers     *peer.Client
	directory *Directory
	store     *platform.Store
	// vm and addr name this VM.
	vm, addr string
	// storeUnreachable reports whether this VM currently cannot reach the store.
	storeUnreachable func() bool
	// storeTimeout returns the timeout of a write to the store.
	storeTimeout func() time.Duration
	log          *zap.Logger
	// jobMemoryBytes is the memory that known jobs may take; 0 for no limit.
	jobMemoryBytes int64
	// schedulerLoad is the load that a scheduler on another VM last reported.
	schedulerLoad atomic.Pointer[loadReading]
	// relay makes calls to runners for a scheduler on another VM; nil if this VM makes none.
	relay *relay.Server
	// pendingCalls shares the calls that ask for pending jobs, by queue.
	pendingCalls singleflight.Group
	// reportedVMs is the list of VMs that another VM sent last.
	reportedVMs atomic.Pointer[vmList]
	// config is this VM's version of the operator's configuration, which VMs exchange; nil if the settings have no client
	// accounts. configCalls bounds the calls that ask for it.
	config      *operatorconfig.Current
	configCalls chan struct{}
	// configFetching tells that a version is being fetched from another VM, configFetchFailures how often in a row none came.
	configFetching      atomic.Bool
	configFetchFailures atomic.Int32
}

// ClientConfig holds the dependencies and limits of a Client.
type ClientConfig struct {
	Self             VMAddr
	LocalScheduler   *LocalScheduler
	Elector          *election.Elector
	Peers            *peer.Client
	Store            *platform.Store
	StoreUnreachable func() bool
	StoreTimeout     func() time.Duration
	// JobMemoryBytes is the memory that known jobs may take; 0 for no limit.
	JobMemoryBytes int64
	// Relay makes calls to runners for schedulers on other VMs; nil to make none.
	Relay *relay.Server
	// Config is this VM's version of the operator's configuration; nil if VMs do not exchange it.
	Config *operatorconfig.Current
	Log    *zap.Logger
}

// NewClient returns the client of a VM.
func NewClient(p ClientConfig) *Client {
	return &Client{
		local: p.LocalScheduler, elector: p.Elector, peers: p.Peers, directory: NewDirectory(p.Self.VM), store: p.Store,
		vm: p.Self.VM, addr: p.Self.Addr, storeUnreachable: p.StoreUnreachable, storeTimeout: p.StoreTimeout, log: p.Log, jobMemoryBytes: p.JobMemoryBytes, relay: p.Relay,
		config: p.Config, configCalls: make(chan struct{}, maxConfigCalls),
	}
}

func (c *Client) withLocalScheduler(f func(*Scheduler) error) error {
	s := c.local.Current()
	if s == nil {
		return codes.NoZoneScheduler.Errorf("this VM does not run the scheduler")
	}
	return f(s)
}

// callScheduler calls the scheduler on another VM. If no answer arrives, it replaces a
// connection that has delivered nothing for silentConnectionTimeout.
func callScheduler[A, R any](ctx context.Context, c *Client, method string, args *A) (*R, error) {
	to := c.elector.Current()
	if to.Addr == "" || to.VM == c.vm {
		return nil, ErrNoScheduler
	}
	r, err := peer.Call[A, R](ctx, c.peers, to.Addr, method, args)
	if errors.Is(err, peer.ErrNoReply) && !errors.Is(ctx.Err(), context.Canceled) {
		c.peers.CloseIfSilent(to.Addr, silentConnectionTimeout)
	}
	return r, err
}

// Submit passes an accepted job to the scheduler.
func (c *Client) Submit(ctx context.Context, sub Submission) error {
	if s := c.local.Current(); s != nil {
		return s.Submit(sub)
	}
	_, err := callScheduler[Submission, empty](ctx, c, methodSubmit, &sub)
	return err
}

// State returns what the scheduler knows of a job. It returns a final state only once it is stored.
func (c *Client) State(ctx context.Context, id string) (JobStatus, error) {
	if s := c.local.Current(); s != nil {
		return s.State(id), nil
	}
	r, err := callScheduler[idArgs, stateReply](ctx, c, methodState, &idArgs{id})
	if err != nil {
		return JobStatus{}, err
	}
	return r.JobStatus, nil
}

// Cancel cancels a job for a client account and returns once the job's final state is stored; false if the scheduler
// does not know the job, or it belongs to another account.
func (c *Client) Cancel(ctx context.Context, id, account string) (bool, error) {
	if s := c.local.Current(); s != nil {
		return s.Cancel(ctx, id, account)
	}
	r, err := callScheduler[cancelArgs, stateReply](ctx, c, methodCancel, &cancelArgs{id, account})
	if err != nil {
		return false, err
	}
	return r.Known, nil
}
