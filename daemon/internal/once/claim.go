package once

import (
	"sync"
	"time"

	"rhubarbstall.example/api/codes"
)

// phase is the state of a claim as known to the entry VM that made it.
type phase uint8

const (
	// phaseClaimed also covers a claim whose write is in progress.
	phaseClaimed phase = iota
	phaseSent
	phaseDone
	phaseUnknown
	phaseReleased
)

// Claim is the exclusive right to send one request once. It is safe for
// concurrent use.
type Claim struct {
	registry *Registry
	id       string
	key      string
	// hash identifies the request, to detect reuse of the key for another request.
	hash        string
	bucketIndex int
	createdAt   time.Time
	// maxAge is the age of the claim from which the request is no longer sent. It is
	// checked against the wall clock and the monotonic clock, since a paused VM may
	// stop either of them.
	maxAge time.Duration

	mu     sync.Mutex
	phase  phase
	answer *Answer
}

// BeginSend must be called right before the first byte of the request is sent. It
// fails if the request was already sent, or if the claim is so old, for example
// after a pause of this entry VM, that its record may be pruned and the key
// claimed again.
func (c *Claim) BeginSend() error {
	now := c.registry.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != phaseClaimed {
		return codes.OutcomeUnknown.With("the request was already sent and is not sent again",
			codes.WithOutcome(codes.OutcomeIndeterminate))
	}
	if now.Sub(c.createdAt) > c.maxAge || now.Round(0).Sub(c.createdAt.Round(0)) > c.maxAge {
		return codes.WaitedTooLong.With("the claim on the idempotency key expired before the request was sent",
			codes.WithOutcome(codes.OutcomeNotRun))
	}
	c.phase = phaseSent
	return nil
}

// CancelSend reverts BeginSend after a send that provably sent no byte.
func (c *Claim) CancelSend() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseSent {
		c.phase = phaseClaimed
	}
}

// NotAfter returns the wall clock time after which the request must not be sent.
func (c *Claim) NotAfter() time.Time { return c.createdAt.Round(0).Add(c.maxAge) }

// RecordAnswer records the answer. It writes the record in the background; until
// the write has succeeded, this entry VM itself returns the answer to second
// submissions.
func (c *Claim) RecordAnswer(a Answer) {
	c.finish(phaseDone, &a, &outcomeOp{key: c.key, claim: c.id, state: stateDone, at: c.registry.now().UnixMilli(), answer: &a})
}

// RecordUnknown records that the request may have run.
func (c *Claim) RecordUnknown() {
	c.finish(phaseUnknown, nil, &outcomeOp{key: c.key, claim: c.id, state: stateUnknown, at: c.registry.now().UnixMilli()})
}

// Release removes the claim of a request that provably was not run, so that the
// key can be used again. The proof is that no byte left this process or that the
// runner reported that it did not run the request. BeginSend fails afterwards.
func (c *Claim) Release() {
	c.finish(phaseReleased, nil, &releaseOp{key: c.key, claim: c.id})
}

func (c *Claim) finish(p phase, a *Answer, op operation) {
	c.mu.Lock()
	if c.phase != phaseClaimed && c.phase != phaseSent {
		c.mu.Unlock()
		return
	}
	c.phase, c.answer = p, a
	c.mu.Unlock()
	c.registry.storeOutcome(c, op)
}

func (c *Claim) status() (phase, *Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase, c.answer
}

// entry returns the record of the claim without an outcome.
func (c *Claim) entry() *entry {
	self := c.registry.cfg.Self
	return &entry{Claim: c.id, VM: self.ID, Incarnation: self.Incarnation, Request: c.hash, State: stateClaimed}
}
