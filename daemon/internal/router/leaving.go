package router

import (
	"context"
	"net"
	"sync"
	"time"

	"go.uber.org/zap"
)

const (
	// leavingCheckInterval is the period at which the router dials the port of a
	// runner that announced that it is leaving.
	leavingCheckInterval = time.Second
	leavingDialTimeout   = 500 * time.Millisecond
)

// leavingState tracks whether a runner is leaving and takes no new work.
type leavingState struct {
	// listedAsLeaving is set if the platform's VM list says that the runner leaves.
	listedAsLeaving bool
	// announced is set if the runner said in an answer that it leaves.
	announced bool
	// portClosed is set if the port refused a connection since the announcement.
	portClosed bool
	checking   bool
	nextCheck  time.Time
}

func (l *leavingState) isLeaving() bool { return l.listedAsLeaving || l.announced }

// recordAnnouncement records that the runner said in an answer that it leaves.
func (l *leavingState) recordAnnouncement(now time.Time) {
	if !l.announced {
		*l = leavingState{listedAsLeaving: l.listedAsLeaving, announced: true, nextCheck: now.Add(leavingCheckInterval)}
	}
}

// probeLeavingRunners dials the ports of the runners that announced that they
// leave. The VM list may not show that a runner restarted under its old address:
// if a closed port is open again, a new process listens there. It gets work after
// a successful probe. The dial itself sends no request.
func (r *Router) probeLeavingRunners(ctx context.Context, now time.Time, wg *sync.WaitGroup) {
	for _, u := range r.upstreams {
		l := &u.leaving
		if !l.announced || l.checking || now.Before(l.nextCheck) {
			continue
		}
		l.checking, l.nextCheck = true, now.Add(leavingCheckInterval)
		wg.Go(func() {
			d := net.Dialer{Timeout: leavingDialTimeout}
			conn, err := d.DialContext(ctx, "tcp", u.addr)
			if err == nil {
				_ = conn.Close()
			}
			r.mu.Lock()
			defer r.mu.Unlock()
			l.checking = false
			switch {
			case err != nil:
				l.portClosed = l.portClosed || dialFailed(err)
			case l.portClosed:
				l.announced, l.portClosed = false, false
				u.health.eject(r.now())
				r.log.Info("[router] runner was restarted; it gets new requests after a probe", zap.String("runner", u.id))
			}
		})
	}
}
