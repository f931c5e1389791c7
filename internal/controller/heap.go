package controller

// heap is a binary heap with the first element before all others. It is the inner loop of
// planning and placement, and so holds values rather than interfaces as container/heap does.
type heap[T any, P interface {
	*T
	before(*T) bool
}] struct {
	elems []T
}

func (h *heap[T, P]) push(e T) {
	h.elems = append(h.elems, e)
	for k := len(h.elems) - 1; k > 0; {
		up := (k - 1) / 2
		if !P(&h.elems[k]).before(&h.elems[up]) {
			return
		}
		h.elems[k], h.elems[up] = h.elems[up], h.elems[k]
		k = up
	}
}

// siftDown restores the order after the first element has become later.
func (h *heap[T, P]) siftDown() {
	for k := 0; ; {
		c := 2*k + 1
		if c >= len(h.elems) {
			return
		}
		if c+1 < len(h.elems) && P(&h.elems[c+1]).before(&h.elems[c]) {
			c++
		}
		if !P(&h.elems[c]).before(&h.elems[k]) {
			return
		}
		h.elems[k], h.elems[c] = h.elems[c], h.elems[k]
		k = c
	}
}

func (h *heap[T, P]) pop() T {
	e := h.elems[0]
	last := len(h.elems) - 1
	h.elems[0] = h.elems[last]
	h.elems = h.elems[:last]
	h.siftDown()
	return e
}
