package entryvm

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"rhubarbstall.example/daemon/internal/cellsched"
	"rhubarbstall.example/daemon/internal/election"
	"rhubarbstall.example/daemon/internal/front"
	"rhubarbstall.example/daemon/internal/netcount"
	"rhubarbstall.example/daemon/internal/operatorconfig"
	"rhubarbstall.example/daemon/internal/peer"
	"rhubarbstall.example/daemon/internal/relay"
	"rhubarbstall.example/daemon/internal/storehealth"
	"rhubarbstall.example/daemon/internal/wait"
	"rhubarbstall.example/platform"
	"rhubarbstall.example/sched/relays"
)

const (
	// balancerDelay is how long the load balancer may continue to send new connections
	// after the VM reports that it is not ready.
	balancerDelay = 2500 * time.Millisecond
	// exitReserve is the part of the grace period that is left for the process to exit before
	// the platform kills it.
	exitReserve = 700 * time.Millisecond
	// headerTimeout and idleTimeout apply to client connections.
	headerTimeout = 3 * time.Second
	idleTimeout   = 15 * time.Second
	// gcMemoryFraction is the fraction of the VM's memory that is the garbage collector's
	// soft limit. The rest is for socket buffers and other memory that the collector does
	// not count.
	gcMemoryFraction = 0.7
	// gcPercent trades memory for CPU time while memory use is below the limit.
	gcPercent = 150
)

// VM is the process of an entry VM.
type VM struct {
	// boot holds the settings at the start; settings holds those last read.
	boot     *platform.BootConfig
	settings atomic.Pointer[platform.BootConfig]
	log      *zap.Logger
	store    *platform.Store
	health   *storehealth.Tracker
	// storeTimeout gives the timeout of store calls.
	storeTimeout   *storehealth.AdaptiveTimeout
	routes         *front.Routes
	config         *operatorconfig.Current
	localScheduler *cellsched.LocalScheduler
	elector        *election.Elector
	client         *cellsched.Client
	peers          *peer.Client
	relay          *relay.Server
	draining       atomic.Bool
	// background counts the goroutines that run until the process ends. Run does not wait for
	// them.
	background sync.WaitGroup
}

