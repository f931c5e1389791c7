package migration

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/micahill/micahill/internal/resource"
	"pgregory.net/rapid"
)

// cheapestCost tries every sequence of moves. Find is held to its result.
func cheapestCost(p *Problem) (time.Duration, bool) {
	cheapest, found := time.Duration(0), false
	free := make([]resource.Resources, len(p.Hosts))
	for h := range p.Hosts {
		free[h] = p.Hosts[h].Free
	}
	moved := make([]bool, len(p.Replicas))
	var try func(left int, cost time.Duration)
	try = func(left int, cost time.Duration) {
		if cost > p.MaxCost || found && cost >= cheapest {
			return
		}
		for h := range p.Hosts {
			if w := &p.WaitingTask; p.Hosts[h].Schedulable && w.Need.Fits(free[h]) && (w.Allowed == nil || w.Allowed(h)) {
				cheapest, found = cost, true
				return
			}
		}
		if left == 0 {
			return
		}
		for i := range p.Replicas {
			r := &p.Replicas[i]
			if moved[i] || !r.Movable {
				continue
			}
			for h := range p.Hosts {
				host := &p.Hosts[h]
				if h == r.HostIndex || !host.Schedulable || !r.Need.Fits(free[h]) || r.Allowed != nil && !r.Allowed(h) {
					continue
				}
				moveCost := r.LostWork
				if !host.Images[r.Image] && r.ImageGB > 0 {
					if host.FetchRate <= 0 {
						continue
					}
					moveCost += time.Duration(r.ImageGB / host.FetchRate * float64(time.Second))
				}
				moved[i] = true
				free[r.HostIndex], free[h] = free[r.HostIndex].AddScaled(r.Need, 1), free[h].AddScaled(r.Need, -1)
				try(left-1, cost+moveCost)
				free[r.HostIndex], free[h] = free[r.HostIndex].AddScaled(r.Need, -1), free[h].AddScaled(r.Need, 1)
				moved[i] = false
			}
		}
	}
	try(min(p.MaxMoves, MaxMoves), 0)
	return cheapest, found
}

// checkPlan carries out a plan and returns an error if it breaks a rule of the problem.
func checkPlan(p *Problem, plan Plan) error {
	hostIndex := map[string]int{}
	free := make([]resource.Resources, len(p.Hosts))
	for h := range p.Hosts {
		hostIndex[p.Hosts[h].ID], free[h] = h, p.Hosts[h].Free
	}
	if len(plan.Moves) > min(p.MaxMoves, MaxMoves) {
		return fmt.Errorf("got %d moves, want at most %d", len(plan.Moves), min(p.MaxMoves, MaxMoves))
	}
	seen, cost := map[int]bool{}, time.Duration(0)
	for _, v := range plan.Moves {
		i := -1
		for k := range p.Replicas {
			if p.Replicas[k].Job == v.Job && p.Replicas[k].Index == v.Index {
				i = k
			}
		}
		if i < 0 || seen[i] {
			return fmt.Errorf("got a move of %s/%d, want one of a known replica that has not moved yet", v.Job, v.Index)
		}
		seen[i] = true
		r, to := &p.Replicas[i], hostIndex[v.To]
		switch {
		case p.Hosts[r.HostIndex].ID != v.From, v.From == v.To, r.Need != v.Need:
			return fmt.Errorf("got %s/%d of %+v moved from %s to %s, want its need and host, and another host", v.Job, v.Index, v.Need, v.From, v.To)
		case !r.Movable, !p.Hosts[to].Schedulable, r.Allowed != nil && !r.Allowed(to):
			return fmt.Errorf("got %s/%d moved to %s, want a host where it may run", v.Job, v.Index, v.To)
		}
		free[r.HostIndex] = free[r.HostIndex].AddScaled(r.Need, 1)
		if !r.Need.Fits(free[to]) {
			return fmt.Errorf("got %s/%d moved to %s with %+v free, want room for it", v.Job, v.Index, v.To, free[to])
		}
		free[to] = free[to].AddScaled(r.Need, -1)
		downtime := time.Duration(0)
		if !p.Hosts[to].Images[r.Image] && r.ImageGB > 0 {
			downtime = time.Duration(r.ImageGB / p.Hosts[to].FetchRate * float64(time.Second))
		}
		if v.Downtime != downtime {
			return fmt.Errorf("%s/%d: got downtime %v, want %v", v.Job, v.Index, v.Downtime, downtime)
		}
		cost += downtime + r.LostWork
	}
	h, ok := hostIndex[plan.Host]
	switch w := &p.WaitingTask; {
	case !ok || !p.Hosts[h].Schedulable || w.Allowed != nil && !w.Allowed(h):
		return fmt.Errorf("got host %q, want one where the waiting task may run", plan.Host)
	case !w.Need.Fits(free[h]):
		return fmt.Errorf("got %+v free on %s, want %+v", free[h], plan.Host, w.Need)
	case plan.Cost != cost || cost > p.MaxCost:
		return fmt.Errorf("got cost %v, want %v, and at most %v", plan.Cost, cost, p.MaxCost)
	}
	return nil
}

