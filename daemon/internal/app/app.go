// Package app assembles the daemon of an entry VM that the run command starts: the request
// router, the jobs service, the settings and the membership. Package entryvm assembles the one
// that the cell command starts.
package app

import (
	"context"
	"math/rand/v2"
	"net"
	"sync/atomic"

	"go.opentelemetry.io/otel"
	"go.uber.org/zap"

	"rhubarbstall.example/daemon/internal/config"
	"rhubarbstall.example/daemon/internal/httpapi"
	"rhubarbstall.example/daemon/internal/jobs"
	"rhubarbstall.example/daemon/internal/membership"
	"rhubarbstall.example/daemon/internal/netcount"
	"rhubarbstall.example/daemon/internal/peer"
	"rhubarbstall.example/daemon/internal/platform"
	"rhubarbstall.example/daemon/internal/router"
	"rhubarbstall.example/daemon/internal/settingsync"
	"rhubarbstall.example/daemon/internal/telemetry"
	"rhubarbstall.example/daemon/internal/vmlist"
)

// App is the daemon of an entry VM.
type App struct {
	cfg          *config.Config
	log          *zap.Logger
	apiListener  net.Listener
	peerListener net.Listener
	peers        *peer.Client
	peerServer   *peer.Server
	store        *platform.Client
	vms          *vmlist.Poller
	members      *membership.List
	settings     *settingsync.Syncer
	router       *router.Router
	jobs         *jobs.Service
	api          *httpapi.Server
	draining     atomic.Bool
	// services run until the shutdown is complete.
	services []func(context.Context) error
}

// New assembles a daemon and opens its listeners. Nothing is served before Run.
func New(cfg *config.Config, tel *telemetry.Telemetry) (*App, error) {
	a := &App{cfg: cfg, log: tel.Logger}
	var err error
	a.apiListener, a.peerListener, err = listen(cfg.APIAddr, cfg.PeerAddr)
	if err != nil {
		return nil, err
	}
	if err := a.assemble(tel); err != nil {
		_ = a.apiListener.Close()
		_ = a.peerListener.Close()
		return nil, err
	}
	return a, nil
}

func (a *App) assemble(tel *telemetry.Telemetry) error {
	meter := otel.Meter("rhubarbstall")
	tracer := otel.Tracer("rhubarbstall")
	if err := netcount.Register(meter); err != nil {
		return err
	}
	self := membership.Member{
		ID:          a.cfg.ID,
		Zone:        a.cfg.AvailabilityZone,
		PeerAddr:    a.cfg.PeerAdvertise,
		Incarnation: rand.Uint64(),
	}
	a.peers = peer.NewClient(self.ID)
	a.peerServer = peer.NewServer()
	a.peerServer.LogTo(a.log)
	a.store = platform.New(platform.Config{
		Addrs:           a.cfg.PlatformAddrs,
		WritesPerSecond: a.writesPerSecond,
		ReadsPerSecond:  a.readsPerSecond,
		Logger:          tel.Logger,
		Meter:           meter,
		Tracer:          tracer,
	})
	a.vms = vmlist.NewPoller(a.store, self.Zone, tel.Logger)
	a.members = membership.New(membership.Config{
		Self:    self,
		Seeds:   a.cfg.Seeds,
		VMs:     a.vms,
		Peers:   a.peers,
		Server:  a.peerServer,
		Report:  a.report,
		OnPause: a.onPause,
		Logger:  tel.Logger,
	})
	a.settings = settingsync.New(settingsync.Config{
		Self:   self.ID,
		Zone:   self.Zone,
		View:   a.members,
		Store:  a.store,
		Peers:  a.peers,
		Server: a.peerServer,
		Logger: tel.Logger,
		Meter:  meter,
	})
	a.router = router.New(router.Config{
		Self:     self,
		View:     a.members,
		VMs:      a.vms,
		Settings: a.settings,
		Store:    a.store,
		Peers:    a.peers,
		Server:   a.peerServer,
		Logger:   tel.Logger,
		Meter:    meter,
		Tracer:   tracer,
	})
	a.jobs = jobs.New(jobs.Config{
		SelfID:    self.ID,
		Zone:      self.Zone,
		View:      a.members,
		VMs:       a.vms,
		Settings:  a.settings,
		Store:     a.store,
		Peers:     a.peers,
		Server:    a.peerServer,
		NewEngine: newEngine,
		Logger:    tel.Logger,
		Meter:     meter,
		Tracer:    tracer,
	})
	var err error
	a.api, err = httpapi.New(httpapi.Services{
		Requests: a.router,
		Jobs:     a.jobs,
		Settings: a.settings,
		Members:  a.members,
	}, tel.Metrics)
	if err != nil {
		return err
	}
	a.services = []func(context.Context) error{a.vms.Run, a.members.Run, a.settings.Run, a.router.Run, a.jobs.Run}
	return nil
}
