package platform

import (
	"slices"
	"time"

	"rhubarbstall.example/standin/history"
	"rhubarbstall.example/standin/process"
	wire "rhubarbstall.example/wire/platform"
)

// lease deletes its keys when it expires or is revoked, unless its holder renews it.
type lease struct {
	ttl     time.Duration
	expires time.Time
	keys    map[string]struct{}
}

func (s *store) grant(ttl time.Duration) wire.Lease {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := process.NewInstance()
	s.leases[id] = &lease{ttl: ttl, expires: time.Now().Add(ttl), keys: make(map[string]struct{})}
	s.history.Write(history.Event{Type: history.LeaseGranted, Key: id})
	return wire.Lease{ID: id, TTLMillis: ttl.Milliseconds()}
}

func (s *store) renew(id string) (wire.Lease, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.leases[id]
	if !ok || !time.Now().Before(l.expires) {
		return wire.Lease{}, errNoLease
	}
	l.expires = time.Now().Add(l.ttl)
	return wire.Lease{ID: id, TTLMillis: l.ttl.Milliseconds()}, nil
}

func (s *store) revoke(id string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.leases[id]; !ok {
		return errNoLease
	}
	s.removeLease(id)
	return nil
}

// expire removes the leases that have expired at now, with their keys.
func (s *store) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		if !now.Before(l.expires) {
			s.history.Write(history.Event{Type: history.LeaseLapsed, Key: id})
			s.removeLease(id)
		}
	}
}

// removeLease removes a lease and deletes its keys in sorted order. The caller holds the lock.
func (s *store) removeLease(id string) {
	l := s.leases[id]
	delete(s.leases, id)
	keys := make([]string, 0, len(l.keys))
	for k := range l.keys {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	for _, k := range keys {
		s.deleteLocked(k)
	}
}
