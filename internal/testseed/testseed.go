// Package testseed makes all property tests draw the same values in every run, so that the same
// sources give the same result. Every package whose tests use rapid imports it for this side effect.
// RAPID_SEED in the environment or the flag -rapid.seed sets another seed, where 0 means a new seed
// in every run. RAPID_CHECKS sets the number of checks. For example, this command makes a long
// search:
//
//	RAPID_SEED=0 RAPID_CHECKS=100000 go test ./internal/migration
package testseed

import (
	"flag"
	"os"

	// rapid must define its flags before init sets one of them.
	_ "pgregory.net/rapid"
)

// seed is the seed of rapid. It can be any number except 0, which means a new seed in every run.
const seed = "1"

// init sets the seed unless RAPID_SEED is set in the environment.
func init() {
	if _, named := os.LookupEnv("RAPID_SEED"); named {
		return
	}
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic("testseed: set rapid.seed: " + err.Error())
	}
}
