package settings

// index is the immutable lookup structure of a document. A node that defines no
// kinds shares the table of its nearest ancestor that defines some, so the size of
// the index follows the size of the document, not departments times kinds.
type index struct {
	nodes map[string]*indexNode
	// order lists the nodes, parents before children, siblings by name.
	order []*indexNode
}

// indexNode is one node of the tree.
type indexNode struct {
	path   string
	parent *indexNode
	node   *Node
	// children are sorted by name.
	children []*indexNode
	// kinds is the parent's table if the node defines no kinds.
	kinds *kindTable
}

// kindTable holds the merged policies of the kinds that a node defines. Other
// kinds are looked up in the parent table.
type kindTable struct {
	parent   *kindTable
	policies map[string]*Policy
	// reservedPercent is the sum of ReservePercent and FloorPercent over all
	// effective kinds.
	reservedPercent int
}

// find returns the merged policy of a kind, or nil.
func (t *kindTable) find(kind string) *Policy {
	for ; t != nil; t = t.parent {
		if p, ok := t.policies[kind]; ok {
			return p
		}
	}
	return nil
}

// effectivePolicies returns the policies of all kinds in the table and its
// ancestors, by name of the kind.
func (t *kindTable) effectivePolicies() map[string]*Policy {
	all := make(map[string]*Policy)
	for ; t != nil; t = t.parent {
		for name, p := range t.policies {
			if _, ok := all[name]; !ok {
				all[name] = p
			}
		}
	}
	return all
}
