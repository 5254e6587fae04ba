package jobs

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"go.uber.org/zap"

	"rhubarbstall.example/daemon/internal/platform"
)

// errLost means that the role was lost before a change was certainly stored.
var errLost = errors.New("the role of zone scheduler was lost")

// ledger holds the job records of a zone for one term of the holder and writes
// them to the platform.
type ledger struct {
	zone  string
	store platform.Store
	// writer names the term; it makes values unique.
	writer string
	// holds reports whether the quorum is held now.
	holds     func() bool
	retention func() time.Duration
	log       *zap.Logger
	metrics   *metrics
	// revived is called, without the lock, for jobs that a late write of an
	// earlier holder added.
	revived func(r *record)

	// generation is the number of the term in the platform. Attempt numbers of
	// recovered tasks start above those of every earlier term, since a worker that
	// stays silent may know attempts that nobody else does.
	generation int

	mu       sync.Mutex
	records  map[string]*record
	segments map[int]*segment
	open     *segment
	writes   uint64
	closed   bool
	wake     chan struct{}
}

func newLedger(zone, writer string, store platform.Store, holds func() bool, log *zap.Logger, m *metrics) *ledger {
	return &ledger{
		zone: zone, writer: writer, store: store, holds: holds, log: log, metrics: m,
		records: make(map[string]*record), segments: make(map[int]*segment), wake: make(chan struct{}, 1),
		revived:   func(*record) {},
		retention: func() time.Duration { return 24 * time.Hour },
	}
}

// load reads every segment. It is called after the quorum was won: whatever an
// earlier holder acknowledged is stored by then. A job that is found in two
// segments was being moved; the later segment keeps it.
func (g *ledger) load(ctx context.Context) error {
	entries, _, err := g.store.List(ctx, segmentPrefix(g.zone))
	if err != nil {
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	clear(g.records)
	clear(g.segments)
	g.open = nil
	for _, e := range entries {
		n, err := segmentNumber(g.zone, e.Key)
		if err != nil {
			return fmt.Errorf("segment %q: %w", e.Key, err)
		}
		v, err := decodeSegment(e.Value)
		if err != nil {
			return fmt.Errorf("segment %q: %w", e.Key, err)
		}
		s := &segment{number: n, key: e.Key, revision: e.Revision, records: make(map[string]*record, len(v.Jobs)), size: len(e.Value)}
		g.segments[n] = s
		for _, r := range v.Jobs {
			if old, ok := g.records[r.ID]; ok {
				changed := r.merge(old)
				if changed {
					g.markDirty(s)
				}
				delete(old.segment.records, r.ID)
				g.markDirty(old.segment)
				if changed {
					if old.segment.after == nil {
						old.segment.after = make(map[*segment]bool)
					}
					old.segment.after[s] = true
				}
			}
			r.segment, r.loaded = s, true
			s.records[r.ID] = r
			g.records[r.ID] = r
		}
		if s.size < fillSegmentBytes {
			g.open = s
		}
	}
	return nil
}

// markDirty notes that a segment has to be written.
func (g *ledger) markDirty(s *segment) {
	if !s.dirty {
		s.dirty = true
		s.dirtySince = time.Now().UnixNano()
	}
}

// await adds a waiter for the next write of a segment. The lock is held.
func (g *ledger) await(s *segment, w waiter) {
	g.markDirty(s)
	s.urgent = true
	s.waiters = append(s.waiters, w)
	g.kick()
}

func (g *ledger) kick() {
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// newSegment adds an empty segment.
func (g *ledger) newSegment() *segment {
	n := 1
	for k := range g.segments {
		n = max(n, k+1)
	}
	s := &segment{number: n, key: segmentKey(g.zone, n), records: make(map[string]*record)}
	g.segments[n] = s
	return s
}

// place puts a new record into a segment with room.
func (g *ledger) place(r *record, size int) *segment {
	if g.open == nil || g.open.size+size > fillSegmentBytes {
		g.open = g.newSegment()
	}
	s := g.open
	s.size += size
	s.records[r.ID] = r
	r.segment = s
	g.records[r.ID] = r
	return s
}

// remove forgets a record in memory. The lock is held.
func (g *ledger) remove(r *record) {
	delete(g.records, r.ID)
	delete(r.segment.records, r.ID)
}
