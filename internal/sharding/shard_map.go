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
func (s *Shard) HeldSince() uint64 { return s.epoch }

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
func (m *Map) ApplyShard(name string, value []byte, modRevision uint64) error {
	if old := m.shards[name]; old != nil {
		m.unassign(old.legacySegment)
		delete(m.shards, name)
	}
	var err error
	if value != nil {
		var r shardRecord
		if err = decode(value, &r); err != nil {
			err = fmt.Errorf("shard %s: %w", name, err)
		} else {
			s := &Shard{
				Name: name, Host: cmp.Or(r.Host, name), Incarnation: r.Incarnation, ModRevision: modRevision, Teams: r.Teams, CatchAll: r.CatchAll,
				epoch: cmp.Or(r.Epoch, modRevision), catchAllEpoch: cmp.Or(r.CatchAllEpoch, modRevision),
			}
			if len(r.Machines) > 0 {
				s.legacySegment = &Segment{Shard: name, ModRevision: modRevision, groups: []epochGroup{{s.epoch, r.Machines}}}
				m.assign(s.legacySegment)
			}
			m.shards[name] = s
		}
	}
	m.reindex()
	return err
}

// reindex recomputes the shard names, the shard of each team and the catch-all shard from all
// shards, which are few. If two shards claim a team or the catch-all role, the later claim
// counts; the planner never writes such records.
func (m *Map) reindex() {
	m.shardNames = m.shardNames[:0]
	for n := range m.shards {
		m.shardNames = append(m.shardNames, n)
	}
	slices.Sort(m.shardNames)
	clear(m.teams)
	m.catchAll = nil
	for _, n := range m.shardNames {
		s := m.shards[n]
		for _, t := range s.Teams {
			if o := m.teams[t]; o == nil || s.ModRevision > o.ModRevision {
				m.teams[t] = s
			}
		}
		if s.CatchAll && (m.catchAll == nil || s.catchAllEpoch > m.catchAll.catchAllEpoch) {
			m.catchAll = s
		}
	}
}

