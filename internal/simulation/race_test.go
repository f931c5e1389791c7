//go:build race

package simulation

// raced says that the race detector is on.
const raced = true
