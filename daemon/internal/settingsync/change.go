package settingsync

// Change is a request to replace the settings.
type Change struct {
	// ExpectedRevision is the revision that the change is based on.
	ExpectedRevision uint64
	Document         []byte
	Author           string
	Comment          string
	// DryRun validates the document and compares it without storing it.
	DryRun bool
}

// Result reports an accepted change.
type Result struct {
	// Revision is the new revision; for a dry run, the one in force.
	Revision uint64
	// Changes has one line for each changed effective value.
	Changes []string
}
