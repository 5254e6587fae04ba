package cell

import (
	"math/bits"
	"time"

	"rhubarbstall.example/sched/model"
)

// freeLevels is the number of levels into which the free capacity of a runner is divided.
// On the platform's runners a level is one core, which is fine enough that few of the runners
// that are checked lack capacity.
const freeLevels = 32

// runnerSet is a bit set of runners by their index in Cell.sortedRunners.
type runnerSet []uint64

func (s runnerSet) add(i int)    { s[i/64] |= 1 << (i % 64) }
func (s runnerSet) remove(i int) { s[i/64] &^= 1 << (i % 64) }

// freeIndex finds the runners with enough free capacity for a task without checking all of
// them.
type freeIndex struct {
	// generation changes with the list of runners, since the indexes of the runners then
	// change; 0 means that the index has to be rebuilt.
	generation int
	// largestCapacity is the largest capacity of a runner that has reported, for each resource. An entry
	// of another writer with a huge one would put all runners on the lowest level.
	largestCapacity model.Resources
	// cpuLevels and memoryLevels hold, for each level, the usable runners whose available
	// capacity reaches that level.
	cpuLevels, memoryLevels [freeLevels + 1]runnerSet
	// gainedCapacity holds the runners that gained free capacity or became usable since the
	// last decision.
	gainedCapacity runnerSet
	// freeMilliCPU and capacityMilliCPU are sums over the usable runners. freedMilliCPU is
	// the CPU that was freed since the last decision.
	freeMilliCPU, capacityMilliCPU, freedMilliCPU int64
}

// freeLevel returns the level that an amount reaches; -1 for a negative amount.
func freeLevel(amount, largest int64) int {
	switch {
	case amount < 0:
		return -1
	case largest <= 0:
		return 0
	}
	return int(min(amount*freeLevels/largest, freeLevels))
}

// runnersChanged records that the list of runners changed, so that the index is rebuilt.
func (c *Cell) runnersChanged() { c.free.generation = 0 }

// refreshFreeIndex updates the index with the free capacity of all runners.
func (c *Cell) refreshFreeIndex(now time.Time) {
	x := &c.free
	if x.generation == 0 {
		c.resetFreeIndex()
	}
	clear(x.gainedCapacity)
	x.freeMilliCPU, x.capacityMilliCPU, x.freedMilliCPU = 0, 0, 0
	for i, r := range c.sortedRunners {
		free, usable := r.free(), r.usable(now)
		x.freedMilliCPU += max(0, free.MilliCPU-r.prevFree.MilliCPU)
		if usable {
			if !r.prevUsable || r.prevIncarnation != r.incarnation || !free.Fits(r.prevFree) {
				x.gainedCapacity.add(i)
			}
			x.freeMilliCPU += max(0, free.MilliCPU)
			x.capacityMilliCPU += r.info.Capacity.MilliCPU
		}
		r.inFreeIndex = r.inFreeIndex && r.prevUsable == usable
		r.prevFree, r.prevUsable, r.prevIncarnation = free, usable, r.incarnation
		c.setAvailable(r, free)
	}
}

// resetFreeIndex creates an empty index for the present list of runners.
func (c *Cell) resetFreeIndex() {
	x := &c.free
	c.indexBuilds++
	*x = freeIndex{generation: c.indexBuilds}
	words := (len(c.sortedRunners) + 63) / 64
	for l := range x.cpuLevels {
		x.cpuLevels[l], x.memoryLevels[l] = make(runnerSet, words), make(runnerSet, words)
	}
	x.gainedCapacity = make(runnerSet, words)
	for i, r := range c.sortedRunners {
		r.index, r.cpuLevel, r.memoryLevel = i, -1, -1
		r.prevUsable, r.inFreeIndex = false, false
		if r.reported {
			x.largestCapacity = x.largestCapacity.Max(r.info.Capacity)
		}
	}
}

// setAvailable sets the available capacity of a runner in the decision in progress.
func (c *Cell) setAvailable(r *runner, avail model.Resources) {
	if r.inFreeIndex && r.available == avail {
		return
	}
	if avail.MilliCPU > r.available.MilliCPU {
		c.nameOrder.reset()
	}
	r.available, r.inFreeIndex = avail, true
	cpu, memory := -1, -1
	if r.prevUsable {
		cpu, memory = freeLevel(avail.MilliCPU, c.free.largestCapacity.MilliCPU), freeLevel(avail.MemoryMB, c.free.largestCapacity.MemoryMB)
	}
	r.cpuLevel = moveLevel(&c.free.cpuLevels, r.index, r.cpuLevel, cpu)
	r.memoryLevel = moveLevel(&c.free.memoryLevels, r.index, r.memoryLevel, memory)
}

// moveLevel moves a runner from one level to another and returns the new level.
func moveLevel(levels *[freeLevels + 1]runnerSet, position, from, to int) int {
	for l := from + 1; l <= to; l++ {
		levels[l].add(position)
	}
	for l := to + 1; l <= from; l++ {
		levels[l].remove(position)
	}
	return to
}

// eachRunnerThatMayFit calls visit, by id, for the runners that may have enough available
// capacity for a claim; only for those in a set unless the set is nil. It stops when visit
// returns false.
func (c *Cell) eachRunnerThatMayFit(claim model.Resources, set runnerSet, visit func(*runner) bool) {
	cpu := c.free.cpuLevels[max(0, freeLevel(claim.MilliCPU, c.free.largestCapacity.MilliCPU))]
	memory := c.free.memoryLevels[max(0, freeLevel(claim.MemoryMB, c.free.largestCapacity.MemoryMB))]
	for w := range cpu {
		word := cpu[w] & memory[w]
		if set != nil {
			word &= set[w]
		}
		for ; word != 0; word &= word - 1 {
			if !visit(c.sortedRunners[w*64+bits.TrailingZeros64(word)]) {
				return
			}
		}
	}
}

// anyRunnerMayFit reports whether a runner of a set, or any runner if the set is nil, may
// have enough available capacity for a claim.
func (c *Cell) anyRunnerMayFit(claim model.Resources, set runnerSet) bool {
	cpu := c.free.cpuLevels[max(0, freeLevel(claim.MilliCPU, c.free.largestCapacity.MilliCPU))]
	memory := c.free.memoryLevels[max(0, freeLevel(claim.MemoryMB, c.free.largestCapacity.MemoryMB))]
	for w := range cpu {
		word := cpu[w] & memory[w]
		if set != nil {
			word &= set[w]
		}
		if word != 0 {
			return true
		}
	}
	return false
}

// anyGainedCapacity reports whether a runner of a set, or any runner if the set is nil,
// gained capacity since the last decision.
func (c *Cell) anyGainedCapacity(set runnerSet) bool {
	for w, word := range c.free.gainedCapacity {
		if set != nil {
			word &= set[w]
		}
		if word != 0 {
			return true
		}
	}
	return false
}
