package settings

import (
	"maps"
	"slices"
)

// Department describes a node of the tree with its weight and quota.
type Department struct {
	Path string
	// Parent is the path of the parent; it is empty for head office.
	Parent string
	// Weight is the relative share among siblings; at least 1.
	Weight int
	// Quota is the quota that the node itself sets; a zero component is unlimited.
	Quota Quota
}

// Departments returns every node, parents before children.
func (d *Document) Departments() []Department {
	if d.index == nil {
		return nil
	}
	all := make([]Department, 0, len(d.index.order))
	for _, n := range d.index.order {
		all = append(all, n.department())
	}
	return all
}

func (n *indexNode) department() Department {
	dep := Department{Path: n.path, Weight: 1}
	if n.parent != nil {
		dep.Parent = n.parent.path
	}
	if n.node.Weight != nil {
		dep.Weight = *n.node.Weight
	}
	if n.node.Quota != nil {
		dep.Quota = *n.node.Quota
	}
	return dep
}

func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}
