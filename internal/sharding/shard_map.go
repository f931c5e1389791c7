package sharding

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Shard is a shard as of the revision that its Map has reached.
type Shard struct {
	Name        string
	Host        string
	Incarnation string
	// ModRevision is the revision of the record's last change. Transactions that rely on the
	// shard compare it.
	ModRevision uint64
	Teams       []string
	CatchAll    bool

	// epoch and catchAllEpoch are the revisions at which the shard came to its holder, and at
	// which it became the catch-all shard.
	epoch         uint64
	catchAllEpoch uint64
	// legacySegment has the machines that a record of the legacy format names, or is nil.
	legacySegment *Segment
}

// Segment is a stored list of machines that belong to a shard.
type Segment struct {
	Name        string
	Shard       string
	ModRevision uint64
	groups      []epochGroup
}

// Owner is the shard that owns a machine, and the machine's epoch.
type Owner struct {
	*Shard
	Epoch uint64
}

// assignment is a segment that names a machine, and the revision since which it does.
type assignment struct {
	segment *Segment
	epoch   uint64
}

// HeldSince returns the revision at which the shard came to its holder.
func (shard *Shard) HeldSince() uint64 { return shard.epoch }

// Map is all shards and segments as of one revision. It is not safe for concurrent use.
type Map struct {
	shards   map[string]*Shard
	segments map[string]*Segment
	teams    map[string]*Shard
	catchAll *Shard
	// current holds the newest assignment of each named machine. superseded holds the older
	// assignments, of which there are few, and not for long.
	current    map[string]assignment
	superseded map[string][]assignment
	// shardNames is sorted. reindex keeps it up to date.
	shardNames []string
}

// NewMap returns an empty map.
func NewMap() *Map {
	return &Map{
		shards: map[string]*Shard{}, segments: map[string]*Segment{}, teams: map[string]*Shard{},
		current: map[string]assignment{}, superseded: map[string][]assignment{},
	}
}

// ApplyShard applies a shard's record. A nil value means that the record was deleted. An error
// wraps ErrRecord and means that the record can't be read: the shard is then left out of the
// map.
func (shardMap *Map) ApplyShard(name string, value []byte, modRevision uint64) error {
	if old := shardMap.shards[name]; old != nil {
		shardMap.unassign(old.legacySegment)
		delete(shardMap.shards, name)
	}
	var err error
	if value != nil {
		var rec shardRecord
		if err = decode(value, &rec); err != nil {
			err = fmt.Errorf("shard %s: %w", name, err)
		} else {
			shard := &Shard{
				Name: name, Host: cmp.Or(rec.Host, name), Incarnation: rec.Incarnation, ModRevision: modRevision, Teams: rec.Teams, CatchAll: rec.CatchAll,
				epoch: cmp.Or(rec.Epoch, modRevision), catchAllEpoch: cmp.Or(rec.CatchAllEpoch, modRevision),
			}
			if len(rec.Machines) > 0 {
				shard.legacySegment = &Segment{Shard: name, ModRevision: modRevision, groups: []epochGroup{{shard.epoch, rec.Machines}}}
				shardMap.assign(shard.legacySegment)
			}
			shardMap.shards[name] = shard
		}
	}
	shardMap.reindex()
	return err
}

// reindex recomputes the shard names, the shard of each team and the catch-all shard from all
// shards, which are few. If two shards claim a team or the catch-all role, the later claim
// counts; the planner never writes such records.
func (shardMap *Map) reindex() {
	shardMap.shardNames = shardMap.shardNames[:0]
	for name := range shardMap.shards {
		shardMap.shardNames = append(shardMap.shardNames, name)
	}
	slices.Sort(shardMap.shardNames)
	clear(shardMap.teams)
	shardMap.catchAll = nil
	for _, name := range shardMap.shardNames {
		shard := shardMap.shards[name]
		for _, team := range shard.Teams {
			if other := shardMap.teams[team]; other == nil || shard.ModRevision > other.ModRevision {
				shardMap.teams[team] = shard
			}
		}
		if shard.CatchAll && (shardMap.catchAll == nil || shard.catchAllEpoch > shardMap.catchAll.catchAllEpoch) {
			shardMap.catchAll = shard
		}
	}
}

// ApplySegment applies a segment's record. Its arguments and error are as in ApplyShard.
func (shardMap *Map) ApplySegment(name string, value []byte, modRevision uint64) error {
	if old := shardMap.segments[name]; old != nil {
		shardMap.unassign(old)
		delete(shardMap.segments, name)
	}
	if value == nil {
		return nil
	}
	shard, groups, err := decodeSegment(value)
	if err != nil {
		return fmt.Errorf("segment %s: %w", name, err)
	}
	for i := range groups {
		groups[i].epoch = cmp.Or(groups[i].epoch, modRevision)
	}
	segment := &Segment{Name: name, Shard: shard, ModRevision: modRevision, groups: groups}
	shardMap.segments[name] = segment
	shardMap.assign(segment)
	return nil
}

// supersedes reports whether this assignment of a machine takes precedence over the other.
func (assigned assignment) supersedes(other assignment) bool {
	return assigned.epoch > other.epoch || assigned.epoch == other.epoch && assigned.segment.Name > other.segment.Name
}

// assign adds the assignments of a segment's machines.
func (shardMap *Map) assign(segment *Segment) {
	for _, group := range segment.groups {
		for _, id := range group.names {
			added := assignment{segment, group.epoch}
			existing, ok := shardMap.current[id]
			switch {
			case !ok:
				shardMap.current[id] = added
			case added.supersedes(existing):
				shardMap.current[id] = added
				shardMap.superseded[id] = append(shardMap.superseded[id], existing)
			default:
				shardMap.superseded[id] = append(shardMap.superseded[id], added)
			}
		}
	}
}

