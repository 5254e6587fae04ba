package relay

import (
	"context"
	"sync"
	"time"
)

// serverSession holds the calls that a relay makes for one session of a scheduler.
type serverSession struct {
	server *Server
	ctx    context.Context
	end    context.CancelFunc

	mu       sync.Mutex
	lastUsed time.Duration
	// cancels holds the functions that cancel the calls under way, by number.
	cancels map[int64]context.CancelFunc
	answers []Answer
	// urgent is set if one of the answers belongs to a call that the scheduler waits for. The next
	// reply then follows the last one after the shorter of the two gather times.
	urgent bool
	// turn numbers the batches. Only the newest one waits for answers.
	turn int64
	// repliedAt is when the last reply with answers was sent.
	repliedAt time.Time
	// changed is closed and replaced when a batch or an answer arrives.
	changed chan struct{}
}

func newServerSession(s *Server) *serverSession {
	x := &serverSession{server: s, cancels: make(map[int64]context.CancelFunc), changed: make(chan struct{})}
	x.ctx, x.end = context.WithCancel(context.Background())
	return x
}

func (x *serverSession) used(now time.Duration) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.lastUsed = now
}

func (x *serverSession) idleSince(now time.Duration) time.Duration {
	x.mu.Lock()
	defer x.mu.Unlock()
	return now - x.lastUsed
}

// signal wakes the batches that wait. The caller holds x.mu.
func (x *serverSession) signal() {
	close(x.changed)
	x.changed = make(chan struct{})
}

// begin returns the turn of a new batch, which ends the wait of the batch before.
func (x *serverSession) begin() int64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.turn++
	x.signal()
	return x.turn
}

func (x *serverSession) cancel(numbers []int64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, n := range numbers {
		if cancel := x.cancels[n]; cancel != nil {
			cancel()
		}
	}
}

// start starts a call.
func (x *serverSession) start(b *Batch, c *Call) {
	ctx, cancel := context.WithTimeout(x.ctx, milliseconds(c.TimeoutMS))
	x.mu.Lock()
	defer x.mu.Unlock()
	x.cancels[c.Number] = cancel
	go func() {
		defer cancel()
		var a Answer
		if x.server.clock() > b.NotAfter {
			a = Answer{Number: c.Number, Failed: failedNotPassedOn, Detail: "too old when the relay was to make it"}
		} else {
			a = x.server.callRunner(ctx, b, c)
		}
		x.mu.Lock()
		defer x.mu.Unlock()
		delete(x.cancels, c.Number)
		x.answers = append(x.answers, a)
		if !a.patient() {
			x.urgent = true
		}
		x.signal()
	}()
}

// wait returns when there are answers to send, a later batch has arrived, or holdLimit has passed.
func (x *serverSession) wait(ctx context.Context, turn int64, b *Batch) {
	hold := time.NewTimer(holdLimit)
	defer hold.Stop()
	for {
		x.mu.Lock()
		changed, ready, in := x.changed, x.turn != turn, time.Duration(0)
		if len(x.answers) > 0 {
			gather := b.PatientGather
			if x.urgent {
				gather = b.Gather
			}
			in = gather - time.Since(x.repliedAt)
			ready = ready || in <= 0
		}
		x.mu.Unlock()
		if ready {
			return
		}
		var gathered <-chan time.Time
		if in > 0 {
			gathered = time.After(in)
		}
		select {
		case <-changed:
		case <-gathered:
		case <-hold.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// take returns the answers that were not sent yet; none if ctx has ended, since the reply would not arrive.
func (x *serverSession) take(ctx context.Context) []Answer {
	x.mu.Lock()
	defer x.mu.Unlock()
	if ctx.Err() != nil || len(x.answers) == 0 {
		return nil
	}
	answers := x.answers
	x.answers, x.urgent, x.repliedAt = nil, false, time.Now()
	return answers
}
