package seek

import (
	"math"
	"math/rand/v2"
	"reflect"
	"sync/atomic"
	"testing"
	"time"
)

// planted has its least margin, 0, at (0.7, 0.2) for the rule near, in a dent that hardly
// any drawn case meets; the rule far is of another place, and seldom applies.
func planted(played *atomic.Int64) Problem[[2]float64] {
	return Problem[[2]float64]{
		Draw: func(rng *rand.Rand) [2]float64 { return [2]float64{rng.Float64(), rng.Float64()} },
		Change: func(rng *rand.Rand, c [2]float64) [2]float64 {
			c[rng.IntN(2)] += 0.1 * rng.NormFloat64()
			return c
		},
		Play: func(c [2]float64) map[string]float64 {
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
func TestSearchFindsWhatIsPlanted(t *testing.T) {
	var played atomic.Int64
	told := 0
	alone := Search(planted(&played), Options{Seed: 5, Runs: 700, Parallel: 1, First: "near", Told: func(n int) { told = n }})
	if played.Load() != 700 || alone.Runs != 700 || told != 700 {
		t.Errorf("played %d, counted %d, told %d of 700", played.Load(), alone.Runs, told)
	}
	if best := alone.Nearest["near"][0]; best.Margin > 0.01 {
		t.Errorf("the nearest is %v", best)
	}
	if best := alone.Nearest["far"][0]; best.Margin > 0.05 {
		t.Errorf("the nearest of the rule that seldom applies is %v", best)
	}
	if many := Search(planted(&played), Options{Seed: 5, Runs: 700, Parallel: 8, First: "near"}); !reflect.DeepEqual(many, alone) {
		t.Error("another search with eight at a time")
	}
	if other := Search(planted(&played), Options{Seed: 6, Runs: 700, First: "near"}); reflect.DeepEqual(other, alone) {
		t.Error("the same search with another seed")
	}
}

// Drawing alone gets less near: it is the going on that finds the minimum.
func TestSearchBeatsLuck(t *testing.T) {
	var played atomic.Int64
	p := planted(&played)
	seek := Search(p, Options{Seed: 9, Runs: 400, First: "near"})
	p.Change = func(rng *rand.Rand, _ [2]float64) [2]float64 { return p.Draw(rng) }
	luck := Search(p, Options{Seed: 9, Runs: 400, First: "near"})
	if s, l := seek.Nearest["near"][0].Margin, luck.Nearest["near"][0].Margin; s >= l {
		t.Errorf("nearest %v by going on, %v by luck", s, l)
	}
}

func TestSearchEndsInTime(t *testing.T) {
	var played atomic.Int64
	p := planted(&played)
	play := p.Play
	p.Play = func(c [2]float64) map[string]float64 {
		time.Sleep(time.Millisecond)
		return play(c)
	}
	if r := Search(p, Options{Seed: 1, Runs: 1 << 20, For: 50 * time.Millisecond, Parallel: 4}); r.Runs >= 1<<20 || r.Runs == 0 {
		t.Errorf("%d runs in 50 ms", r.Runs)
	}
}
