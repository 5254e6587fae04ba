package settingsync

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"rhubarbstall.example/api/codes"
	"rhubarbstall.example/settings"
)

var _ Provider = (*Syncer)(nil)

// Syncer keeps this entry VM on the highest settings revision that the platform or
// another entry VM has. The revision in force never decreases.
type Syncer struct {
	cfg     Config
	log     *zap.Logger
	metrics *instruments

	// current is the revision in force, or nil if there is none yet. Writers hold mu.
	current atomic.Pointer[snapshot]
	mu      sync.Mutex
	// rejections remembers unusable records, so that they are not fetched again at
	// every heartbeat.
	rejections *rejectionCache
	// newRevision wakes the goroutine that sends a new revision to peers.
	newRevision chan struct{}
	// applySlot is a semaphore that admits one change at a time.
	applySlot chan struct{}
}

// New returns a Syncer and registers its peer methods. Run starts it.
func New(cfg Config) *Syncer {
	s := &Syncer{
		cfg:         cfg.withDefaults(),
		rejections:  newRejectionCache(),
		newRevision: make(chan struct{}, 1),
		applySlot:   make(chan struct{}, 1),
	}
	s.log = s.cfg.Logger
	s.metrics = newInstruments(s.cfg.Meter, s)
	s.registerPeerMethods()
	return s
}

// Run keeps the settings up to date until ctx ends.
func (s *Syncer) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return s.waitForSettings(ctx) })
	g.Go(func() error { return s.watchPlatform(ctx) })
	g.Go(func() error { return s.pollPlatform(ctx) })
	g.Go(func() error { return s.pullFromPeers(ctx) })
	g.Go(func() error { return s.propagate(ctx) })
	return g.Wait()
}

// Ready reports whether settings are in force.
func (s *Syncer) Ready() bool {
	return s.current.Load() != nil
}

// Current implements Provider.
func (s *Syncer) Current() (*settings.Document, uint64, bool) {
	snap := s.current.Load()
	if snap == nil {
		return nil, 0, false
	}
	return snap.document, snap.revision(), true
}

// Raw returns the document in force as its author wrote it.
func (s *Syncer) Raw() (document []byte, revision uint64, ok bool) {
	snap := s.current.Load()
	if snap == nil {
		return nil, 0, false
	}
	return slices.Clone(snap.record.document), snap.revision(), true
}

// History returns the latest accepted changes up to the revision in force, newest
// first. It makes no platform call.
func (s *Syncer) History(context.Context) ([]HistoryEntry, error) {
	snap := s.current.Load()
	if snap == nil {
		return nil, errNotReady()
	}
	return slices.Clone(snap.record.History), nil
}

// revision returns the revision in force, or zero.
func (s *Syncer) revision() uint64 {
	if snap := s.current.Load(); snap != nil {
		return snap.revision()
	}
	return 0
}

func errNotReady() error {
	return codes.NotReady.With("this entry VM has no settings yet", codes.WithOutcome(codes.OutcomeNotRun))
}