// New assembles the process; it fails if the metrics cannot be set up.
func New(boot *platform.BootConfig, log *zap.Logger) (*VM, error) {
	durations, err := newStoreCallDurations()
	if err != nil {
		return nil, err
	}
	v := &VM{
		boot: boot, log: log,
		routes: new(front.Routes), localScheduler: new(cellsched.LocalScheduler), peers: peer.NewClient(boot.VM),
	}
	v.settings.Store(boot)
	if v.config, err = operatorconfig.New(operatorconfig.Settings{
		Apply: v.applyConfig, Clock: election.BootClock, Shared: boot.ClientAccounts,
		MaxAge: boot.RevocationTime, RefuseOutdated: boot.FailClosed, Log: log,
	}); err != nil {
		return nil, err
	}
	v.storeTimeout = new(storehealth.AdaptiveTimeout)
	v.health = storehealth.New(time.Now(), func(unreachable bool, sinceSuccess time.Duration) {
		log.Info("[vm] reachability of the store changed", zap.Bool("away", unreachable), zap.Duration("since", sinceSuccess))
	})
	v.store = platform.NewStore(netcount.WrapDial(netcount.Platform, platform.TCPDialer()), boot.StoreAddr, func(c platform.StoreCall) {
		now := time.Now()
		durations.record(c, now)
		if c.Cancelled {
			return
		}
		v.health.Observe(now, c.Sent, c.Served)
		switch {
		case c.LongPoll:
		case c.Served:
			v.storeTimeout.ObserveAnswer(now.Sub(c.Sent))
		case c.TimedOut:
			v.storeTimeout.ObserveTimeout(now, c.Sent)
		}
	})
	runners := platform.NewRunners(netcount.WrapDial(netcount.Runner, platform.TCPDialer()))
	runners.LimitIdleConnections(int(idleRunnerConnShare * float64(boot.FileDescriptors)))
	v.relay = relay.NewServer(runners, relay.Clock(election.BootClock), log)
	set := cellsched.Settings{
		VM: boot.VM, MaxLease: boot.MaxHold, DrainTimeout: boot.DrainTimeout, EarlyStart: boot.EarlyStart,
		JobRetention: boot.StatusKept, RemoteFactor: boot.RemoteFactor, StoreTimeout: v.storeTimeout.Timeout,
		StoreWritesPerSecond: boot.WritesPerS, Cores: boot.ProcessorShare, LinkMbps: boot.LinkMbps,
		StoreUnreachable: func() bool { return v.health.Unreachable(time.Now()) },
		Relays: &cellsched.RelaySettings{
			OwnCores:   schedulerCapacity(boot),
			Candidates: func() []relays.VM { return v.client.RelayCandidates() },
			Exchange: func(ctx context.Context, to relays.VM, b *relay.Batch) (*relay.Reply, error) {
				return v.client.ExchangeWithRelay(ctx, to, b)
			},
			Clock: relay.Clock(election.BootClock),
		},
	}
	v.elector = election.New(v.store, boot.VM, v.peerAddr(), boot.MinLeaseTTL, func(ctx context.Context, t election.Term) {
		s, err := cellsched.New(set, t, v.store, runners, log)
		if err != nil {
			log.Error("[vm] cannot set up the scheduler", zap.Error(err))
			return
		}
		v.localScheduler.Run(ctx, s)
	}, election.BootClock, log)
	clientConfig := cellsched.ClientConfig{
		Self: cellsched.VMAddr{VM: boot.VM, Addr: v.peerAddr()}, LocalScheduler: v.localScheduler, Elector: v.elector, Peers: v.peers,
		Store: v.store, StoreUnreachable: func() bool { return v.health.Unreachable(time.Now()) }, StoreTimeout: v.storeTimeout.Timeout, Log: log, JobMemoryBytes: cellsched.JobMemoryBytes(boot.MemoryMB), Relay: v.relay,
	}
	if boot.ClientAccounts {
		clientConfig.Config = v.config
	}
	v.client = cellsched.NewClient(clientConfig)
	v.elector.SetCapacities(election.Capacities{Own: schedulerCapacity(boot), LargestOther: v.client.LargestPeerCapacity})
	return v, nil
}

// idleRunnerConnShare is the share of the file descriptors that idle connections to runners may take. Each
// runner has one more in use, and callers, other VMs and the store need the rest.
const idleRunnerConnShare = 1.0 / 3

// linkMbpsPerCore is the network bandwidth that the scheduler needs for each core that it
// uses.
const linkMbpsPerCore = 50

// schedulerCapacity returns how much scheduling work a VM can do, in cores: the smaller of
// what its CPU share and its network link allow.
func schedulerCapacity(boot *platform.BootConfig) float64 {
	return min(boot.ProcessorShare, boot.LinkMbps/linkMbpsPerCore)
}

func (v *VM) peerAddr() string { return fmt.Sprintf("%s:%d", v.boot.IP, v.boot.PeerPort) }