// drawProblem fills hosts of one or two sizes with replicas of four sizes. Full hosts leave
// only chains of moves.
func drawProblem(t *rapid.T, maxHosts, maxReplicas int) *Problem {
	p := &Problem{MaxMoves: rapid.IntRange(0, MaxMoves).Draw(t, "max moves"), MaxCost: time.Duration(rapid.SampledFrom([]int{10, 60, 600}).Draw(t, "max cost")) * time.Second}
	p.MaxMoves = rapid.SampledFrom([]int{p.MaxMoves, MaxMoves, MaxMoves}).Draw(t, "max moves or three")
	images := []string{"a", "b", "c"}
	gbs := []float64{2, 16, 40}
	n := rapid.IntRange(2, maxHosts).Draw(t, "hosts")
	for h := range n {
		size := resource.Resources{CPU: 32, GPU: float64(rapid.SampledFrom([]int{8, 8, 8, 4}).Draw(t, "gpus")), Memory: 64}
		m := Host{ID: fmt.Sprintf("h%d", h), Kind: fmt.Sprint(size.GPU), Size: size, Free: size, Images: map[string]bool{},
			Schedulable: rapid.IntRange(0, 5).Draw(t, "unschedulable") > 0, FetchRate: rapid.SampledFrom([]float64{1, 2, 0}).Draw(t, "fetch rate")}
		for _, im := range images {
			if rapid.IntRange(0, 2).Draw(t, "has "+im) == 0 {
				m.Images[im] = true
			}
		}
		p.Hosts = append(p.Hosts, m)
	}
	allowed := func(name string) func(int) bool {
		if rapid.IntRange(0, 3).Draw(t, name) > 0 {
			return nil
		}
		mask := rapid.Uint64().Draw(t, name+" where")
		return func(h int) bool { return mask>>h&1 == 1 }
	}
	need := func(name string, sizes ...float64) resource.Resources {
		g := rapid.SampledFrom(sizes).Draw(t, name)
		return resource.Resources{CPU: g * rapid.SampledFrom([]float64{2, 4}).Draw(t, name+" cpu"), GPU: g, Memory: g * rapid.SampledFrom([]float64{1, 8}).Draw(t, name+" memory")}
	}
	for i := range rapid.IntRange(maxReplicas/2, maxReplicas).Draw(t, "replicas") {
		h, im := rapid.IntRange(0, n-1).Draw(t, "host"), rapid.IntRange(0, 2).Draw(t, "image")
		r := Replica{Job: fmt.Sprintf("j%d", i/3), Index: i, HostIndex: h, Need: need("need", 1, 1, 2, 2, 4, 8), Image: images[im], ImageGB: gbs[im],
			Movable: rapid.IntRange(0, 7).Draw(t, "fixed") > 0, Allowed: allowed("allowed"),
			LostWork: time.Duration(rapid.SampledFrom([]int{0, 0, 3, 20}).Draw(t, "lost work")) * time.Second}
		if !r.Need.Fits(p.Hosts[h].Free) {
			continue
		}
		p.Hosts[h].Free = p.Hosts[h].Free.AddScaled(r.Need, -1)
		p.Replicas = append(p.Replicas, r)
	}
	w := need("waiting", 1, 2, 4, 8, 8)
	for h := range p.Hosts {
		// Mostly the waiting task fits nowhere without moves, and other work takes the rest.
		if m := &p.Hosts[h]; w.Fits(m.Free) && rapid.IntRange(0, 9).Draw(t, "occupied") > 0 {
			m.Free.GPU = w.GPU - float64(rapid.IntRange(1, int(w.GPU)).Draw(t, "missing"))
		}
	}
	p.WaitingTask = WaitingTask{Job: "w", Need: w, Image: images[rapid.IntRange(0, 2).Draw(t, "waiting image")], Allowed: allowed("waiting allowed")}
	return p
}

