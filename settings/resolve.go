package settings

// Resolve returns the effective policy of a kind in a department, or false if the
// department does not exist or has no such kind. The cost depends only on the number
// of ancestors that define kinds. The caller must not modify Policy.Sacrifice, which
// is shared. Resolve returns false for a document that was not compiled.
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

// HasDepartment reports whether the tree has a department with this path.
func (d *Document) HasDepartment(path string) bool {
	return d.find(path) != nil
}

// Kinds returns the sorted names of the kinds of a department.
func (d *Document) Kinds(department string) []string {
	n := d.find(department)
	if n == nil {
		return nil
	}
	return sortedKeys(n.kinds.effectivePolicies())
}

func (d *Document) find(department string) *indexNode {
	if d == nil || d.index == nil {
		return nil
	}
	return d.index.nodes[department]
}