// Run serves until ctx ends, then shuts down within the grace period. It serves metrics on
// the metrics port. It returns an error if it cannot listen or a server fails.
func (v *VM) Run(ctx context.Context, metrics http.Handler) error {
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(float64(v.boot.MemoryMB) * gcMemoryFraction * (1 << 20)))
	clients, ready, peers, err := v.listen()
	if err != nil {
		return err
	}
	v.log.Info("[vm] started", zap.String("vm", v.boot.VM), zap.String("zone", v.boot.AvailabilityZone),
		zap.String("clients", v.boot.ClientAddr), zap.String("peers", v.peerAddr()), zap.Bool("first_start", v.boot.FirstStart))
	base, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	electionCtx, endElection := context.WithCancel(base)
	defer endElection()

	handler, err := front.NewHandler(v.routes, v.config.RefusesKeys, front.NewJobService(v.store, v.health, v.storeTimeout, v.client, v.log), v.log)
	if err != nil {
		return err
	}
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
	}
	readiness := &http.Server{Handler: http.HandlerFunc(v.serveReadiness), ReadHeaderTimeout: headerTimeout}
	peerServer := peer.NewServer()
	peerServer.LogTo(v.log)
	cellsched.Register(peerServer, v.client)
	operators, err := v.operatorServer(metrics)
	if err != nil {
		return err
	}
	failed := make(chan error, 4)
	for _, serve := range []func() error{
		func() error { return server.Serve(netcount.Listen(netcount.Caller, clients)) },
		func() error { return readiness.Serve(ready) },
		func() error { return peerServer.Serve(peers) },
		operators.ListenAndServe,
	} {
		go func() {
			if err := serve(); err != nil && !errors.Is(err, http.ErrServerClosed) {
				failed <- err
			}
		}()
	}
	v.spawn(func() { v.reloadSettings(base) })
	v.spawn(func() { watchConfig(base, v.store, v.log, v.config) })
	if v.boot.ClientAccounts {
		v.spawn(func() { v.client.RunConfigExchange(base) })
	}
	electionDone := make(chan struct{})
	go func() {
		defer close(electionDone)
		v.elector.Run(electionCtx)
	}()
	v.spawn(func() { v.client.RunPeerDiscovery(base) })
	if v.boot.AdvisorAddr != "" {
		v.spawn(func() {
			v.client.RunAdvisorCalls(base, platform.NewAdvisor(netcount.WrapDial(netcount.Advisor, platform.TCPDialer()), v.boot.AdvisorAddr), v.log)
		})
	}
	select {
	case <-ctx.Done():
	case err := <-failed:
		return err
	}
	v.shutdown(server, endElection, electionDone)
	stop()
	_ = readiness.Close()
	_ = operators.Close()
	peerServer.CloseConnections()
	v.log.Info("[vm] stopped", zap.String("vm", v.boot.VM))
	return nil
}

func (v *VM) spawn(f func()) {
	v.background.Add(1)
	go func() {
		defer v.background.Done()
		f()
	}()
}

// shutdown hands the scheduler role over, waits until the load balancer sends no new
// connections, and finishes the requests in progress.
func (v *VM) shutdown(server *http.Server, endElection context.CancelFunc, electionDone <-chan struct{}) {
	begin := time.Now()
	v.log.Info("[vm] draining", zap.Duration("grace", v.settings.Load().Grace))
	v.draining.Store(true)
	v.relay.Leave()
	v.elector.Resign()
	endElection()
	// Close the connection after each further response, so that clients move to other VMs.
	server.SetKeepAlivesEnabled(false)
	limit, cancel := context.WithDeadline(context.Background(), begin.Add(v.settings.Load().Grace-exitReserve))
	defer cancel()
	wait.For(limit, balancerDelay)
	if err := server.Shutdown(limit); err != nil {
		v.log.Warn("[vm] requests in progress abandoned at the end of the grace period", zap.Error(err))
	}
	select {
	case <-electionDone:
	case <-limit.Done():
		v.log.Warn("[vm] scheduler did not stop within the grace period")
	}
}

func (v *VM) listen() (clients, ready, peers net.Listener, err error) {
	if clients, err = net.Listen("tcp", v.boot.ClientAddr); err != nil {
		return nil, nil, nil, err
	}
	if ready, err = net.Listen("tcp", v.boot.ReadyAddr); err != nil {
		return nil, nil, nil, err
	}
	peers, err = net.Listen("tcp", v.peerAddr())
	return clients, ready, peers, err
}

// serveReadiness tells the load balancer whether to send new connections to this VM.
func (v *VM) serveReadiness(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != platform.ReadyPath {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if v.draining.Load() || !v.routes.Ready() || v.health.Unreachable(time.Now()) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// applyConfig puts a configuration in force, which is newer than the one before.
func (v *VM) applyConfig(c *platform.Configuration) {
	v.routes.Set(c)
	v.localScheduler.Configure(c.Version, c.Queues, c.Accounts())
	if c.KeysRequired && !v.boot.ClientAccounts {
		v.log.Warn("[config] the configuration has client accounts, but the settings have no contract for tenants; versions are not exchanged with other VMs", zap.Int64("version", c.Version))
	}
}
