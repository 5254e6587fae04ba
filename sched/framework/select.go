package framework

import "rhubarbstall.example/sched/cache"

const (
	// maxNodesPerCell and maxCellsPerRow bound the first search of the index. Nodes of
	// one grid cell have similar free resources, and later cells of a row only have
	// more free memory than needed.
	maxNodesPerCell = 4
	maxCellsPerRow  = 3
	// maxRacksPerSearch bounds the racks that are searched for a task of a job that is
	// spread over racks.
	maxRacksPerSearch = 32
	// maxExtraCandidates bounds the workers that each plugin may add to a search.
	maxExtraCandidates = 32
)

// Select returns the feasible node with the best score, nil if no node is feasible.
// The search is bounded, so the result may not be the best of all nodes.
func (p *Profile) Select(t *Task, c *cache.Cache) *cache.Node {
	var best *cache.Node
	bestScore := 0.0
	visit := func(n *cache.Node) bool {
		if p.Feasible(t, n) {
			if s := p.Score(t, n); best == nil || s > bestScore {
				best, bestScore = n, s
			}
		}
		return true
	}
	if t.TasksByRack != nil {
		visitRacks(t, c, visit)
	}
	for _, x := range p.candidates {
		nodes := x.Candidates(t)
		for _, n := range nodes[:min(len(nodes), maxExtraCandidates)] {
			visit(n)
		}
	}
	c.Search(t.Size, maxNodesPerCell, maxCellsPerRow, visit)
	if best != nil {
		return best
	}
	// The bounded search may have skipped the only feasible nodes of a cell, so search
	// without bounds for the first feasible one.
	c.Search(t.Size, 1<<30, 1<<30, func(n *cache.Node) bool {
		if p.Feasible(t, n) {
			best = n
		}
		return best == nil
	})
	return best
}

// visitRacks visits the nodes of up to maxRacksPerSearch racks. The first rack
// depends on the job and moves on with each active task, so that the tasks of a job
// begin at racks that it does not use yet.
func visitRacks(t *Task, c *cache.Cache, visit func(*cache.Node) bool) {
	racks := c.Racks()
	if len(racks) == 0 {
		return
	}
	from := int(t.Job.Seq)*maxRacksPerSearch + t.Job.Active
	for i := range min(maxRacksPerSearch, len(racks)) {
		for _, n := range racks[(from+i)%len(racks)].Nodes {
			visit(n)
		}
	}
}
