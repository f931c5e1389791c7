package core

// emitted are the effects of one kind that the node has returned since its effects were
// last taken away.
func emitted[E Effect](n *Node) []E {
	var out []E
	for _, e := range n.out {
		if x, is := e.(E); is {
			out = append(out, x)
		}
	}
	return out
}
