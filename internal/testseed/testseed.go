// Package testseed gives all property tests the same draws in each run, so that the
// same sources get the same verdict. A test file that uses rapid imports it for that
// effect alone. RAPID_SEED in the environment or the flag -rapid.seed names other
// draws (0: new ones in each run), and RAPID_CHECKS how many of them: a long search is
//
//	RAPID_SEED=0 RAPID_CHECKS=100000 go test ./internal/migration
package testseed

import (
	"flag"
	"os"

	// Its flags are there before their value is set here.
	_ "pgregory.net/rapid"
)

// seed is any number but 0, which would stand for a new one in each run.
const seed = "1"

func init() {
	if _, named := os.LookupEnv("RAPID_SEED"); named {
		return
	}
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic("testseed: " + err.Error())
	}
}