// unassign removes the assignments of a segment's machines. A nil segment has none.
func (shardMap *Map) unassign(segment *Segment) {
	if segment == nil {
		return
	}
	for _, group := range segment.groups {
		for _, id := range group.names {
			others := shardMap.superseded[id]
			if shardMap.current[id].segment != segment {
				others = slices.DeleteFunc(others, func(candidate assignment) bool { return candidate.segment == segment })
			} else if len(others) == 0 {
				delete(shardMap.current, id)
				continue
			} else {
				newest := 0
				for i, candidate := range others {
					if candidate.supersedes(others[newest]) {
						newest = i
					}
				}
				shardMap.current[id] = others[newest]
				others = slices.Delete(others, newest, newest+1)
			}
			if len(others) == 0 {
				delete(shardMap.superseded, id)
			} else {
				shardMap.superseded[id] = others
			}
		}
	}
}

// Owner returns a machine's owner, in constant time. A machine whose segment belongs to no
// existing shard belongs to the catch-all shard. ok is false if there is no catch-all shard
// either.
func (shardMap *Map) Owner(machine string) (owner Owner, ok bool) {
	if assigned, named := shardMap.current[machine]; named {
		if shard := shardMap.shards[assigned.segment.Shard]; shard != nil {
			return Owner{shard, max(assigned.epoch, shard.epoch)}, true
		}
	}
	if shardMap.catchAll == nil {
		return Owner{}, false
	}
	return Owner{shardMap.catchAll, max(shardMap.catchAll.catchAllEpoch, shardMap.catchAll.epoch)}, true
}

// IsAssigned reports whether a segment names the machine.
func (shardMap *Map) IsAssigned(machine string) bool { _, ok := shardMap.current[machine]; return ok }

// EachMachine calls fn with every machine that a segment names, in no particular order.
func (shardMap *Map) EachMachine(fn func(machine string)) {
	for id := range shardMap.current {
		fn(id)
	}
}

// Team returns the shard that has a team, or nil.
func (shardMap *Map) Team(team string) *Shard { return shardMap.teams[team] }

// Shard returns the shard with the given name, or nil.
func (shardMap *Map) Shard(name string) *Shard { return shardMap.shards[name] }

// Shards returns all shards, sorted by name.
func (shardMap *Map) Shards() []*Shard {
	out := make([]*Shard, 0, len(shardMap.shardNames))
	for _, name := range shardMap.shardNames {
		out = append(out, shardMap.shards[name])
	}
	return out
}

// HeldBy returns the shards that an incarnation of a controller holds, sorted by name.
func (shardMap *Map) HeldBy(host, incarnation string) []*Shard {
	var out []*Shard
	for _, name := range shardMap.shardNames {
		if shard := shardMap.shards[name]; shard.Host == host && shard.Incarnation == incarnation {
			out = append(out, shard)
		}
	}
	return out
}

// CanReceiveMachines reports whether a host holds a shard to which new machines can be assigned:
// one with teams, or the catch-all shard.
func (shardMap *Map) CanReceiveMachines(host string) bool {
	return slices.ContainsFunc(shardMap.shardNames, func(name string) bool {
		shard := shardMap.shards[name]
		return shard.Host == host && (len(shard.Teams) > 0 || shard.CatchAll)
	})
}

// Counts returns the number of segments and the number of machines that they name.
func (shardMap *Map) Counts() (segments, machines int) {
	return len(shardMap.segments), len(shardMap.current)
}

// Machines returns the machines named for a shard, sorted.
func (shardMap *Map) Machines(shard string) []string {
	var out []string
	for _, segment := range shardMap.sortedSegments() {
		if segment.Shard != shard {
			continue
		}
		out = append(out, shardMap.currentMachines(segment)...)
	}
	for id, assigned := range shardMap.current {
		if assigned.segment.Name == "" && assigned.segment.Shard == shard {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// SegmentsOf returns the names of a shard's segments, in no particular order.
func (shardMap *Map) SegmentsOf(shard string) []string {
	var out []string
	for name, segment := range shardMap.segments {
		if segment.Shard == shard {
			out = append(out, name)
		}
	}
	return out
}

// HasMachines reports whether any record names machines for a shard.
func (shardMap *Map) HasMachines(shard string) bool {
	for _, segment := range shardMap.segments {
		if segment.Shard == shard {
			return true
		}
	}
	holder := shardMap.shards[shard]
	return holder != nil && holder.legacySegment != nil
}

// currentMachines returns the machines of a segment that no later segment names.
func (shardMap *Map) currentMachines(segment *Segment) []string {
	var out []string
	for _, group := range segment.groups {
		for _, id := range group.names {
			if shardMap.current[id].segment == segment {
				out = append(out, id)
			}
		}
	}
	return out
}

// sortedSegments returns all segments, sorted by name.
func (shardMap *Map) sortedSegments() []*Segment {
	out := make([]*Segment, 0, len(shardMap.segments))
	for _, segment := range shardMap.segments {
		out = append(out, segment)
	}
	slices.SortFunc(out, func(a, b *Segment) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// record returns the shard's stored form, with its current epochs.
func (shard *Shard) record() shardRecord {
	rec := shardRecord{Host: shard.Host, Incarnation: shard.Incarnation, Epoch: shard.epoch, Teams: slices.Clone(shard.Teams), CatchAll: shard.CatchAll}
	if shard.CatchAll {
		rec.CatchAllEpoch = shard.catchAllEpoch
	}
	if shard.legacySegment != nil {
		for _, group := range shard.legacySegment.groups {
			rec.Machines = append(rec.Machines, group.names...)
		}
	}
	return rec
}
