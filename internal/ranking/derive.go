package ranking

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
)

// weightedGroup is a workload that a policy script weighs, or several alike ones.
type weightedGroup struct {
	workloads []string
	weight    float64
}

// Derive makes the ranking that orders as the protocol's urgencies do, and within each a
// policy script's weights; fits says whether a record is small enough to be stored. Where
// the weights are more than a ranking has room for, the least of them are left out and
// the nearest made one; exact says that this was not needed.
func Derive(weights map[string]float64, fits func(Record) bool) (r Record, lossless bool) {
	var candidates []weightedGroup
	lossless = true
	for name, w := range weights {
		switch {
		case w == 0:
		case name == "" || len(name) > maxWorkloadLen || strings.Contains(name, "*"):
			// An asterisk would stand for other workloads here, and not in the script.
			lossless = false
		default:
			candidates = append(candidates, weightedGroup{[]string{name}, w})
		}
	}
	slices.SortFunc(candidates, func(a, b weightedGroup) int {
		return cmp.Or(cmp.Compare(math.Abs(b.weight), math.Abs(a.weight)), cmp.Compare(a.workloads[0], b.workloads[0]))
	})
	if most := MaxWorkloads / len(Urgencies); len(candidates) > most {
		candidates, lossless = candidates[:most], false
	}
	for {
		groups, same := mergeByWeight(candidates, MaxClasses/len(Urgencies)-1)
		r = Record{Derived: true}
		for u := highestUrgency; u >= 0; u-- {
			name := Urgencies[u]
			at := len(r.Classes)
			for i, g := range groups {
				if g.weight < 0 && len(r.Classes) == at+i {
					r.Classes = append(r.Classes, Class{Name: name, Urgency: name})
				}
				r.Classes = append(r.Classes, Class{Name: fmt.Sprintf("%s.%d", name, i+1), Workloads: g.workloads, Urgency: name})
			}
			if len(r.Classes) == at+len(groups) {
				r.Classes = append(r.Classes, Class{Name: name, Urgency: name})
			}
		}
		if len(candidates) == 0 || fits(r) {
			return r, lossless && same
		}
		candidates, lossless = candidates[:len(candidates)-1], false
	}
}

// mergeByWeight puts workloads of the same weight together, the highest first, and then the
// nearest of the same sign, until there are at most so many. same: no two weights
// were made one.
func mergeByWeight(candidates []weightedGroup, maxGroups int) (out []weightedGroup, distinct bool) {
	for _, w := range candidates {
		i := slices.IndexFunc(out, func(o weightedGroup) bool { return o.weight == w.weight })
		if i < 0 {
			out = append(out, weightedGroup{slices.Clone(w.workloads), w.weight})
		} else {
			out[i].workloads = append(out[i].workloads, w.workloads...)
		}
	}
	slices.SortFunc(out, func(a, b weightedGroup) int { return cmp.Compare(b.weight, a.weight) })
	distinct = true
	for len(out) > maxGroups {
		nearest, gap := -1, math.Inf(1)
		for i := range len(out) - 1 {
			if a, b := out[i], out[i+1]; (a.weight > 0) == (b.weight > 0) && a.weight-b.weight < gap {
				nearest, gap = i, a.weight-b.weight
			}
		}
		out[nearest].workloads = append(out[nearest].workloads, out[nearest+1].workloads...)
		out = slices.Delete(out, nearest+1, nearest+2)
		distinct = false
	}
	for i := range out {
		slices.Sort(out[i].workloads)
	}
	return out, distinct
}
