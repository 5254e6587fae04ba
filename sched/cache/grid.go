package cache

import (
	"math/bits"

	"rhubarbstall.example/sched/model"
)

// grid indexes nodes by free processor time (rows) and free memory (columns).
type grid struct {
	cells [bucketsPerResource][bucketsPerResource]gridCell
	// masks has one word for each row, with a bit for each cell that has nodes. rows
	// has a bit for each row that has nodes.
	masks [bucketsPerResource]uint64
	rows  uint64
	count int
}

func cellOf(free model.Resources) (int, int) {
	return bucketOf(free.MilliCPU, cpuUnitMilliCPU), bucketOf(free.MemoryMB, memoryUnitMB)
}

func (g *grid) add(n *Node) {
	c, m := cellOf(n.Free())
	g.cells[c][m].add(n)
	g.masks[c] |= 1 << m
	g.rows |= 1 << c
	g.count++
}

func (g *grid) remove(n *Node, free model.Resources) {
	c, m := cellOf(free)
	g.cells[c][m].remove(n)
	if len(g.cells[c][m].nodes) == 0 {
		g.masks[c] &^= 1 << m
		if g.masks[c] == 0 {
			g.rows &^= 1 << c
		}
	}
	g.count--
}

// search calls visit for nodes that may have size free, in order of increasing free
// processor time and then free memory, until visit returns false. It visits at most
// perCell nodes of a cell and perRow cells of a row. It reports whether visit ended
// the search.
func (g *grid) search(size model.Resources, perCell, perRow int, visit func(*Node) bool) bool {
	qc, qm := cellOf(size)
	for rows := g.rows >> qc << qc; rows != 0; rows &= rows - 1 {
		c := bits.TrailingZeros64(rows)
		mask := g.masks[c] >> qm << qm
		for cells := 0; mask != 0 && cells < perRow; mask &= mask - 1 {
			nodes := g.cells[c][bits.TrailingZeros64(mask)].nodes
			for i := range min(perCell, len(nodes)) {
				if !visit(nodes[i]) {
					return true
				}
			}
			cells++
		}
	}
	return false
}
