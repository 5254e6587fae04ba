package settings

import (
	"errors"
	"io"
	"reflect"
	"strings"

	"github.com/tailscale/hujson"

	"rhubarbstall.example/api/codes"
)

// MaxDocumentBytes is the largest size of a document. The document is stored in a
// platform value of at most 1 MiB; the remaining space holds the change history and
// the encoding of the record.
const MaxDocumentBytes = 900_000

// Parse decodes and checks a document and builds its index. Errors carry one of
// the codes SettingsSyntax, SettingsInvalid, SettingsWidens and SettingsTooLarge.
// The message names the line and path of the first problem, and the details list
// the first maxProblems problems.
func Parse(src []byte) (*Document, error) {
	return parse(src, (*Document).compile)
}

func parse(src []byte, compile func(*Document, *problemList) error) (*Document, error) {
	if len(src) > MaxDocumentBytes {
		return nil, codes.SettingsTooLarge.Errorf("the document has %d bytes; at most %d are allowed", len(src), MaxDocumentBytes)
	}
	if line, ok := nestedTooDeep(src); ok {
		return nil, codes.SettingsSyntax.Errorf("line %d: nested deeper than %d levels", line, maxNestingLevels)
	}
	tree, err := hujson.Parse(src)
	if err != nil {
		if errors.Is(err, io.ErrUnexpectedEOF) {
			return nil, codes.SettingsSyntax.Errorf("%s: the document ends too early", syntaxReason(err))
		}
		return nil, codes.SettingsSyntax.Errorf("%s", syntaxReason(err))
	}
	problems := &problemList{src: src, tree: &tree}
	doc := new(Document)
	decode(problems, &tree, reflect.ValueOf(doc).Elem(), new(docPath))
	if err := problems.err(); err != nil {
		return nil, err
	}
	if err := compile(doc, problems); err != nil {
		return nil, err
	}
	return doc, nil
}

// Compile checks a document that was built in code and builds its index, which
// Resolve, Explain and Departments need. Parse returns a compiled document.
func (d *Document) Compile() error {
	return d.compile(&problemList{})
}

func syntaxReason(err error) string {
	return strings.TrimPrefix(err.Error(), "hujson: ")
}
