package cache

// cell holds the nodes whose free resources fall into the same buckets.
type cell struct {
	nodes []*Node
}

func (c *cell) add(n *Node) {
	n.cell, n.place = c, int32(len(c.nodes))
	c.nodes = append(c.nodes, n)
}

func (c *cell) remove(n *Node) {
	last := c.nodes[len(c.nodes)-1]
	c.nodes[n.place] = last
	last.place = n.place
	c.nodes[len(c.nodes)-1] = nil
	c.nodes = c.nodes[:len(c.nodes)-1]
	n.cell, n.place = nil, -1
}
