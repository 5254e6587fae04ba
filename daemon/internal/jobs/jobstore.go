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

// errLeadershipLost means that leadership was lost before the change was known to be stored.
var errLeadershipLost = errors.New("lost leadership of the zone before the write was confirmed")

// jobStore holds the job records of a zone during one term and writes them to the
// platform.
type jobStore struct {
	zone  string
	store platform.Store
	// writer identifies the term and makes stored values unique.
	writer string
	// hasQuorum reports whether this entry VM has the quorum now.
	hasQuorum func() bool
	retention func() time.Duration
	log       *zap.Logger
	metrics   *metrics
	// onLateJob is called without the lock for each job that a late write of an earlier
	// zone scheduler added.
	onLateJob func(r *record)

	// generation is the stored number of this term. Attempt numbers of recovered tasks
	// start above those of every earlier term, because a silent worker may still run
	// attempts that no record contains.
	generation int

	mu          sync.Mutex
	records     map[string]*record
	segments    map[int]*segment
	openSegment *segment
	writes      uint64
	closed      bool
	wake        chan struct{}
}

func newJobStore(zone, writer string, store platform.Store, hasQuorum func() bool, log *zap.Logger, m *metrics) *jobStore {
	return &jobStore{
		zone: zone, writer: writer, store: store, hasQuorum: hasQuorum, log: log, metrics: m,
		records: make(map[string]*record), segments: make(map[int]*segment), wake: make(chan struct{}, 1),
		onLateJob: func(*record) {},
		retention: func() time.Duration { return 24 * time.Hour },
	}
}

// load reads every segment. It is called after the quorum is reached, when every
// change that an earlier zone scheduler acknowledged is stored. A job in two segments
// was being moved by a split; the segment with the higher number keeps it.
func (js *jobStore) load(ctx context.Context) error {
	entries, _, err := js.store.List(ctx, segmentPrefix(js.zone))
	if err != nil {
		return err
	}
	js.mu.Lock()
	defer js.mu.Unlock()
	clear(js.records)
	clear(js.segments)
	js.openSegment = nil
	for _, e := range entries {
		n, err := segmentNumber(js.zone, e.Key)
		if err != nil {
			return fmt.Errorf("segment %q: %w", e.Key, err)
		}
		v, err := decodeSegment(e.Value)
		if err != nil {
			return fmt.Errorf("segment %q: %w", e.Key, err)
		}
		s := &segment{number: n, key: e.Key, revision: e.Revision, records: make(map[string]*record, len(v.Jobs)), size: len(e.Value)}
		js.segments[n] = s
		for _, r := range v.Jobs {
			if old, ok := js.records[r.ID]; ok {
				changed := r.merge(old)
				if changed {
					js.markDirty(s)
				}
				delete(old.segment.records, r.ID)
				js.markDirty(old.segment)
				if changed {
					if old.segment.writeAfter == nil {
						old.segment.writeAfter = make(map[*segment]bool)
					}
					old.segment.writeAfter[s] = true
				}
			}
			r.segment, r.loaded = s, true
			s.records[r.ID] = r
			js.records[r.ID] = r
		}
		if s.size < maxFillSegmentBytes {
			js.openSegment = s
		}
	}
	return nil
}

// markDirty marks a segment to be written.
func (js *jobStore) markDirty(s *segment) {
	if !s.dirty {
		s.dirty = true
		s.dirtySince = time.Now().UnixNano()
	}
}

// addWaiter adds a waiter for the next write of a segment and makes that write
// urgent. The caller holds the lock.
func (js *jobStore) addWaiter(s *segment, w waiter) {
	js.markDirty(s)
	s.urgent = true
	s.waiters = append(s.waiters, w)
	js.wakeWriter()
}

func (js *jobStore) wakeWriter() {
	select {
	case js.wake <- struct{}{}:
	default:
	}
}

// newSegment adds an empty segment.
func (js *jobStore) newSegment() *segment {
	n := 1
	for k := range js.segments {
		n = max(n, k+1)
	}
	s := &segment{number: n, key: segmentKey(js.zone, n), records: make(map[string]*record)}
	js.segments[n] = s
	return s
}

// addRecord adds a new record to a segment with enough space.
func (js *jobStore) addRecord(r *record, size int) *segment {
	if js.openSegment == nil || js.openSegment.size+size > maxFillSegmentBytes {
		js.openSegment = js.newSegment()
	}
	s := js.openSegment
	s.size += size
	s.records[r.ID] = r
	r.segment = s
	js.records[r.ID] = r
	return s
}

// removeRecord removes a record from memory. The caller holds the lock.
func (js *jobStore) removeRecord(r *record) {
	delete(js.records, r.ID)
	delete(r.segment.records, r.ID)
}
