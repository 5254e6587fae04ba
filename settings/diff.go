package settings

import (
	"fmt"
	"slices"
	"strings"
)

// maxDiffLines bounds the lines that Diff returns; the last one counts the rest.
const maxDiffLines = 200

// Diff returns one line for each effective value that differs between two
// compiled documents, with the nodes that it concerns. A change that the
// departments below a node take over by inheritance is one line with their
// number.
func Diff(from, to *Document) []string {
	d := &differ{from: from, to: to}
	d.lists()
	d.limits()
	d.walk(from.find(RootPath), to.find(RootPath), nil)
	return d.render()
}

// change is one line of a difference.
type change struct {
	text string
	// below counts further departments with the same change.
	below int
	// whole marks a department that was added or removed with those below it.
	whole bool
}

func (c *change) line() string {
	if c.below == 0 {
		return c.text
	}
	departments := "departments"
	if c.below == 1 {
		departments = "department"
	}
	if c.whole {
		return fmt.Sprintf("%s, with %d %s below", c.text, c.below, departments)
	}
	return fmt.Sprintf("%s (also for %d %s below)", c.text, c.below, departments)
}

type differ struct {
	from, to *Document
	changes  []*change
}

func (d *differ) add(format string, args ...any) *change {
	c := &change{text: fmt.Sprintf(format, args...)}
	d.changes = append(d.changes, c)
	return c
}

func (d *differ) render() []string {
	lines := make([]string, 0, min(len(d.changes), maxDiffLines))
	for i, c := range d.changes {
		if i == maxDiffLines-1 && len(d.changes) > maxDiffLines {
			return append(lines, fmt.Sprintf("and %d more changes", len(d.changes)-i))
		}
		lines = append(lines, c.line())
	}
	return lines
}

func (d *differ) lists() {
	d.list("availability_zones", d.from.Zones, d.to.Zones)
	d.list("seeds", d.from.Seeds, d.to.Seeds)
}

func (d *differ) list(name string, from, to []string) {
	if !slices.Equal(from, to) {
		d.add("%s: [%s] -> [%s]", name, strings.Join(from, ", "), strings.Join(to, ", "))
	}
}

func (d *differ) limits() {
	for _, rule := range limitRules {
		if a, b := rule.get(&d.from.Limits), rule.get(&d.to.Limits); a != b {
			d.add("limits: %s %d -> %d", rule.name, a, b)
		}
	}
}
