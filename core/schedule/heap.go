package schedule

import "container/heap"

// indexedHeap is a priority queue whose items store their position, so that an
// item can be updated and removed.
type indexedHeap[T any] struct {
	items []T
	less  func(a, b T) bool
	// position returns a pointer to the stored index of an item, which is -1
	// while the item is not in the heap.
	position func(T) *int
}

func (h *indexedHeap[T]) Len() int           { return len(h.items) }
func (h *indexedHeap[T]) Less(i, j int) bool { return h.less(h.items[i], h.items[j]) }
func (h *indexedHeap[T]) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	*h.position(h.items[i]), *h.position(h.items[j]) = i, j
}

// Push implements heap.Interface.
func (h *indexedHeap[T]) Push(x any) {
	item := x.(T)
	*h.position(item) = len(h.items)
	h.items = append(h.items, item)
}

// Pop implements heap.Interface.
func (h *indexedHeap[T]) Pop() any {
	last := len(h.items) - 1
	item := h.items[last]
	var zero T
	h.items[last] = zero
	h.items = h.items[:last]
	*h.position(item) = -1
	return item
}

func (h *indexedHeap[T]) top() (item T, ok bool) {
	if len(h.items) == 0 {
		return item, false
	}
	return h.items[0], true
}

// set adds an item, or restores the heap order after the item's key has
// changed.
func (h *indexedHeap[T]) set(item T) {
	if i := *h.position(item); i >= 0 {
		heap.Fix(h, i)
	} else {
		heap.Push(h, item)
	}
}

func (h *indexedHeap[T]) remove(item T) {
	if i := *h.position(item); i >= 0 {
		heap.Remove(h, i)
	}
}
