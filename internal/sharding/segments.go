package sharding

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/micahill/micahill/internal/sizelimit"
)

// addSegments adds segments that name the machines for a shard, as far as the transaction has
// space for them.
func (draft *draft) addSegments(shard string, ids []string) {
	slices.Sort(ids)
	ids = slices.Compact(ids)
	for len(ids) > 0 && draft.remainingOps() > 0 {
		count := min(len(ids), maxSegmentMachines)
		var value []byte
		for ; ; count = max(1, count/2) {
			value = encodeSegment(shard, []epochGroup{{0, ids[:count]}})
			if fitsInto(value, draft.planner.limits.ValueBytes) {
				break
			}
			if count == 1 {
				// The name is too long for a record: the machine stays with the catch-all shard.
				value = nil
				break
			}
		}
		if value != nil {
			draft.planner.segmentCount++
			draft.segmentWrites = append(draft.segmentWrites, Write{Name: fmt.Sprintf("%s-%d", draft.planner.term, draft.planner.segmentCount), Value: value})
		}
		ids = ids[count:]
	}
}

// assignNewMachines adds segments for the machines that were rented for, or are transferred to,
// controllers that do not own them yet.
func (draft *draft) assignNewMachines(now time.Time) {
	byShard := map[string][]string{}
	due := false
	for _, machine := range draft.input.NewMachines {
		if owner, ok := draft.input.Map.Owner(machine.ID); ok && owner.Host == machine.Host || draft.input.IsGone(machine.ID) {
			continue
		}
		// The machine goes to its host's catch-all shard, or else to the host's first shard
		// with teams.
		name := ""
		for _, shard := range draft.shardNames() {
			if rec := draft.shards[shard]; rec.Host == machine.Host && (name == "" && len(rec.Teams) > 0 || rec.CatchAll) {
				name = shard
			}
		}
		if name != "" {
			byShard[name] = append(byShard[name], machine.ID)
			due = due || now.Sub(machine.KnownAt) >= batchDelay
		}
	}
	if !due {
		return
	}
	for _, shard := range draft.shardNames() {
		if len(byShard[shard]) > 0 {
			draft.addSegments(shard, byShard[shard])
		}
	}
}

// compact rewrites small and stale segments: it merges them and leaves out machines that are
// gone or named by a later segment. Each machine keeps its epoch. A record of the legacy format
// is rewritten first.
func (draft *draft) compact(now time.Time) {
	planner := draft.planner
	if now.Sub(planner.compactedAt) < compactEvery {
		return
	}
	planner.compactedAt = now
	shardMap := draft.input.Map
	for _, name := range draft.shardNames() {
		if old := shardMap.shards[name].legacySegment; old != nil {
			draft.addSegments(name, shardMap.currentMachines(old))
			draft.shards[name].Machines = nil
			draft.changedShards[name] = true
			return
		}
	}
	currentGroups := func(segment *Segment) (out []epochGroup, count, all int) {
		for _, group := range segment.groups {
			keep := epochGroup{epoch: group.epoch}
			for _, id := range group.names {
				if all++; shardMap.current[id].segment == segment && shardMap.current[id].epoch == group.epoch && !draft.input.IsGone(id) {
					keep.names = append(keep.names, id)
				}
			}
			if count += len(keep.names); len(keep.names) > 0 {
				out = append(out, keep)
			}
		}
		return out, count, all
	}
	candidates := map[string][]mergeCandidate{}
	for _, segment := range shardMap.sortedSegments() {
		groups, count, all := currentGroups(segment)
		stale := float64(all-count) >= staleFraction*float64(all)
		if count < smallSegment || stale || shardMap.shards[segment.Shard] == nil {
			candidates[segment.Shard] = append(candidates[segment.Shard], mergeCandidate{segment, groups, count, stale})
		}
	}
	// The shard with the largest saving is compacted: each removed segment counts one, and each
	// rewritten stale segment one more.
	var best []Write
	bestSaving := 0
	for _, shard := range slices.Sorted(maps.Keys(candidates)) {
		if writes, saving := draft.mergeSegments(shard, candidates[shard]); saving > bestSaving {
			best, bestSaving = writes, saving
		}
	}
	draft.segmentWrites = append(draft.segmentWrites, best...)
}

// mergeCandidate is a segment that may be rewritten, its current groups, and the number of
// machines that these name.
type mergeCandidate struct {
	segment      *Segment
	groups       []epochGroup
	machineCount int
	stale        bool
}

// mergeSegments returns the writes that merge segments of a shard into one, and the number of
// segments that this saves, counting each stale segment once more.
func (draft *draft) mergeSegments(shard string, candidates []mergeCandidate) (writes []Write, saving int) {
	// The smallest segments come first, so that as many as possible fit together.
	slices.SortStableFunc(candidates, func(a, b mergeCandidate) int { return cmp.Compare(a.machineCount, b.machineCount) })
	var groups []epochGroup
	var target *Segment
	var value []byte
	count := 0
	for _, candidate := range candidates {
		if len(writes) >= draft.remainingOps()-1 {
			break
		}
		merged := append(slices.Clone(groups), candidate.groups...)
		mergedValue := encodeSegment(shard, mergeGroups(merged))
		if count+candidate.machineCount > maxSegmentMachines || !fitsInto(mergedValue, draft.planner.limits.ValueBytes) {
			continue
		}
		groups, value, count = merged, mergedValue, count+candidate.machineCount
		if candidate.stale {
			saving++
		}
		if target == nil {
			target = candidate.segment
			continue
		}
		saving++
		writes = append(writes, Write{Name: candidate.segment.Name, ModRevision: candidate.segment.ModRevision})
	}
	if target == nil {
		return nil, 0
	}
	if count == 0 {
		value = nil
	}
	return append(writes, Write{Name: target.Name, ModRevision: target.ModRevision, Value: value}), saving
}

// mergeGroups joins the groups that have the same epoch, and sorts the result by epoch.
func mergeGroups(groups []epochGroup) []epochGroup {
	byEpoch := map[uint64][]string{}
	for _, group := range groups {
		byEpoch[group.epoch] = append(byEpoch[group.epoch], group.names...)
	}
	var out []epochGroup
	for epoch, names := range byEpoch {
		out = append(out, epochGroup{epoch, names})
	}
	slices.SortFunc(out, func(a, b epochGroup) int { return cmp.Compare(a.epoch, b.epoch) })
	return out
}

// BumpEpoch returns a write that names machines once more for the shard that owns them, which
// gives them a higher epoch: workers then refuse unanswered commands of the old epoch. name must
// never have been used for a segment. BumpEpoch also returns the machines that the write covers,
// which may be fewer than requested.
func BumpEpoch(limits sizelimit.Limits, name string, shard *Shard, machines []string) (Write, []string) {
	for count := min(len(machines), maxSegmentMachines); count > 0; count /= 2 {
		value := encodeSegment(shard.Name, []epochGroup{{0, machines[:count]}})
		if fitsInto(value, limits.ValueBytes) {
			return Write{Name: name, Value: value}, machines[:count]
		}
	}
	return Write{}, nil
}

// fitsInto reports whether a record takes at most limit bytes as JSON.
func fitsInto(value []byte, limit int) bool {
	size, err := sizelimit.JSONSize(value)
	return err == nil && size <= limit
}
