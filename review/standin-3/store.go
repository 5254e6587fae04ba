package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a record of the store.
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

const (
	storeLatency  = 4 * time.Millisecond
	maxTxnEntries = 32
	pageItems     = 500
	pageBytes     = 1 << 20
	valueBytes    = 1 << 20
)

// store is the platform's metadata store, as PROTOCOL.md describes it.
type store struct {
	mu       sync.Mutex
	items    map[string]item
	history  []item
	revision int64
	leases   map[int64]*lease
	changed  chan struct{}
}

func newStore() *store {
	return &store{items: make(map[string]item), leases: make(map[int64]*lease), changed: make(chan struct{}), revision: 1}
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) set(key string, value []byte, lease int64) {
	old, ok := s.items[key]
	it := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease}
	if ok {
		it.Created = old.Created
	}
	s.items[key] = it
	s.history = append(s.history, it)
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Revision: s.revision, Deleted: true})
}

// put writes a record as the operator or a runner does.
func (s *store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.set(key, value, 0)
	s.notify()
}

// drop removes a record as the platform does.
func (s *store) drop(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.remove(key)
	s.notify()
}

func (s *store) value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(time.Now())
	return s.items[key].Value
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
			s.remove(key)
			s.notify()
		}
	}
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeLatency)
	q := r.URL.Query()
	switch path := r.URL.Path; {
	case r.Method == http.MethodGet && path == "/-/kv-key":
		s.get(w, q.Get("key"))
	case r.Method == http.MethodGet && path == "/-/kv-range":
		s.list(w, q.Get("path_prefix"), q.Get("after"))
	case r.Method == http.MethodGet && path == "/-/kv-watch":
		after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
		wait, _ := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
		s.watch(w, r, q.Get("path_prefix"), after, time.Duration(wait)*time.Millisecond)
	case r.Method == http.MethodPost && path == "/-/kv-txn":
		s.commit(w, r)
	case r.Method == http.MethodPost && path == "/-/kv-lease":
		s.grant(w, r)
	case r.Method == http.MethodPost && strings.HasPrefix(path, "/-/kv-keep/"):
		s.keep(w, strings.TrimPrefix(path, "/-/kv-keep/"))
	case r.Method == http.MethodDelete && strings.HasPrefix(path, "/-/kv-lease-end/"):
		id, _ := strconv.ParseInt(strings.TrimPrefix(path, "/-/kv-lease-end/"), 10, 64)
		s.mu.Lock()
		s.endLease(id)
		s.mu.Unlock()
		answer(w, http.StatusOK, map[string]int64{})
	default:
		answer(w, http.StatusNotFound, nil)
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	data, err := json.Marshal(body)
	if err != nil {
		panic(err) // The bodies are fixed types.
	}
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (s *store) get(w http.ResponseWriter, key string) {
	s.mu.Lock()
	s.expire(time.Now())
	it, ok := s.items[key]
	at := s.revision
	s.mu.Unlock()
	if !ok {
		answer(w, http.StatusNotFound, map[string]int64{"at": at})
		return
	}
	answer(w, http.StatusOK, struct {
		item
		At int64 `json:"at"`
	}{it, at})
}

func (s *store) list(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	s.expire(time.Now())
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	items, bytes, more := []item{}, 0, false
	for _, key := range keys {
		if len(items) == pageItems || bytes > pageBytes {
			more = true
			break
		}
		items = append(items, s.items[key])
		bytes += len(s.items[key].Value)
	}
	at := s.revision
	s.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "at": at})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, prefix string, after int64, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		s.expire(time.Now())
		events, at := []item{}, s.revision
		for i := sort.Search(len(s.history), func(i int) bool { return s.history[i].Revision > after }); i < len(s.history); i++ {
			if strings.HasPrefix(s.history[i].Key, prefix) {
				events = append(events, s.history[i])
			}
		}
		changed := s.changed
		s.mu.Unlock()
		if len(events) > pageItems {
			// Changes of one revision stay together.
			n := pageItems
			for n < len(events) && events[n].Revision == events[n-1].Revision {
				n++
			}
			events = events[:n]
			at = events[n-1].Revision
		}
		if len(events) > 0 {
			answer(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		poll := time.NewTimer(50 * time.Millisecond)
		select {
		case <-changed:
		case <-poll.C:
		case <-timer.C:
			poll.Stop()
			answer(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		case <-r.Context().Done():
			poll.Stop()
			return
		}
		poll.Stop()
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

// readOnly reports whether the system may not write a key.
func readOnly(key string) bool {
	return strings.HasPrefix(key, "op/") || strings.HasPrefix(key, "servers/")
}

func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	var t txn
	if json.NewDecoder(r.Body).Decode(&t) != nil || len(t.Expected)+len(t.Write)+len(t.Remove) > maxTxnEntries {
		answer(w, http.StatusBadRequest, nil)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(time.Now())
	matches, current := true, []item{}
	for _, e := range t.Expected {
		it, ok := s.items[e.Key]
		matches = matches && it.Revision == e.Revision
		if ok {
			current = append(current, it)
		}
	}
	if !matches {
		answer(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, x := range t.Write {
		switch {
		case readOnly(x.Key):
			answer(w, http.StatusForbidden, nil)
			return
		case len(x.Value) > valueBytes:
			answer(w, http.StatusBadRequest, nil)
			return
		case x.Lease != 0 && s.leases[x.Lease] == nil:
			answer(w, http.StatusNotFound, nil)
			return
		}
	}
	s.revision++
	for _, x := range t.Write {
		s.set(x.Key, x.Value, x.Lease)
	}
	for _, key := range t.Remove {
		s.remove(key)
	}
	s.notify()
	answer(w, http.StatusOK, map[string]int64{"revision": s.revision})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var in struct {
		TTL int64 `json:"ttl_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil || in.TTL < 1000 {
		answer(w, http.StatusBadRequest, nil)
		return
	}
	s.mu.Lock()
	s.revision++
	id, ttl := s.revision, time.Duration(in.TTL)*time.Millisecond
	s.leases[id] = &lease{ttl: ttl, expires: time.Now().Add(ttl)}
	s.mu.Unlock()
	answer(w, http.StatusOK, map[string]int64{"lease": id, "ttl_ms": in.TTL})
}

func (s *store) keep(w http.ResponseWriter, name string) {
	id, _ := strconv.ParseInt(name, 10, 64)
	s.mu.Lock()
	s.expire(time.Now())
	l := s.leases[id]
	if l != nil {
		l.expires = time.Now().Add(l.ttl)
	}
	s.mu.Unlock()
	if l == nil {
		answer(w, http.StatusNotFound, nil)
		return
	}
	answer(w, http.StatusOK, map[string]int64{"ttl_ms": l.ttl.Milliseconds()})
}
