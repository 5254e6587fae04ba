package cache

// gridCell holds the nodes whose free resources are in the same pair of buckets.
type gridCell struct {
	nodes []*Node
}

func (c *gridCell) add(n *Node) {
	n.cell, n.cellIndex = c, int32(len(c.nodes))
	c.nodes = append(c.nodes, n)
}

func (c *gridCell) remove(n *Node) {
	last := c.nodes[len(c.nodes)-1]
	c.nodes[n.cellIndex] = last
	last.cellIndex = n.cellIndex
	c.nodes[len(c.nodes)-1] = nil
	c.nodes = c.nodes[:len(c.nodes)-1]
	n.cell, n.cellIndex = nil, -1
}