// TestFindAgainstAllPlans: a plan is found whenever there is one, it can be carried out as it
// stands, and costs little more than the cheapest.
func TestFindAgainstAllPlans(t *testing.T) {
	lengths := map[int]int{}
	check := func(p *Problem) error {
		plan, ok := Find(p)
		cheapest, exists := cheapestCost(p)
		switch {
		case ok != exists:
			return fmt.Errorf("got a plan found %v, want %v", ok, exists)
		case !ok:
			return nil
		}
		lengths[len(plan.Moves)]++
		if float64(plan.Cost) > costTolerance*float64(cheapest) {
			return fmt.Errorf("got cost %v, want at most %v times the cheapest, %v", plan.Cost, costTolerance, cheapest)
		}
		return checkPlan(p, plan)
	}
	rapid.Check(t, func(t *rapid.T) {
		if err := check(drawProblem(t, 6, 10)); err != nil {
			t.Fatal(err)
		}
	})
	// Long plans are rare, and so take many problems.
	problems := rapid.Custom(func(t *rapid.T) *Problem { return drawProblem(t, 6, 10) })
	for i := range 4000 {
		if err := check(problems.Example(i)); err != nil {
			t.Fatalf("problem %d: %v", i, err)
		}
	}
	if lengths[2] < 50 || lengths[3] < 10 {
		t.Errorf("got plans by length %v, want at least 50 of two moves and 10 of three", lengths)
	}
	t.Log("plans by length:", lengths)
}

// TestReplicasChangePlaces: two replicas can only swap hosts after a third has left, though in
// sum there is room without that.
func TestReplicasChangePlaces(t *testing.T) {
	gpu := func(g float64) resource.Resources { return resource.Resources{GPU: g} }
	host := func(id string, size, free float64) Host {
		return Host{ID: id, Size: gpu(size), Free: gpu(free), Schedulable: true}
	}
	only := func(h int) func(int) bool { return func(x int) bool { return x == h } }
	p := &Problem{
		Hosts: []Host{host("h", 12, 2), host("x", 8, 4), host("z", 2, 2)},
		Replicas: []Replica{{Job: "b", HostIndex: 0, Need: gpu(8), Movable: true, Allowed: only(1)}, {Job: "a", HostIndex: 1, Need: gpu(4), Movable: true, Allowed: only(0)},
			{Job: "c", HostIndex: 0, Need: gpu(2), Movable: true, LostWork: time.Second, Allowed: only(2)}},
		WaitingTask: WaitingTask{Need: gpu(6), Allowed: only(0)}, MaxMoves: MaxMoves, MaxCost: time.Minute,
	}
	plan, ok := Find(p)
	if !ok || len(plan.Moves) != 3 || plan.Moves[0].Job != "c" {
		t.Fatalf("got found %v, plan %+v, want three moves, the first of c", ok, plan)
	}
	if err := checkPlan(p, plan); err != nil {
		t.Errorf("checking the plan: %v", err)
	}
}

