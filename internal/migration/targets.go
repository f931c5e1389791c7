package migration

import (
	"cmp"
	"slices"
	"time"

	"github.com/micahill/micahill/internal/resource"
)

// candidateHosts returns the hosts on which the waiting task could be placed after at most maxMoves
// moves, one host of each group. Hosts with the task's image come first. Among equals, the host comes
// first that lacks the smallest fraction of its size.
func (finder *finder) candidateHosts() []int {
	problem := finder.problem
	waitingTask := &problem.WaitingTask
	var out []int
	seen := map[int]bool{}
	for hostIndex := range problem.Hosts {
		host := &problem.Hosts[hostIndex]
		if !host.Schedulable || seen[finder.hostGroup[hostIndex]] || !waitingTask.Need.Fits(host.Size) || waitingTask.Allowed != nil && !waitingTask.Allowed(hostIndex) ||
			!finder.shortfall(hostIndex, waitingTask.Need).Fits(finder.replicasOn[hostIndex].largestSums[finder.maxMoves]) {
			continue
		}
		seen[finder.hostGroup[hostIndex]] = true
		out = append(out, hostIndex)
	}
	missingFraction := func(hostIndex int) float64 {
		shortfall, size := finder.shortfall(hostIndex, waitingTask.Need), problem.Hosts[hostIndex].Size
		return max(fraction(shortfall.CPU, size.CPU), fraction(shortfall.GPU, size.GPU), fraction(shortfall.Memory, size.Memory))
	}
	imageRank := func(hostIndex int) int {
		if waitingTask.Image != "" && problem.Hosts[hostIndex].Images[waitingTask.Image] {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(out, func(a, b int) int {
		return cmp.Or(cmp.Compare(imageRank(a), imageRank(b)), cmp.Compare(missingFraction(a), missingFraction(b)))
	})
	return out
}

// fraction returns part divided by whole, or 0 if whole is not positive.
func fraction(part, whole float64) float64 {
	if whole <= 0 {
		return 0
	}
	return part / whole
}

// shortfall returns how much free capacity a host lacks for a need after all steps.
func (finder *finder) shortfall(hostIndex int, need resource.Resources) resource.Resources {
	return missingCapacity(need, finder.netFree[hostIndex])
}

// missingCapacity returns by how much a need exceeds the free capacity in each dimension.
func missingCapacity(need, free resource.Resources) resource.Resources {
	return resource.Resources{CPU: max(0, need.CPU-free.CPU), GPU: max(0, need.GPU-free.GPU), Memory: max(0, need.Memory-free.Memory)}
}

// addFree adds an amount, multiplied by the given factor, to the free capacity of a host after all steps.
func (finder *finder) addFree(hostIndex int, amount resource.Resources, factor float64) {
	finder.netFree[hostIndex] = finder.netFree[hostIndex].AddScaled(amount, factor)
}

// fetchTime returns how long a host takes to fetch the image of a class. It returns infeasible if the
// host can't fetch images.
func (finder *finder) fetchTime(class *replicaClass, hostIndex int) time.Duration {
	switch rate := finder.problem.Hosts[hostIndex].FetchRate; {
	case class.imageGB <= 0 || finder.hasImage[class.image][hostIndex]:
		return 0
	case rate <= 0:
		return infeasible
	default:
		return time.Duration(min(class.imageGB/rate*float64(time.Second), float64(infeasible)))
	}
}

// groupLimiter returns a function that returns true for the first maxDirectTargets+1 hosts of each
// group. That is one more than are tried, as the replica's own host may be among them.
func (finder *finder) groupLimiter() func(hostIndex int) bool {
	counts := make([]int8, len(finder.problem.Hosts))
	return func(hostIndex int) bool {
		group := finder.hostGroup[hostIndex]
		counts[group]++
		return counts[group] <= maxDirectTargets+1
	}
}

// hostsFitting returns the hosts on which a need fits without other moves. Hosts with the highest
// fetch rate come first, and among equals the hosts with the least free capacity.
func (finder *finder) hostsFitting(class *sizeClass) []int {
	if class.computed {
		return class.hosts
	}
	class.computed = true
	pass := finder.groupLimiter()
	for hostIndex := range finder.problem.Hosts {
		if host := &finder.problem.Hosts[hostIndex]; host.Schedulable && class.need.Fits(host.Free) && pass(hostIndex) {
			class.hosts = append(class.hosts, hostIndex)
		}
	}
	slices.SortFunc(class.hosts, func(a, b int) int {
		hostA, hostB := &finder.problem.Hosts[a], &finder.problem.Hosts[b]
		return cmp.Or(cmp.Compare(hostB.FetchRate, hostA.FetchRate), cmp.Compare(hostA.Free.GPU, hostB.Free.GPU), cmp.Compare(hostA.Free.CPU, hostB.Free.CPU), cmp.Compare(a, b))
	})
	return class.hosts
}

// directTargetsFor returns the hosts on which a replica of a class fits without other moves, the
// cheapest first.
func (finder *finder) directTargetsFor(classIndex int) []candidate {
	if finder.directComputed[classIndex] {
		return finder.directTargets[classIndex]
	}
	finder.directComputed[classIndex] = true
	class := &finder.classes[classIndex]
	hosts := finder.hostsFitting(&finder.sizes[class.size])
	out := make([]candidate, 0, len(hosts))
	for _, hostIndex := range hosts {
		if finder.fetchTime(class, hostIndex) == 0 {
			out = append(out, candidate{hostIndex, 0})
		}
	}
	for _, hostIndex := range hosts {
		if cost := finder.fetchTime(class, hostIndex); cost > 0 && cost < infeasible {
			out = append(out, candidate{hostIndex, cost})
		}
	}
	finder.directTargets[classIndex] = out
	return out
}

// hostsAfterMoves returns the hosts on which a need fits only after other replicas have left, with at
// most the given number of moves. The hosts with the lowest expected cost of these moves come first.
func (finder *finder) hostsAfterMoves(class *sizeClass, moves int) []candidate {
	targets := &class.afterMoves[moves]
	if targets.computed {
		return targets.hosts
	}
	targets.computed = true
	pass := finder.groupLimiter()
	for hostIndex := range finder.problem.Hosts {
		host := &finder.problem.Hosts[hostIndex]
		if !host.Schedulable || !class.need.Fits(host.Size) || class.need.Fits(host.Free) {
			continue
		}
		missing := missingCapacity(class.need, host.Free)
		if missing.Fits(finder.replicasOn[hostIndex].largestSums[moves]) && pass(hostIndex) {
			targets.hosts = append(targets.hosts, candidate{hostIndex, finder.clearCost(hostIndex, missing)})
		}
	}
	slices.SortFunc(targets.hosts, func(a, b candidate) int { return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.host, b.host)) })
	return targets.hosts
}

