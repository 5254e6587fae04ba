package cell

import "math"

// approvalShare returns the share of the named runners that the advisor approves for a
// queue.
func (c *Cell) approvalShare(q *Queue) float64 {
	share, ok := c.approvalShares[q.Name]
	if !ok {
		share = initialApprovalShare
	}
	return min(max(share, minApprovalShare), maxApprovalShare)
}

// updateApprovalShare updates the share of approvals with an answer.
func (c *Cell) updateApprovalShare(q *Queue, named, approved int) {
	if named == 0 {
		return
	}
	share := c.approvalShare(q)
	weight := 1 - math.Pow(1-approvalShareWeight, float64(named))
	c.approvalShares[q.Name] = share + weight*(float64(approved)/float64(named)-share)
}
