package cell

import "slices"

// sortSmallest moves the k smallest elements of list to its front, in order, and returns them. For a
// small k it costs far less than to sort a list of all runners. The other elements are in any order.
func sortSmallest[T any](list []T, k int, compare func(a, b T) int) []T {
	if len(list) <= k {
		slices.SortFunc(list, compare)
		return list
	}
	// The front is a heap with its largest element first, to which any other is compared.
	front := list[:k]
	for i := k/2 - 1; i >= 0; i-- {
		siftDown(front, i, compare)
	}
	for i := k; i < len(list) && k > 0; i++ {
		if compare(list[i], front[0]) < 0 {
			front[0], list[i] = list[i], front[0]
			siftDown(front, 0, compare)
		}
	}
	slices.SortFunc(front, compare)
	return front
}

// siftDown restores the heap below an element that may be too small.
func siftDown[T any](heap []T, i int, compare func(a, b T) int) {
	for {
		largest := i
		for _, child := range [...]int{2*i + 1, 2*i + 2} {
			if child < len(heap) && compare(heap[child], heap[largest]) > 0 {
				largest = child
			}
		}
		if largest == i {
			return
		}
		heap[i], heap[largest] = heap[largest], heap[i]
		i = largest
	}
}
