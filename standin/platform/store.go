package platform

import (
	"strings"
	"sync"
	"time"

	"github.com/google/btree"

	"rhubarbstall.example/standin/history"
	wire "rhubarbstall.example/wire/platform"
)

// store is the key-value state. Each change has the next store-wide revision.
type store struct {
	history *history.Writer
	keep    int

	mu       sync.Mutex
	revision uint64
	keys     *btree.BTreeG[wire.Entry]
	leases   map[string]*lease
	// events holds the last changes; compacted is the revision of the newest
	// change that was dropped.
	events    []wire.Event
	compacted uint64
	// changed is closed and replaced at each change.
	changed chan struct{}
	// done is closed when waiting watches are to return.
	done chan struct{}

	staleAge time.Duration
	stale    *snapshot
}

// snapshot is an old state that stale reads return.
type snapshot struct {
	taken    time.Time
	revision uint64
	keys     *btree.BTreeG[wire.Entry]
}

func newStore(keep int, h *history.Writer) *store {
	return &store{
		history: h,
		keep:    keep,
		keys:    btree.NewG(32, func(a, b wire.Entry) bool { return a.Key < b.Key }),
		leases:  make(map[string]*lease),
		changed: make(chan struct{}),
		done:    make(chan struct{}),
	}
}

// view returns the state that a read sees. The caller holds the lock.
func (s *store) view() (*btree.BTreeG[wire.Entry], uint64) {
	if s.staleAge == 0 {
		return s.keys, s.revision
	}
	now := time.Now()
	if s.stale == nil || now.Sub(s.stale.taken) > s.staleAge {
		s.stale = &snapshot{taken: now, revision: s.revision, keys: s.keys.Clone()}
	}
	return s.stale.keys, s.stale.revision
}

// setStale makes reads return a state that is up to age old; zero ends it.
func (s *store) setStale(age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.staleAge, s.stale = age, nil
	if age > 0 {
		s.view()
	}
}

func (s *store) get(key string) (wire.Entry, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	keys, _ := s.view()
	return keys.Get(wire.Entry{Key: key})
}

func (s *store) list(prefix, after string, limit int) wire.ListResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	keys, revision := s.view()
	resp := wire.ListResponse{Entries: []wire.Entry{}, Revision: revision}
	from := max(prefix, after)
	keys.AscendGreaterOrEqual(wire.Entry{Key: from}, func(e wire.Entry) bool {
		if !strings.HasPrefix(e.Key, prefix) {
			return e.Key < prefix
		}
		if after != "" && e.Key <= after {
			return true
		}
		if len(resp.Entries) == limit {
			resp.More = true
			return false
		}
		resp.Entries = append(resp.Entries, e)
		return true
	})
	return resp
}

// put writes a key. It returns errConflict with the current entry, or
// errNoLease.
func (s *store) put(r wire.PutRequest) (uint64, *wire.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, exists := s.keys.Get(wire.Entry{Key: r.Key})
	if err := compare(r.IfRevision, old, exists); err != nil {
		if !exists {
			return 0, nil, err
		}
		return 0, &old, err
	}
	if r.LeaseID != "" {
		l, ok := s.leases[r.LeaseID]
		if !ok {
			return 0, nil, errNoLease
		}
		l.keys[r.Key] = struct{}{}
	}
	if exists && old.LeaseID != "" && old.LeaseID != r.LeaseID {
		if l, ok := s.leases[old.LeaseID]; ok {
			delete(l.keys, r.Key)
		}
	}
	s.revision++
	e := wire.Entry{Key: r.Key, Value: r.Value, Revision: s.revision, LeaseID: r.LeaseID}
	s.keys.ReplaceOrInsert(e)
	s.record(wire.Event{Type: wire.EventPut, Entry: e})
	return s.revision, nil, nil
}

// remove deletes a key. It returns errNoKey, or errConflict with the current entry.
func (s *store) remove(key string, ifRevision *uint64) (uint64, *wire.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, exists := s.keys.Get(wire.Entry{Key: key})
	if !exists {
		return 0, nil, errNoKey
	}
	if err := compare(ifRevision, old, exists); err != nil {
		return 0, &old, err
	}
	if l, ok := s.leases[old.LeaseID]; ok {
		delete(l.keys, key)
	}
	s.removeLocked(key)
	return s.revision, nil, nil
}

func (s *store) removeLocked(key string) {
	s.revision++
	s.keys.Delete(wire.Entry{Key: key})
	s.record(wire.Event{Type: wire.EventDelete, Entry: wire.Entry{Key: key, Revision: s.revision}})
}

// record keeps a change for watches, drops the oldest and wakes waiting watches.
func (s *store) record(e wire.Event) {
	s.events = append(s.events, e)
	if n := len(s.events) - s.keep; n > 0 {
		s.compacted = s.events[n-1].Entry.Revision
		s.events = append(s.events[:0:0], s.events[n:]...)
	}
	close(s.changed)
	s.changed = make(chan struct{})
	t := history.KeyWritten
	if e.Type == wire.EventDelete {
		t = history.KeyDeleted
	}
	s.history.Write(history.Event{Type: t, Key: e.Entry.Key, Revision: e.Entry.Revision})
}

func compare(want *uint64, old wire.Entry, exists bool) error {
	if want == nil {
		return nil
	}
	if *want == 0 && !exists || exists && *want == old.Revision {
		return nil
	}
	return errConflict
}
