package settings

import "rhubarbstall.example/api/codes"

// maxTreeLevels is the largest number of levels in the tree; head office is level 1.
const maxTreeLevels = 16

// compiler checks a document and builds its index in one walk.
type compiler struct {
	problems *problemList
	index    *index
}

// compile checks a document and builds its index. It requires at least one zone.
func (d *Document) compile(problems *problemList) error {
	if len(d.Zones) == 0 {
		problems.add(codes.SettingsInvalid, "availability_zones", "must list at least one availability zone")
	}
	return d.compileWithoutZones(problems)
}

// compileWithoutZones compiles a document but accepts an empty list of zones.
func (d *Document) compileWithoutZones(problems *problemList) error {
	d.checkZones(problems)
	d.checkSeeds(problems)
	d.Limits = d.Limits.WithDefaults()
	d.Limits.check(problems)
	c := &compiler{problems: problems, index: &index{nodes: make(map[string]*indexNode)}}
	c.addNode(nil, &d.Root, RootPath, RootPath, 1, Quota{})
	if err := problems.err(); err != nil {
		return err
	}
	d.index = c.index
	return nil
}

// addNode compiles a node and its children. docPath is the path in the document, and
// bound holds, for each resource, the quota of the nearest ancestor that sets one.
func (c *compiler) addNode(parent *indexNode, node *Node, path, docPath string, depth int, bound Quota) *indexNode {
	n := &indexNode{path: path, parent: parent, node: node}
	c.index.nodes[path] = n
	c.index.order = append(c.index.order, n)
	checkRange(c.problems, docPath, "weight", node.Weight, 1, maxWeight)
	if node.Quota != nil {
		bound = node.Quota.check(c.problems, docPath+"/quota", bound)
	}
	c.addKinds(n, docPath)
	if len(path) > maxPathBytes {
		c.problems.add(codes.SettingsInvalid, docPath, "the path has more than %d bytes", maxPathBytes)
		return n
	}
	if depth == maxTreeLevels && len(node.Children) > 0 {
		c.problems.add(codes.SettingsInvalid, docPath, "departments are nested deeper than %d levels", maxTreeLevels)
		return n
	}
	for _, name := range sortedKeys(node.Children) {
		childDoc := docPath + "/departments/" + name
		if checkName(c.problems, childDoc, name) {
			child := node.Children[name]
			n.children = append(n.children, c.addNode(n, &child, path+"/"+name, childDoc, depth+1, bound))
		}
	}
	return n
}

// addKinds merges the kinds that a node defines with the kinds that it inherits, and checks
// that their reserves and floors add up to at most 100 percent.
func (c *compiler) addKinds(n *indexNode, docPath string) {
	var inherited *kindTable
	if n.parent != nil {
		inherited = n.parent.kinds
	}
	n.kinds = inherited
	if len(n.node.Kinds) == 0 {
		return
	}
	table := &kindTable{parent: inherited, policies: make(map[string]*Policy, len(n.node.Kinds))}
	n.kinds = table
	if inherited != nil {
		table.reservedPercent = inherited.reservedPercent
	}
	// limit bounds the kinds that the parent does not have; nil until one is found.
	var limit *kindLimits
	for _, name := range sortedKeys(n.node.Kinds) {
		kindPath := docPath + "/kinds/" + name
		if !checkName(c.problems, kindPath, name) {
			continue
		}
		kind := n.node.Kinds[name]
		kind.check(c.problems, kindPath)
		parent := inherited.find(name)
		if parent == nil && limit == nil {
			limit = largestLimits(inherited.effectivePolicies())
		}
		p := c.mergeKind(parent, limit, &kind, name, kindPath)
		table.policies[name] = p
		table.reservedPercent += p.reservedPercent() - parent.reservedPercent()
	}
	if table.reservedPercent > 100 {
		c.problems.add(codes.SettingsInvalid, docPath+"/kinds", "reserve_percent and floor_percent of all kinds add up to %d, which is above 100", table.reservedPercent)
	}
}

// reservedPercent returns the sum of the reserve and the floor of a kind; zero for nil.
func (p *Policy) reservedPercent() int {
	if p == nil {
		return 0
	}
	return p.ReservePercent + p.FloorPercent
}

// mergeKind applies a kind's differences to the parent's policy and checks that the
// result stays within the parent's limits. A kind that the parent does not have
// is bounded by the largest limits among the parent's kinds, because a department
// could otherwise evade every limit with a new name.
func (c *compiler) mergeKind(parent *Policy, limit *kindLimits, kind *Kind, name, path string) *Policy {
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
	limit.check(c.problems, path, &p)
	return &p
}
