// Package settingsync keeps the settings in force on this entry VM.
package settingsync

import "rhubarbstall.example/settings"

// Provider returns the settings in force. Implementations are safe for concurrent use.
type Provider interface {
	// Current returns the document in force and its revision, or false if this entry
	// VM has none yet. The document is shared; callers must not modify it.
	Current() (*settings.Document, uint64, bool)
}
