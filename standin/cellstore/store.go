// Package cellstore simulates the platform's metadata store for tests. It has the faults that
// the platform documents: no response, delayed effect, refusal and dropped change history.
package cellstore

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"rhubarbstall.example/standin/memnet"
)

type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created"`
	Lease    int64  `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// Store is an http.Handler that simulates the store.
type Store struct {
	mu        sync.Mutex
	items     map[string]item
	history   []item
	compacted int64
	revision  int64
	leases    map[int64]*lease
	changed   chan struct{}
	faults    Faults
	// minTTL is the shortest lease duration that is granted.
	minTTL time.Duration
	random *rand.Rand
	// rewrite changes what a call writes; nil if nothing is changed.
	rewrite func(key string, value []byte) []byte
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// New returns an empty store. seed seeds the random choice of faulty calls.
func New(seed uint64) *Store {
	return &Store{
		items: make(map[string]item), leases: make(map[int64]*lease), changed: make(chan struct{}),
		random: rand.New(rand.NewPCG(seed, 1)), revision: 1,
	}
}

// SetFaults replaces the fault rates.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// SetMinTTL sets the shortest lease duration that is granted.
func (s *Store) SetMinTTL(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.minTTL = d
}

// SetRewrite sets a function that changes the values that calls write, so that the addresses in them can
// lead through relays.
func (s *Store) SetRewrite(rewrite func(key string, value []byte) []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rewrite = rewrite
}

// DropHistory drops the change history; a watch from an earlier revision then returns 410.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compacted = nil, s.revision
}

// Put writes a record without a lease, as an operator or a runner would.
func (s *Store) Put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.set(key, value, 0)
	s.notify()
}

// Delete removes a record.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.remove(key)
	s.notify()
}

// Keys returns the keys with a prefix, sorted.
func (s *Store) Keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keys(prefix)
}

// Value returns the value of a record, or nil if the record does not exist.
func (s *Store) Value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Value
}

func (s *Store) keys(prefix string) []string {
	var out []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) {
			out = append(out, k)
		}
	}
	sort.Strings(out)
	return out
}

func (s *Store) set(key string, value []byte, lease int64) {
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	it := item{Key: key, Value: value, Revision: s.revision, Created: created, Lease: lease}
	s.items[key] = it
	s.history = append(s.history, it)
}

func (s *Store) remove(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.history = append(s.history, item{Key: key, Revision: s.revision, Deleted: true})
	}
}

func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) chance(p float64) bool { return p > 0 && s.random.Float64() < p }

func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(memnet.Latency)
	s.mu.Lock()
	f := s.faults
	noResponse, unavailable := s.chance(f.NoResponseRate), s.chance(f.UnavailableRate)
	write := r.Method != http.MethodGet
	loseResponse, delayed := write && s.chance(f.LostResponseRate), write && s.chance(f.DelayedWriteRate)
	delay := time.Second + time.Duration(s.random.Int64N(int64(5*time.Second)))
	s.mu.Unlock()
	time.Sleep(f.ExtraLatency)
	switch {
	case noResponse:
		hangUntilDisconnect(r)
	case unavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
	case delayed:
		s.delayWrite(r, delay)
		hangUntilDisconnect(r)
	default:
		status, body := s.handle(r)
		if loseResponse {
			hangUntilDisconnect(r)
		}
		reply(w, status, body)
	}
}

// hangUntilDisconnect sends no response and aborts once the client closes the connection.
func hangUntilDisconnect(r *http.Request) {
	// The server notices a closed connection only after the body has been read.
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
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

func (s *Store) handle(r *http.Request) (int, any) {
	q := r.URL.Query()
	switch {
	case r.URL.Path == "/-/kv-key":
		return s.get(q.Get("key"))
	case r.URL.Path == "/-/kv-range":
		return s.list(q.Get("path_prefix"), q.Get("after"))
	case r.URL.Path == "/-/kv-watch":
		after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("wait_ms"))
		return s.watch(r, q.Get("path_prefix"), after, time.Duration(wait)*time.Millisecond)
	case r.URL.Path == "/-/kv-txn":
		var t txn
		if json.NewDecoder(r.Body).Decode(&t) != nil {
			return http.StatusBadRequest, nil
		}
		return s.commit(t)
	case r.URL.Path == "/-/kv-lease":
		return s.grant(r)
	case strings.HasPrefix(r.URL.Path, "/-/kv-keep/"):
		return s.renew(strings.TrimPrefix(r.URL.Path, "/-/kv-keep/"))
	case strings.HasPrefix(r.URL.Path, "/-/kv-lease-end/"):
		return s.revoke(strings.TrimPrefix(r.URL.Path, "/-/kv-lease-end/"))
	}
	return http.StatusNotFound, nil
}

func (s *Store) get(key string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(time.Now())
	it, ok := s.items[key]
	if !ok {
		return http.StatusNotFound, map[string]int64{"at": s.revision}
	}
	return http.StatusOK, it
}

// pageSize is small so that lists in tests span several pages.
const pageSize = 50

func (s *Store) list(prefix, after string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(time.Now())
	items := []item{}
	more := false
	for _, k := range s.keys(prefix) {
		if k <= after && after != "" {
			continue
		}
		if len(items) == pageSize {
			more = true
			break
		}
		items = append(items, s.items[k])
	}
	return http.StatusOK, map[string]any{"items": items, "has_more": more, "at": s.revision}
}

// maxTxnEntries is the maximum number of expected, written and removed keys in one
// transaction.
const maxTxnEntries = 32