// ApplySegment applies a segment's record. Its arguments and error are as in ApplyShard.
func (m *Map) ApplySegment(name string, value []byte, modRevision uint64) error {
	if old := m.segments[name]; old != nil {
		m.unassign(old)
		delete(m.segments, name)
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
	m.segments[name] = segment
	m.assign(segment)
	return nil
}

// supersedes reports whether assignment x of a machine takes precedence over assignment y.
func (x assignment) supersedes(y assignment) bool {
	return x.epoch > y.epoch || x.epoch == y.epoch && x.segment.Name > y.segment.Name
}

// assign adds the assignments of a segment's machines.
func (m *Map) assign(segment *Segment) {
	for _, g := range segment.groups {
		for _, id := range g.names {
			x := assignment{segment, g.epoch}
			y, ok := m.current[id]
			switch {
			case !ok:
				m.current[id] = x
			case x.supersedes(y):
				m.current[id] = x
				m.superseded[id] = append(m.superseded[id], y)
			default:
				m.superseded[id] = append(m.superseded[id], x)
			}
		}
	}
}

// unassign removes the assignments of a segment's machines. A nil segment has none.
func (m *Map) unassign(segment *Segment) {
	if segment == nil {
		return
	}
	for _, g := range segment.groups {
		for _, id := range g.names {
			others := m.superseded[id]
			if m.current[id].segment != segment {
				others = slices.DeleteFunc(others, func(x assignment) bool { return x.segment == segment })
			} else if len(others) == 0 {
				delete(m.current, id)
				continue
			} else {
				newest := 0
				for i, x := range others {
					if x.supersedes(others[newest]) {
						newest = i
					}
				}
				m.current[id] = others[newest]
				others = slices.Delete(others, newest, newest+1)
			}
			if len(others) == 0 {
				delete(m.superseded, id)
			} else {
				m.superseded[id] = others
			}
		}
	}
}

// Owner returns a machine's owner, in constant time. A machine whose segment belongs to no
// existing shard belongs to the catch-all shard. ok is false if there is no catch-all shard
// either.
func (m *Map) Owner(machine string) (o Owner, ok bool) {
	if x, named := m.current[machine]; named {
		if s := m.shards[x.segment.Shard]; s != nil {
			return Owner{s, max(x.epoch, s.epoch)}, true
		}
	}
	if m.catchAll == nil {
		return Owner{}, false
	}
	return Owner{m.catchAll, max(m.catchAll.catchAllEpoch, m.catchAll.epoch)}, true
}

// IsAssigned reports whether a segment names the machine.
func (m *Map) IsAssigned(machine string) bool { _, ok := m.current[machine]; return ok }

// EachMachine calls fn with every machine that a segment names, in no particular order.
func (m *Map) EachMachine(fn func(machine string)) {
	for id := range m.current {
		fn(id)
	}
}

// Team returns the shard that has a team, or nil.
func (m *Map) Team(team string) *Shard { return m.teams[team] }

// Shard returns the shard with the given name, or nil.
func (m *Map) Shard(name string) *Shard { return m.shards[name] }

// Shards returns all shards, sorted by name.
func (m *Map) Shards() []*Shard {
	out := make([]*Shard, 0, len(m.shardNames))
	for _, n := range m.shardNames {
		out = append(out, m.shards[n])
	}
	return out
}

// HeldBy returns the shards that an incarnation of a controller holds, sorted by name.
func (m *Map) HeldBy(host, incarnation string) []*Shard {
	var out []*Shard
	for _, n := range m.shardNames {
		if s := m.shards[n]; s.Host == host && s.Incarnation == incarnation {
			out = append(out, s)
		}
	}
	return out
}

// CanReceiveMachines reports whether a host holds a shard to which new machines can be assigned:
// one with teams, or the catch-all shard.
func (m *Map) CanReceiveMachines(host string) bool {
	return slices.ContainsFunc(m.shardNames, func(name string) bool {
		s := m.shards[name]
		return s.Host == host && (len(s.Teams) > 0 || s.CatchAll)
	})
}

// Counts returns the number of segments and the number of machines that they name.
func (m *Map) Counts() (segments, machines int) { return len(m.segments), len(m.current) }

// Machines returns the machines named for a shard, sorted.
func (m *Map) Machines(shard string) []string {
	var out []string
	for _, l := range m.sortedSegments() {
		if l.Shard != shard {
			continue
		}
		out = append(out, m.currentMachines(l)...)
	}
	for id, x := range m.current {
		if x.segment.Name == "" && x.segment.Shard == shard {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// SegmentsOf returns the names of a shard's segments, in no particular order.
func (m *Map) SegmentsOf(shard string) []string {
	var out []string
	for name, l := range m.segments {
		if l.Shard == shard {
			out = append(out, name)
		}
	}
	return out
}

// HasMachines reports whether any record names machines for a shard.
func (m *Map) HasMachines(shard string) bool {
	for _, l := range m.segments {
		if l.Shard == shard {
			return true
		}
	}
	s := m.shards[shard]
	return s != nil && s.legacySegment != nil
}

// currentMachines returns the machines of a segment that no later segment names.
func (m *Map) currentMachines(segment *Segment) []string {
	var out []string
	for _, g := range segment.groups {
		for _, id := range g.names {
			if m.current[id].segment == segment {
				out = append(out, id)
			}
		}
	}
	return out
}

// sortedSegments returns all segments, sorted by name.
func (m *Map) sortedSegments() []*Segment {
	out := make([]*Segment, 0, len(m.segments))
	for _, l := range m.segments {
		out = append(out, l)
	}
	slices.SortFunc(out, func(a, b *Segment) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// record returns the shard's stored form, with its present epochs.
func (s *Shard) record() shardRecord {
	r := shardRecord{Host: s.Host, Incarnation: s.Incarnation, Epoch: s.epoch, Teams: slices.Clone(s.Teams), CatchAll: s.CatchAll}
	if s.CatchAll {
		r.CatchAllEpoch = s.catchAllEpoch
	}
	if s.legacySegment != nil {
		for _, g := range s.legacySegment.groups {
			r.Machines = append(r.Machines, g.names...)
		}
	}
	return r
}
