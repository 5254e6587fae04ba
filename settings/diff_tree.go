package settings

import (
	"fmt"
	"slices"
	"strings"
)

// inherited holds the changes of a parent by kind, field and values, so that a
// child with the same change is counted and not listed.
type inherited map[string]*change

// walk compares two nodes of the same path; one of them may be nil.
func (d *differ) walk(from, to *indexNode, above inherited) {
	switch {
	case from == nil && to == nil:
		return
	case from == nil:
		c := d.add("%s: department added%s", to.path, to.describe())
		c.below, c.whole = to.size()-1, true
		return
	case to == nil:
		c := d.add("%s: department removed", from.path)
		c.below, c.whole = from.size()-1, true
		return
	}
	d.own(from, to)
	changes := d.kinds(from, to, above)
	for _, name := range childNames(from, to) {
		d.walk(from.child(name), to.child(name), changes)
	}
}

// own compares the weight and quota that the nodes themselves set.
func (d *differ) own(from, to *indexNode) {
	a, b := from.department(), to.department()
	if a.Weight != b.Weight {
		d.add("%s: department weight %d -> %d", to.path, a.Weight, b.Weight)
	}
	for _, c := range components {
		if x, y := *c.of(&a.Quota), *c.of(&b.Quota); x != y {
			d.add("%s: quota %s %s -> %s", to.path, c.name, quotaText(x), quotaText(y))
		}
	}
}

// kinds compares the effective policies of all kinds and returns the changes
// for the children.
func (d *differ) kinds(from, to *indexNode, above inherited) inherited {
	if from.sharesKinds() && to.sharesKinds() {
		for _, c := range above {
			c.below++
		}
		return above
	}
	changes := make(inherited)
	a, b := from.kinds.effective(), to.kinds.effective()
	for _, name := range unionKeys(a, b) {
		p, q := a[name], b[name]
		switch {
		case p == nil:
			d.inherit(changes, above, to.path, fmt.Sprintf("kind %q added", name))
		case q == nil:
			d.inherit(changes, above, to.path, fmt.Sprintf("kind %q removed", name))
		case p != q:
			for _, f := range fields {
				if x, y := f.format(p), f.format(q); x != y {
					d.inherit(changes, above, to.path, fmt.Sprintf("kind %q: %s %s -> %s", name, f.name, x, y))
				}
			}
		}
	}
	return changes
}

func (d *differ) inherit(changes, above inherited, path, text string) {
	c, ok := above[text]
	if ok {
		c.below++
	} else {
		c = d.add("%s: %s", path, text)
	}
	changes[text] = c
}

// sharesKinds tells whether a node writes down no kinds and so has its parent's.
func (n *indexNode) sharesKinds() bool {
	return n.parent != nil && n.kinds == n.parent.kinds
}

func (n *indexNode) size() int {
	size := 1
	for _, child := range n.children {
		size += child.size()
	}
	return size
}

// describe renders the weight and quota of an added node.
func (n *indexNode) describe() string {
	dep := n.department()
	parts := []string{fmt.Sprintf("weight %d", dep.Weight)}
	for _, c := range components {
		if v := *c.of(&dep.Quota); v > 0 {
			parts = append(parts, fmt.Sprintf("quota %s %d", c.name, v))
		}
	}
	return ", " + strings.Join(parts, ", ")
}

func (n *indexNode) child(name string) *indexNode {
	path := n.path + "/" + name
	i, ok := slices.BinarySearchFunc(n.children, path, func(c *indexNode, p string) int { return strings.Compare(c.path, p) })
	if !ok {
		return nil
	}
	return n.children[i]
}

func childNames(a, b *indexNode) []string {
	return unionKeys(a.node.Children, b.node.Children)
}

func quotaText(v int64) string {
	if v == 0 {
		return "unlimited"
	}
	return fmt.Sprint(v)
}

func unionKeys[V any](a, b map[string]V) []string {
	keys := sortedKeys(a)
	for k := range b {
		if _, ok := a[k]; !ok {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	return keys
}
