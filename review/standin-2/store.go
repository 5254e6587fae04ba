package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The platform's metadata store, by PROTOCOL.md: linearizable, durable, without faults.

const (
	storeDelay    = 4 * time.Millisecond
	minTTL        = time.Second
	maxPageItems  = 500
	maxPageBytes  = 1 << 20
	maxTxnEntries = 32
	maxValueBytes = 1 << 20
)

type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type storeLease struct {
	ttl   time.Duration
	until time.Time
}

// store is an http.Handler.
type store struct {
	mu       sync.Mutex
	items    map[string]item
	history  []item
	revision int64
	leases   map[int64]*storeLease
	changed  chan struct{}
	server   *http.Server
	addr     string
	// downUntil is until when the store is down: it answers 503, and leases pause.
	downUntil time.Time
}

func startStore() (*store, error) {
	s := &store{items: make(map[string]item), leases: make(map[int64]*storeLease), changed: make(chan struct{}), revision: 10}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.addr = l.Addr().String()
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(l) }()
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			s.expire()
		}
	}()
	return s, nil
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	if s.isDown() {
		reply(w, http.StatusServiceUnavailable, map[string]any{})
		return
	}
	q := r.URL.Query()
	switch path := r.URL.Path; {
	case path == "/-/kv-key":
		s.mu.Lock()
		it, ok := s.items[q.Get("key")]
		at := s.revision
		s.mu.Unlock()
		if !ok {
			reply(w, http.StatusNotFound, map[string]any{})
			return
		}
		reply(w, http.StatusOK, map[string]any{
			"key": it.Key, "value": it.Value, "revision": it.Revision, "created": it.Created, "lease": it.Lease, "at": at,
		})
	case path == "/-/kv-range":
		s.list(w, q.Get("path_prefix"), q.Get("after"))
	case path == "/-/kv-watch":
		s.watch(w, r)
	case path == "/-/kv-txn":
		s.txn(w, r)
	case path == "/-/kv-lease":
		var in struct {
			TTL int64 `json:"ttl_ms"`
		}
		if json.NewDecoder(r.Body).Decode(&in) != nil {
			reply(w, http.StatusBadRequest, map[string]any{})
			return
		}
		ttl := max(time.Duration(in.TTL)*time.Millisecond, minTTL)
		s.mu.Lock()
		s.revision++
		id := s.revision
		s.leases[id] = &storeLease{ttl: ttl, until: time.Now().Add(ttl)}
		s.mu.Unlock()
		reply(w, http.StatusOK, map[string]any{"lease": id, "ttl_ms": ttl.Milliseconds()})
	case strings.HasPrefix(path, "/-/kv-keep/"):
		id, _ := strconv.ParseInt(strings.TrimPrefix(path, "/-/kv-keep/"), 10, 64)
		s.mu.Lock()
		l := s.leases[id]
		if l != nil && time.Now().Before(l.until) {
			l.until = time.Now().Add(l.ttl)
		} else {
			l = nil
		}
		s.mu.Unlock()
		if l == nil {
			reply(w, http.StatusNotFound, map[string]any{})
			return
		}
		reply(w, http.StatusOK, map[string]any{})
	case strings.HasPrefix(path, "/-/kv-lease-end/"):
		id, _ := strconv.ParseInt(strings.TrimPrefix(path, "/-/kv-lease-end/"), 10, 64)
		s.mu.Lock()
		_, ok := s.leases[id]
		s.endLease(id)
		s.mu.Unlock()
		if !ok {
			reply(w, http.StatusNotFound, map[string]any{})
			return
		}
		reply(w, http.StatusOK, map[string]any{})
	default:
		reply(w, http.StatusNotFound, map[string]any{})
	}
}

func (s *store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.downUntil)
}

// outage makes the store refuse all calls for a time, during which leases pause.
func (s *store) outage(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.downUntil = time.Now().Add(d)
	for _, l := range s.leases {
		l.until = l.until.Add(d)
	}
	s.signal()
}

// expire ends the leases whose time has passed.
func (s *store) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		if time.Now().After(l.until) {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id int64) {
	delete(s.leases, id)
	for key, it := range s.items {
		if it.Lease == id && id != 0 {
			s.revision++
			s.removeItem(key)
		}
	}
	s.signal()
}

func (s *store) signal() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) setItem(key string, value []byte, lease int64) {
	it := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	s.items[key] = it
	s.history = append(s.history, it)
}

func (s *store) removeItem(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.history = append(s.history, item{Key: key, Revision: s.revision, Deleted: true})
	}
}

// put writes a record as the operator or a runner does.
func (s *store) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.setItem(key, data, 0)
	s.signal()
}

// remove removes a record as a runner or the platform does.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.removeItem(key)
	s.signal()
}

// value returns a record's value.
func (s *store) value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Value
}

func (s *store) list(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	items, bytes, more := []item{}, 0, false
	for _, key := range keys {
		if len(items) >= maxPageItems || bytes >= maxPageBytes {
			more = true
			break
		}
		items = append(items, s.items[key])
		bytes += len(s.items[key].Value)
	}
	at := s.revision
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "at": at})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	waitMS, _ := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	limit := time.After(min(time.Duration(waitMS)*time.Millisecond, 30*time.Second))
	for {
		s.mu.Lock()
		first := sort.Search(len(s.history), func(i int) bool { return s.history[i].Revision > after })
		events, at, bytes := []item{}, s.revision, 0
		for _, it := range s.history[first:] {
			if len(events) > 0 && (len(events) >= maxPageItems || bytes >= maxPageBytes) && it.Revision != events[len(events)-1].Revision {
				at = events[len(events)-1].Revision
				break
			}
			if strings.HasPrefix(it.Key, q.Get("path_prefix")) {
				events = append(events, it)
				bytes += len(it.Value)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		if s.isDown() {
			reply(w, http.StatusServiceUnavailable, map[string]any{})
			return
		}
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-limit:
			reply(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var in struct {
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
	if json.NewDecoder(r.Body).Decode(&in) != nil || len(in.Expected)+len(in.Write)+len(in.Remove) > maxTxnEntries {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	for _, x := range in.Write {
		if len(x.Value) > maxValueBytes || len(x.Key) > 200 {
			reply(w, http.StatusBadRequest, map[string]any{})
			return
		}
		if strings.HasPrefix(x.Key, "op/") || strings.HasPrefix(x.Key, "servers/") {
			reply(w, http.StatusForbidden, map[string]any{})
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, holds := []item{}, true
	for _, x := range in.Expected {
		it, ok := s.items[x.Key]
		if ok {
			current = append(current, it)
		}
		holds = holds && it.Revision == x.Revision
	}
	if !holds {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, x := range in.Write {
		if l := s.leases[x.Lease]; x.Lease != 0 && (l == nil || time.Now().After(l.until)) {
			reply(w, http.StatusNotFound, map[string]any{})
			return
		}
	}
	s.revision++
	for _, x := range in.Write {
		s.setItem(x.Key, x.Value, x.Lease)
	}
	for _, key := range in.Remove {
		s.removeItem(key)
	}
	s.signal()
	reply(w, http.StatusOK, map[string]any{"revision": s.revision})
}
