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
func (d *draft) addSegments(shard string, ids []string) {
	slices.Sort(ids)
	ids = slices.Compact(ids)
	for len(ids) > 0 && d.remainingOps() > 0 {
		count := min(len(ids), maxSegmentMachines)
		var value []byte
		for ; ; count = max(1, count/2) {
			value = encodeSegment(shard, []epochGroup{{0, ids[:count]}})
			if fitsInto(value, d.planner.limits.ValueBytes) {
				break
			}
			if count == 1 {
				// The name is too long for a record: the machine stays with the catch-all shard.
				value = nil
				break
			}
		}
		if value != nil {
			d.planner.segmentCount++
			d.segmentWrites = append(d.segmentWrites, Write{Name: fmt.Sprintf("%s-%d", d.planner.term, d.planner.segmentCount), Value: value})
		}
		ids = ids[count:]
	}
}

// assignNewMachines adds segments for the machines that were rented for, or are transferred to,
// controllers that do not own them yet.
func (d *draft) assignNewMachines(now time.Time) {
	byShard := map[string][]string{}
	due := false
	for _, x := range d.input.NewMachines {
		if o, ok := d.input.Map.Owner(x.ID); ok && o.Host == x.Host || d.input.IsGone(x.ID) {
			continue
		}
		// The machine goes to its host's catch-all shard, or else to the host's first shard
		// with teams.
		name := ""
		for _, n := range d.shardNames() {
			if r := d.shards[n]; r.Host == x.Host && (name == "" && len(r.Teams) > 0 || r.CatchAll) {
				name = n
			}
		}
		if name != "" {
			byShard[name] = append(byShard[name], x.ID)
			due = due || now.Sub(x.KnownAt) >= batchDelay
		}
	}
	if !due {
		return
	}
	for _, n := range d.shardNames() {
		if len(byShard[n]) > 0 {
			d.addSegments(n, byShard[n])
		}
	}
}

// compact rewrites small and stale segments: it merges them and leaves out machines that are
// gone or named by a later segment. Each machine keeps its epoch. A record of the legacy format
// is rewritten first.
func (d *draft) compact(now time.Time) {
	p := d.planner
	if now.Sub(p.compactedAt) < compactEvery {
		return
	}
	p.compactedAt = now
	shardMap := d.input.Map
	for _, n := range d.shardNames() {
		if old := shardMap.shards[n].legacySegment; old != nil {
			d.addSegments(n, shardMap.currentMachines(old))
			d.shards[n].Machines = nil
			d.changedShards[n] = true
			return
		}
	}
	currentGroups := func(segment *Segment) (out []epochGroup, count, all int) {
		for _, g := range segment.groups {
			keep := epochGroup{epoch: g.epoch}
			for _, id := range g.names {
				if all++; shardMap.current[id].segment == segment && shardMap.current[id].epoch == g.epoch && !d.input.IsGone(id) {
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
	for _, s := range slices.Sorted(maps.Keys(candidates)) {
		if ws, saving := d.mergeSegments(s, candidates[s]); saving > bestSaving {
			best, bestSaving = ws, saving
		}
	}
	d.segmentWrites = append(d.segmentWrites, best...)
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
func (d *draft) mergeSegments(shard string, candidates []mergeCandidate) (ws []Write, saving int) {
	// The smallest segments come first, so that as many as possible fit together.
	slices.SortStableFunc(candidates, func(a, b mergeCandidate) int { return cmp.Compare(a.machineCount, b.machineCount) })
	var groups []epochGroup
	var target *Segment
	var value []byte
	count := 0
	for _, f := range candidates {
		if len(ws) >= d.remainingOps()-1 {
			break
		}
		merged := append(slices.Clone(groups), f.groups...)
		v := encodeSegment(shard, mergeGroups(merged))
		if count+f.machineCount > maxSegmentMachines || !fitsInto(v, d.planner.limits.ValueBytes) {
			continue
		}
		groups, value, count = merged, v, count+f.machineCount
		if f.stale {
			saving++
		}
		if target == nil {
			target = f.segment
			continue
		}
		saving++
		ws = append(ws, Write{Name: f.segment.Name, ModRevision: f.segment.ModRevision})
	}
	if target == nil {
		return nil, 0
	}
	if count == 0 {
		value = nil
	}
	return append(ws, Write{Name: target.Name, ModRevision: target.ModRevision, Value: value}), saving
}

// mergeGroups joins the groups that have the same epoch, and sorts the result by epoch.
func mergeGroups(groups []epochGroup) []epochGroup {
	byEpoch := map[uint64][]string{}
	for _, g := range groups {
		byEpoch[g.epoch] = append(byEpoch[g.epoch], g.names...)
	}
	var out []epochGroup
	for e, names := range byEpoch {
		out = append(out, epochGroup{e, names})
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
		v := encodeSegment(shard.Name, []epochGroup{{0, machines[:count]}})
		if fitsInto(v, limits.ValueBytes) {
			return Write{Name: name, Value: v}, machines[:count]
		}
	}
	return Write{}, nil
}

// fitsInto reports whether a record takes at most limit bytes as JSON.
func fitsInto(value []byte, limit int) bool {
	n, err := sizelimit.JSON(value)
	return err == nil && n <= limit
}
