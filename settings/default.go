package settings

// DefaultText is the document in force until the first settings are stored. It
// lists no zones because the zones of a new deployment are not known.
const DefaultText = `// Built-in settings of a new deployment. Apply a document of your own with
// the availability zones of the deployment and your kinds and departments.
{
	"availability_zones": [],
	"limits": {},
	"head_office": {
		"kinds": {
			// A person waits for the answer.
			"urgent": {
				"urgency": 90, "patience_ms": 2000, "deadline_ms": 30000, "weight": 4,
				"reserve_percent": 10, "sacrifice": ["drop"]
			},
			"standard": {
				"urgency": 50, "patience_ms": 60000, "deadline_ms": 120000, "weight": 2,
				"sacrifice": ["throttle", "checkpoint"]
			},
			// Work that may wait overnight.
			"patient": {
				"urgency": 10, "patience_ms": 43200000, "deadline_ms": 600000, "weight": 1,
				"floor_percent": 10, "sacrifice": ["throttle", "checkpoint", "preempt"]
			},
		},
	},
}
`

// Default returns the parsed DefaultText.
func Default() *Document {
	doc, err := parse([]byte(DefaultText), (*Document).compileWithoutZones)
	if err != nil {
		panic(err) // The text is a constant, so this is a programming error.
	}
	return doc
}
