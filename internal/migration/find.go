package migration

import (
	"math"
	"slices"
	"time"

	"github.com/micahill/micahill/internal/resource"
)

const (
	// exhaustivePairs is up to how many pairs of a host and a replica a problem is searched
	// exhaustively. Beyond, the search is bounded: of the hosts that a chain of moves could
	// pass through only the most promising are tried, and the number of steps is limited.
	exhaustivePairs = 100
	// maxDirectTargets is how many hosts with enough free capacity are tried for a replica.
	// Three suffice: the other moves of a plan go to at most two of them, and one that no
	// other move goes to and that costs no more is as good as any behind it.
	maxDirectTargets = MaxMoves
	// maxChainTargets is how many hosts are tried that another replica has to leave first.
	maxChainTargets = 12
	// maxSteps bounds the moves that a bounded search tries for each length of a plan, which
	// take some milliseconds.
	maxSteps = 20_000
	// costTolerance is how many times more than the cheapest a plan may cost: what could save
	// less is not searched for.
	costTolerance = 1.2
)

// infeasible is the cost of what can't be done, small enough to be added up.
const infeasible = time.Duration(math.MaxInt64 / 8)

// Find searches for the cheapest moves, at most p.MaxMoves and MaxMoves of them, after which the
// waiting task fits on one host, and reports whether there are any that cost at most
// p.MaxCost. A move costs the time that its replica is down and the work that its stop loses.
// In the order of the plan each move has enough free capacity when its turn comes: nothing
// arrives before what was there has left. Replicas that swap hosts therefore need a third
// host, and no replica moves twice.
func Find(p *Problem) (Plan, bool) { return find(p, len(p.Hosts)*len(p.Replicas) <= exhaustivePairs) }

// find is Find, exhaustive or bounded.
func find(p *Problem, exhaustive bool) (Plan, bool) {
	f := newFinder(p, exhaustive)
	hosts := f.candidateHosts()
	for moveLimit := 0; moveLimit <= f.maxMoves; moveLimit++ {
		f.stepsLeft = maxSteps
		for _, h := range hosts {
			if f.shortfall(h, p.WaitingTask.Need).Fits(f.replicasOn[h].largestSums[moveLimit]) {
				f.destination = h
				f.touched = append(f.touched[:0], h)
				f.addFree(h, p.WaitingTask.Need, -1)
				f.search(moveLimit, 0)
				f.addFree(h, p.WaitingTask.Need, 1)
			}
		}
		if f.found && f.bestCost == 0 {
			break
		}
	}
	return f.plan(), f.found
}

// costLimit is the cost from which on a plan is of no use.
func (f *finder) costLimit() time.Duration {
	if f.found {
		return time.Duration(math.Ceil(float64(f.bestCost) / costTolerance))
	}
	if f.problem.MaxCost < 0 {
		return 0
	}
	return min(f.problem.MaxCost, infeasible-1) + 1
}

// search adds up to left steps, until the waiting task and all replicas that move fit, and keeps
// the plan if it is the cheapest. If all fits at the end but no order of the moves gets there,
// two replicas swap hosts and a third has to leave first. That one is on one of their hosts,
// and is found by those searches in which that host lacks capacity.
func (f *finder) search(left int, cost time.Duration) {
	lacking, at := 0, -1
	for _, h := range f.touched {
		if (resource.Resources{}).Fits(f.netFree[h]) {
			continue
		}
		if lacking++; at < 0 {
			at = h
		}
	}
	switch {
	case lacking > left:
	case lacking > 0:
		f.tryMovesFrom(at, left, cost)
	case f.findOrder():
		f.found, f.bestCost, f.bestHost = true, cost, f.destination
		f.bestSteps = append(f.bestSteps[:0], f.order...)
	}
}

// tryMovesFrom tries each replica that could leave a host.
func (f *finder) tryMovesFrom(h, left int, cost time.Duration) {
	missing := f.shortfall(h, resource.Resources{})
	replicas := f.replicasOn[h].replicas
	for x, i := range replicas {
		r := &f.problem.Replicas[i]
		if f.moved[i] || cost+r.LostWork >= f.costLimit() || f.hasTwin(replicas[:x], i) {
			continue
		}
		// Without this one, the others that may leave must free the rest.
		if rest := (resource.Resources{CPU: missing.CPU - r.Need.CPU, GPU: missing.GPU - r.Need.GPU, Memory: missing.Memory - r.Need.Memory}); !rest.Fits(f.replicasOn[h].largestSums[left-1]) {
			continue
		}
		f.moved[i] = true
		f.addFree(h, r.Need, 1)
		f.tryTargets(i, left-1, cost+r.LostWork)
		f.addFree(h, r.Need, -1)
		f.moved[i] = false
	}
}

