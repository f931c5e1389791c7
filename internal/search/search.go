// Package search implements an evolutionary search for the cases with the smallest margins to the
// bounds of rules. It generates cases, keeps the cases with the smallest margin of each rule, and
// evaluates mutated copies of them. The same seed gives the same search, however many cases are
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

// Problem defines how cases are generated, mutated and evaluated.
type Problem[C any] struct {
	// Generate draws a new case.
	Generate func(*rand.Rand) C
	// Mutate returns a changed copy of a case. It must not change the case itself.
	Mutate func(*rand.Rand, C) C
	// Evaluate returns the margin of each rule that applies to a case, by the rule's name. It is
	// called from several goroutines at a time.
	Evaluate func(C) map[string]float64
}

// Options bound a search.
type Options struct {
	Seed uint64
	// Runs is the number of cases to evaluate.
	Runs int
	// TimeLimit ends the search after the batch in which it expires; 0 means no limit.
	TimeLimit time.Duration
	// Parallel is the number of cases that are evaluated in parallel; less than 1 means 1.
	Parallel int
	// FocusRule is the rule from whose nearest cases half of the mutations start. If it is empty,
	// all mutations start from the nearest cases of a random rule.
	FocusRule string
	// OnBatch, if not nil, is called after each batch with the number of runs so far.
	OnBatch func(runs int)
}

// Candidate is a case with its margin for a rule.
type Candidate[C any] struct {
	Case   C
	Margin float64
	// Run is the number of the run that evaluated the case, counted from 1.
	Run int
}

// Result is the outcome of a search.
type Result[C any] struct {
	// Nearest has, for each rule, the cases with the smallest margins in ascending order of the
	// margin.
	Nearest map[string][]Candidate[C]
	// Runs is the number of cases that were evaluated.
	Runs int
}

const (
	// batchSize is the number of cases that are made before any of them is evaluated. It must not
	// depend on Options.Parallel, because the outcome of the search depends on it.
	batchSize = 24
	// maxKept is the number of cases that are kept for each rule.
	maxKept = 10
	// freshFraction is the probability that a case is generated instead of mutated.
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

// nextCase generates a case, or mutates one of the kept cases.
func nextCase[C any](rng *rand.Rand, problem Problem[C], focusRule string, nearest map[string][]Candidate[C]) C {
	if len(nearest) == 0 || rng.Float64() < freshFraction {
		return problem.Generate(rng)
	}
	pool := nearest[focusRule]
	if len(pool) == 0 || rng.IntN(2) == 0 {
		rules := slices.Sorted(maps.Keys(nearest))
		pool = nearest[rules[rng.IntN(len(rules))]]
	}
	return problem.Mutate(rng, pool[rng.IntN(len(pool))].Case)
}

// evaluateAll evaluates cases in parallel and returns their margins in the order of cases.
func evaluateAll[C any](problem Problem[C], cases []C, parallel int) []map[string]float64 {
	out := make([]map[string]float64, len(cases))
	slots := make(chan struct{}, max(1, parallel))
	var wg sync.WaitGroup
	for i := range cases {
		wg.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			out[i] = problem.Evaluate(cases[i])
		})
	}
	wg.Wait()
	return out
}

// insertNearest adds a candidate to the kept cases of a rule, and drops the one with the largest
// margin beyond maxKept. Of equal margins the earlier candidate is kept.
func insertNearest[C any](nearest []Candidate[C], candidate Candidate[C]) []Candidate[C] {
	nearest = append(nearest, candidate)
	slices.SortStableFunc(nearest, func(a, b Candidate[C]) int { return cmp.Compare(a.Margin, b.Margin) })
	return nearest[:min(maxKept, len(nearest))]
}
