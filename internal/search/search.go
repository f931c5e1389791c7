// Package search is an evolutionary search for the cases that leave the least margin to
// rules: it generates cases, keeps those nearest to the bound of each rule, and continues
// from mutated copies of these. The same seed gives the same search, however many cases are
// evaluated in parallel.
package search

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Problem describes the cases and how they are evaluated.
type Problem[C any] struct {
	// Generate draws a new case.
	Generate func(*rand.Rand) C
	// Mutate returns a changed copy of a case, and must not change the case itself.
	Mutate func(*rand.Rand, C) C
	// Evaluate returns the margin that a case leaves to each rule that applies to it, by the
	// rule's name. It is called from several goroutines.
	Evaluate func(C) map[string]float64
}

// Options bound a search.
type Options struct {
	Seed uint64
	// Runs is the number of cases to evaluate.
	Runs int
	// TimeLimit ends the search earlier, after the batch in which it expires; 0 means none.
	TimeLimit time.Duration
	// Parallel is how many cases are evaluated in parallel; less than 1 means 1.
	Parallel int
	// FocusRule is the rule whose nearest cases half of the mutations start from; empty
	// means that all rules are treated alike.
	FocusRule string
	// OnBatch, if not nil, is called after each batch with the number of runs so far.
	OnBatch func(runs int)
}

// Candidate is a case with the margin that it leaves to a rule.
type Candidate[C any] struct {
	Case   C
	Margin float64
	// Run is the number of the run that found it, from 1.
	Run int
}

// Result is the outcome of a search.
type Result[C any] struct {
	// Nearest holds the cases with the least margins of each rule, in ascending order.
	Nearest map[string][]Candidate[C]
	// Runs is the number of cases that were evaluated.
	Runs int
}

const (
	// batchSize is how many cases are made before any of them is evaluated. It must not
	// depend on Options.Parallel, or the search would.
	batchSize = 24
	// maxKept is how many cases are kept for each rule.
	maxKept = 10
	// freshFraction is the probability of a generated case instead of a mutated one.
	freshFraction = 0.25
	// seedStream is the second word of the generator's seed; it separates the search from
	// other uses of the same seed.
	seedStream = 2718
)

// Run searches until the limits of the options are reached.
func Run[C any](problem Problem[C], options Options) Result[C] {
	rng := rand.New(rand.NewPCG(options.Seed, seedStream))
	result := Result[C]{Nearest: map[string][]Candidate[C]{}}
	start := time.Now()
	for result.Runs < options.Runs && (options.TimeLimit == 0 || time.Since(start) < options.TimeLimit) {
		cases := make([]C, min(batchSize, options.Runs-result.Runs))
		for i := range cases {
			cases[i] = nextCase(rng, problem, options.FocusRule, result.Nearest)
		}
		margins := evaluateAll(problem, cases, options.Parallel)
		for i := range cases {
			result.Runs++
			for rule, margin := range margins[i] {
				result.Nearest[rule] = insertNearest(result.Nearest[rule], Candidate[C]{cases[i], margin, result.Runs})
			}
		}
		if options.OnBatch != nil {
			options.OnBatch(result.Runs)
		}
	}
	return result
}

// nextCase generates a case, or mutates one of those nearest to the bound of a rule.
func nextCase[C any](rng *rand.Rand, p Problem[C], focusRule string, nearest map[string][]Candidate[C]) C {
	if len(nearest) == 0 || rng.Float64() < freshFraction {
		return p.Generate(rng)
	}
	pool := nearest[focusRule]
	if len(pool) == 0 || rng.IntN(2) == 0 {
		rules := slices.Sorted(maps.Keys(nearest))
		pool = nearest[rules[rng.IntN(len(rules))]]
	}
	return p.Mutate(rng, pool[rng.IntN(len(pool))].Case)
}

// evaluateAll evaluates cases in parallel and returns their margins in the order of cases.
func evaluateAll[C any](p Problem[C], cases []C, parallel int) []map[string]float64 {
	out := make([]map[string]float64, len(cases))
	slots := make(chan struct{}, max(1, parallel))
	var wg sync.WaitGroup
	for i := range cases {
		wg.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			out[i] = p.Evaluate(cases[i])
		})
	}
	wg.Wait()
	return out
}

// insertNearest adds a candidate and drops the farthest beyond maxKept. Of equal margins the
// one found first is kept.
func insertNearest[C any](nearest []Candidate[C], c Candidate[C]) []Candidate[C] {
	nearest = append(nearest, c)
	slices.SortStableFunc(nearest, func(a, b Candidate[C]) int { return cmp.Compare(a.Margin, b.Margin) })
	return nearest[:min(maxKept, len(nearest))]
}
