// Package election implements leader election among the entry VMs: the VM that holds the
// holder record in the store under a lease is the scheduler. A second record without a
// lease counts the terms. The fencing tokens of a term, from its number on, invalidate orders
// and writes of earlier holders.
package election

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"rhubarbstall.example/daemon/internal/wait"
	"rhubarbstall.example/platform"
)

const (
	keyPrefix = "lead/"
	holderKey = "lead/holder"
	termKey   = "lead/term"
	// capacityKey holds the VMs' capacities as the last holder knew them, so that smaller
	// VMs leave a vacant role to larger ones.
	capacityKey = "lead/capacity"
	// LeaseTTL limits the time without a scheduler after its VM is lost. It is long enough
	// for several renewals at a slow store, which takes about 300 ms to answer. The
	// platform may require longer leases.
	LeaseTTL      = time.Second
	renewInterval = 250 * time.Millisecond
	// renewTimeout is several response times of a slow store.
	renewTimeout = 1500 * time.Millisecond
	// StoreOutageTolerance is how long a holder continues to act after its last successful
	// renewal. It is long enough for a slow store, and short because a successor must wait
	// this long before it knows what the old holder may have started. Runs continue
	// beyond it until their own leases expire.
	StoreOutageTolerance = 2500 * time.Millisecond
	// endTermAfter is how long after its last successful renewal a holder that cannot
	// reach the store ends its term.
	endTermAfter = 12 * time.Second
	callTimeout  = time.Second
	// watchWait is how long the store holds a watch open for a change. The call times out
	// watchSlack later, because the store may drop a waiting watch without a response.
	watchWait     = time.Second
	watchSlack    = 500 * time.Millisecond
	retryInterval = 150 * time.Millisecond
	// maxCampaignJitter spreads the campaigns of VMs that see the vacancy at the same time.
	maxCampaignJitter = 30 * time.Millisecond
)

// Holder identifies the VM that holds the scheduler role. The zero value means none.
type Holder struct {
	VM   string `json:"vm"`
	Addr string `json:"addr"`
	Term int64  `json:"term"`
}

// TokensPerTerm is how many fencing tokens a term has: its number and those above it, below the number of the next
// term. An earlier release, which counts terms by one, may be refused by runners that have seen a higher
// token of the term before; it steps down, and a later term has a higher number.
const TokensPerTerm = 1024

// nextTerm returns the number of the term after the one with the given number; 0 stands for none.
func nextTerm(number int64) int64 {
	if number == 0 {
		return 1
	}
	return number + TokensPerTerm
}

// Term is a period in which one VM holds the scheduler role.
type Term struct {
	// Number is the lowest fencing token of the term; see TokensPerTerm.
	Number int64
	// Guard is the precondition of all store writes of the term: it fails once a later
	// term has begun.
	Guard platform.Condition
	// Valid reports whether the holder may act: its last successful renewal is less than
	// StoreOutageTolerance ago.
	Valid func() bool
}

// TermFunc is called for each term that this VM wins. It returns when ctx ends, or
// earlier if it finds out that the term is over.
type TermFunc func(ctx context.Context, t Term)

// Elector takes part in the election.
type Elector struct {
	store *platform.Store
	self  Holder
	// runTerm does the holder's work during a term.
	runTerm TermFunc
	log     *zap.Logger
	// ttl is the length of the lease.
	ttl   time.Duration
	clock Clock
	// lastRenewal is the clock's reading when the last successful renewal was sent.
	lastRenewal atomic.Int64

	capacities Capacities
	// failedHandovers counts the consecutive handovers after which no larger VM took the
	// role.
	failedHandovers int

	mu       sync.Mutex
	holder   Holder
	resigned bool
	lease    int64
}

// New returns an elector for the VM that peers reach at addr. minTTL is the shortest lease
// that the store grants.
func New(store *platform.Store, vm, addr string, minTTL time.Duration, runTerm TermFunc, clock Clock, log *zap.Logger) *Elector {
	return &Elector{
		clock: clock, store: store, self: Holder{VM: vm, Addr: addr}, ttl: max(LeaseTTL, minTTL), runTerm: runTerm, log: log,
	}
}

// Current returns the last known holder; its address is empty if there is none.
func (e *Elector) Current() Holder {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.holder
}

func (e *Elector) setHolder(h Holder) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.holder != h {
		e.holder = h
		e.log.Info("[election] holder changed", zap.String("holder", h.VM), zap.Int64("term", h.Term))
	}
}

