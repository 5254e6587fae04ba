package cellstore

import (
	"encoding/json"
	"net/http"
	"time"
)

// txn is a conditional write: it takes effect only if every expected key has the expected
// revision, which is 0 for a key that does not exist.
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

// maxValueBytes is the largest value that a transaction may write.
const maxValueBytes = 1 << 20

func (s *Store) commit(t txn) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(time.Now())
	if len(t.Expected)+len(t.Write)+len(t.Remove) > maxTxnEntries {
		return http.StatusBadRequest, nil
	}
	matches := true
	current := []item{}
	for _, e := range t.Expected {
		it := s.items[e.Key]
		matches = matches && it.Revision == e.Revision
		if it.Key != "" {
			current = append(current, it)
		}
	}
	if !matches {
		return http.StatusPreconditionFailed, map[string]any{"items": current}
	}
	for _, w := range t.Write {
		if len(w.Value) > maxValueBytes {
			return http.StatusBadRequest, nil
		}
		if w.Lease != 0 && s.leases[w.Lease] == nil {
			return http.StatusNotFound, nil
		}
	}
	s.revision++
	for _, w := range t.Write {
		if s.rewrite != nil {
			w.Value = s.rewrite(w.Key, w.Value)
		}
		s.set(w.Key, w.Value, w.Lease)
	}
	for _, k := range t.Remove {
		s.remove(k)
	}
	s.notify()
	return http.StatusOK, map[string]int64{"revision": s.revision}
}

// delayWrite commits a transaction after delay. Other calls are dropped.
func (s *Store) delayWrite(r *http.Request, delay time.Duration) {
	if r.URL.Path != "/-/kv-txn" {
		return
	}
	var t txn
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		return
	}
	time.AfterFunc(delay, func() { s.commit(t) })
}
