package relay

import (
	"context"
	"fmt"
	"sync"
	"time"

	"rhubarbstall.example/sched/relays"
)

const (
	// maxBatchesUnderWay is two: one that the relay holds until a call has ended, and one that carries
	// new calls.
	maxBatchesUnderWay = 2
	// silenceLimit is how long a relay may not reply to a batch before it counts as lost. It is counted in
	// intervals of watchInterval in which this process ran, so that a process that is short of
	// processor time, and reads replies late, does not take its relays for lost and their calls upon itself.
	silenceLimit  = holdLimit + 500*time.Millisecond
	watchInterval = 50 * time.Millisecond
	// exchangeTimeout is the time limit of a batch, whether or not this process ran.
	exchangeTimeout = 5 * time.Second
	// maxBatchAge is how old a batch may be when the relay starts its calls.
	maxBatchAge = 500 * time.Millisecond
)

// session passes calls to one relay. It ends at the first batch without a reply.
type session struct {
	pool *Pool
	vm   relays.VM
	id   string
	ctx  context.Context
	stop context.CancelFunc
	// wake is signalled when a worker may have something to send.
	wake chan struct{}

	mu     sync.Mutex
	queued []*pendingCall
	// urgent is set if a queued call is one that the scheduler waits for. The next batch then
	// follows the last one after the shorter of the two gather times.
	urgent bool
	// sent holds the calls without an answer, by number.
	sent      map[int64]*pendingCall
	cancelled []int64
	last      int64
	// underWay counts the batches without a reply, and sentAt is when the last one was sent.
	underWay int
	sentAt   time.Time
	// silent is how long no reply has arrived to the batches under way.
	silent time.Duration
	// instance is the relay's process, empty before the first reply; clock is the reading of its
	// clock in the reply that arrived at clockAt by the own clock.
	instance       string
	clock, clockAt time.Duration
	// callTokens tells whether the relay passes on the fencing tokens of calls.
	callTokens bool
	ended      bool
}

func newSession(ctx context.Context, p *Pool, vm relays.VM, id string) *session {
	x := &session{pool: p, vm: vm, id: id, wake: make(chan struct{}, 1), sent: make(map[int64]*pendingCall)}
	x.ctx, x.stop = context.WithCancel(ctx)
	return x
}

// ready reports whether the relay has replied.
func (x *session) ready() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.instance != "" && !x.ended
}

// work exchanges batches until the session ends. maxBatchesUnderWay goroutines run it.
func (x *session) work() {
	for {
		b := x.nextBatch()
		if b == nil {
			return
		}
		ctx, cancel := context.WithTimeout(x.ctx, exchangeTimeout)
		reply, err := x.pool.config.Exchange(ctx, x.vm, b)
		cancel()
		if err != nil {
			x.fail(fmt.Errorf("%w: %w", ErrLost, err))
			return
		}
		x.deliver(reply)
	}
}

// nextBatch waits until there is a batch to send, and returns nil once the session has ended.
func (x *session) nextBatch() *Batch {
	for {
		b, in := x.takeBatch()
		if b != nil {
			return b
		}
		var due <-chan time.Time
		if in > 0 {
			due = time.After(in)
		}
		select {
		case <-x.ctx.Done():
			return nil
		case <-x.wake:
		case <-due:
		}
	}
}

// takeBatch returns the next batch, or the time after which there may be one; 0 if something else has to
// happen before. A batch is sent when there are new calls, and when none is under way, so that the
// relay can always reply.
func (x *session) takeBatch() (*Batch, time.Duration) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.ended || x.ctx.Err() != nil || x.underWay >= maxBatchesUnderWay || (x.underWay > 0 && (x.instance == "" || len(x.queued)+len(x.cancelled) == 0)) {
		return nil, 0
	}
	gather := time.Duration(x.pool.gather.Load())
	patient := max(gather, patientGather)
	wait := gather
	if x.underWay > 0 && !x.urgent {
		wait = patient
	}
	if in := wait - time.Since(x.sentAt); in > 0 {
		return nil, in
	}
	b := &Batch{Session: x.id, Instance: x.instance, Gather: gather, PatientGather: patient, FencingToken: x.pool.config.FencingToken}
	if x.instance != "" {
		// The reply took time to arrive, so the relay's clock is ahead of this estimate. The relay
		// may therefore drop a batch a little too early, but never too late.
		b.NotAfter = x.clock + x.pool.config.Clock() - x.clockAt + maxBatchAge
		b.Cancelled, x.cancelled = x.cancelled, nil
		x.addCalls(b)
	}
	if x.underWay == 0 {
		x.silent = 0
	}
	x.underWay++
	x.sentAt = time.Now()
	x.pool.batches.Add(1)
	x.pool.calls.Add(int64(len(b.Calls)))
	return b, 0
}

