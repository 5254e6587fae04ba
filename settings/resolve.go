package settings

// Resolve returns the effective policy of a kind in a department; false if the
// department or the kind does not exist there. The time depends only on the
// number of ancestors that write down kinds. Policy.Sacrifice is shared and is
// not changed. A document that was not compiled resolves nothing.
func (d *Document) Resolve(department, kind string) (Policy, bool) {
	n := d.find(department)
	if n == nil {
		return Policy{}, false
	}
	p := n.kinds.find(kind)
	if p == nil {
		return Policy{}, false
	}
	policy := *p
	policy.Department = n.path
	return policy, true
}

// HasDepartment tells whether the path is in the tree.
func (d *Document) HasDepartment(path string) bool {
	return d.find(path) != nil
}

// Kinds returns the names of the kinds of a department in order.
func (d *Document) Kinds(department string) []string {
	n := d.find(department)
	if n == nil {
		return nil
	}
	return sortedKeys(n.kinds.effective())
}

func (d *Document) find(department string) *indexNode {
	if d == nil || d.index == nil {
		return nil
	}
	return d.index.nodes[department]
}
