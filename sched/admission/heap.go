package admission

// queueHeap is a heap of the non-empty queues of a kind, ordered by urgency and then
// by virtual time, so that the next one is found without a scan of all departments.
type queueHeap []*queue

// Len implements heap.Interface.
func (h queueHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h queueHeap) Less(i, j int) bool { return servedBefore(h[i], false, h[j], false) }

// Swap implements heap.Interface.
func (h queueHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *queueHeap) Push(x any) {
	q := x.(*queue)
	q.heapIndex = len(*h)
	*h = append(*h, q)
}

// Pop implements heap.Interface.
func (h *queueHeap) Pop() any {
	old := *h
	q := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	q.heapIndex = -1
	return q
}
