package settings

import (
	"fmt"
	"slices"
	"strings"
)

// maxDiffLines bounds the lines that Diff returns. The last line then gives the
// number of changes left out.
const maxDiffLines = 200

// Diff compares two compiled documents and returns one line for each effective
// value that differs, with the path of the node. A change that departments below
// the node inherit is one line, which gives the number of these departments. Diff
// returns at most maxDiffLines lines.
func Diff(from, to *Document) []string {
	d := &differ{from: from, to: to}
	d.compareLists()
	d.compareLimits()
	d.compareNodes(from.find(RootPath), to.find(RootPath), nil)
	return d.render()
}

// change is one line of a difference.
type change struct {
	text string
	// descendants is the number of departments below that inherit the change.
	descendants int
	// subtree marks a department that was added or removed with its descendants.
	subtree bool
}

func (c *change) line() string {
	if c.descendants == 0 {
		return c.text
	}
	departments := "departments"
	if c.descendants == 1 {
		departments = "department"
	}
	if c.subtree {
		return fmt.Sprintf("%s, with %d %s below", c.text, c.descendants, departments)
	}
	return fmt.Sprintf("%s (also for %d %s below)", c.text, c.descendants, departments)
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

func (d *differ) compareLists() {
	d.compareList("availability_zones", d.from.Zones, d.to.Zones)
	d.compareList("seeds", d.from.Seeds, d.to.Seeds)
}

func (d *differ) compareList(name string, from, to []string) {
	if !slices.Equal(from, to) {
		d.add("%s: [%s] -> [%s]", name, strings.Join(from, ", "), strings.Join(to, ", "))
	}
}

func (d *differ) compareLimits() {
	for _, rule := range limitRules {
		if a, b := rule.get(&d.from.Limits), rule.get(&d.to.Limits); a != b {
			d.add("limits: %s %d -> %d", rule.name, a, b)
		}
	}
}
