package settings

// index is the immutable lookup structure of a document. A node without own
// kinds shares the table of its nearest ancestor that has some, so the index
// grows with what is written down and not with teams times kinds.
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
	// children are in order of name.
	children []*indexNode
	kinds    *kindTable
}

// kindTable holds the merged policies of the kinds that a node writes down; other
// kinds are found in the table above.
type kindTable struct {
	up       *kindTable
	policies map[string]*Policy
	// shares is the sum of reserve and floor of every effective kind, in percent.
	shares int
}

// find returns the merged policy of a kind, or nil.
func (t *kindTable) find(kind string) *Policy {
	for ; t != nil; t = t.up {
		if p, ok := t.policies[kind]; ok {
			return p
		}
	}
	return nil
}

// effective returns every kind that is defined at the table, by name.
func (t *kindTable) effective() map[string]*Policy {
	all := make(map[string]*Policy)
	for ; t != nil; t = t.up {
		for name, p := range t.policies {
			if _, ok := all[name]; !ok {
				all[name] = p
			}
		}
	}
	return all
}