// hasTwin says that another of some replicas of the same host, which has not moved, could move
// instead with the same result.
func (f *finder) hasTwin(replicas []int, i int) bool {
	r := &f.problem.Replicas[i]
	if r.Allowed != nil {
		return false
	}
	for _, k := range replicas {
		if o := &f.problem.Replicas[k]; !f.moved[k] && f.classOf[k] == f.classOf[i] && o.Allowed == nil && o.LostWork == r.LostWork {
			return true
		}
	}
	return false
}

// tryTargets tries each host that a replica could move to, with left moves after it.
func (f *finder) tryTargets(i, left int, cost time.Duration) {
	r := &f.problem.Replicas[i]
	k := f.classOf[i]
	s := &f.classes[k]
	try := func(h int, c time.Duration) bool {
		if h == r.HostIndex || !f.problem.Hosts[h].Schedulable || r.Allowed != nil && !r.Allowed(h) {
			return false
		}
		if f.stepsLeft--; f.stepsLeft < 0 && !f.exhaustive {
			return false
		}
		f.steps = append(f.steps, step{i, h, c + r.LostWork})
		n := len(f.touched)
		if !slices.Contains(f.touched, h) {
			f.touched = append(f.touched, h)
		}
		f.addFree(h, s.need, -1)
		f.search(left, cost+c)
		f.addFree(h, s.need, 1)
		f.touched = f.touched[:n]
		f.steps = f.steps[:len(f.steps)-1]
		return true
	}
	for _, h := range f.touched {
		// What is free there has changed with the steps.
		if s.need.Fits(f.problem.Hosts[h].Size) {
			if c := f.fetchTime(s, h); cost+c < f.costLimit() {
				try(h, c)
			}
		}
	}
	tried := 0
	for _, c := range f.directTargetsFor(k) {
		if cost+c.cost >= f.costLimit() || tried >= maxDirectTargets {
			break
		}
		if !slices.Contains(f.touched, c.host) && try(c.host, c.cost) {
			tried++
		}
	}
	if left == 0 {
		return
	}
	c := f.chainTargetsFor(k, left)
	for _, hosts := range [...][]int{c.withImage, c.withoutImage} {
		tried = 0
		for _, h := range hosts {
			if !f.exhaustive && (f.stepsLeft < 0 || tried >= maxChainTargets) {
				break
			}
			if d := f.fetchTime(s, h); cost+d < f.costLimit() && !slices.Contains(f.touched, h) && try(h, d) {
				tried++
			}
		}
	}
}

// findOrder searches for an order of the steps in which each fits when its turn comes.
func (f *finder) findOrder() bool {
	f.order = append(f.order[:0], f.steps...)
	return f.orderFrom(0)
}

// orderFrom is findOrder for the steps from at on, the ones before being fixed.
func (f *finder) orderFrom(at int) bool {
	if at == len(f.order) {
		return true
	}
	for x := at; x < len(f.order); x++ {
		f.order[at], f.order[x] = f.order[x], f.order[at]
		if f.stepFits(at) && f.orderFrom(at+1) {
			return true
		}
		f.order[at], f.order[x] = f.order[x], f.order[at]
	}
	return false
}

// stepFits says that the replica of a step fits on its host after the steps before it.
func (f *finder) stepFits(at int) bool {
	to := f.order[at].to
	free := f.problem.Hosts[to].Free
	for _, s := range f.order[:at] {
		r := &f.problem.Replicas[s.replica]
		if s.to == to {
			free = free.AddScaled(r.Need, -1)
		}
		if r.HostIndex == to {
			free = free.AddScaled(r.Need, 1)
		}
	}
	return f.problem.Replicas[f.order[at].replica].Need.Fits(free)
}

// plan is the best plan found.
func (f *finder) plan() Plan {
	if !f.found {
		return Plan{}
	}
	out := Plan{Host: f.problem.Hosts[f.bestHost].ID, Cost: f.bestCost}
	for _, s := range f.bestSteps {
		r := &f.problem.Replicas[s.replica]
		out.Moves = append(out.Moves, Move{
			Job: r.Job, Index: r.Index, From: f.problem.Hosts[r.HostIndex].ID, To: f.problem.Hosts[s.to].ID,
			Need: r.Need, Downtime: s.cost - r.LostWork,
		})
	}
	return out
}
