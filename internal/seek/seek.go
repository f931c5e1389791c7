// Package seek looks for the cases that leave the least margin to rules: it draws cases,
// keeps those nearest to each rule's bound, and goes on from changed copies of them. The
// same seed gives the same search, however many cases are played at a time.
package seek

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
	// Draw draws a case, and Change makes another one from a copy of one.
	Draw   func(*rand.Rand) C
	Change func(*rand.Rand, C) C
	// Play tells the margin that a case leaves to each rule that applies to it. It is
	// called for several cases at a time.
	Play func(C) map[string]float64
}

// Options bound a search.
type Options struct {
	Seed uint64
	// Runs is how many cases are played, and For ends the search earlier, after the
	// batch in which that time is over; 0: it doesn't.
	Runs int
	For  time.Duration
	// Parallel is how many are played at a time.
	Parallel int
	// First is the rule that half of the changed cases go on from; "" for none.
	First string
	// Told, if set, is told after each batch how many cases were played.
	Told func(runs int)
}

// Found is a case with the margin that it leaves to a rule, and the number of its run.
type Found[C any] struct {
	Case   C
	Margin float64
	Run    int
}

// Result is what a search found: the nearest cases to each rule's bound, the nearest
// first, and how many were played.
type Result[C any] struct {
	Nearest map[string][]Found[C]
	Runs    int
}

const (
	// batch is how many cases are made from what is known at a time. It does not depend
	// on how many are played at a time, or the search would.
	batch = 24
	// keep is how many cases are kept for each rule.
	keep = 10
	// fresh is the share of cases that are drawn anew.
	fresh = 0.25
)

// Search plays cases until its bounds are reached.
func Search[C any](p Problem[C], o Options) Result[C] {
	rng := rand.New(rand.NewPCG(o.Seed, 2718))
	out := Result[C]{Nearest: map[string][]Found[C]{}}
	began := time.Now()
	for out.Runs < o.Runs && (o.For == 0 || time.Since(began) < o.For) {
		cases := make([]C, min(batch, o.Runs-out.Runs))
		for i := range cases {
			cases[i] = next(rng, p, o.First, out.Nearest)
		}
		margins := playAll(p, cases, o.Parallel)
		for i := range cases {
			out.Runs++
			for rule, margin := range margins[i] {
				out.Nearest[rule] = insert(out.Nearest[rule], Found[C]{cases[i], margin, out.Runs})
			}
		}
		if o.Told != nil {
			o.Told(out.Runs)
		}
	}
	return out
}

// next draws a case, or changes one of the nearest to some rule's bound.
func next[C any](rng *rand.Rand, p Problem[C], first string, nearest map[string][]Found[C]) C {
	if len(nearest) == 0 || rng.Float64() < fresh {
		return p.Draw(rng)
	}
	from := nearest[first]
	if len(from) == 0 || rng.IntN(2) == 0 {
		rules := slices.Sorted(maps.Keys(nearest))
		from = nearest[rules[rng.IntN(len(rules))]]
	}
	return p.Change(rng, from[rng.IntN(len(from))].Case)
}

// playAll plays cases, so many at a time, and tells their margins in their order.
func playAll[C any](p Problem[C], cases []C, parallel int) []map[string]float64 {
	out := make([]map[string]float64, len(cases))
	slots := make(chan struct{}, max(1, parallel))
	var wg sync.WaitGroup
	for i := range cases {
		wg.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			out[i] = p.Play(cases[i])
		})
	}
	wg.Wait()
	return out
}

// insert keeps the nearest; of equal ones those that were found first.
func insert[C any](fs []Found[C], f Found[C]) []Found[C] {
	fs = append(fs, f)
	slices.SortStableFunc(fs, func(a, b Found[C]) int { return cmp.Compare(a.Margin, b.Margin) })
	return fs[:min(keep, len(fs))]
}
