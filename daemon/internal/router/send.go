package router

import (
	"context"
	"crypto/rand"
	"errors"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"rhubarbstall.example/api/codes"
	"rhubarbstall.example/daemon/internal/once"
	"rhubarbstall.example/settings"
)

// maxBodyBytesInProgress bounds the total size of the bodies of all requests in
// progress, including those that wait for their claim to be written to the
// platform. The admission controller bounds only the requests it has admitted.
const maxBodyBytesInProgress = 96 << 20

// Send runs a request and returns its complete answer. Every error carries a
// result code and the outcome of the request; codes.OutcomeNotRun guarantees that
// the request was not run.
func (r *Router) Send(ctx context.Context, req Request) (Answer, error) {
	if !r.beginRequest() {
		return Answer{}, codes.ShuttingDown.With("this entry VM is shutting down",
			codes.WithOutcome(codes.OutcomeNotRun), codes.RetryAfter(100*time.Millisecond))
	}
	defer r.endRequest()
	if req.ID == "" {
		req.ID = rand.Text()
	}
	ctx, span := r.cfg.Tracer.Start(ctx, "request", trace.WithAttributes(
		attribute.String("request.id", req.ID), attribute.String("request.kind", req.Kind)))
	defer span.End()
	answer, err := r.send(ctx, req)
	r.metrics.recordRequest(ctx, req.Kind, err)
	if err != nil {
		span.RecordError(err)
		return Answer{}, err
	}
	answer.RequestID = req.ID
	return answer, nil
}