// chainTargetsFor returns the hosts on which a replica of a class fits only after other replicas have
// left, with at most the given number of moves.
func (finder *finder) chainTargetsFor(classIndex, moves int) *chainHosts {
	chain := &finder.chainTargets[classIndex][moves]
	if chain.computed {
		return chain
	}
	chain.computed = true
	class := &finder.classes[classIndex]
	hosts := finder.hostsAfterMoves(&finder.sizes[class.size], moves)
	chain.withoutImage = make([]int, 0, len(hosts))
	for _, target := range hosts {
		switch cost := finder.fetchTime(class, target.host); {
		case cost == 0:
			chain.withImage = append(chain.withImage, target.host)
		case cost < infeasible:
			chain.withoutImage = append(chain.withoutImage, target.host)
		}
	}
	return chain
}

// clearCost estimates the cost of freeing the missing capacity on a host. It is the lowest cost of
// moving one replica that uses at least that much and fits on another host without other moves. If
// there is no such replica, the estimate is high but below infeasible.
func (finder *finder) clearCost(hostIndex int, missing resource.Resources) time.Duration {
	best := infeasible / 8
	for _, replicaIndex := range finder.replicasOn[hostIndex].replicas {
		replica := &finder.problem.Replicas[replicaIndex]
		if !missing.Fits(replica.Need) {
			continue
		}
		for _, target := range finder.directTargetsFor(finder.classOf[replicaIndex]) {
			if target.host != hostIndex {
				best = min(best, replica.LostWork+target.cost)
				break
			}
		}
	}
	return best
}
