package search

import (
	"math"
	"math/rand/v2"
	"reflect"
	"sync/atomic"
	"testing"
	"time"
)

// plantedProblem has its least margin, 0, at (0.7, 0.2) for the rule near, in a dent that hardly
// any drawn case meets; the rule far is of another place, and seldom applies.
func plantedProblem(played *atomic.Int64) Problem[[2]float64] {
	return Problem[[2]float64]{
		Generate: func(rng *rand.Rand) [2]float64 { return [2]float64{rng.Float64(), rng.Float64()} },
		Mutate: func(rng *rand.Rand, c [2]float64) [2]float64 {
			c[rng.IntN(2)] += 0.1 * rng.NormFloat64()
			return c
		},
		Evaluate: func(c [2]float64) map[string]float64 {
			played.Add(1)
			out := map[string]float64{"near": math.Hypot(c[0]-0.7, c[1]-0.2)}
			if c[0] > 0.9 {
				out["far"] = 1 - c[1]
			}
			return out
		},
	}
}

// The planted minimum is found, the way to it is the same however many cases are played at
// a time, and not one more than allowed is played.
func TestFindsPlantedMinimum(t *testing.T) {
	var played atomic.Int64
	told := 0
	sequential := Run(plantedProblem(&played), Options{Seed: 5, Runs: 700, Parallel: 1, FocusRule: "near", OnBatch: func(n int) { told = n }})
	if played.Load() != 700 || sequential.Runs != 700 || told != 700 {
		t.Errorf("played %d, counted %d, told %d of 700", played.Load(), sequential.Runs, told)
	}
	if best := sequential.Nearest["near"][0]; best.Margin > 0.01 {
		t.Errorf("the nearest is %v", best)
	}
	if best := sequential.Nearest["far"][0]; best.Margin > 0.05 {
		t.Errorf("the nearest of the rule that seldom applies is %v", best)
	}
	if concurrent := Run(plantedProblem(&played), Options{Seed: 5, Runs: 700, Parallel: 8, FocusRule: "near"}); !reflect.DeepEqual(concurrent, sequential) {
		t.Error("another search with eight at a time")
	}
	if other := Run(plantedProblem(&played), Options{Seed: 6, Runs: 700, FocusRule: "near"}); reflect.DeepEqual(other, sequential) {
		t.Error("the same search with another seed")
	}
}

// Drawing alone gets less near: it is the going on that finds the minimum.
func TestBeatsRandomSampling(t *testing.T) {
	var played atomic.Int64
	p := plantedProblem(&played)
	searched := Run(p, Options{Seed: 9, Runs: 400, FocusRule: "near"})
	p.Mutate = func(rng *rand.Rand, _ [2]float64) [2]float64 { return p.Generate(rng) }
	sampled := Run(p, Options{Seed: 9, Runs: 400, FocusRule: "near"})
	if s, l := searched.Nearest["near"][0].Margin, sampled.Nearest["near"][0].Margin; s >= l {
		t.Errorf("nearest %v by going on, %v by luck", s, l)
	}
}

func TestEndsAtTimeLimit(t *testing.T) {
	var played atomic.Int64
	p := plantedProblem(&played)
	play := p.Evaluate
	p.Evaluate = func(c [2]float64) map[string]float64 {
		time.Sleep(time.Millisecond)
		return play(c)
	}
	if r := Run(p, Options{Seed: 1, Runs: 1 << 20, TimeLimit: 50 * time.Millisecond, Parallel: 4}); r.Runs >= 1<<20 || r.Runs == 0 {
		t.Errorf("%d runs in 50 ms", r.Runs)
	}
}
