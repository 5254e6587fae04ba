package once

import (
	"context"
	"crypto/rand"
	"errors"
	"sync"
	"time"

	"go.opentelemetry.io/otel/metric"
	"go.uber.org/zap"

	"rhubarbstall.example/api/codes"
	"rhubarbstall.example/daemon/internal/membership"
	"rhubarbstall.example/daemon/internal/peer"
	"rhubarbstall.example/daemon/internal/platform"
	"rhubarbstall.example/daemon/internal/vmlist"
)

// errPlatform means that a record could not be read or written.
var errPlatform = errors.New("record could not be read or written on the platform")

const (
	recordFullRetryAfter = 5 * time.Second
	platformRetryAfter   = 2 * time.Second
	// maxClaimAttempts bounds the claim attempts of one submission, each of which may
	// replace an abandoned claim. If all of them fail, other submissions of the key
	// compete with this one.
	maxClaimAttempts = 3
	// maxLiveClaims bounds the claims whose outcome is not stored yet. A slow platform
	// would otherwise let them accumulate, together with their request bodies.
	maxLiveClaims = 4096
)

// Config holds the dependencies of a registry. Every field is required.
type Config struct {
	Self  membership.Member
	View  membership.View
	VMs   vmlist.Source
	Store platform.Store
	Peers *peer.Client
	// Server gets the RPC method of the registry. It must not be serving yet.
	Server *peer.Server
	// Retention returns how long a record is kept.
	Retention func() time.Duration
	Logger    *zap.Logger
	Meter     metric.Meter
}

// Registry holds the claims of this entry VM on idempotency keys. It is safe for
// concurrent use.
type Registry struct {
	cfg        Config
	log        *zap.Logger
	now        func() time.Time
	metrics    *metrics
	committers [bucketCount]*committer
	// releaseSemaphore limits the background removals of abandoned claims.
	releaseSemaphore chan struct{}

	mu sync.Mutex
	// live holds the claims whose outcome is not stored yet, by claim ID. confirmed
	// holds those of them whose claim record is known to be written, by key.
	live        map[string]*Claim
	confirmed   map[string]*Claim
	idleWaiters []chan struct{}
}

// New returns a registry and registers its RPC method with the peer server.
func New(cfg Config) *Registry {
	r := &Registry{cfg: cfg, log: cfg.Logger, now: time.Now, releaseSemaphore: make(chan struct{}, 64), live: map[string]*Claim{}, confirmed: map[string]*Claim{}}
	r.metrics = newMetrics(cfg.Meter, r)
	for i := range r.committers {
		r.committers[i] = &committer{store: cfg.Store, key: bucketKey(i), prune: r.prune}
	}
	peer.Handle(cfg.Server, methodAsk, r.handleAsk)
	return r
}

// Claim claims a key for a request. It returns a claim, the recorded answer of an
// earlier submission, or an error with a result code and an outcome.
func (r *Registry) Claim(ctx context.Context, department, key, kind string, body []byte) (*Claim, *Answer, error) {
	id, index := recordKeyOf(department, key)
	hash := requestHash(kind, body)
	if c := r.ownClaim(id); c != nil {
		// The state of a claim of this entry VM is known without a call to the platform.
		if answer, abandoned, err := r.resolve(ctx, c.entry(), hash); !abandoned {
			return nil, answer, err
		}
	}
	replaces := ""
	for range maxClaimAttempts {
		c, found, err := r.tryClaim(ctx, id, index, hash, replaces)
		if found == nil {
			r.metrics.countClaim(ctx, err)
			return c, nil, err
		}
		answer, abandoned, err := r.resolve(ctx, found, hash)
		if !abandoned {
			r.metrics.countClaim(ctx, err)
			return nil, answer, err
		}
		replaces = found.Claim
	}
	return nil, nil, submissionInProgress()
}

// tryClaim writes a claim, or returns the existing record of another claim.
func (r *Registry) tryClaim(ctx context.Context, id string, index int, hash, replaces string) (*Claim, *entry, error) {
	retention := r.cfg.Retention()
	// The age of a claim is measured from before its write.
	now := r.now()
	c := &Claim{registry: r, id: rand.Text(), key: id, hash: hash, bucketIndex: index, createdAt: now, maxAge: retention / 2}
	op := &claimOp{key: id, replaces: replaces, entry: entry{
		Claim: c.id, VM: r.cfg.Self.ID, Incarnation: r.cfg.Self.Incarnation, Request: hash,
		State: stateClaimed, AtMillis: now.UnixMilli(),
	}}
	r.mu.Lock()
	if len(r.live) >= maxLiveClaims {
		r.mu.Unlock()
		return nil, nil, codes.TooManyRequests.With("too many requests that must not be repeated are in progress",
			codes.WithOutcome(codes.OutcomeNotRun), codes.RetryAfter(platformRetryAfter))
	}
	r.live[c.id] = c
	r.mu.Unlock()
	err := r.committers[index].commit(ctx, op)
	switch {
	case err == nil:
		r.mu.Lock()
		r.confirmed[id] = c
		r.mu.Unlock()
		return c, nil, nil
	case errors.Is(err, errOtherClaim):
		r.abandon(c)
		found := op.found
		return nil, &found, nil
	case !errors.Is(err, errPlatform):
		r.abandon(c)
		return nil, nil, err
	}
	// The claim may already be stored or may be stored later. It is abandoned here, so
	// its request is never sent, and another entry VM that finds its record and asks
	// learns that it may replace the claim.
	r.abandon(c)
	if errors.Is(err, platform.ErrAmbiguous) || ctx.Err() != nil {
		r.releaseInBackground(c)
	}
	return nil, nil, platformError(err)
}

func platformError(err error) error {
	code := codes.PlatformUnavailable
	if errors.Is(err, platform.ErrBudgetExceeded) {
		code = codes.WriteBudget
	}
	return code.With("the request must not be repeated and its record cannot be written; it was not run: "+err.Error(),
		codes.WithOutcome(codes.OutcomeNotRun), codes.RetryAfter(platformRetryAfter))
}

// ownClaim returns the claim of this entry VM on a key if the claim is stored and
// its outcome is not.
func (r *Registry) ownClaim(key string) *Claim {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.confirmed[key]
}

// removeLocked removes a claim that needs no further writes. r.mu must be held.
func (r *Registry) removeLocked(c *Claim) {
	delete(r.live, c.id)
	if r.confirmed[c.key] == c {
		delete(r.confirmed, c.key)
	}
	r.notifyIdle()
}

func (r *Registry) abandon(c *Claim) {
	c.mu.Lock()
	if c.phase == phaseClaimed {
		c.phase = phaseReleased
	}
	c.mu.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.removeLocked(c)
}

func (r *Registry) notifyIdle() {
	if len(r.live) > 0 {
		return
	}
	for _, ch := range r.idleWaiters {
		close(ch)
	}
	r.idleWaiters = nil
}

// Drain waits until all outcomes are stored or the context ends.
func (r *Registry) Drain(ctx context.Context) error {
	done := make(chan struct{})
	r.mu.Lock()
	r.idleWaiters = append(r.idleWaiters, done)
	r.notifyIdle()
	r.mu.Unlock()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		r.mu.Lock()
		open := len(r.live)
		r.mu.Unlock()
		r.log.Warn("[once] drain timed out; outcomes that are not stored will be reported as unknown", zap.Int("outcomes", open))
		return ctx.Err()
	}
}

func (r *Registry) prune(b *bucket) bool {
	return b.prune(r.now(), r.cfg.Retention(), r.claimantProvedGone)
}
