package migration

import (
	"math"
	"slices"
	"time"

	"github.com/micahill/micahill/internal/resource"
)

const (
	// exhaustivePairs is the largest product of the numbers of hosts and replicas for which the
	// search is exhaustive. For larger problems the search is bounded: the number of steps is
	// limited, and of the hosts that another replica must leave first only the most promising
	// are tried.
	exhaustivePairs = 100
	// maxDirectTargets is how many hosts with enough free capacity are tried for a replica, the
	// cheapest first. Three suffice: the other moves of a plan go to at most two of them, and the
	// remaining one is at least as cheap as all hosts that are not tried.
	maxDirectTargets = MaxMoves
	// maxChainTargets is how many hosts are tried that another replica must leave first.
	maxChainTargets = 12
	// maxSteps bounds the moves that a bounded search tries for each length of a plan. 20,000
	// moves take some milliseconds.
	maxSteps = 20_000
	// costTolerance is the largest ratio of a plan's cost to that of the cheapest plan. Once a
	// plan is found, plans that would save less than this ratio are not searched for.
	costTolerance = 1.2
)

// infeasible is the cost of an impossible move. It is small enough that several such costs can be
// added up without overflow.
const infeasible = time.Duration(math.MaxInt64 / 8)

// Find searches for the cheapest plan after which the waiting task fits on one host. It reports
// whether there is a plan with at most problem.MaxMoves and MaxMoves moves and a cost of at most
// problem.MaxCost. A move costs the time that its replica is down and the work that its stop loses.
// The cost of the plan may exceed that of the cheapest by the factor costTolerance.
//
// The moves are ordered such that each has enough free capacity on its target after the moves
// before it: a replica arrives only after the replicas whose capacity it needs have left. No
// replica moves twice. Two replicas can therefore swap hosts only with the help of a third move.
func Find(problem *Problem) (Plan, bool) {
	return find(problem, len(problem.Hosts)*len(problem.Replicas) <= exhaustivePairs)
}

// find implements Find with an exhaustive or a bounded search.
func find(problem *Problem, exhaustive bool) (Plan, bool) {
	finder := newFinder(problem, exhaustive)
	hosts := finder.candidateHosts()
	for moveLimit := 0; moveLimit <= finder.maxMoves; moveLimit++ {
		finder.stepsLeft = maxSteps
		for _, hostIndex := range hosts {
			if finder.shortfall(hostIndex, problem.WaitingTask.Need).Fits(finder.replicasOn[hostIndex].largestSums[moveLimit]) {
				finder.destination = hostIndex
				finder.touched = append(finder.touched[:0], hostIndex)
				finder.addFree(hostIndex, problem.WaitingTask.Need, -1)
				finder.search(moveLimit, 0)
				finder.addFree(hostIndex, problem.WaitingTask.Need, 1)
			}
		}
		if finder.found && finder.bestCost == 0 {
			break
		}
	}
	return finder.plan(), finder.found
}

// costLimit returns the cost that a further plan must stay below to be useful.
func (finder *finder) costLimit() time.Duration {
	if finder.found {
		return time.Duration(math.Ceil(float64(finder.bestCost) / costTolerance))
	}
	if finder.problem.MaxCost < 0 {
		return 0
	}
	return min(finder.problem.MaxCost, infeasible-1) + 1
}

// search adds up to left further steps until the waiting task and all moved replicas fit on their
// hosts, and then keeps the plan. The callers add only steps whose cost stays below costLimit. If all
// replicas fit after the steps but no order of the steps is feasible, two replicas swap hosts and a
// third must leave first. The third replica is on one of the two hosts, and is found by the searches
// in which that host lacks capacity.
func (finder *finder) search(left int, cost time.Duration) {
	lacking, lackingHost := 0, -1
	for _, hostIndex := range finder.touched {
		if (resource.Resources{}).Fits(finder.netFree[hostIndex]) {
			continue
		}
		if lacking++; lackingHost < 0 {
			lackingHost = hostIndex
		}
	}
	switch {
	case lacking > left:
	case lacking > 0:
		finder.tryMovesFrom(lackingHost, left, cost)
	case finder.findOrder():
		finder.found, finder.bestCost, finder.bestHost = true, cost, finder.destination
		finder.bestSteps = append(finder.bestSteps[:0], finder.order...)
	}
}

// tryMovesFrom tries to move each replica that could leave a host, which lacks capacity.
func (finder *finder) tryMovesFrom(hostIndex, left int, cost time.Duration) {
	missing := finder.shortfall(hostIndex, resource.Resources{})
	replicas := finder.replicasOn[hostIndex].replicas
	for position, replicaIndex := range replicas {
		replica := &finder.problem.Replicas[replicaIndex]
		if finder.moved[replicaIndex] || cost+replica.LostWork >= finder.costLimit() || finder.hasEquivalent(replicas[:position], replicaIndex) {
			continue
		}
		// The other replicas that may still leave must free what this replica does not.
		if rest := (resource.Resources{CPU: missing.CPU - replica.Need.CPU, GPU: missing.GPU - replica.Need.GPU, Memory: missing.Memory - replica.Need.Memory}); !rest.Fits(finder.replicasOn[hostIndex].largestSums[left-1]) {
			continue
		}
		finder.moved[replicaIndex] = true
		finder.addFree(hostIndex, replica.Need, 1)
		finder.tryTargets(replicaIndex, left-1, cost+replica.LostWork)
		finder.addFree(hostIndex, replica.Need, -1)
		finder.moved[replicaIndex] = false
	}
}

