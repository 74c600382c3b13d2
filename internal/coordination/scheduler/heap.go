package scheduler

// element is a pointer to a value that keeps its position in a heap.
type element[T any] interface {
	isBefore(other T) bool
	setIndex(i int)
}

// indexedHeap is a heap of elements of which any can be removed or moved by its
// position. It implements heap.Interface.
type indexedHeap[T element[T]] []T

func (h indexedHeap[T]) Len() int           { return len(h) }
func (h indexedHeap[T]) Less(i, j int) bool { return h[i].isBefore(h[j]) }

func (h indexedHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].setIndex(i)
	h[j].setIndex(j)
}

// Push implements heap.Interface.
func (h *indexedHeap[T]) Push(x any) {
	e := x.(T)
	e.setIndex(len(*h))
	*h = append(*h, e)
}

// Pop implements heap.Interface.
func (h *indexedHeap[T]) Pop() any {
	old := *h
	e := old[len(old)-1]
	var none T
	old[len(old)-1] = none
	*h = old[:len(old)-1]
	return e
}
