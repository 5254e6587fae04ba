package settings

import (
	"fmt"
	"slices"
	"strings"
)

// inheritedChanges holds the changes of a parent by kind, field and values, so that
// the same change of a child is counted instead of listed.
type inheritedChanges map[string]*change

// compareNodes compares two nodes of the same path and their descendants. A node
// that is missing in one document is nil.
func (d *differ) compareNodes(from, to *indexNode, parentChanges inheritedChanges) {
	switch {
	case from == nil && to == nil:
		return
	case from == nil:
		c := d.add("%s: department added%s", to.path, to.describe())
		c.descendants, c.subtree = to.subtreeSize()-1, true
		return
	case to == nil:
		c := d.add("%s: department removed", from.path)
		c.descendants, c.subtree = from.subtreeSize()-1, true
		return
	}
	d.compareOwnValues(from, to)
	changes := d.compareKinds(from, to, parentChanges)
	for _, name := range childNames(from, to) {
		d.compareNodes(from.child(name), to.child(name), changes)
	}
}

// compareOwnValues compares the weight and quota that the nodes themselves set.
func (d *differ) compareOwnValues(from, to *indexNode) {
	a, b := from.department(), to.department()
	if a.Weight != b.Weight {
		d.add("%s: department weight %d -> %d", to.path, a.Weight, b.Weight)
	}
	for _, r := range quotaResources {
		if x, y := *r.amount(&a.Quota), *r.amount(&b.Quota); x != y {
			d.add("%s: quota %s %s -> %s", to.path, r.name, quotaText(x), quotaText(y))
		}
	}
}

// compareKinds compares the effective policies of all kinds and returns the
// changes, which the children inherit.
func (d *differ) compareKinds(from, to *indexNode, parentChanges inheritedChanges) inheritedChanges {
	if from.inheritsKinds() && to.inheritsKinds() {
		for _, c := range parentChanges {
			c.descendants++
		}
		return parentChanges
	}
	changes := make(inheritedChanges)
	a, b := from.kinds.effectivePolicies(), to.kinds.effectivePolicies()
	for _, name := range unionKeys(a, b) {
		p, q := a[name], b[name]
		switch {
		case p == nil:
			d.addOrCount(changes, parentChanges, to.path, fmt.Sprintf("kind %q added", name))
		case q == nil:
			d.addOrCount(changes, parentChanges, to.path, fmt.Sprintf("kind %q removed", name))
		case p != q:
			for _, f := range fields {
				if x, y := f.format(p), f.format(q); x != y {
					d.addOrCount(changes, parentChanges, to.path, fmt.Sprintf("kind %q: %s %s -> %s", name, f.name, x, y))
				}
			}
		}
	}
	return changes
}

func (d *differ) addOrCount(changes, parentChanges inheritedChanges, path, text string) {
	c, ok := parentChanges[text]
	if ok {
		c.descendants++
	} else {
		c = d.add("%s: %s", path, text)
	}
	changes[text] = c
}

// inheritsKinds reports whether a node defines no kinds and uses its parent's table.
func (n *indexNode) inheritsKinds() bool {
	return n.parent != nil && n.kinds == n.parent.kinds
}

func (n *indexNode) subtreeSize() int {
	size := 1
	for _, child := range n.children {
		size += child.subtreeSize()
	}
	return size
}

// describe renders the weight and quota of an added node.
func (n *indexNode) describe() string {
	dep := n.department()
	parts := []string{fmt.Sprintf("weight %d", dep.Weight)}
	for _, r := range quotaResources {
		if v := *r.amount(&dep.Quota); v > 0 {
			parts = append(parts, fmt.Sprintf("quota %s %d", r.name, v))
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
