package migration

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/micahill/micahill/internal/resource"
	"pgregory.net/rapid"
)

// cheapestCost returns the cost of the cheapest plan and whether there is a plan. It tries every
// sequence of moves, and serves as the reference for Find.
func cheapestCost(problem *Problem) (time.Duration, bool) {
	cheapest, found := time.Duration(0), false
	free := make([]resource.Resources, len(problem.Hosts))
	for hostIndex := range problem.Hosts {
		free[hostIndex] = problem.Hosts[hostIndex].Free
	}
	moved := make([]bool, len(problem.Replicas))
	var try func(left int, cost time.Duration)
	try = func(left int, cost time.Duration) {
		if cost > problem.MaxCost || found && cost >= cheapest {
			return
		}
		for hostIndex := range problem.Hosts {
			if waitingTask := &problem.WaitingTask; problem.Hosts[hostIndex].Schedulable && waitingTask.Need.Fits(free[hostIndex]) && (waitingTask.Allowed == nil || waitingTask.Allowed(hostIndex)) {
				cheapest, found = cost, true
				return
			}
		}
		if left == 0 {
			return
		}
		for replicaIndex := range problem.Replicas {
			replica := &problem.Replicas[replicaIndex]
			if moved[replicaIndex] || !replica.Movable {
				continue
			}
			for hostIndex := range problem.Hosts {
				host := &problem.Hosts[hostIndex]
				if hostIndex == replica.HostIndex || !host.Schedulable || !replica.Need.Fits(free[hostIndex]) || replica.Allowed != nil && !replica.Allowed(hostIndex) {
					continue
				}
				moveCost := replica.LostWork
				if !host.Images[replica.Image] && replica.ImageGB > 0 {
					if host.FetchRate <= 0 {
						continue
					}
					moveCost += time.Duration(replica.ImageGB / host.FetchRate * float64(time.Second))
				}
				moved[replicaIndex] = true
				free[replica.HostIndex], free[hostIndex] = free[replica.HostIndex].AddScaled(replica.Need, 1), free[hostIndex].AddScaled(replica.Need, -1)
				try(left-1, cost+moveCost)
				free[replica.HostIndex], free[hostIndex] = free[replica.HostIndex].AddScaled(replica.Need, -1), free[hostIndex].AddScaled(replica.Need, 1)
				moved[replicaIndex] = false
			}
		}
	}
	try(min(problem.MaxMoves, MaxMoves), 0)
	return cheapest, found
}

// checkPlan simulates a plan and returns an error if the plan breaks a rule of the problem.
func checkPlan(problem *Problem, plan Plan) error {
	hostIndexes := map[string]int{}
	free := make([]resource.Resources, len(problem.Hosts))
	for hostIndex := range problem.Hosts {
		hostIndexes[problem.Hosts[hostIndex].ID], free[hostIndex] = hostIndex, problem.Hosts[hostIndex].Free
	}
	if len(plan.Moves) > min(problem.MaxMoves, MaxMoves) {
		return fmt.Errorf("got %d moves, want at most %d", len(plan.Moves), min(problem.MaxMoves, MaxMoves))
	}
	seen, cost := map[int]bool{}, time.Duration(0)
	for _, move := range plan.Moves {
		replicaIndex := -1
		for otherIndex := range problem.Replicas {
			if problem.Replicas[otherIndex].Job == move.Job && problem.Replicas[otherIndex].Index == move.Index {
				replicaIndex = otherIndex
			}
		}
		if replicaIndex < 0 || seen[replicaIndex] {
			return fmt.Errorf("got a move of %s/%d, want a move of a known replica that has not moved yet", move.Job, move.Index)
		}
		seen[replicaIndex] = true
		replica, to := &problem.Replicas[replicaIndex], hostIndexes[move.To]
		switch {
		case problem.Hosts[replica.HostIndex].ID != move.From, move.From == move.To, replica.Need != move.Need:
			return fmt.Errorf("got %s/%d with need %+v moved from %s to %s, want the replica's need and host, and a different target", move.Job, move.Index, move.Need, move.From, move.To)
		case !replica.Movable, !problem.Hosts[to].Schedulable, replica.Allowed != nil && !replica.Allowed(to):
			return fmt.Errorf("got %s/%d moved to %s, want a host where it may run", move.Job, move.Index, move.To)
		}
		free[replica.HostIndex] = free[replica.HostIndex].AddScaled(replica.Need, 1)
		if !replica.Need.Fits(free[to]) {
			return fmt.Errorf("got %s/%d moved to %s with %+v free, want enough for its need", move.Job, move.Index, move.To, free[to])
		}
		free[to] = free[to].AddScaled(replica.Need, -1)
		downtime := time.Duration(0)
		if !problem.Hosts[to].Images[replica.Image] && replica.ImageGB > 0 {
			downtime = time.Duration(replica.ImageGB / problem.Hosts[to].FetchRate * float64(time.Second))
		}
		if move.Downtime != downtime {
			return fmt.Errorf("%s/%d: got downtime %v, want %v", move.Job, move.Index, move.Downtime, downtime)
		}
		cost += downtime + replica.LostWork
	}
	hostIndex, ok := hostIndexes[plan.Host]
	switch waitingTask := &problem.WaitingTask; {
	case !ok || !problem.Hosts[hostIndex].Schedulable || waitingTask.Allowed != nil && !waitingTask.Allowed(hostIndex):
		return fmt.Errorf("got host %q, want one where the waiting task may run", plan.Host)
	case !waitingTask.Need.Fits(free[hostIndex]):
		return fmt.Errorf("got %+v free on %s, want %+v", free[hostIndex], plan.Host, waitingTask.Need)
	case plan.Cost != cost || cost > problem.MaxCost:
		return fmt.Errorf("got cost %v, want %v, and at most %v", plan.Cost, cost, problem.MaxCost)
	}
	return nil
}

