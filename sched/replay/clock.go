package replay

import "container/heap"

// timer calls run at the virtual time dueMS. Timers with equal times run in the order
// of seq.
type timer struct {
	dueMS int64
	seq   int64
	run   func()
}

// timerHeap is a heap of timers, the earliest first.
type timerHeap []timer

// Len implements heap.Interface.
func (t timerHeap) Len() int { return len(t) }

// Less implements heap.Interface.
func (t timerHeap) Less(i, j int) bool {
	return t[i].dueMS < t[j].dueMS || t[i].dueMS == t[j].dueMS && t[i].seq < t[j].seq
}

// Swap implements heap.Interface.
func (t timerHeap) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

// Push implements heap.Interface.
func (t *timerHeap) Push(x any) { *t = append(*t, x.(timer)) }

// Pop implements heap.Interface.
func (t *timerHeap) Pop() any {
	last := len(*t) - 1
	x := (*t)[last]
	(*t)[last] = timer{}
	*t = (*t)[:last]
	return x
}

// clock is a virtual clock with timers.
type clock struct {
	nowMS  int64
	seq    int64
	timers timerHeap
}

// schedule adds a timer. A time in the past counts as the current time.
func (c *clock) schedule(ms int64, run func()) {
	c.seq++
	heap.Push(&c.timers, timer{max(ms, c.nowMS), c.seq, run})
}

// runNext advances the clock to the next timer and runs it. It returns false if there
// is none up to the horizon.
func (c *clock) runNext(horizonMS int64) bool {
	if len(c.timers) == 0 || c.timers[0].dueMS > horizonMS {
		return false
	}
	t := heap.Pop(&c.timers).(timer)
	c.nowMS = t.dueMS
	t.run()
	return true
}
