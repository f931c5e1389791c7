//go:build !race

package simulation

// raceEnabled says whether the package was built with the race detector.
const raceEnabled = false
