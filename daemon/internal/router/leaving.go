package router

import (
	"context"
	"net"
	"sync"
	"time"

	"go.uber.org/zap"
)

const (
	// leavingCheck is the period in which the port of a runner that said that it
	// leaves is tried.
	leavingCheck   = time.Second
	leavingTimeout = 500 * time.Millisecond
)

// leaving is what is known of a runner that takes no new work.
type leaving struct {
	// listed tells that the platform's list says so.
	listed bool
	// said tells that the runner said so in an answer.
	said bool
	// closed tells that its port refused a connection since.
	closed   bool
	checking bool
	next     time.Time
}

func (l *leaving) now() bool { return l.listed || l.said }

// note takes the runner's own word over.
func (l *leaving) note(now time.Time) {
	if !l.said {
		*l = leaving{listed: l.listed, said: true, next: now.Add(leavingCheck)}
	}
}

// checkLeaving tries the ports of runners that said that they leave. The list
// may miss a runner that restarts under its old address: a port that was closed
// and is open again belongs to a new process, which gets work after a probe. No
// request is sent to find out.
func (r *Router) checkLeaving(ctx context.Context, now time.Time, wg *sync.WaitGroup) {
	for _, u := range r.upstreams {
		l := &u.leaving
		if !l.said || l.checking || now.Before(l.next) {
			continue
		}
		l.checking, l.next = true, now.Add(leavingCheck)
		wg.Go(func() {
			d := net.Dialer{Timeout: leavingTimeout}
			conn, err := d.DialContext(ctx, "tcp", u.addr)
			if err == nil {
				_ = conn.Close()
			}
			r.mu.Lock()
			defer r.mu.Unlock()
			l.checking = false
			switch {
			case err != nil:
				l.closed = l.closed || dialFailed(err)
			case l.closed:
				l.said, l.closed = false, false
				u.health.eject(r.now())
				r.log.Info("[router] runner was restarted; it gets new requests after a probe", zap.String("runner", u.id))
			}
		})
	}
}