// clearHolder forgets the holder of a term that has ended, unless a later one is known.
func (e *Elector) clearHolder(term int64) {
	if e.Current().Term <= term {
		e.setHolder(Holder{})
	}
}

// ObserveHolder updates the holder from a message of another VM, unless its term is not
// later than the known one. A later term ends the term of this VM.
func (e *Elector) ObserveHolder(h Holder) {
	if h.Term > e.Current().Term {
		e.setHolder(h)
	}
}

// Run takes part in the election until the context ends.
func (e *Elector) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := e.followOrCampaign(ctx); err != nil && ctx.Err() == nil {
			e.log.Warn("[election] store call failed; will retry", zap.Error(err))
			wait.For(ctx, retryInterval)
		}
	}
}

// followOrCampaign reads the records, then follows the holder, or campaigns if there is none.
func (e *Elector) followOrCampaign(ctx context.Context) error {
	holder, term, revision, err := e.readRecords(ctx)
	if err != nil {
		return err
	}
	if holder.VM == "" {
		if e.isResigned() {
			wait.For(ctx, retryInterval)
			return nil
		}
		if term.capacity.Largest >= e.capacities.Own*minHandoverRatio && !e.vacantAfter(ctx, largerVMHeadStart) {
			return nil
		}
		wait.For(ctx, rand.N(maxCampaignJitter))
		return e.campaign(ctx, term)
	}
	e.setHolder(holder)
	return e.follow(ctx, revision)
}

// vacantAfter waits for d and reports whether the role is still vacant. If the store does
// not answer, the role counts as vacant; that is safe because the claim is conditional.
func (e *Elector) vacantAfter(ctx context.Context, d time.Duration) bool {
	if !wait.For(ctx, d) {
		return false
	}
	holder, _, _, err := e.readRecords(ctx)
	return err != nil || holder.VM == ""
}

// follow watches the election's records from a revision on and returns at the first change.
func (e *Elector) follow(ctx context.Context, revision int64) error {
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, watchWait+watchSlack)
		items, next, err := e.store.Watch(callCtx, keyPrefix, revision, watchWait)
		cancel()
		if err != nil {
			if platform.StatusOf(err) == http.StatusGone {
				return nil
			}
			return err
		}
		if len(items) > 0 {
			return nil
		}
		revision = next
	}
	return nil
}

// campaign tries to become the holder of the next term.
func (e *Elector) campaign(ctx context.Context, last termRecord) error {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	lease, _, err := e.store.Grant(callCtx, e.ttl)
	if err != nil {
		return err
	}
	next := e.self
	next.Term = nextTerm(last.number)
	sent := e.clock()
	capacity := e.newCapacityRecord(last.capacity)
	revision, err := e.claim(callCtx, next, lease, []platform.Condition{{Key: holderKey}, {Key: termKey, Revision: last.revision}}, capacity)
	if err != nil {
		var conflict *platform.ConflictError
		if errors.As(err, &conflict) {
			e.revoke(lease)
			return nil
		}
		// The store may still apply the claim; without renewals its lease expires soon.
		return err
	}
	e.setHolder(next)
	e.setLease(lease)
	e.lastRenewal.Store(int64(sent))
	e.failedHandovers = capacity.FailedHandovers
	e.lead(ctx, Term{Number: next.Term, Guard: platform.Condition{Key: termKey, Revision: revision}, Valid: e.valid})
	return nil
}

// sinceRenewal returns how long ago the last successful renewal was sent.
func (e *Elector) sinceRenewal() time.Duration {
	return e.clock() - time.Duration(e.lastRenewal.Load())
}

func (e *Elector) valid() bool { return e.sinceRenewal() < StoreOutageTolerance }

// Resign makes this VM stop campaigning for good. It does not end a term in progress.
func (e *Elector) Resign() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.resigned = true
}

func (e *Elector) isResigned() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.resigned
}

func (e *Elector) setLease(id int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lease = id
}

func (e *Elector) leaseID() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lease
}

// takeLease returns the id of the current lease and clears it.
func (e *Elector) takeLease() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	id := e.lease
	e.lease = 0
	return id
}

// revoke ends a lease, so that the next term can begin at once.
func (e *Elector) revoke(lease int64) {
	if lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), renewTimeout)
	defer cancel()
	if err := e.store.Revoke(ctx, lease); err != nil {
		e.log.Debug("[election] lease not revoked; it will expire", zap.Int64("lease", lease), zap.Error(err))
	}
}
