// Package testseed makes all property tests draw the same values in each run, so that the same
// sources get the same result. A package whose tests use rapid imports it for that effect
// alone. RAPID_SEED in the environment or the flag -rapid.seed chooses other draws (0: new ones
// in each run), and RAPID_CHECKS how many there are. A long search is
//
//	RAPID_SEED=0 RAPID_CHECKS=100000 go test ./internal/migration
package testseed

import (
	"flag"
	"os"

	// Its flags must be defined before init sets one.
	_ "pgregory.net/rapid"
)

// seed may be any number but 0, which means a new one in each run.
const seed = "1"

func init() {
	if _, named := os.LookupEnv("RAPID_SEED"); named {
		return
	}
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic("testseed: set rapid.seed: " + err.Error())
	}
}
