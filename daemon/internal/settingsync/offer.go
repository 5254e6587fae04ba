package settingsync

import (
	"bytes"
	"errors"

	"go.uber.org/zap"

	"rhubarbstall.example/settings"
)

// offer takes a stored record into force if it is valid and higher than the one
// in force. It returns the decoded record, and an error if it cannot be used.
func (s *Syncer) offer(encoded []byte, token uint64, from origin, source string) (record, error) {
	r, err := decodeRecord(encoded)
	if err != nil {
		s.refuse(source, token, 0, err)
		return record{}, err
	}
	if st := s.current.Load(); st != nil && r.Revision <= st.revision() {
		s.noteKnown(st, r, token, source)
		return r, nil
	}
	document, err := settings.Parse(r.document)
	if err != nil {
		s.refuse(source, token, r.Revision, err)
		return r, err
	}
	s.adopt(&state{document: document, record: r, encoded: encoded, token: token, origin: from})
	return r, nil
}

// adopt puts a state into force unless it is not higher than the one in force.
func (s *Syncer) adopt(st *state) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if cur := s.current.Load(); cur != nil && st.revision() <= cur.revision() {
		return false
	}
	s.current.Store(st)
	s.metrics.countAdopted(st.origin)
	s.log.Info("[settings] revision in force",
		zap.Uint64("revision", st.revision()), zap.String("origin", string(st.origin)))
	select {
	case s.changed <- struct{}{}:
	default:
	}
	return true
}

// noteKnown handles a record that is not higher than the one in force. It keeps
// the platform's revision of the record, which a later change needs for its
// compare-and-swap, and reports a record that went back.
func (s *Syncer) noteKnown(st *state, r record, token uint64, source string) {
	switch {
	case r.Revision == st.revision() && bytes.Equal(r.document, st.record.document):
		s.noteToken(st, token)
	case r.Revision == st.revision():
		if s.refusals.add(source+"/differs", r.Revision) {
			s.metrics.countRefused("differs")
			s.log.Error("[settings] another document has the revision in force; it is kept out",
				zap.Uint64("revision", r.Revision), zap.String("source", source))
		}
	case source == Key && s.refusals.add(source+"/lower", r.Revision):
		s.metrics.countRefused("lower")
		s.log.Warn("[settings] the platform answered a lower revision; the one in force stays",
			zap.Uint64("answered", r.Revision), zap.Uint64("in_force", st.revision()))
	}
}

func (s *Syncer) noteToken(st *state, token uint64) {
	if token <= st.token {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current.Load() == st {
		next := *st
		next.token = token
		s.current.Store(&next)
	}
}

// refuse reports a record that cannot be used. The revision in force stays.
func (s *Syncer) refuse(source string, token, revision uint64, err error) {
	key := revision
	if key == 0 {
		key = token
	}
	if !s.refusals.add(source, key) {
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
	s.log.Error("[settings] a record cannot be used and is kept out; the revision in force stays",
		zap.String("source", source), zap.Uint64("revision", revision),
		zap.Uint64("in_force", s.revision()), zap.String("reason", reason), zap.Error(err))
}
