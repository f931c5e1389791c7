// Command standin runs one case of the review: it starts controllers as separate processes against
// stand-ins of the state service, the cloud, the workers and the users, all on loopback addresses.
package main

import (
	"flag"
	"fmt"
	"os"
	"strings"
)

// scenarios are the cases by name. A case returns the exit status: 1 if the rule was broken, 0 if it
// held, and 2 if the case could not run.
var scenarios = map[string]func(opt Options, trouble bool) int{}

func main() {
	scenario := flag.String("case", "", "the case to run")
	run := flag.String("run", "", "the start command of the deploy file")
	dir := flag.String("dir", "", "a temporary folder")
	record := flag.String("record", "record.txt", "the file to write what was sent, answered and run")
	seed := flag.Int64("seed", 1, "the seed of random choices")
	flag.Parse()
	trouble := os.Getenv("TROUBLE") != "0"
	opt := Options{Program: strings.Fields(*run), Dir: *dir, Record: *record, Seed: *seed}
	fn := scenarios[*scenario]
	if fn == nil || *run == "" || *dir == "" {
		fmt.Fprintln(os.Stderr, "standin: usage: standin -case NAME -run COMMAND -dir DIR")
		os.Exit(2)
	}
	os.Exit(fn(opt, trouble))
}
