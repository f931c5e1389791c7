package controller

import (
	"cmp"
	"slices"
)

type machineKind struct {
	machineType string
	zone        string
	spot        bool
}

func sortedKinds[V any](m map[machineKind]V) []machineKind {
	ks := make([]machineKind, 0, len(m))
	for k := range m {
		ks = append(ks, k)
	}
	slices.SortFunc(ks, func(a, b machineKind) int {
		return cmp.Or(cmp.Compare(a.machineType, b.machineType), cmp.Compare(a.zone, b.zone), cmp.Compare(boolToFloat(a.spot), boolToFloat(b.spot)))
	})
	return ks
}
