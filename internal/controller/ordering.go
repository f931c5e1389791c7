package controller

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// sortedKeys gives a map's keys in order, so that the same inputs give the same decisions.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

func sortedAttempts(m *machine) []taskKey { return sortedTasks(m.attempts) }

// sortedTasks gives the keys of a map by task in order, likewise.
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

// later is the later of two times.
func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
