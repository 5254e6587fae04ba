package settingsync

import (
	"sync"

	"rhubarbstall.example/settings"
)

// startupAnswers collects the answers of one round of queries at startup.
type startupAnswers struct {
	mu      sync.Mutex
	best    *snapshot
	answers int
	// unusable is set if the platform or a peer returned a record that cannot be
	// used here.
	unusable bool
}

func (c *startupAnswers) countAnswer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers++
}

// add keeps the record if it has the highest revision so far. It reports and
// ignores an unusable record.
func (c *startupAnswers) add(s *Syncer, t *Transfer, source string) {
	if len(t.Record) == 0 {
		return
	}
	r, err := decodeRecord(t.Record)
	var document *settings.Document
	if err == nil {
		document, err = settings.Parse(r.document)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.unusable = true
		s.reportUnusable(source, t.Token, r.Revision, err)
		return
	}
	if c.best != nil && c.best.revision() >= r.Revision {
		return
	}
	// The origin is the zone, so that the record is not sent to peers again: the
	// entry VM that has it did so.
	c.best = &snapshot{document: document, record: r, encoded: t.Record, storeRevision: t.Token, origin: originZone}
}
