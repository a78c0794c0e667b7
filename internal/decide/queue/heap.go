package queue

import "container/heap"

// notInHeap is the position of an element that is not in a heap.
const notInHeap = -1

// indexHeap is a heap whose elements know their positions, so that any of them
// can be moved or removed in logarithmic time.
type indexHeap[E any] struct {
	items []E
	less  func(a, b E) bool
	index func(E) *int
}

func (h *indexHeap[E]) push(e E)   { heap.Push(h, e) }
func (h *indexHeap[E]) fix(e E)    { heap.Fix(h, *h.index(e)) }
func (h *indexHeap[E]) remove(e E) { heap.Remove(h, *h.index(e)) }

// Len implements heap.Interface.
func (h *indexHeap[E]) Len() int { return len(h.items) }

// Less implements heap.Interface.
func (h *indexHeap[E]) Less(i, j int) bool { return h.less(h.items[i], h.items[j]) }

// Swap implements heap.Interface.
func (h *indexHeap[E]) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	*h.index(h.items[i]) = i
	*h.index(h.items[j]) = j
}

// Push implements heap.Interface.
func (h *indexHeap[E]) Push(x any) {
	e := x.(E)
	*h.index(e) = len(h.items)
	h.items = append(h.items, e)
}

// Pop implements heap.Interface.
func (h *indexHeap[E]) Pop() any {
	last := len(h.items) - 1
	e := h.items[last]
	var zero E
	h.items[last] = zero
	h.items = h.items[:last]
	*h.index(e) = notInHeap
	return e
}
