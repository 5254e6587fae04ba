package main

import (
	"encoding/json"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeLatency is how long the store takes for an answer.
const storeLatency = 4 * time.Millisecond

// Limits of the store that PROTOCOL.md names.
const (
	maxEntries = 32
	pageItems  = 500
	pageBytes  = 1 << 20
	valueBytes = 1 << 20
	minTTL     = time.Second
)

type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created"`
	Lease    int64  `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// store is the platform's metadata store.
type store struct {
	mu       sync.Mutex
	items    map[string]item
	history  []item
	revision int64
	leases   map[int64]*lease
	lastID   int64
	changed  chan struct{}
	// lostUntil is the time until which a third of the keys is in trouble: a write whose first key is
	// one of them gets no answer, and is done 1 to 6 s later if its conditions still hold.
	lostUntil time.Time
}

// lateWrites begins a time in which answers of the store are lost.
func (s *store) lateWrites(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lostUntil = time.Now().Add(d)
}

// losesAnswer reports whether the answer to a write is lost.
func (s *store) losesAnswer(t *txn) bool {
	if len(t.Write) == 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	h := fnv.New32a()
	_, _ = h.Write([]byte(t.Write[0].Key))
	return time.Now().Before(s.lostUntil) && h.Sum32()%3 == 0
}

func newStore() *store {
	s := &store{items: make(map[string]item), leases: make(map[int64]*lease), revision: 1, changed: make(chan struct{})}
	go func() {
		for range time.Tick(10 * time.Millisecond) {
			s.mu.Lock()
			s.expire(time.Now())
			s.mu.Unlock()
		}
	}()
	return s
}

// put writes a record as the operator or a runner does.
func (s *store) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err) // The values are fixed types.
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.set(key, data, 0)
	s.notify()
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.drop(key)
	s.notify()
}

// value returns the value of a record, or nil.
func (s *store) value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Value
}

func (s *store) set(key string, value []byte, lease int64) {
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	it := item{Key: key, Value: value, Revision: s.revision, Created: created, Lease: lease}
	s.items[key] = it
	s.history = append(s.history, it)
}

func (s *store) drop(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.history = append(s.history, item{Key: key, Revision: s.revision, Deleted: true})
	}
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) expire(now time.Time) {
	for id, l := range s.leases {
		if now.After(l.expires) {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id int64) {
	delete(s.leases, id)
	for key, it := range s.items {
		if it.Lease == id {
			s.revision++
			s.drop(key)
			s.notify()
		}
	}
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeLatency)
	status, body := s.handle(r)
	reply(w, status, body)
}

func reply(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err) // The bodies are fixed types.
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (s *store) handle(r *http.Request) (int, any) {
	q := r.URL.Query()
	path := r.URL.Path
	switch {
	case path == "/-/kv-key":
		s.mu.Lock()
		defer s.mu.Unlock()
		it, ok := s.items[q.Get("key")]
		if !ok {
			return http.StatusNotFound, map[string]int64{"at": s.revision}
		}
		return http.StatusOK, it
	case path == "/-/kv-range":
		return s.list(q.Get("path_prefix"), q.Get("after"))
	case path == "/-/kv-watch":
		after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
		ms, _ := strconv.Atoi(q.Get("wait_ms"))
		return s.watch(r, q.Get("path_prefix"), after, time.Duration(ms)*time.Millisecond)
	case path == "/-/kv-txn":
		var t txn
		if json.NewDecoder(r.Body).Decode(&t) != nil || len(t.Expected)+len(t.Write)+len(t.Remove) > maxEntries {
			return http.StatusBadRequest, map[string]any{}
		}
		if s.losesAnswer(&t) {
			time.AfterFunc(time.Second+rand.N(5*time.Second), func() { s.commit(t) })
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		return s.commit(t)
	case path == "/-/kv-lease":
		return s.grant(r)
	case strings.HasPrefix(path, "/-/kv-keep/"):
		id, _ := strconv.ParseInt(strings.TrimPrefix(path, "/-/kv-keep/"), 10, 64)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.expire(time.Now())
		l := s.leases[id]
		if l == nil {
			return http.StatusNotFound, map[string]any{}
		}
		l.expires = time.Now().Add(l.ttl)
		return http.StatusOK, map[string]int64{"ttl_ms": l.ttl.Milliseconds()}
	case strings.HasPrefix(path, "/-/kv-lease-end/"):
		id, _ := strconv.ParseInt(strings.TrimPrefix(path, "/-/kv-lease-end/"), 10, 64)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.endLease(id)
		return http.StatusOK, map[string]any{}
	}
	return http.StatusNotFound, map[string]any{}
}

func (s *store) list(prefix, after string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	items := make([]item, 0, len(keys))
	more, bytes := false, 0
	for _, k := range keys {
		it := s.items[k]
		bytes += len(it.Value)
		if more = len(items) == pageItems || (len(items) > 0 && bytes > pageBytes); more {
			break
		}
		items = append(items, it)
	}
	return http.StatusOK, map[string]any{"items": items, "has_more": more, "at": s.revision}
}

func (s *store) watch(r *http.Request, prefix string, after int64, wait time.Duration) (int, any) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		events := []item{}
		first := sort.Search(len(s.history), func(i int) bool { return s.history[i].Revision > after })
		for _, it := range s.history[first:] {
			if strings.HasPrefix(it.Key, prefix) {
				events = append(events, it)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			return http.StatusOK, map[string]any{"events": events, "at": at}
		}
		select {
		case <-changed:
		case <-timer.C:
			return http.StatusOK, map[string]any{"events": events, "at": at}
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
}

type txn struct {
	Expected []struct {
		Key      string `json:"key"`
		Revision int64  `json:"revision"`
	} `json:"expected"`
	Write []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease int64  `json:"lease"`
	} `json:"write"`
	Remove []string `json:"remove"`
}

func (s *store) commit(t txn) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(time.Now())
	holds := true
	current := []item{}
	for _, e := range t.Expected {
		it := s.items[e.Key]
		holds = holds && it.Revision == e.Revision
		if it.Key != "" {
			current = append(current, it)
		}
	}
	if !holds {
		return http.StatusPreconditionFailed, map[string]any{"items": current}
	}
	for _, w := range t.Write {
		if w.Lease != 0 && s.leases[w.Lease] == nil {
			return http.StatusNotFound, map[string]any{}
		}
		if strings.HasPrefix(w.Key, "op/") || strings.HasPrefix(w.Key, "servers/") {
			return http.StatusForbidden, map[string]any{}
		}
		if len(w.Value) > valueBytes {
			return http.StatusBadRequest, map[string]any{}
		}
	}
	s.revision++
	for _, w := range t.Write {
		s.set(w.Key, w.Value, w.Lease)
	}
	for _, k := range t.Remove {
		s.drop(k)
	}
	s.notify()
	return http.StatusOK, map[string]int64{"revision": s.revision}
}

func (s *store) grant(r *http.Request) (int, any) {
	var in struct {
		TTL int64 `json:"ttl_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		return http.StatusBadRequest, map[string]any{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastID++
	ttl := max(time.Duration(in.TTL)*time.Millisecond, minTTL)
	s.leases[s.lastID] = &lease{ttl: ttl, expires: time.Now().Add(ttl)}
	return http.StatusOK, map[string]int64{"lease": s.lastID, "ttl_ms": ttl.Milliseconds()}
}
