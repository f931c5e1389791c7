package ranking

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
)

// weightedGroup is the workloads that have one weight in a policy script.
type weightedGroup struct {
	workloads []string
	weight    float64
}

// Derive returns the ranking that orders jobs by urgency, and within one urgency by a
// policy script's weights. fits says whether a record is small enough to be stored. Of
// more weights than a ranking can hold the smallest are left out and the nearest are
// merged; lossless says that neither was necessary.
func Derive(weights map[string]float64, fits func(Record) bool) (record Record, lossless bool) {
	var candidates []weightedGroup
	lossless = true
	for name, w := range weights {
		switch {
		case w == 0:
		case name == "" || len(name) > maxWorkloadLen || strings.Contains(name, "*"):
			// In a ranking an asterisk stands for other workloads, in a script it does not.
			lossless = false
		default:
			candidates = append(candidates, weightedGroup{[]string{name}, w})
		}
	}
	slices.SortFunc(candidates, func(a, b weightedGroup) int {
		return cmp.Or(cmp.Compare(math.Abs(b.weight), math.Abs(a.weight)), cmp.Compare(a.workloads[0], b.workloads[0]))
	})
	if limit := MaxWorkloads / len(Urgencies); len(candidates) > limit {
		candidates, lossless = candidates[:limit], false
	}
	for {
		groups, distinct := mergeByWeight(candidates, MaxClasses/len(Urgencies)-1)
		record = Record{Derived: true}
		for urgency := highestUrgency; urgency >= 0; urgency-- {
			record.Classes = append(record.Classes, classesOf(Urgencies[urgency], groups)...)
		}
		if len(candidates) == 0 || fits(record) {
			return record, lossless && distinct
		}
		candidates, lossless = candidates[:len(candidates)-1], false
	}
}

// classesOf returns the classes of one urgency: one for each group, in their order, and
// one for all other workloads, between the groups of positive and of negative weight.
func classesOf(urgency string, groups []weightedGroup) []Class {
	var classes []Class
	for i, group := range groups {
		if group.weight < 0 && len(classes) == i {
			classes = append(classes, Class{Name: urgency, Urgency: urgency})
		}
		classes = append(classes, Class{Name: fmt.Sprintf("%s.%d", urgency, i+1), Workloads: group.workloads, Urgency: urgency})
	}
	if len(classes) == len(groups) {
		classes = append(classes, Class{Name: urgency, Urgency: urgency})
	}
	return classes
}

// mergeByWeight merges workloads of the same weight, and then the nearest weights of the
// same sign until there are at most maxGroups. The highest weight comes first. distinct
// says that no two weights were merged.
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
