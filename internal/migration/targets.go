package migration

import (
	"cmp"
	"slices"
	"time"

	"github.com/micahill/micahill/internal/resource"
)

// candidateHosts are the hosts that the waiting task may be placed on, one of each group: those
// with its image first, and of these the one first where the smallest part is missing.
func (f *finder) candidateHosts() []int {
	p := f.problem
	w := &p.WaitingTask
	var out []int
	seen := map[int]bool{}
	for h := range p.Hosts {
		m := &p.Hosts[h]
		if !m.Schedulable || seen[f.hostGroup[h]] || !w.Need.Fits(m.Size) || w.Allowed != nil && !w.Allowed(h) ||
			!f.shortfall(h, w.Need).Fits(f.replicasOn[h].largestSums[f.maxMoves]) {
			continue
		}
		seen[f.hostGroup[h]] = true
		out = append(out, h)
	}
	missingFraction := func(h int) float64 {
		s, z := f.shortfall(h, w.Need), p.Hosts[h].Size
		return max(fraction(s.CPU, z.CPU), fraction(s.GPU, z.GPU), fraction(s.Memory, z.Memory))
	}
	imageRank := func(h int) int {
		if w.Image != "" && p.Hosts[h].Images[w.Image] {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(out, func(a, b int) int {
		return cmp.Or(cmp.Compare(imageRank(a), imageRank(b)), cmp.Compare(missingFraction(a), missingFraction(b)))
	})
	return out
}

// fraction is a part of a whole; 0 of nothing.
func fraction(part, whole float64) float64 {
	if whole <= 0 {
		return 0
	}
	return part / whole
}

// shortfall is what a host lacks for a need, after all steps.
func (f *finder) shortfall(h int, need resource.Resources) resource.Resources {
	return lack(need, f.netFree[h])
}

// lack is what free lacks for a need.
func lack(need, free resource.Resources) resource.Resources {
	return resource.Resources{CPU: max(0, need.CPU-free.CPU), GPU: max(0, need.GPU-free.GPU), Memory: max(0, need.Memory-free.Memory)}
}

// addFree adds n times an amount to what is free on a host after all steps.
func (f *finder) addFree(h int, r resource.Resources, n float64) {
	f.netFree[h] = f.netFree[h].AddScaled(r, n)
}

// fetchTime is how long a host takes to fetch the image of a class, infeasible if it can't.
func (f *finder) fetchTime(s *replicaClass, h int) time.Duration {
	switch rate := f.problem.Hosts[h].FetchRate; {
	case s.imageGB <= 0 || f.hasImage[s.image][h]:
		return 0
	case rate <= 0:
		return infeasible
	default:
		return time.Duration(min(s.imageGB/rate*float64(time.Second), float64(infeasible)))
	}
}

// groupLimiter returns a function that lets pass the first few hosts of each group: one more than
// are tried, as the replica's own host may be among them.
func (f *finder) groupLimiter() func(h int) bool {
	counts := make([]int8, len(f.problem.Hosts))
	return func(h int) bool {
		g := f.hostGroup[h]
		counts[g]++
		return counts[g] <= maxDirectTargets+1
	}
}

// hostsFitting are the hosts on which a need fits as they are: those that fetch fastest first, and
// of these those that it leaves fullest.
func (f *finder) hostsFitting(z *sizeClass) []int {
	if z.computed {
		return z.hosts
	}
	z.computed = true
	pass := f.groupLimiter()
	for h := range f.problem.Hosts {
		if m := &f.problem.Hosts[h]; m.Schedulable && z.need.Fits(m.Free) && pass(h) {
			z.hosts = append(z.hosts, h)
		}
	}
	slices.SortFunc(z.hosts, func(a, b int) int {
		x, y := &f.problem.Hosts[a], &f.problem.Hosts[b]
		return cmp.Or(cmp.Compare(y.FetchRate, x.FetchRate), cmp.Compare(x.Free.GPU, y.Free.GPU), cmp.Compare(x.Free.CPU, y.Free.CPU), cmp.Compare(a, b))
	})
	return z.hosts
}

// directTargetsFor are the hosts on which a class fits as they are, the cheapest first.
func (f *finder) directTargetsFor(k int) []candidate {
	if f.directComputed[k] {
		return f.directTargets[k]
	}
	f.directComputed[k] = true
	s := &f.classes[k]
	hosts := f.hostsFitting(&f.sizes[s.size])
	out := make([]candidate, 0, len(hosts))
	for _, h := range hosts {
		if f.fetchTime(s, h) == 0 {
			out = append(out, candidate{h, 0})
		}
	}
	for _, h := range hosts {
		if c := f.fetchTime(s, h); c > 0 && c < infeasible {
			out = append(out, candidate{h, c})
		}
	}
	f.directTargets[k] = out
	return out
}

// hostsAfterMoves are the hosts on which a need fits only after at most some moves away from there,
// those first where these moves are expected to cost least.
func (f *finder) hostsAfterMoves(z *sizeClass, moves int) []candidate {
	a := &z.afterMoves[moves]
	if a.computed {
		return a.hosts
	}
	a.computed = true
	pass := f.groupLimiter()
	for h := range f.problem.Hosts {
		m := &f.problem.Hosts[h]
		if !m.Schedulable || !z.need.Fits(m.Size) || z.need.Fits(m.Free) {
			continue
		}
		missing := lack(z.need, m.Free)
		if missing.Fits(f.replicasOn[h].largestSums[moves]) && pass(h) {
			a.hosts = append(a.hosts, candidate{h, f.clearCost(h, missing)})
		}
	}
	slices.SortFunc(a.hosts, func(a, b candidate) int { return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.host, b.host)) })
	return a.hosts
}

// chainTargetsFor are the hosts on which a class fits after at most some moves away from there.
func (f *finder) chainTargetsFor(k, moves int) *chainHosts {
	c := &f.chainTargets[k][moves]
	if c.computed {
		return c
	}
	c.computed = true
	s := &f.classes[k]
	hosts := f.hostsAfterMoves(&f.sizes[s.size], moves)
	c.withoutImage = make([]int, 0, len(hosts))
	for _, h := range hosts {
		switch d := f.fetchTime(s, h.host); {
		case d == 0:
			c.withImage = append(c.withImage, h.host)
		case d < infeasible:
			c.withoutImage = append(c.withoutImage, h.host)
		}
	}
	return c
}

// clearCost estimates what it costs to free so much on a host: the least that one replica costs
// which takes enough and fits on another host as it is; much, but not infeasible, if there is
// none.
func (f *finder) clearCost(h int, missing resource.Resources) time.Duration {
	best := infeasible / 8
	for _, i := range f.replicasOn[h].replicas {
		r := &f.problem.Replicas[i]
		if !missing.Fits(r.Need) {
			continue
		}
		for _, c := range f.directTargetsFor(f.classOf[i]) {
			if c.host != h {
				best = min(best, r.LostWork+c.cost)
				break
			}
		}
	}
	return best
}