// hasEquivalent reports whether one of the given replicas of the same host has not moved and could move
// instead of the replica with the given index, with the same result.
func (finder *finder) hasEquivalent(replicas []int, replicaIndex int) bool {
	replica := &finder.problem.Replicas[replicaIndex]
	if replica.Allowed != nil {
		return false
	}
	for _, otherIndex := range replicas {
		if other := &finder.problem.Replicas[otherIndex]; !finder.moved[otherIndex] && finder.classOf[otherIndex] == finder.classOf[replicaIndex] && other.Allowed == nil && other.LostWork == replica.LostWork {
			return true
		}
	}
	return false
}

// tryTargets tries each host that a replica could move to, with up to left further moves after it.
func (finder *finder) tryTargets(replicaIndex, left int, cost time.Duration) {
	replica := &finder.problem.Replicas[replicaIndex]
	classIndex := finder.classOf[replicaIndex]
	class := &finder.classes[classIndex]
	try := func(hostIndex int, moveCost time.Duration) bool {
		if hostIndex == replica.HostIndex || !finder.problem.Hosts[hostIndex].Schedulable || replica.Allowed != nil && !replica.Allowed(hostIndex) {
			return false
		}
		if finder.stepsLeft--; finder.stepsLeft < 0 && !finder.exhaustive {
			return false
		}
		finder.steps = append(finder.steps, step{replicaIndex, hostIndex, moveCost + replica.LostWork})
		touchedCount := len(finder.touched)
		if !slices.Contains(finder.touched, hostIndex) {
			finder.touched = append(finder.touched, hostIndex)
		}
		finder.addFree(hostIndex, class.need, -1)
		finder.search(left, cost+moveCost)
		finder.addFree(hostIndex, class.need, 1)
		finder.touched = finder.touched[:touchedCount]
		finder.steps = finder.steps[:len(finder.steps)-1]
		return true
	}
	for _, hostIndex := range finder.touched {
		// The free capacity of this host differs from that in the problem, for which the lists
		// of targets are computed.
		if class.need.Fits(finder.problem.Hosts[hostIndex].Size) {
			if moveCost := finder.fetchTime(class, hostIndex); cost+moveCost < finder.costLimit() {
				try(hostIndex, moveCost)
			}
		}
	}
	tried := 0
	for _, target := range finder.directTargetsFor(classIndex) {
		if cost+target.cost >= finder.costLimit() || tried >= maxDirectTargets {
			break
		}
		if !slices.Contains(finder.touched, target.host) && try(target.host, target.cost) {
			tried++
		}
	}
	if left == 0 {
		return
	}
	chain := finder.chainTargetsFor(classIndex, left)
	for _, hosts := range [...][]int{chain.withImage, chain.withoutImage} {
		tried = 0
		for _, hostIndex := range hosts {
			if !finder.exhaustive && (finder.stepsLeft < 0 || tried >= maxChainTargets) {
				break
			}
			if moveCost := finder.fetchTime(class, hostIndex); cost+moveCost < finder.costLimit() && !slices.Contains(finder.touched, hostIndex) && try(hostIndex, moveCost) {
				tried++
			}
		}
	}
}

// findOrder searches for an order of the steps in which each replica fits on its target after the
// steps before it. It reports whether there is one, and leaves it in finder.order.
func (finder *finder) findOrder() bool {
	finder.order = append(finder.order[:0], finder.steps...)
	return finder.orderFrom(0)
}

// orderFrom searches for such an order of the steps from the given position on. The steps before it are
// fixed.
func (finder *finder) orderFrom(position int) bool {
	if position == len(finder.order) {
		return true
	}
	for next := position; next < len(finder.order); next++ {
		finder.order[position], finder.order[next] = finder.order[next], finder.order[position]
		if finder.stepFits(position) && finder.orderFrom(position+1) {
			return true
		}
		finder.order[position], finder.order[next] = finder.order[next], finder.order[position]
	}
	return false
}

// stepFits reports whether the replica of the step at the given position of finder.order fits on its
// target after the steps before it.
func (finder *finder) stepFits(position int) bool {
	to := finder.order[position].to
	free := finder.problem.Hosts[to].Free
	for _, earlier := range finder.order[:position] {
		replica := &finder.problem.Replicas[earlier.replica]
		if earlier.to == to {
			free = free.AddScaled(replica.Need, -1)
		}
		if replica.HostIndex == to {
			free = free.AddScaled(replica.Need, 1)
		}
	}
	return finder.problem.Replicas[finder.order[position].replica].Need.Fits(free)
}

// plan returns the cheapest plan found, or an empty plan.
func (finder *finder) plan() Plan {
	if !finder.found {
		return Plan{}
	}
	out := Plan{Host: finder.problem.Hosts[finder.bestHost].ID, Cost: finder.bestCost}
	for _, step := range finder.bestSteps {
		replica := &finder.problem.Replicas[step.replica]
		out.Moves = append(out.Moves, Move{
			Job: replica.Job, Index: replica.Index, From: finder.problem.Hosts[replica.HostIndex].ID, To: finder.problem.Hosts[step.to].ID,
			Need: replica.Need, Downtime: step.cost - replica.LostWork,
		})
	}
	return out
}
