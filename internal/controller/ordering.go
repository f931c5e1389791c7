package controller

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// sortedKeys returns the keys of a map in ascending order, so that the same inputs give the same
// decisions.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// sortedAttempts returns the keys of a machine's attempts, ordered by sortTasks.
func sortedAttempts(m *machine) []taskKey { return sortedTasks(m.attempts) }

// sortedTasks returns the keys of a map, ordered by sortTasks.
func sortedTasks[V any](m map[taskKey]V) []taskKey {
	keys := make([]taskKey, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sortTasks(keys)
	return keys
}

// sortTasks orders tasks by job and, within a job, by index.
func sortTasks(keys []taskKey) {
	if len(keys) < 2 {
		return
	}
	slices.SortFunc(keys, func(a, b taskKey) int {
		if c := cmp.Compare(a.index, b.index); c != 0 && a.job == b.job {
			return c
		}
		return strings.Compare(a.job, b.job)
	})
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
