//go:build race

package simulation

// raceEnabled tells whether the race detector is on.
const raceEnabled = true
