package core

// pile is a heap, the first element before all others. It is the innermost part of
// planning and placing, and so holds values, and not interfaces as container/heap.
type pile[T any, P interface {
	*T
	before(*T) bool
}] struct {
	es []T
}

func (h *pile[T, P]) push(e T) {
	h.es = append(h.es, e)
	for k := len(h.es) - 1; k > 0; {
		up := (k - 1) / 2
		if !P(&h.es[k]).before(&h.es[up]) {
			return
		}
		h.es[k], h.es[up] = h.es[up], h.es[k]
		k = up
	}
}

// sink puts the first element where it belongs after it has become later.
func (h *pile[T, P]) sink() {
	for k := 0; ; {
		c := 2*k + 1
		if c >= len(h.es) {
			return
		}
		if c+1 < len(h.es) && P(&h.es[c+1]).before(&h.es[c]) {
			c++
		}
		if !P(&h.es[c]).before(&h.es[k]) {
			return
		}
		h.es[k], h.es[c] = h.es[c], h.es[k]
		k = c
	}
}

func (h *pile[T, P]) pop() T {
	e := h.es[0]
	last := len(h.es) - 1
	h.es[0] = h.es[last]
	h.es = h.es[:last]
	h.sink()
	return e
}
