package settings

import (
	"bytes"
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/tailscale/hujson"

	"rhubarbstall.example/api/codes"
)

// maxProblems bounds the problems that one error lists.
const maxProblems = 20

// problem is one thing that is wrong with a document.
type problem struct {
	code codes.Code
	// line is zero if the text is not known.
	line int
	text string
}

// problems collects what is wrong with a document.
type problems struct {
	src []byte
	// tree gives the line of a path; nil if the document has no text.
	tree  *hujson.Value
	list  []problem
	total int
}

// add records a problem at a path, whose segments are joined by slashes.
func (p *problems) add(code codes.Code, path, format string, args ...any) {
	p.total++
	if len(p.list) == maxProblems {
		return
	}
	one := problem{code: code, line: p.lineOf(path), text: path + ": " + fmt.Sprintf(format, args...)}
	if one.line > 0 {
		one.text = fmt.Sprintf("line %d: %s", one.line, one.text)
	}
	p.list = append(p.list, one)
}

// lineOf returns the line of the value at path or of its nearest ancestor that
// is written down; zero if the text is not known.
func (p *problems) lineOf(path string) int {
	if p.tree == nil {
		return 0
	}
	for path != "" {
		if v := p.tree.Find("/" + path); v != nil {
			return 1 + bytes.Count(p.src[:v.StartOffset], []byte("\n"))
		}
		path = path[:max(0, strings.LastIndexByte(path, '/'))]
	}
	return 1
}

// err returns nil if there are no problems, else an error with the code of the
// first one in the document.
func (p *problems) err() error {
	if p.total == 0 {
		return nil
	}
	slices.SortStableFunc(p.list, func(a, b problem) int { return cmp.Compare(a.line, b.line) })
	first := p.list[0]
	if p.total == 1 {
		return first.code.With(first.text)
	}
	var details []string
	for _, one := range p.list {
		details = append(details, one.text)
	}
	if p.total > len(p.list) {
		details = append(details, fmt.Sprintf("and %d more problems", p.total-len(p.list)))
	}
	return first.code.With(fmt.Sprintf("%s (and %d more)", first.text, p.total-1), codes.WithDetails(details...))
}
