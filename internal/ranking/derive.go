package ranking

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
)

// weightedGroup is the workloads that have the same weight in a policy script.
type weightedGroup struct {
	workloads []string
	weight    float64
}

// Derive returns the ranking that orders jobs by urgency, and jobs of the same urgency by
// a policy script's weights. fits reports whether a record is small enough to be stored.
// If there are more weights than a ranking can hold, the workloads with the weights
// nearest to 0 are left out, and the weights closest to each other are merged. lossless
// reports that neither was necessary.
func Derive(weights map[string]float64, fits func(Record) bool) (record Record, lossless bool) {
	var candidates []weightedGroup
	lossless = true
	for name, weight := range weights {
		switch {
		case weight == 0:
		case name == "" || len(name) > maxWorkloadLen || strings.Contains(name, "*"):
			// In a ranking an asterisk stands for the rest of a name, in a policy script
			// it does not.
			lossless = false
		default:
			candidates = append(candidates, weightedGroup{[]string{name}, weight})
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

// classesOf returns the classes of one urgency: one for each group, in the groups' order,
// and one for all other workloads, after the groups of positive weight and before those of
// negative weight.
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

// mergeByWeight merges workloads of the same weight, and then the closest weights of the
// same sign until there are at most maxGroups groups. The groups are ordered by weight,
// the highest first. distinct reports that no two different weights were merged.
func mergeByWeight(candidates []weightedGroup, maxGroups int) (groups []weightedGroup, distinct bool) {
	for _, candidate := range candidates {
		i := slices.IndexFunc(groups, func(group weightedGroup) bool { return group.weight == candidate.weight })
		if i < 0 {
			groups = append(groups, weightedGroup{slices.Clone(candidate.workloads), candidate.weight})
		} else {
			groups[i].workloads = append(groups[i].workloads, candidate.workloads...)
		}
	}
	slices.SortFunc(groups, func(a, b weightedGroup) int { return cmp.Compare(b.weight, a.weight) })
	distinct = true
	for len(groups) > maxGroups {
		nearest, gap := -1, math.Inf(1)
		for i := range len(groups) - 1 {
			if a, b := groups[i], groups[i+1]; (a.weight > 0) == (b.weight > 0) && a.weight-b.weight < gap {
				nearest, gap = i, a.weight-b.weight
			}
		}
		groups[nearest].workloads = append(groups[nearest].workloads, groups[nearest+1].workloads...)
		groups = slices.Delete(groups, nearest+1, nearest+2)
		distinct = false
	}
	for i := range groups {
		slices.Sort(groups[i].workloads)
	}
	return groups, distinct
}