// TestBoundedFindAgainstExhaustive: what the search leaves out among many hosts costs little.
func TestBoundedFindAgainstExhaustive(t *testing.T) {
	lengths := map[int]int{}
	var boundedSum, exhaustiveSum time.Duration
	for seed := range uint64(120) {
		p := newFleet(24+int(seed%4)*8, seed, 0.4+0.4*float64(seed%5), []float64{4, 8}[seed%2])
		rnd := rand.New(rand.NewPCG(seed, 2))
		for i := range p.Replicas {
			r := &p.Replicas[i]
			r.LostWork = time.Duration(rnd.IntN(20)) * time.Second
			if rnd.IntN(3) == 0 {
				excluded := rnd.IntN(4)
				r.Allowed = func(h int) bool { return h%4 != excluded }
			}
		}
		for h := range p.Hosts {
			p.Hosts[h].FetchRate = float64(1 + rnd.IntN(4))
		}
		bounded, ok := find(p, false)
		exhaustive, exists := find(p, true)
		if ok != exists {
			t.Fatalf("seed %d: got a plan found %v, want %v", seed, ok, exists)
		}
		if !ok {
			continue
		}
		if err := checkPlan(p, bounded); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		lengths[len(bounded.Moves)]++
		boundedSum, exhaustiveSum = boundedSum+bounded.Cost, exhaustiveSum+exhaustive.Cost
		if float64(bounded.Cost) > costTolerance*costTolerance*float64(exhaustive.Cost) {
			t.Errorf("seed %d: got cost %v, want at most %v times that of the exhaustive search, %v", seed, bounded.Cost, costTolerance*costTolerance, exhaustive.Cost)
		}
	}
	t.Log("plans by length:", lengths, "cost", boundedSum, "exhaustive", exhaustiveSum)
}

// newFleet is a number of eight-GPU hosts with five replicas each on average and about free
// GPUs free on each; none of them is empty. A replica of want GPUs waits.
func newFleet(hosts int, seed uint64, free float64, want float64) *Problem {
	rnd := rand.New(rand.NewPCG(seed, 1))
	size := resource.Resources{CPU: 64, GPU: 8, Memory: 512}
	perGPUs := func(g float64) resource.Resources { return resource.Resources{CPU: 6 * g, GPU: g, Memory: 48 * g} }
	p := &Problem{MaxMoves: MaxMoves, MaxCost: 10 * time.Minute}
	for h := range hosts {
		m := Host{ID: fmt.Sprintf("host-%05d", h), Kind: "g8", Size: size, Free: size, Schedulable: true, Images: map[string]bool{}, FetchRate: 2}
		left := min(free*2*rnd.Float64(), want-1)
		for k := 0; m.Free.GPU > left; k++ {
			g := []float64{1, 1, 1, 2, 4}[rnd.IntN(5)]
			if g > m.Free.GPU {
				g = 1
			}
			im := rnd.IntN(30)
			image := fmt.Sprint("model-", im)
			m.Free = m.Free.AddScaled(perGPUs(g), -1)
			m.Images[image] = true
			p.Replicas = append(p.Replicas, Replica{Job: fmt.Sprintf("job-%d", im), Index: h*8 + k, HostIndex: h, Need: perGPUs(g),
				Image: image, ImageGB: 10 + 4*float64(im), Movable: rnd.IntN(4) > 0})
		}
		p.Hosts = append(p.Hosts, m)
	}
	p.WaitingTask = WaitingTask{Job: "large", Need: perGPUs(want), Image: "model-11", ImageGB: 54}
	return p
}

// BenchmarkFind is the search for a plan in fleets of several sizes and loads.
func BenchmarkFind(b *testing.B) {
	for _, c := range []struct {
		name       string
		free, want float64
	}{{"half", 1.5, 4}, {"whole", 1.5, 8}, {"tight", 0.6, 4}, {"tight whole", 0.6, 8}, {"none", 0.2, 8}} {
		for _, hosts := range []int{100, 200, 500, 1000, 2000} {
			p := newFleet(hosts, 1, c.free, c.want)
			b.Run(fmt.Sprintf("%s/hosts=%d", c.name, hosts), func(b *testing.B) {
				for b.Loop() {
					plan, ok := Find(p)
					b.ReportMetric(float64(len(p.Replicas)), "replicas")
					b.ReportMetric(float64(len(plan.Moves))*foundSign(ok), "moves")
					b.ReportMetric(plan.Cost.Seconds(), "cost-s")
				}
			})
		}
	}
}

// foundSign makes a metric negative where no plan was found.
func foundSign(b bool) float64 {
	if b {
		return 1
	}
	return -1
}
