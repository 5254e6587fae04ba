package app

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
)

const (
	// defaultDrainTimeout limits a graceful shutdown if no settings are in force.
	defaultDrainTimeout = 30 * time.Second
	// leaveTimeout limits the time to tell the peers that this VM leaves.
	leaveTimeout = 2 * time.Second
	// leaveGracePeriod is how long peer calls are still answered after the leave message,
	// so that requests that peers have already forwarded are refused as not run instead of
	// being lost.
	leaveGracePeriod = 100 * time.Millisecond
)

// ErrDrainTimeout means that requests were still in progress at the drain timeout.
var ErrDrainTimeout = errors.New("drain timeout reached: shutdown abandoned requests in progress")

// Run serves until ctx ends, then shuts down gracefully within the drain timeout. When force
// ends, the shutdown stops waiting and Run returns at once.
func (a *App) Run(ctx, force context.Context) error {
	base, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, groupCtx := errgroup.WithContext(base)
	a.serve(group)
	for _, runService := range a.services {
		group.Go(func() error { return runService(groupCtx) })
	}
	a.log.Info("[app] started", zap.String("api", a.apiListener.Addr().String()), zap.String("peer", a.peerListener.Addr().String()))
	select {
	case <-ctx.Done():
	case <-groupCtx.Done():
		// A service failed; group.Wait returns its error.
	}
	shutdownErr := a.shutdown(force)
	stop()
	a.close()
	if err := group.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return shutdownErr
}

// serve starts the peer server and the API server.
func (a *App) serve(group *errgroup.Group) {
	group.Go(func() error { return a.peerServer.Serve(a.peerListener) })
	group.Go(func() error {
		err := a.api.HTTP.Serve(a.apiListener)
		if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
			return nil
		}
		return err
	})
}

// shutdown hands the zone scheduler role over, finishes the requests in progress, and tells
// the peers last, so that the upstream slots of this VM go to other VMs only after its last
// request has ended.
func (a *App) shutdown(force context.Context) error {
	timeout := defaultDrainTimeout
	if doc, _, ok := a.settings.Current(); ok && doc.Limits.DrainMillis > 0 {
		timeout = time.Duration(doc.Limits.DrainMillis) * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(force, timeout)
	defer cancel()
	a.log.Info("[app] draining", zap.Duration("limit", timeout))
	a.draining.Store(true)
	a.api.SetDraining()
	if err := a.jobs.Handover(ctx); err != nil {
		a.log.Warn("[app] cannot hand over the zone scheduler role", zap.Error(err))
	}
	err := errors.Join(a.router.Drain(ctx), a.api.HTTP.Shutdown(ctx))
	if err != nil {
		a.log.Warn("[app] requests in progress abandoned at the drain timeout",
			zap.Int("queued", a.router.QueuedRequests()), zap.Error(err))
		return ErrDrainTimeout
	}
	leaveCtx, cancelLeave := context.WithTimeout(force, leaveTimeout)
	defer cancelLeave()
	a.members.Leave(leaveCtx)
	sleep(leaveCtx, leaveGracePeriod)
	a.log.Info("[app] drained")
	return nil
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

func (a *App) close() {
	_ = a.api.HTTP.Close()
	_ = a.peerListener.Close()
	a.peerServer.CloseConnections()
	a.peers.Close()
}

// listen opens both listeners, so that a port in use is detected before anything is started.
func listen(apiAddr, peerAddr string) (api, peers net.Listener, err error) {
	api, err = net.Listen("tcp", apiAddr)
	if err != nil {
		return nil, nil, err
	}
	peers, err = net.Listen("tcp", peerAddr)
	if err != nil {
		_ = api.Close()
		return nil, nil, err
	}
	return api, peers, nil
}
