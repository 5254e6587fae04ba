package replay

import "container/heap"

// timer is something to do at a virtual time, in milliseconds.
type timer struct {
	at  int64
	seq int64
	do  func()
}

type timers []timer

// Len implements heap.Interface.
func (t timers) Len() int { return len(t) }

// Less implements heap.Interface.
func (t timers) Less(i, j int) bool {
	return t[i].at < t[j].at || t[i].at == t[j].at && t[i].seq < t[j].seq
}

// Swap implements heap.Interface.
func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

// Push implements heap.Interface.
func (t *timers) Push(x any) { *t = append(*t, x.(timer)) }

// Pop implements heap.Interface.
func (t *timers) Pop() any {
	last := len(*t) - 1
	x := (*t)[last]
	(*t)[last] = timer{}
	*t = (*t)[:last]
	return x
}

// clock is a virtual clock.
type clock struct {
	now    int64
	seq    int64
	timers timers
}

func (c *clock) at(ms int64, do func()) {
	c.seq++
	heap.Push(&c.timers, timer{max(ms, c.now), c.seq, do})
}

// step runs the next timer. It reports false if there is none up to the horizon.
func (c *clock) step(horizon int64) bool {
	if len(c.timers) == 0 || c.timers[0].at > horizon {
		return false
	}
	t := heap.Pop(&c.timers).(timer)
	c.now = t.at
	t.do()
	return true
}
