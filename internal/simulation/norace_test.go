//go:build !race

package simulation

// raceEnabled says that the race detector is on.
const raceEnabled = false