func (r *Router) send(ctx context.Context, req Request) (Answer, error) {
	doc, revision, ok := r.cfg.Settings.Current()
	if !ok {
		return Answer{}, codes.NotReady.With("this entry VM has no settings yet", codes.WithOutcome(codes.OutcomeNotRun))
	}
	p, err := r.policies.resolve(doc, revision, req.Department, req.Kind)
	if err != nil {
		return Answer{}, err
	}
	if int64(len(req.Body)) > maxBodyBytes(doc) {
		return Answer{}, codes.BodyTooLarge.With("the body is larger than the limit", codes.WithOutcome(codes.OutcomeNotRun))
	}
	size := int64(len(req.Body))
	defer r.bodyBytesInProgress.Add(-size)
	if r.bodyBytesInProgress.Add(size) > maxBodyBytesInProgress {
		return Answer{}, codes.QueueFull.With("the memory limit for the bodies of requests in progress is reached",
			codes.WithOutcome(codes.OutcomeNotRun), codes.RetryAfter(time.Second))
	}
	deadline, err := requestDeadline(req, p)
	if err != nil {
		return Answer{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	c := r.newCall(req, p, deadline)
	if c.noRepeat {
		return r.sendAtMostOnce(ctx, c, req, doc)
	}
	return r.run(ctx, ctx, c, doc)
}

// sendAtMostOnce runs a no-repeat request under a claim on its idempotency key.
// Once sent, the request continues even if its caller leaves, so that a second
// submission can learn its outcome.
func (r *Router) sendAtMostOnce(ctx context.Context, c *call, req Request, doc *settings.Document) (Answer, error) {
	if req.IdempotencyKey == "" {
		return Answer{}, codes.KeyMissing.With("a request that must not be repeated needs an idempotency key",
			codes.WithOutcome(codes.OutcomeNotRun))
	}
	r.mu.Lock()
	refusal := r.admission.CheckAdmission(r.now(), c.class)
	r.mu.Unlock()
	if refusal != nil {
		// A claim costs two writes to the platform, so admission is checked first.
		return Answer{}, refusalError(refusal)
	}
	claim, recorded, err := r.once.Claim(ctx, req.Department, req.IdempotencyKey, req.Kind, req.Body)
	if err != nil {
		return Answer{}, err
	}
	if recorded != nil {
		return Answer{Body: recorded.Body, Upstream: recorded.Upstream, Zone: recorded.Zone, Repeated: true}, nil
	}
	c.claim, c.notAfter = claim, claim.NotAfter()
	deadline, _ := ctx.Deadline()
	attemptCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline)
	defer cancel()
	answer, err := r.run(ctx, attemptCtx, c, doc)
	switch {
	case err == nil:
		claim.RecordAnswer(once.Answer{Body: answer.Body, Upstream: answer.Upstream, Zone: answer.Zone})
	case codes.OutcomeOf(err) == codes.OutcomeNotRun:
		claim.Release()
	default:
		claim.RecordUnknown()
	}
	return answer, err
}

// requestDeadline returns the time limit of the whole request: the caller's
// deadline, or the default of the kind, or the patience of the kind. The deadline
// of the kind is also the upper bound.
func requestDeadline(req Request, p policy) (time.Duration, error) {
	if req.Deadline < 0 {
		return 0, codes.DeadlinePassed.With("the deadline has passed", codes.WithOutcome(codes.OutcomeNotRun))
	}
	limit := maxDeadline
	if p.Deadline > 0 {
		limit = min(limit, p.Deadline)
	}
	switch {
	case req.Deadline > 0:
		return min(req.Deadline, limit), nil
	case p.Deadline > 0:
		return limit, nil
	case p.Patience > 0:
		return min(p.Patience, limit), nil
	}
	return limit, nil
}

func (r *Router) newCall(req Request, p policy, deadline time.Duration) *call {
	now := r.now()
	return &call{
		id:           req.ID,
		class:        p.class(req.Department, req.Kind),
		body:         req.Body,
		noRepeat:     req.NoRepeat || p.NoRepeat,
		arrivedAt:    now,
		startBy:      now.Add(min(deadline, p.Patience)),
		mayQueue:     true,
		triedRunners: map[string]bool{},
		grant:        make(chan grant, 1),
	}
}

// run makes attempts until the request is answered or may not be retried. ctx
// bounds the waits between attempts and attemptCtx the attempts.
func (r *Router) run(ctx, attemptCtx context.Context, c *call, doc *settings.Document) (Answer, error) {
	r.mu.Lock()
	r.budget.RecordRequest(r.now())
	r.mu.Unlock()
	for {
		g, err := r.acquire(ctx, c)
		if err != nil {
			return Answer{}, c.finalError(err)
		}
		wait := r.now().Sub(c.arrivedAt)
		res := r.attempt(attemptCtx, c, g)
		o := res.outcome()
		r.metrics.recordAttempt(ctx, c.class.Kind, g, o)
		if o == Answered {
			r.finishAttempt(c, g, res)
			r.metrics.recordWait(ctx, c.class.Kind, wait)
			res.answer.Wait += wait
			return res.answer, nil
		}
		if o == NotRun && g.peer != nil && !res.mayHaveSent && ctx.Err() == nil {
			r.requeueRefusedForward(c, g, !res.reportedNotRun)
			if g.overflow {
				return Answer{}, c.finalError(refusalError(c.refusal))
			}
			continue
		}
		c.mayHaveRun = c.mayHaveRun || o == Unknown
		r.finishAttempt(c, g, res)
		if !r.mayRetry(c, o, res, retryPercent(doc)) || !waitBackoff(ctx, c.retries) {
			return Answer{}, c.finalError(attemptError(attemptCtx, o, res))
		}
	}
}

// finalError returns the error for the caller of a call without an answer. If an
// earlier attempt may have run, the outcome is unknown whatever err says.
func (c *call) finalError(err error) error {
	if !c.mayHaveRun || codes.OutcomeOf(err) == codes.OutcomeIndeterminate {
		return err
	}
	return codes.OutcomeUnknown.With("an earlier attempt may have run; the last one failed: "+err.Error(),
		codes.WithOutcome(codes.OutcomeIndeterminate))
}

// attempt runs one attempt on the granted slot or peer. It sends the request only
// if the claim and notAfter still permit it.
func (r *Router) attempt(ctx context.Context, c *call, g grant) result {
	if !c.notAfter.IsZero() && r.now().Round(0).After(c.notAfter) {
		return result{err: codes.WaitedTooLong.With("this entry VM was paused for too long before it sent the request",
			codes.WithOutcome(codes.OutcomeNotRun))}
	}
	if c.claim != nil {
		if err := c.claim.BeginSend(); err != nil {
			return result{err: err}
		}
	}
	res := r.execute(ctx, c, g)
	if c.claim != nil && res.outcome() == NotRun && !res.mayHaveSent {
		c.claim.CancelSend()
	}
	return res
}

func (r *Router) execute(ctx context.Context, c *call, g grant) result {
	if g.peer != nil {
		return r.forward(ctx, c, g)
	}
	ctx, span := r.cfg.Tracer.Start(ctx, "upstream", trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("upstream.id", g.upstream.id)))
	defer span.End()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if !c.noRepeat {
		stop := r.cancelOnStall(g, cancel)
		defer stop()
	}
	res := g.upstream.exchange(ctx, c)
	if res.err != nil {
		span.RecordError(res.err)
	}
	return res
}

// attemptError converts the result of the last attempt into an error for the
// caller.
func attemptError(ctx context.Context, o Outcome, res result) error {
	if code := codes.Of(res.err); code != codes.Internal && codes.OutcomeOf(res.err) != "" {
		return res.err
	}
	if o == NotRun {
		code := codes.NoUpstream
		switch {
		case res.mayHaveSent:
			code = codes.RetryBudget
		case ctx.Err() != nil:
			code = codes.WaitedTooLong
		}
		return code.With("the request was not run: "+res.err.Error(),
			codes.WithOutcome(o.code()), codes.RetryAfter(250*time.Millisecond))
	}
	code := codes.OutcomeUnknown
	if errors.Is(ctx.Err(), context.Canceled) {
		code = codes.CallerGone
	}
	return code.With("the request may have run: "+res.err.Error(), codes.WithOutcome(o.code()))
}
