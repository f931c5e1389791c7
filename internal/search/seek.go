// Package search looks for the cases that leave the least margin to rules: it draws cases,
// keeps those nearest to each rule's bound, and goes on from changed copies of them. The
// same seed gives the same search, however many cases are played at a time.
package search

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Problem is what is searched.
type Problem[C any] struct {
	// Generate draws a case, and Change makes another one from a copy of one.
	Generate func(*rand.Rand) C
	Mutate   func(*rand.Rand, C) C
	// Evaluate tells the margin that a case leaves to each rule that applies to it. It is
	// called for several cases at a time.
	Evaluate func(C) map[string]float64
}

// Options bound a search.
type Options struct {
	Seed uint64
	// Runs is how many cases are played, and For ends the search earlier, after the
	// batch in which that time is over; 0: it doesn't.
	Runs      int
	TimeLimit time.Duration
	// Parallel is how many are played at a time.
	Parallel int
	// FocusRule is the rule that half of the changed cases go on from; "" for none.
	FocusRule string
	// Told, if set, is told after each batch how many cases were played.
	OnBatch func(runs int)
}

// Candidate is a case with the margin that it leaves to a rule, and the number of its run.
type Candidate[C any] struct {
	Case   C
	Margin float64
	Run    int
}

// Result is what a search found: the nearest cases to each rule's bound, the nearest
// first, and how many were played.
type Result[C any] struct {
	Nearest map[string][]Candidate[C]
	Runs    int
}

const (
	// batchSize is how many cases are made from what is known at a time. It does not depend
	// on how many are played at a time, or the search would.
	batchSize = 24
	// maxKept is how many cases are kept for each rule.
	maxKept = 10
	// freshFraction is the share of cases that are drawn anew.
	freshFraction = 0.25
)

// Run plays cases until its bounds are reached.
func Run[C any](problem Problem[C], options Options) Result[C] {
	rng := rand.New(rand.NewPCG(options.Seed, 2718))
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

// nextCase draws a case, or changes one of the nearest to some rule's bound.
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

// evaluateAll plays cases, so many at a time, and tells their margins in their order.
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

// insertNearest keeps the nearest; of equal ones those that were found first.
func insertNearest[C any](fs []Candidate[C], f Candidate[C]) []Candidate[C] {
	fs = append(fs, f)
	slices.SortStableFunc(fs, func(a, b Candidate[C]) int { return cmp.Compare(a.Margin, b.Margin) })
	return fs[:min(maxKept, len(fs))]
}
