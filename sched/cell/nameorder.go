package cell

import (
	"slices"

	"rhubarbstall.example/sched/model"
)

// In a backlog, a decision makes calls to the advisor for many groups, each of which names the runners with the
// most CPU that is not expected to be taken. To look at all runners for each call would be most of the
// cost of a decision; they are therefore divided into levels once a decision, of which a call visits and sorts the
// first few.

// nameOrder holds the usable runners by the CPU that is available after expected starts. While it is in
// use that CPU only falls, so a runner may belong to a lower level than the one that it is in, and moves
// there when it is visited.
type nameOrder struct {
	built bool
	// levels holds the runners of each level of free CPU; the first one those with less than none.
	levels [freeLevels + 2][]*runner
	// withRoom and notAllowed are buffers of eachBySpeed.
	withRoom, notAllowed []*runner
}

// reset discards the order. The next call to the advisor builds it again.
func (o *nameOrder) reset() { o.built = false }

func (o *nameOrder) build(runners []*runner, largest model.Resources) {
	for i := range o.levels {
		clear(o.levels[i])
		o.levels[i] = o.levels[i][:0]
	}
	for _, r := range runners {
		if r.prevUsable {
			o.add(r, r.nameLevel(largest))
		}
	}
	o.built = true
}

func (o *nameOrder) add(r *runner, level int) { o.levels[level] = append(o.levels[level], r) }

// nameLevel returns the index of a runner's level in nameOrder.levels.
func (r *runner) nameLevel(largest model.Resources) int {
	return freeLevel(r.availableAfterExpected().MilliCPU, largest.MilliCPU) + 1
}

// each visits the runners, those with the most CPU after expected starts first, until visit returns false.
func (o *nameOrder) each(largest model.Resources, visit func(*runner) bool) {
	for l := len(o.levels) - 1; l >= 0; l-- {
		for _, r := range o.sortLevel(l, largest) {
			if !visit(r) {
				return
			}
		}
	}
}

// sortLevel returns the runners of a level in order, after those that belong to lower ones have moved there.
func (o *nameOrder) sortLevel(l int, largest model.Resources) []*runner {
	kept := o.levels[l][:0]
	for _, r := range o.levels[l] {
		if now := r.nameLevel(largest); now < l {
			o.add(r, now)
		} else {
			kept = append(kept, r)
		}
	}
	clear(o.levels[l][len(kept):])
	o.levels[l] = kept
	slices.SortFunc(kept, byCPUAfterExpected)
	return kept
}
