package settings

import "rhubarbstall.example/api/codes"

// maxDepth bounds the levels of the tree; head office is level one.
const maxDepth = 16

// compiler checks a document and builds its index in one walk.
type compiler struct {
	found *problems
	index *index
}

func (d *Document) compile(found *problems) error {
	if len(d.Zones) == 0 {
		found.add(codes.SettingsInvalid, "availability_zones", "must list at least one availability zone")
	}
	return d.compileWithoutZones(found)
}

// compileWithoutZones compiles a document that may list no zones.
func (d *Document) compileWithoutZones(found *problems) error {
	d.checkZones(found)
	d.checkSeeds(found)
	d.Limits = d.Limits.WithDefaults()
	d.Limits.check(found)
	c := &compiler{found: found, index: &index{nodes: make(map[string]*indexNode)}}
	c.add(nil, &d.Root, RootPath, RootPath, 1, Quota{})
	if err := found.err(); err != nil {
		return err
	}
	d.index = c.index
	return nil
}

// add compiles a node and its children. docPath is the place in the document,
// and bound is the nearest quota above for each resource.
func (c *compiler) add(parent *indexNode, node *Node, path, docPath string, depth int, bound Quota) *indexNode {
	n := &indexNode{path: path, parent: parent, node: node}
	c.index.nodes[path] = n
	c.index.order = append(c.index.order, n)
	checkRange(c.found, docPath, "weight", node.Weight, 1, maxWeight)
	if node.Quota != nil {
		bound = node.Quota.check(c.found, docPath+"/quota", bound)
	}
	c.addKinds(n, docPath)
	if len(path) > maxPathBytes {
		c.found.add(codes.SettingsInvalid, docPath, "the path has more than %d bytes", maxPathBytes)
		return n
	}
	if depth == maxDepth && len(node.Children) > 0 {
		c.found.add(codes.SettingsInvalid, docPath, "departments are nested deeper than %d levels", maxDepth)
		return n
	}
	for _, name := range sortedKeys(node.Children) {
		childDoc := docPath + "/departments/" + name
		if checkName(c.found, childDoc, name) {
			child := node.Children[name]
			n.children = append(n.children, c.add(n, &child, path+"/"+name, childDoc, depth+1, bound))
		}
	}
	return n
}

// addKinds merges the kinds that a node writes down with those above.
func (c *compiler) addKinds(n *indexNode, docPath string) {
	var above *kindTable
	if n.parent != nil {
		above = n.parent.kinds
	}
	n.kinds = above
	if len(n.node.Kinds) == 0 {
		return
	}
	table := &kindTable{up: above, policies: make(map[string]*Policy, len(n.node.Kinds))}
	n.kinds = table
	if above != nil {
		table.shares = above.shares
	}
	var limit *kindLimits
	for _, name := range sortedKeys(n.node.Kinds) {
		kindPath := docPath + "/kinds/" + name
		if !checkName(c.found, kindPath, name) {
			continue
		}
		kind := n.node.Kinds[name]
		kind.check(c.found, kindPath)
		parent := above.find(name)
		if parent == nil && limit == nil {
			limit = limitsOf(above.effective())
		}
		p := c.merge(parent, limit, &kind, name, kindPath)
		table.policies[name] = p
		table.shares += p.shares() - parent.shares()
	}
	if table.shares > 100 {
		c.found.add(codes.SettingsInvalid, docPath+"/kinds", "reserve_percent and floor_percent of all kinds add up to %d, which is above 100", table.shares)
	}
}

// shares returns the percentage that a kind keeps for itself; zero for nil.
func (p *Policy) shares() int {
	if p == nil {
		return 0
	}
	return p.ReservePercent + p.FloorPercent
}

// merge applies a kind's differences to the parent's policy and checks that
// they widen no limit of it. A kind that the parent does not have is bounded by
// the largest limits among the parent's kinds, since a new name would otherwise
// evade every limit.
func (c *compiler) merge(parent *Policy, limit *kindLimits, kind *Kind, name, path string) *Policy {
	var p Policy
	if parent != nil {
		p = *parent
		limit = &kindLimits{true, parent.Urgency, parent.ReservePercent, parent.Deadline}
	} else {
		p = limit.clamp(defaultPolicy)
		p.Kind = name
	}
	for _, f := range fields {
		f.apply(kind, &p)
	}
	limit.check(c.found, path, &p)
	return &p
}
