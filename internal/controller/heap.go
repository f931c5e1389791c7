package controller

// heap is a binary heap whose first element precedes all others in the order of before. Planning
// and placement use it in their inner loops, so it holds values instead of interfaces as
// container/heap does.
type heap[T any, P interface {
	*T
	before(*T) bool
}] struct {
	elems []T
}

// push adds an element.
func (h *heap[T, P]) push(elem T) {
	h.elems = append(h.elems, elem)
	for index := len(h.elems) - 1; index > 0; {
		parent := (index - 1) / 2
		if !P(&h.elems[index]).before(&h.elems[parent]) {
			return
		}
		h.elems[index], h.elems[parent] = h.elems[parent], h.elems[index]
		index = parent
	}
}

// siftDown restores the order after the first element has been changed to a later one.
func (h *heap[T, P]) siftDown() {
	for index := 0; ; {
		child := 2*index + 1
		if child >= len(h.elems) {
			return
		}
		if child+1 < len(h.elems) && P(&h.elems[child+1]).before(&h.elems[child]) {
			child++
		}
		if !P(&h.elems[child]).before(&h.elems[index]) {
			return
		}
		h.elems[index], h.elems[child] = h.elems[child], h.elems[index]
		index = child
	}
}

// pop removes the first element and returns it. The heap must not be empty.
func (h *heap[T, P]) pop() T {
	first := h.elems[0]
	last := len(h.elems) - 1
	h.elems[0] = h.elems[last]
	h.elems = h.elems[:last]
	h.siftDown()
	return first
}
