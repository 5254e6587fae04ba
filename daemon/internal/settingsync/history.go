package settingsync

import (
	"crypto/rand"
	"strings"
	"time"
	"unicode"
)

// Limits of the history. They keep the header of a record below the space that
// settings.MaxDocumentBytes leaves in a platform value.
const (
	maxHistoryEntries = 64
	maxAuthorBytes    = 128
	maxCommentBytes   = 512
)

// HistoryEntry describes one accepted change.
type HistoryEntry struct {
	// ID is unique for each change. After a lost response it shows whether the write
	// took effect.
	ID       string    `json:"id"`
	Revision uint64    `json:"revision"`
	At       time.Time `json:"at"`
	Author   string    `json:"author,omitempty"`
	Comment  string    `json:"comment,omitempty"`
}

func newHistoryEntry(revision uint64, change Change) HistoryEntry {
	return HistoryEntry{
		ID:       rand.Text(),
		Revision: revision,
		At:       time.Now().UTC().Truncate(time.Second),
		Author:   sanitizeText(change.Author, maxAuthorBytes),
		Comment:  sanitizeText(change.Comment, maxCommentBytes),
	}
}

// sanitizeText replaces control characters, which JSON would encode as six bytes
// each, and truncates the text to limit bytes.
func sanitizeText(text string, limit int) string {
	text = strings.Map(func(r rune) rune {
		if unicode.IsControl(r) || r == '\u2028' || r == '\u2029' {
			return ' '
		}
		return r
	}, strings.ToValidUTF8(text, "?"))
	if len(text) > limit {
		text = strings.ToValidUTF8(text[:limit], "")
	}
	return text
}

// findHistoryEntry returns the entry with the given ID.
func findHistoryEntry(history []HistoryEntry, id string) (HistoryEntry, bool) {
	for _, e := range history {
		if e.ID == id {
			return e, true
		}
	}
	return HistoryEntry{}, false
}
