package quota

import "rhubarbstall.example/sched/model"

// Node is a department with the resources that it and its descendants use.
type Node struct {
	Path   string
	Weight int
	Quota  model.Resources
	// Usage is the usage of the department and its descendants, OwnUsage that of the
	// department alone.
	Usage    model.Resources
	OwnUsage model.Resources
	// lineage holds the nodes from the top-level department to this node.
	lineage []*Node
	// weightedShare is the dominant share of Usage divided by Weight, ownShare the
	// dominant share of OwnUsage.
	weightedShare float64
	ownShare      float64
}

func (n *Node) updateShares(capacity model.Resources) {
	n.weightedShare = n.Usage.DominantShare(capacity) / float64(n.Weight)
	n.ownShare = n.OwnUsage.DominantShare(capacity)
}

// WouldExceedQuota reports whether the department or an ancestor would exceed its
// quota if it used add in addition.
func (n *Node) WouldExceedQuota(add model.Resources) bool {
	for _, a := range n.lineage {
		if exceeds(a.Usage.Add(add), a.Quota) {
			return true
		}
	}
	return false
}

// BorrowsFrom reports whether n, or an ancestor that n does not share with other,
// exceeds its quota. In that case n uses borrowed resources that other may reclaim.
func (n *Node) BorrowsFrom(other *Node) bool {
	for i, a := range n.lineage {
		if i < len(other.lineage) && other.lineage[i] == a {
			continue
		}
		if exceeds(a.Usage, a.Quota) {
			return true
		}
	}
	return false
}

// exceeds reports whether use is above quota. A component of the quota that is zero is
// not limited.
func exceeds(use, quota model.Resources) bool {
	return quota.MilliCPU > 0 && use.MilliCPU > quota.MilliCPU ||
		quota.MemoryMB > 0 && use.MemoryMB > quota.MemoryMB ||
		quota.Accelerators > 0 && use.Accelerators > quota.Accelerators
}

// Compare orders departments by their shares at the level at which their paths
// diverge. A negative result means that a is served first.
func Compare(a, b *Node) int {
	if a == b {
		return 0
	}
	for i := 0; ; i++ {
		// A department's own usage competes with its children like a child of weight 1.
		switch {
		case i >= len(a.lineage) && i >= len(b.lineage):
			return 0
		case i >= len(a.lineage):
			return compareShares(a.ownShare, b.lineage[i].weightedShare, -1)
		case i >= len(b.lineage):
			return compareShares(a.lineage[i].weightedShare, b.ownShare, 1)
		}
		x, y := a.lineage[i], b.lineage[i]
		if x != y {
			tie := -1
			if x.Path > y.Path {
				tie = 1
			}
			return compareShares(x.weightedShare, y.weightedShare, tie)
		}
	}
}

// compareShares compares two shares and returns tie if they are equal.
func compareShares(x, y float64, tie int) int {
	switch {
	case x < y:
		return -1
	case x > y:
		return 1
	}
	return tie
}