// drawProblem draws a problem with hosts of one or two sizes and replicas of four sizes. Many hosts are nearly
// full, so that the waiting task often needs a chain of moves.
func drawProblem(t *rapid.T, maxHosts, maxReplicas int) *Problem {
	problem := &Problem{MaxMoves: rapid.IntRange(0, MaxMoves).Draw(t, "max moves"), MaxCost: time.Duration(rapid.SampledFrom([]int{10, 60, 600}).Draw(t, "max cost")) * time.Second}
	problem.MaxMoves = rapid.SampledFrom([]int{problem.MaxMoves, MaxMoves, MaxMoves}).Draw(t, "max moves or three")
	images := []string{"a", "b", "c"}
	gbs := []float64{2, 16, 40}
	hostCount := rapid.IntRange(2, maxHosts).Draw(t, "hosts")
	for hostIndex := range hostCount {
		size := resource.Resources{CPU: 32, GPU: float64(rapid.SampledFrom([]int{8, 8, 8, 4}).Draw(t, "gpus")), Memory: 64}
		host := Host{ID: fmt.Sprintf("h%d", hostIndex), Kind: fmt.Sprint(size.GPU), Size: size, Free: size, Images: map[string]bool{},
			Schedulable: rapid.IntRange(0, 5).Draw(t, "unschedulable") > 0, FetchRate: rapid.SampledFrom([]float64{1, 2, 0}).Draw(t, "fetch rate")}
		for _, image := range images {
			if rapid.IntRange(0, 2).Draw(t, "has "+image) == 0 {
				host.Images[image] = true
			}
		}
		problem.Hosts = append(problem.Hosts, host)
	}
	allowed := func(name string) func(int) bool {
		if rapid.IntRange(0, 3).Draw(t, name) > 0 {
			return nil
		}
		mask := rapid.Uint64().Draw(t, name+" where")
		return func(hostIndex int) bool { return mask>>hostIndex&1 == 1 }
	}
	need := func(name string, sizes ...float64) resource.Resources {
		gpus := rapid.SampledFrom(sizes).Draw(t, name)
		return resource.Resources{CPU: gpus * rapid.SampledFrom([]float64{2, 4}).Draw(t, name+" cpu"), GPU: gpus, Memory: gpus * rapid.SampledFrom([]float64{1, 8}).Draw(t, name+" memory")}
	}
	for i := range rapid.IntRange(maxReplicas/2, maxReplicas).Draw(t, "replicas") {
		hostIndex, imageIndex := rapid.IntRange(0, hostCount-1).Draw(t, "host"), rapid.IntRange(0, 2).Draw(t, "image")
		replica := Replica{Job: fmt.Sprintf("j%d", i/3), Index: i, HostIndex: hostIndex, Need: need("need", 1, 1, 2, 2, 4, 8), Image: images[imageIndex], ImageGB: gbs[imageIndex],
			Movable: rapid.IntRange(0, 7).Draw(t, "fixed") > 0, Allowed: allowed("allowed"),
			LostWork: time.Duration(rapid.SampledFrom([]int{0, 0, 3, 20}).Draw(t, "lost work")) * time.Second}
		if !replica.Need.Fits(problem.Hosts[hostIndex].Free) {
			continue
		}
		problem.Hosts[hostIndex].Free = problem.Hosts[hostIndex].Free.AddScaled(replica.Need, -1)
		problem.Replicas = append(problem.Replicas, replica)
	}
	waitingNeed := need("waiting", 1, 2, 4, 8, 8)
	for hostIndex := range problem.Hosts {
		// In most problems the waiting task must not fit without moves. Tasks outside the problem
		// then use the free GPUs.
		if host := &problem.Hosts[hostIndex]; waitingNeed.Fits(host.Free) && rapid.IntRange(0, 9).Draw(t, "occupied") > 0 {
			host.Free.GPU = waitingNeed.GPU - float64(rapid.IntRange(1, int(waitingNeed.GPU)).Draw(t, "missing"))
		}
	}
	problem.WaitingTask = WaitingTask{Job: "w", Need: waitingNeed, Image: images[rapid.IntRange(0, 2).Draw(t, "waiting image")], Allowed: allowed("waiting allowed")}
	return problem
}

