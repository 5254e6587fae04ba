package settingsync

import (
	"bytes"
	"errors"

	"go.uber.org/zap"

	"rhubarbstall.example/settings"
)

// handleRecord adopts a stored record if it is valid and its revision is higher
// than the one in force. It returns the decoded record, and an error if the record
// cannot be used.
func (s *Syncer) handleRecord(encoded []byte, storeRevision uint64, from origin, source string) (record, error) {
	r, err := decodeRecord(encoded)
	if err != nil {
		s.reportUnusable(source, storeRevision, 0, err)
		return record{}, err
	}
	if snap := s.current.Load(); snap != nil && r.Revision <= snap.revision() {
		s.handleNotNewer(snap, r, storeRevision, source)
		return r, nil
	}
	document, err := settings.Parse(r.document)
	if err != nil {
		s.reportUnusable(source, storeRevision, r.Revision, err)
		return r, err
	}
	s.adopt(&snapshot{document: document, record: r, encoded: encoded, storeRevision: storeRevision, origin: from})
	return r, nil
}

// adopt puts a snapshot into force if its revision is higher than the one in force.
func (s *Syncer) adopt(snap *snapshot) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if cur := s.current.Load(); cur != nil && snap.revision() <= cur.revision() {
		return false
	}
	s.current.Store(snap)
	s.metrics.countAdopted(snap.origin)
	s.log.Info("[settings] settings revision adopted",
		zap.Uint64("revision", snap.revision()), zap.String("origin", string(snap.origin)))
	select {
	case s.newRevision <- struct{}{}:
	default:
	}
	return true
}

// handleNotNewer handles a record whose revision is not higher than the one in
// force. It remembers the platform's revision of an equal record, which a later
// change needs for its compare-and-swap, and reports a lower or different record.
func (s *Syncer) handleNotNewer(snap *snapshot, r record, storeRevision uint64, source string) {
	switch {
	case r.Revision == snap.revision() && bytes.Equal(r.document, snap.record.document):
		s.updateStoreRevision(snap, storeRevision)
	case r.Revision == snap.revision():
		if s.rejections.add(source+"/differs", r.Revision) {
			s.metrics.countRefused("differs")
			s.log.Error("[settings] rejected another document with the same revision as the one in force",
				zap.Uint64("revision", r.Revision), zap.String("source", source))
		}
	case source == Key && s.rejections.add(source+"/lower", r.Revision):
		s.metrics.countRefused("lower")
		s.log.Warn("[settings] the platform returned a lower revision; keeping the one in force",
			zap.Uint64("answered", r.Revision), zap.Uint64("in_force", snap.revision()))
	}
}

func (s *Syncer) updateStoreRevision(snap *snapshot, storeRevision uint64) {
	if storeRevision <= snap.storeRevision {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current.Load() == snap {
		next := *snap
		next.storeRevision = storeRevision
		s.current.Store(&next)
	}
}

// reportUnusable logs and counts a record that cannot be used. The revision in
// force does not change.
func (s *Syncer) reportUnusable(source string, storeRevision, revision uint64, err error) {
	key := revision
	if key == 0 {
		key = storeRevision
	}
	if !s.rejections.add(source, key) {
		return
	}
	reason := "unreadable"
	switch {
	case errors.Is(err, errCorrupt):
		reason = "corrupt"
	case errors.Is(err, errNewerFormat):
		reason = "newer_format"
	}
	s.metrics.countRefused(reason)
	s.log.Error("[settings] rejected a record that cannot be used; keeping the revision in force",
		zap.String("source", source), zap.Uint64("revision", revision),
		zap.Uint64("in_force", s.revision()), zap.String("reason", reason), zap.Error(err))
}
