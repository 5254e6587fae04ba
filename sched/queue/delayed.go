package queue

// delayed is a task that waits out its backoff.
type delayed struct {
	at    int64
	seq   uint64
	entry *Entry
	index int32
}

// delays is a heap by time, then by order of insertion.
type delays []delayed

// Len implements heap.Interface.
func (d delays) Len() int { return len(d) }

// Less implements heap.Interface.
func (d delays) Less(i, j int) bool {
	return d[i].at < d[j].at || d[i].at == d[j].at && d[i].seq < d[j].seq
}

// Swap implements heap.Interface.
func (d delays) Swap(i, j int) { d[i], d[j] = d[j], d[i] }

// Push implements heap.Interface.
func (d *delays) Push(x any) { *d = append(*d, x.(delayed)) }

// Pop implements heap.Interface.
func (d *delays) Pop() any {
	last := len(*d) - 1
	x := (*d)[last]
	(*d)[last] = delayed{}
	*d = (*d)[:last]
	return x
}
