package queue

// delayedTask is a task that is queued again when its backoff ends.
type delayedTask struct {
	// at is the end of the backoff as Unix time in nanoseconds.
	at    int64
	seq   uint64
	entry *Entry
	index int32
}

// delayHeap is a heap ordered by time and then by insertion.
type delayHeap []delayedTask

// Len implements heap.Interface.
func (d delayHeap) Len() int { return len(d) }

// Less implements heap.Interface.
func (d delayHeap) Less(i, j int) bool {
	return d[i].at < d[j].at || d[i].at == d[j].at && d[i].seq < d[j].seq
}

// Swap implements heap.Interface.
func (d delayHeap) Swap(i, j int) { d[i], d[j] = d[j], d[i] }

// Push implements heap.Interface.
func (d *delayHeap) Push(x any) { *d = append(*d, x.(delayedTask)) }

// Pop implements heap.Interface.
func (d *delayHeap) Pop() any {
	last := len(*d) - 1
	x := (*d)[last]
	(*d)[last] = delayedTask{}
	*d = (*d)[:last]
	return x
}