// watch counts an interval without a reply, and ends the session after too many.
func (x *session) watch() {
	x.mu.Lock()
	if x.underWay > 0 {
		x.silent += watchInterval
	}
	lost := x.silent > silenceLimit
	x.mu.Unlock()
	if lost {
		x.fail(fmt.Errorf("%w: no reply for %v", ErrLost, silenceLimit))
	}
}

// addCalls moves the queued calls into a batch. The caller holds x.mu.
func (x *session) addCalls(b *Batch) {
	queued := x.queued
	x.queued, x.urgent = nil, false
	if !x.pool.config.MayAct() {
		for _, p := range queued {
			p.finish(outcome{err: fmt.Errorf("%w: the term may be over", ErrNotPassedOn)})
		}
		return
	}
	payloads := make(map[string]int)
	b.Calls = make([]Call, 0, len(queued))
	for _, p := range queued {
		if s := p.call.Start; s != nil {
			i, known := payloads[p.payload]
			if !known {
				i = len(b.Payloads)
				payloads[p.payload] = i
				b.Payloads = append(b.Payloads, p.payload)
			}
			s.Payload = i
		}
		x.sent[p.call.Number] = p
		b.Calls = append(b.Calls, p.call)
	}
}

// deliver passes the answers in a reply on.
func (x *session) deliver(r *Reply) {
	now := x.pool.config.Clock()
	x.mu.Lock()
	if x.instance != "" && r.Instance != x.instance {
		x.mu.Unlock()
		x.fail(fmt.Errorf("%w: its process has restarted", ErrLost))
		return
	}
	first := x.instance == ""
	x.instance, x.clock, x.clockAt, x.callTokens = r.Instance, r.Clock, now, r.CallTokens
	x.underWay--
	x.silent = 0
	for i := range r.Answers {
		if p := x.sent[r.Answers[i].Number]; p != nil {
			delete(x.sent, p.call.Number)
			p.finish(outcome{answer: r.Answers[i]})
		}
	}
	x.mu.Unlock()
	signal(x.wake)
	if first || r.Leaving {
		x.pool.replied(x, r.Leaving)
	}
}

// passesToken reports whether the relay makes calls with a fencing token.
func (x *session) passesToken(token int64) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.callTokens || token == x.pool.config.FencingToken
}

// enqueue adds a call to the next batch; false if the session has ended.
func (x *session) enqueue(p *pendingCall) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.ended {
		return false
	}
	x.last++
	p.call.Number = x.last
	x.queued = append(x.queued, p)
	x.urgent = x.urgent || !p.call.patient()
	signal(x.wake)
	return true
}

// abandon gives up waiting for the answer to a call. It reports whether the call was sent.
func (x *session) abandon(p *pendingCall) (sent bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for i, q := range x.queued {
		if q == p {
			x.queued = append(x.queued[:i], x.queued[i+1:]...)
			return false
		}
	}
	if x.sent[p.call.Number] == p {
		delete(x.sent, p.call.Number)
		x.cancelled = append(x.cancelled, p.call.Number)
		signal(x.wake)
	}
	return true
}

// fail ends the session because of an error, which becomes the outcome of all its calls.
func (x *session) fail(err error) {
	if x.finish(err) {
		x.pool.lost(x, err)
	}
}

// finish ends the session; false if it had ended before.
func (x *session) finish(err error) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.ended {
		return false
	}
	x.ended = true
	x.stop()
	for _, p := range x.sent {
		p.finish(outcome{err: err})
	}
	for _, p := range x.queued {
		p.finish(outcome{err: fmt.Errorf("%w: %w", ErrNotPassedOn, err)})
	}
	x.sent, x.queued = nil, nil
	return true
}

// callCount returns the number of calls that wait for their answer.
func (x *session) callCount() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return len(x.sent) + len(x.queued)
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