// TestFindAgainstAllPlans compares Find with an exhaustive search of all sequences of moves. Find must
// find a plan exactly if there is one, each move must fit when its turn comes, and the cost may exceed
// the cheapest by at most the factor costTolerance.
func TestFindAgainstAllPlans(t *testing.T) {
	lengths := map[int]int{}
	check := func(problem *Problem) error {
		plan, ok := Find(problem)
		cheapest, exists := cheapestCost(problem)
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
		return checkPlan(problem, plan)
	}
	rapid.Check(t, func(t *rapid.T) {
		if err := check(drawProblem(t, 6, 10)); err != nil {
			t.Fatal(err)
		}
	})
	// Plans of two and three moves are rare, so many problems are needed to get some.
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

// TestReplicasSwapHosts covers two replicas that must swap hosts. The total free capacity suffices for
// the swap, but neither replica can move first. Find must therefore move a third replica away first.
func TestReplicasSwapHosts(t *testing.T) {
	gpu := func(g float64) resource.Resources { return resource.Resources{GPU: g} }
	host := func(id string, size, free float64) Host {
		return Host{ID: id, Size: gpu(size), Free: gpu(free), Schedulable: true}
	}
	only := func(h int) func(int) bool { return func(x int) bool { return x == h } }
	problem := &Problem{
		Hosts: []Host{host("h", 12, 2), host("x", 8, 4), host("z", 2, 2)},
		Replicas: []Replica{{Job: "b", HostIndex: 0, Need: gpu(8), Movable: true, Allowed: only(1)}, {Job: "a", HostIndex: 1, Need: gpu(4), Movable: true, Allowed: only(0)},
			{Job: "c", HostIndex: 0, Need: gpu(2), Movable: true, LostWork: time.Second, Allowed: only(2)}},
		WaitingTask: WaitingTask{Need: gpu(6), Allowed: only(0)}, MaxMoves: MaxMoves, MaxCost: time.Minute,
	}
	plan, ok := Find(problem)
	if !ok || len(plan.Moves) != 3 || plan.Moves[0].Job != "c" {
		t.Fatalf("got found %v, plan %+v, want three moves, the first of c", ok, plan)
	}
	if err := checkPlan(problem, plan); err != nil {
		t.Errorf("checking the plan: %v", err)
	}
}

// TestBoundedFindAgainstExhaustive guards against a bounded search that misses plans or finds expensive
// ones. With 24 to 48 hosts it must find a plan exactly if the exhaustive search does, and may cost
// at most costTolerance squared times as much.
func TestBoundedFindAgainstExhaustive(t *testing.T) {
	lengths := map[int]int{}
	var boundedSum, exhaustiveSum time.Duration
	for seed := range uint64(120) {
		problem := newFleet(24+int(seed%4)*8, seed, 0.4+0.4*float64(seed%5), []float64{4, 8}[seed%2])
		random := rand.New(rand.NewPCG(seed, 2))
		for i := range problem.Replicas {
			replica := &problem.Replicas[i]
			replica.LostWork = time.Duration(random.IntN(20)) * time.Second
			if random.IntN(3) == 0 {
				excluded := random.IntN(4)
				replica.Allowed = func(hostIndex int) bool { return hostIndex%4 != excluded }
			}
		}
		for hostIndex := range problem.Hosts {
			problem.Hosts[hostIndex].FetchRate = float64(1 + random.IntN(4))
		}
		bounded, ok := find(problem, false)
		exhaustive, exists := find(problem, true)
		if ok != exists {
			t.Fatalf("seed %d: got a plan found %v, want %v", seed, ok, exists)
		}
		if !ok {
			continue
		}
		if err := checkPlan(problem, bounded); err != nil {
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

// newFleet returns a problem with the given number of hosts. Each host has eight GPUs and five
// replicas on average; the average number of free GPUs is about free. No host is empty. The waiting task
// needs want GPUs.
func newFleet(hosts int, seed uint64, free float64, want float64) *Problem {
	random := rand.New(rand.NewPCG(seed, 1))
	size := resource.Resources{CPU: 64, GPU: 8, Memory: 512}
	perGPUs := func(gpus float64) resource.Resources {
		return resource.Resources{CPU: 6 * gpus, GPU: gpus, Memory: 48 * gpus}
	}
	problem := &Problem{MaxMoves: MaxMoves, MaxCost: 10 * time.Minute}
	for hostIndex := range hosts {
		host := Host{ID: fmt.Sprintf("host-%05d", hostIndex), Kind: "g8", Size: size, Free: size, Schedulable: true, Images: map[string]bool{}, FetchRate: 2}
		left := min(free*2*random.Float64(), want-1)
		for k := 0; host.Free.GPU > left; k++ {
			gpus := []float64{1, 1, 1, 2, 4}[random.IntN(5)]
			if gpus > host.Free.GPU {
				gpus = 1
			}
			imageIndex := random.IntN(30)
			image := fmt.Sprint("model-", imageIndex)
			host.Free = host.Free.AddScaled(perGPUs(gpus), -1)
			host.Images[image] = true
			problem.Replicas = append(problem.Replicas, Replica{Job: fmt.Sprintf("job-%d", imageIndex), Index: hostIndex*8 + k, HostIndex: hostIndex, Need: perGPUs(gpus),
				Image: image, ImageGB: 10 + 4*float64(imageIndex), Movable: random.IntN(4) > 0})
		}
		problem.Hosts = append(problem.Hosts, host)
	}
	problem.WaitingTask = WaitingTask{Job: "large", Need: perGPUs(want), Image: "model-11", ImageGB: 54}
	return problem
}

// BenchmarkFind measures Find in fleets of several sizes and loads.
func BenchmarkFind(b *testing.B) {
	for _, fleet := range []struct {
		name       string
		free, want float64
	}{{"half", 1.5, 4}, {"whole", 1.5, 8}, {"tight", 0.6, 4}, {"tight whole", 0.6, 8}, {"none", 0.2, 8}} {
		for _, hosts := range []int{100, 200, 500, 1000, 2000} {
			problem := newFleet(hosts, 1, fleet.free, fleet.want)
			b.Run(fmt.Sprintf("%s/hosts=%d", fleet.name, hosts), func(b *testing.B) {
				for b.Loop() {
					plan, ok := Find(problem)
					b.ReportMetric(float64(len(problem.Replicas)), "replicas")
					b.ReportMetric(float64(len(plan.Moves))*foundSign(ok), "moves")
					b.ReportMetric(plan.Cost.Seconds(), "cost-s")
				}
			})
		}
	}
}

// foundSign returns 1 if a plan was found and -1 otherwise. It makes a metric negative if there is no plan.
func foundSign(found bool) float64 {
	if found {
		return 1
	}
	return -1
}
