//go:build race

package standin

// raced says that the race detector is on.
const raced = true
