package settingsync

// Change is a request to replace the settings.
type Change struct {
	// ExpectedRevision is the revision that the author started from.
	ExpectedRevision uint64
	Document         []byte
	Author           string
	Comment          string
	// DryRun checks and compares without storing.
	DryRun bool
}

// Result reports an accepted change.
type Result struct {
	// Revision is the new revision; for a dry run, the one in force.
	Revision uint64
	// Changes has one line for each effective value that changes.
	Changes []string
}
