package controller

import (
	"cmp"
	"slices"
)

// machineKind identifies a kind of machine that the cloud rents.
type machineKind struct {
	machineType string
	zone        string
	spot        bool
}

// sortedKinds returns the keys of m sorted by type, zone and spot.
func sortedKinds[V any](m map[machineKind]V) []machineKind {
	kinds := make([]machineKind, 0, len(m))
	for k := range m {
		kinds = append(kinds, k)
	}
	slices.SortFunc(kinds, func(a, b machineKind) int {
		return cmp.Or(cmp.Compare(a.machineType, b.machineType), cmp.Compare(a.zone, b.zone), cmp.Compare(boolToFloat(a.spot), boolToFloat(b.spot)))
	})
	return kinds
}
