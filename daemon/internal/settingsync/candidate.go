package settingsync

import (
	"sync"

	"rhubarbstall.example/settings"
)

// candidate collects the answers of one round at the start.
type candidate struct {
	mu      sync.Mutex
	best    *state
	answers int
	// unusable is set if somebody has settings that cannot be used here.
	unusable bool
}

func (c *candidate) answered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers++
}

// add considers a record. An unusable one is reported and left out.
func (c *candidate) add(s *Syncer, t *Transfer, source string) {
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
		s.refuse(source, t.Token, r.Revision, err)
		return
	}
	if c.best != nil && c.best.revision() >= r.Revision {
		return
	}
	// The revision was spread by the entry VM that has it, so it is not sent on.
	c.best = &state{document: document, record: r, encoded: t.Record, token: t.Token, origin: fromZone}
}
