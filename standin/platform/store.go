package platform

import (
	"strings"
	"sync"
	"time"

	"github.com/google/btree"

	"rhubarbstall.example/standin/history"
	wire "rhubarbstall.example/wire/platform"
)

// store holds the keys and leases. Each change increments the store-wide revision.
type store struct {
	history   *history.Writer
	maxEvents int

	mu       sync.Mutex
	revision uint64
	keys     *btree.BTreeG[wire.Entry]
	leases   map[string]*lease
	// events holds the latest changes; compacted is the revision of the newest change that
	// has been dropped from it.
	events    []wire.Event
	compacted uint64
	// changed is closed and replaced with each change.
	changed chan struct{}
	// closing is closed to make waiting watches return.
	closing chan struct{}

	// maxStaleness is the largest age of the state that a read returns; zero disables stale
	// reads.
	maxStaleness time.Duration
	stale        *snapshot
}

// snapshot is an earlier state that stale reads return.
type snapshot struct {
	taken    time.Time
	revision uint64
	keys     *btree.BTreeG[wire.Entry]
}

func newStore(maxEvents int, h *history.Writer) *store {
	return &store{
		history:   h,
		maxEvents: maxEvents,
		keys:      btree.NewG(32, func(a, b wire.Entry) bool { return a.Key < b.Key }),
		leases:    make(map[string]*lease),
		changed:   make(chan struct{}),
		closing:   make(chan struct{}),
	}
}

// readView returns the keys and the revision that a get or list returns. The caller holds the
// lock.
func (s *store) readView() (*btree.BTreeG[wire.Entry], uint64) {
	if s.maxStaleness == 0 {
		return s.keys, s.revision
	}
	now := time.Now()
	if s.stale == nil || now.Sub(s.stale.taken) > s.maxStaleness {
		s.stale = &snapshot{taken: now, revision: s.revision, keys: s.keys.Clone()}
	}
	return s.stale.keys, s.stale.revision
}

// setStaleReads makes gets and lists return a state that is up to age old; zero makes them
// current. Watches and writes always use the current state.
func (s *store) setStaleReads(age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.maxStaleness, s.stale = age, nil
	if age > 0 {
		s.readView()
	}
}

func (s *store) get(key string) (wire.Entry, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	keys, _ := s.readView()
	return keys.Get(wire.Entry{Key: key})
}

func (s *store) list(prefix, after string, limit int) wire.ListResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	keys, revision := s.readView()
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

// put writes a key and returns its revision. It fails with errNoLease, or with errConflict
// and the current entry if there is one.
func (s *store) put(r wire.PutRequest) (uint64, *wire.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, exists := s.keys.Get(wire.Entry{Key: r.Key})
	if err := checkRevision(r.IfRevision, old, exists); err != nil {
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

// deleteKey deletes a key and returns the new revision. It fails with errNoKey, or with
// errConflict and the current entry.
func (s *store) deleteKey(key string, ifRevision *uint64) (uint64, *wire.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, exists := s.keys.Get(wire.Entry{Key: key})
	if !exists {
		return 0, nil, errNoKey
	}
	if err := checkRevision(ifRevision, old, exists); err != nil {
		return 0, &old, err
	}
	if l, ok := s.leases[old.LeaseID]; ok {
		delete(l.keys, key)
	}
	s.deleteLocked(key)
	return s.revision, nil, nil
}

// deleteLocked deletes a key that exists. The caller holds the lock.
func (s *store) deleteLocked(key string) {
	s.revision++
	s.keys.Delete(wire.Entry{Key: key})
	s.record(wire.Event{Type: wire.EventDelete, Entry: wire.Entry{Key: key, Revision: s.revision}})
}

// record appends a change to the events, drops the oldest beyond maxEvents and wakes the
// waiting watches.
func (s *store) record(e wire.Event) {
	s.events = append(s.events, e)
	if n := len(s.events) - s.maxEvents; n > 0 {
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

// checkRevision returns errConflict unless the entry has the wanted revision. A nil want
// accepts any; 0 wants that the key does not exist.
func checkRevision(want *uint64, old wire.Entry, exists bool) error {
	if want == nil {
		return nil
	}
	if *want == 0 && !exists || exists && *want == old.Revision {
		return nil
	}
	return errConflict
}
