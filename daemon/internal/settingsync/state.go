package settingsync

import "rhubarbstall.example/settings"

// origin tells how a revision reached this entry VM. It decides to whom it is
// passed on.
type origin string

const (
	fromPlatform  origin = "platform"
	fromApply     origin = "apply"
	fromOtherZone origin = "other_zone"
	fromZone      origin = "zone"
	fromBuiltin   origin = "builtin"
)

// state is one revision in force. It is immutable.
type state struct {
	document *settings.Document
	record   record
	// encoded is the stored form of the record; nil for the built-in document.
	encoded []byte
	// token is the platform's revision of the stored record; zero if not known.
	token  uint64
	origin origin
}

func (s *state) revision() uint64 {
	return s.record.Revision
}

// builtinState holds the document of a deployment without stored settings.
func builtinState() *state {
	return &state{
		document: settings.Default(),
		record:   record{document: []byte(settings.DefaultText)},
		origin:   fromBuiltin,
	}
}
