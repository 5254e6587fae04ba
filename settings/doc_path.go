package settings

import (
	"reflect"
	"strings"
	"sync"

	"github.com/tailscale/hujson"
)

// docPath is a path in the document. It is formatted only when a problem reports it.
type docPath struct {
	parent *docPath
	name   string
}

func (p *docPath) join(name string) *docPath {
	return &docPath{parent: p, name: name}
}

// String joins the names with slashes.
func (p *docPath) String() string {
	if p.parent == nil {
		return "document"
	}
	if p.parent.parent == nil {
		return p.name
	}
	return p.parent.String() + "/" + p.name
}

// fieldCache caches the result of jsonFields for each type.
var fieldCache sync.Map

// jsonFields returns the index of each field by its JSON name. Each type of a
// document has fewer than 64 fields, so the caller can use a bit set of 64 bits.
func jsonFields(t reflect.Type) map[string]int {
	if cached, ok := fieldCache.Load(t); ok {
		return cached.(map[string]int)
	}
	fields := make(map[string]int)
	for i := range t.NumField() {
		if tag, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ","); tag != "" {
			fields[tag] = i
		}
	}
	fieldCache.Store(t, fields)
	return fields
}

func describeType(k reflect.Kind) string {
	switch k {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	default:
		return "a whole number"
	}
}

func describeValue(v *hujson.Value) string {
	switch v.Value.Kind() {
	case '{':
		return "an object"
	case '[':
		return "a list"
	case 'n':
		return "null; leave the field out instead"
	default:
		return truncate(string(v.Value.(hujson.Literal)))
	}
}

func truncate(s string) string {
	if len(s) > 60 {
		return strings.ToValidUTF8(s[:60], "") + "…"
	}
	return s
}
