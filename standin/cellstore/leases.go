package cellstore

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

func (s *Store) grant(r *http.Request) (int, any) {
	var in struct {
		TTL int64 `json:"ttl_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		return http.StatusBadRequest, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	id := s.revision
	ttl := time.Duration(in.TTL) * time.Millisecond
	if ttl < s.minTTL {
		return http.StatusBadRequest, map[string]string{"reason": "lease is too short"}
	}
	s.leases[id] = &lease{ttl: ttl, expires: time.Now().Add(ttl)}
	return http.StatusOK, map[string]int64{"lease": id, "ttl_ms": in.TTL}
}

func (s *Store) renew(name string) (int, any) {
	id, _ := strconv.ParseInt(name, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(time.Now())
	l := s.leases[id]
	if l == nil {
		return http.StatusNotFound, nil
	}
	l.expires = time.Now().Add(l.ttl)
	return http.StatusOK, map[string]int64{"ttl_ms": l.ttl.Milliseconds()}
}

func (s *Store) revoke(name string) (int, any) {
	id, _ := strconv.ParseInt(name, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeLease(id)
	return http.StatusOK, map[string]int64{}
}

// expire removes the leases that have expired, and their records.
func (s *Store) expire(now time.Time) {
	for id, l := range s.leases {
		if now.Before(l.expires) {
			continue
		}
		s.removeLease(id)
	}
}

// removeLease removes a lease and the records that are bound to it.
func (s *Store) removeLease(id int64) {
	delete(s.leases, id)
	for key, it := range s.items {
		if it.Lease == id {
			s.revision++
			s.remove(key)
			s.notify()
		}
	}
}
