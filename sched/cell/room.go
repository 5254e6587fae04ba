package cell

import (
	"math/bits"
	"time"

	"rhubarbstall.example/sched/model"
)

// roomLevels is into how many levels the room of a runner is divided. With levels of one
// core on the runners of the platform, few runners are looked at in vain.
const roomLevels = 32

// runnerSet is a set of runners by their positions in the list of runners.
type runnerSet []uint64

func (s runnerSet) add(i int)    { s[i/64] |= 1 << (i % 64) }
func (s runnerSet) remove(i int) { s[i/64] &^= 1 << (i % 64) }

// roomIndex finds the runners with room for a task without looking at all of them.
type roomIndex struct {
	// generation counts changes of the list of runners, which change the positions.
	generation int
	// largest is the largest capacity of a runner.
	largest model.Resources
	// cpu and memory hold for each level the usable runners that have at least so much.
	cpu, memory [roomLevels + 1]runnerSet
	// gained holds the runners that gained room, or became usable, since the last decision.
	gained runnerSet
	// free and capacity are the sums over the usable runners, freed what ended since the
	// last decision, in milli-CPU.
	free, capacity, freed int64
}

// level returns the level that an amount reaches.
func level(amount, largest int64) int {
	switch {
	case amount < 0:
		return -1
	case largest <= 0:
		return 0
	}
	return int(min(amount*roomLevels/largest, roomLevels))
}

// runnersChanged marks the positions of the runners as changed.
func (c *Cell) runnersChanged() { c.room.generation = 0 }

// refreshRoom takes in what the runners have free.
func (c *Cell) refreshRoom(now time.Time) {
	x := &c.room
	if x.generation == 0 {
		c.resetRoom()
	}
	clear(x.gained)
	x.free, x.capacity, x.freed = 0, 0, 0
	for i, r := range c.order {
		free, usable := r.free(), r.usable(now)
		x.freed += max(0, free.MilliCPU-r.seenFree.MilliCPU)
		if usable {
			if !r.seenUsable || r.seenLife != r.life || !free.Fits(r.seenFree) {
				x.gained.add(i)
			}
			x.free += max(0, free.MilliCPU)
			x.capacity += r.info.Capacity.MilliCPU
		}
		r.indexed = r.indexed && r.seenUsable == usable
		r.seenFree, r.seenUsable, r.seenLife = free, usable, r.life
		c.setAvail(r, free)
	}
}

// resetRoom builds an empty index for the present list of runners.
func (c *Cell) resetRoom() {
	x := &c.room
	c.generations++
	*x = roomIndex{generation: c.generations}
	words := (len(c.order) + 63) / 64
	for l := range x.cpu {
		x.cpu[l], x.memory[l] = make(runnerSet, words), make(runnerSet, words)
	}
	x.gained = make(runnerSet, words)
	for i, r := range c.order {
		r.position, r.cpuLevel, r.memoryLevel = i, -1, -1
		r.seenUsable, r.indexed = false, false
		x.largest = x.largest.Max(r.info.Capacity)
	}
}

// setAvail sets what a runner has left in the decision under way.
func (c *Cell) setAvail(r *runner, avail model.Resources) {
	if r.indexed && r.avail == avail {
		return
	}
	r.avail, r.indexed = avail, true
	cpu, memory := -1, -1
	if r.seenUsable {
		cpu, memory = level(avail.MilliCPU, c.room.largest.MilliCPU), level(avail.MemoryMB, c.room.largest.MemoryMB)
	}
	r.cpuLevel = move(&c.room.cpu, r.position, r.cpuLevel, cpu)
	r.memoryLevel = move(&c.room.memory, r.position, r.memoryLevel, memory)
}

// move puts a runner from one level to another and returns the latter.
func move(levels *[roomLevels + 1]runnerSet, position, from, to int) int {
	for l := from + 1; l <= to; l++ {
		levels[l].add(position)
	}
	for l := to + 1; l <= from; l++ {
		levels[l].remove(position)
	}
	return to
}

// withRoom calls visit for the runners, by id, that may have room for a claim; only those
// of a set unless it is nil. It stops when visit returns false.
func (c *Cell) withRoom(claim model.Resources, only runnerSet, visit func(*runner) bool) {
	cpu := c.room.cpu[max(0, level(claim.MilliCPU, c.room.largest.MilliCPU))]
	memory := c.room.memory[max(0, level(claim.MemoryMB, c.room.largest.MemoryMB))]
	for w := range cpu {
		word := cpu[w] & memory[w]
		if only != nil {
			word &= only[w]
		}
		for ; word != 0; word &= word - 1 {
			if !visit(c.order[w*64+bits.TrailingZeros64(word)]) {
				return
			}
		}
	}
}

// hasRoom reports whether a runner of a set, or any if it is nil, may have room for a claim.
func (c *Cell) hasRoom(claim model.Resources, only runnerSet) bool {
	cpu := c.room.cpu[max(0, level(claim.MilliCPU, c.room.largest.MilliCPU))]
	memory := c.room.memory[max(0, level(claim.MemoryMB, c.room.largest.MemoryMB))]
	for w := range cpu {
		word := cpu[w] & memory[w]
		if only != nil {
			word &= only[w]
		}
		if word != 0 {
			return true
		}
	}
	return false
}

// gains reports whether a runner of a set, or any if it is nil, gained room since the last
// decision.
func (c *Cell) gains(only runnerSet) bool {
	for w, word := range c.room.gained {
		if only != nil {
			word &= only[w]
		}
		if word != 0 {
			return true
		}
	}
	return false
}
