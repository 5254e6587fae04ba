package router

import (
	"context"
	"errors"
	"fmt"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"rhubarbstall.example/api/codes"
	"rhubarbstall.example/daemon/internal/membership"
	"rhubarbstall.example/daemon/internal/peer"
	"rhubarbstall.example/sched/admission"
)

const (
	methodForward = "router.forward"
	// forwardReplyMargin is subtracted from the time limit of a forward so that the
	// receiver's reply arrives before the sender times out. Latency between zones
	// is 1.5 ms.
	forwardReplyMargin = 10 * time.Millisecond
	// forwardStartTimeout bounds how long the receiver of a forward waits for a slot
	// that the sender believed to be free.
	forwardStartTimeout = 50 * time.Millisecond
	// suspectCheckInterval is the period at which the sender of a forward checks
	// the membership state of the receiver.
	suspectCheckInterval = 100 * time.Millisecond
)

// forwardRequest asks another entry VM for one attempt of a request.
type forwardRequest struct {
	ID              string          `json:"id"`
	Class           admission.Class `json:"class"`
	Body            []byte          `json:"body"`
	NoRepeat        bool            `json:"no_repeat,omitempty"`
	Hops            int             `json:"hops"`
	RemainingMillis int64           `json:"remaining_ms"`
	// Queue allows the request to wait for a slot at the receiver.
	Queue bool `json:"queue,omitempty"`
	// NotAfterMillis is the wall clock time after which a no-repeat request must
	// not be sent to a runner. Zero means no bound.
	NotAfterMillis int64 `json:"not_after_ms,omitempty"`
}

// forwardReply is the complete answer to a forwarded request.
type forwardReply struct {
	Answer Answer `json:"answer"`
	// FreeSlots is the receiver's number of free slots after the request.
	FreeSlots int `json:"free_slots"`
}

// forward runs one attempt of a call at another entry VM.
func (r *Router) forward(ctx context.Context, c *call, g grant) result {
	m := g.member
	ctx, span := r.cfg.Tracer.Start(ctx, "forward", trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("peer.id", m.ID), attribute.String("peer.zone", m.Zone)))
	defer span.End()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if current, ok := r.cfg.View.Get(m.ID); !ok || current.Incarnation != m.Incarnation || current.State == membership.Left || current.State == membership.Dead {
		return result{err: fmt.Errorf("entry VM %s has ended or was restarted", m.ID)}
	}
	deadline, _ := ctx.Deadline()
	remaining := time.Until(deadline) - forwardReplyMargin
	if remaining <= 0 {
		return result{err: errors.New("not enough time is left to forward the request")}
	}
	stop := r.cancelOnPeerFailure(m, c.noRepeat, cancel)
	defer stop()
	req := &forwardRequest{
		ID: c.id, Class: c.class, Body: c.body, NoRepeat: c.noRepeat, Hops: c.hops + 1,
		RemainingMillis: max(1, remaining.Milliseconds()), Queue: g.mayQueue,
	}
	if !c.notAfter.IsZero() {
		req.NotAfterMillis = c.notAfter.UnixMilli()
	}
	reply, err := peer.Call[forwardRequest, forwardReply](ctx, r.cfg.Peers, m.PeerAddr, methodForward, req)
	if err != nil {
		span.RecordError(err)
		return forwardFailure(m.ID, err)
	}
	if reply.Answer.RequestID != c.id {
		return result{
			evidence: evidence{mayHaveSent: true},
			err:      fmt.Errorf("entry VM %s: answer belongs to request %q", m.ID, reply.Answer.RequestID),
		}
	}
	r.mu.Lock()
	g.peer.credit = reply.FreeSlots
	r.mu.Unlock()
	return result{evidence: evidence{mayHaveSent: true, validAnswer: true}, answer: reply.Answer}
}

// forwardFailure classifies a forward that returned an error.
func forwardFailure(id string, err error) result {
	switch {
	case errors.Is(err, peer.ErrNotSent):
		return result{err: fmt.Errorf("entry VM %s: %w", id, err)}
	case errors.Is(err, peer.ErrNoReply):
		return result{evidence: evidence{mayHaveSent: true}, err: fmt.Errorf("entry VM %s: %w", id, err)}
	case codes.OutcomeOf(err) == codes.OutcomeNotRun:
		// RetryBudget is the only result code for which the receiver has sent the
		// request to a runner that then reported that it did not run it.
		return result{evidence: evidence{mayHaveSent: codes.Of(err) == codes.RetryBudget, reportedNotRun: true}, err: err}
	default:
		return result{evidence: evidence{mayHaveSent: true}, err: err}
	}
}

// cancelOnPeerFailure cancels a forward if the receiver is proved dead, was
// restarted, or is no longer known. If the request may be repeated, it also cancels
// the forward when the receiver is suspect, so that the sender does not wait for a
// frozen entry VM.
func (r *Router) cancelOnPeerFailure(m membership.Member, noRepeat bool, cancel context.CancelFunc) (stop func()) {
	return callPeriodically(suspectCheckInterval, func() bool {
		current, ok := r.cfg.View.Get(m.ID)
		known := ok && current.Incarnation == m.Incarnation
		if known && (current.State == membership.Alive || current.State == membership.Left || (noRepeat && current.State == membership.Suspect)) {
			return true
		}
		cancel()
		return false
	})
}

// handleForward runs one attempt of a request that another entry VM forwarded.
func (r *Router) handleForward(ctx context.Context, _ string, req *forwardRequest) (*forwardReply, error) {
	if !r.beginRequest() {
		return nil, codes.ShuttingDown.With("this entry VM is shutting down", codes.WithOutcome(codes.OutcomeNotRun))
	}
	defer r.endRequest()
	if req.Hops > maxHops {
		return nil, codes.InvalidValue.With("the request exceeds the limit of forwards between entry VMs", codes.WithOutcome(codes.OutcomeNotRun))
	}
	remaining := time.Duration(req.RemainingMillis) * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, remaining)
	defer cancel()
	now := r.now()
	c := &call{
		id: req.ID, class: req.Class, body: req.Body, noRepeat: req.NoRepeat, hops: req.Hops,
		arrivedAt: now, startBy: now.Add(min(remaining, forwardStartTimeout)), mayQueue: req.Queue,
		triedRunners: map[string]bool{}, grant: make(chan grant, 1),
	}
	if req.Queue {
		c.startBy = now.Add(min(remaining, req.Class.Patience))
	}
	if req.NotAfterMillis > 0 {
		c.notAfter = time.UnixMilli(req.NotAfterMillis)
	}
	answer, err := r.runForwarded(ctx, c)
	if err != nil {
		return nil, err
	}
	answer.Hops++
	answer.RequestID = req.ID
	return &forwardReply{Answer: answer, FreeSlots: r.FreeSlots()}, nil
}

// runForwarded makes a single attempt. Only the entry VM that received the request
// from the caller retries.
func (r *Router) runForwarded(ctx context.Context, c *call) (Answer, error) {
	g, err := r.acquire(ctx, c)
	if err != nil {
		return Answer{}, err
	}
	wait := r.now().Sub(c.arrivedAt)
	res := r.attempt(ctx, c, g)
	o := res.outcome()
	r.finishAttempt(c, g, res)
	r.metrics.recordAttempt(ctx, c.class.Kind, g, o)
	if o != Answered {
		return Answer{}, attemptError(ctx, o, res)
	}
	res.answer.Wait += wait
	return res.answer, nil
}
