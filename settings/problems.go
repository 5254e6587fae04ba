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

// maxProblems is the largest number of problems that an error lists.
const maxProblems = 20

// problem is one error in a document.
type problem struct {
	code codes.Code
	// line is zero if the document was built in code.
	line int
	text string
}

// problemList collects the problems of a document.
type problemList struct {
	src []byte
	// tree is the parsed text, which gives the line of a path; nil if the document
	// was built in code.
	tree  *hujson.Value
	list  []problem
	total int
}

// add records a problem at a path with segments separated by slashes.
func (p *problemList) add(code codes.Code, path, format string, args ...any) {
	p.total++
	if len(p.list) == maxProblems {
		return
	}
	item := problem{code: code, line: p.lineOf(path), text: path + ": " + fmt.Sprintf(format, args...)}
	if item.line > 0 {
		item.text = fmt.Sprintf("line %d: %s", item.line, item.text)
	}
	p.list = append(p.list, item)
}

// lineOf returns the line of the value at path, or of its nearest ancestor in the
// text. It returns zero if the document was built in code.
func (p *problemList) lineOf(path string) int {
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
// first problem in the document.
func (p *problemList) err() error {
	if p.total == 0 {
		return nil
	}
	slices.SortStableFunc(p.list, func(a, b problem) int { return cmp.Compare(a.line, b.line) })
	first := p.list[0]
	if p.total == 1 {
		return first.code.With(first.text)
	}
	var details []string
	for _, item := range p.list {
		details = append(details, item.text)
	}
	if p.total > len(p.list) {
		details = append(details, fmt.Sprintf("and %d more problems", p.total-len(p.list)))
	}
	return first.code.With(fmt.Sprintf("%s (and %d more)", first.text, p.total-1), codes.WithDetails(details...))
}
