package search

import (
	"math"
	"math/rand/v2"
	"reflect"
	"sync/atomic"
	"testing"
	"time"
)

// plantedProblem returns a problem with a known minimum. The rule near has its smallest margin, 0,
// at (0.7, 0.2), and few generated cases come close to it. The rule far has its smallest margin
// elsewhere and applies to few cases. evaluated counts the evaluations.
func plantedProblem(evaluated *atomic.Int64) Problem[[2]float64] {
	return Problem[[2]float64]{
		Generate: func(rng *rand.Rand) [2]float64 { return [2]float64{rng.Float64(), rng.Float64()} },
		Mutate: func(rng *rand.Rand, c [2]float64) [2]float64 {
			c[rng.IntN(2)] += 0.1 * rng.NormFloat64()
			return c
		},
		Evaluate: func(c [2]float64) map[string]float64 {
			evaluated.Add(1)
			out := map[string]float64{"near": math.Hypot(c[0]-0.7, c[1]-0.2)}
			if c[0] > 0.9 {
				out["far"] = 1 - c[1]
			}
			return out
		},
	}
}

// TestFindsPlantedMinimum checks that a search finds the minima of plantedProblem, makes exactly
// the requested runs, gives the same result in parallel, and depends on the seed.
func TestFindsPlantedMinimum(t *testing.T) {
	const runs = 700
	var evaluated atomic.Int64
	reported := 0
	sequential := Run(plantedProblem(&evaluated), Options{Seed: 5, Runs: runs, Parallel: 1, FocusRule: "near", OnBatch: func(n int) { reported = n }})
	if evaluated.Load() != runs || sequential.Runs != runs || reported != runs {
		t.Errorf("got %d evaluations, %d runs, %d reported to OnBatch, want %d of each", evaluated.Load(), sequential.Runs, reported, runs)
	}
	if best := sequential.Nearest["near"][0]; best.Margin > 0.01 {
		t.Errorf("rule near: got best %v, want a margin of at most 0.01", best)
	}
	if best := sequential.Nearest["far"][0]; best.Margin > 0.05 {
		t.Errorf("rule far, which applies to few cases: got best %v, want a margin of at most 0.05", best)
	}
	if parallel := Run(plantedProblem(&evaluated), Options{Seed: 5, Runs: runs, Parallel: 8, FocusRule: "near"}); !reflect.DeepEqual(parallel, sequential) {
		t.Error("got different results from 8 in parallel, want the same")
	}
	if other := Run(plantedProblem(&evaluated), Options{Seed: 6, Runs: runs, FocusRule: "near"}); reflect.DeepEqual(other, sequential) {
		t.Error("got the same results from another seed, want different ones")
	}
}

// TestBeatsRandomSampling checks that a search with mutations finds a smaller margin than the same
// number of generated cases.
func TestBeatsRandomSampling(t *testing.T) {
	var evaluated atomic.Int64
	problem := plantedProblem(&evaluated)
	searched := Run(problem, Options{Seed: 9, Runs: 400, FocusRule: "near"})
	problem.Mutate = func(rng *rand.Rand, _ [2]float64) [2]float64 { return problem.Generate(rng) }
	sampled := Run(problem, Options{Seed: 9, Runs: 400, FocusRule: "near"})
	if got, random := searched.Nearest["near"][0].Margin, sampled.Nearest["near"][0].Margin; got >= random {
		t.Errorf("got margin %v by mutations, want less than %v by random sampling", got, random)
	}
}

// TestEndsAtTimeLimit checks that a search ends at its time limit before all runs are made.
func TestEndsAtTimeLimit(t *testing.T) {
	var evaluated atomic.Int64
	problem := plantedProblem(&evaluated)
	evaluate := problem.Evaluate
	problem.Evaluate = func(c [2]float64) map[string]float64 {
		time.Sleep(time.Millisecond)
		return evaluate(c)
	}
	if r := Run(problem, Options{Seed: 1, Runs: 1 << 20, TimeLimit: 50 * time.Millisecond, Parallel: 4}); r.Runs >= 1<<20 || r.Runs == 0 {
		t.Errorf("got %d runs in 50 ms, want some, fewer than %d", r.Runs, 1<<20)
	}
}
