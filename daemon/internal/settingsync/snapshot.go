package settingsync

import "rhubarbstall.example/settings"

// origin is the way a revision reached this entry VM. It decides which peers the
// revision is sent to.
type origin string

const (
	originPlatform  origin = "platform"
	originApply     origin = "apply"
	originOtherZone origin = "other_zone"
	originZone      origin = "zone"
	originBuiltin   origin = "builtin"
)

// snapshot is one settings revision, immutable.
type snapshot struct {
	document *settings.Document
	record   record
	// encoded is the stored form of the record; nil for the built-in document.
	encoded []byte
	// storeRevision is the platform's revision of the stored record; zero if not known.
	storeRevision uint64
	origin        origin
}

func (s *snapshot) revision() uint64 {
	return s.record.Revision
}

// builtinSnapshot holds the document of a deployment without stored settings.
func builtinSnapshot() *snapshot {
	return &snapshot{
		document: settings.Default(),
		record:   record{document: []byte(settings.DefaultText)},
		origin:   originBuiltin,
	}
}
