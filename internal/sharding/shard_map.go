package sharding

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Shard is a share as of the revision that a book has been brought to.
type Shard struct {
	Name        string
	Host        string
	Incarnation string
	// ModRevision is the record's last change: what a write that rests on the share has
	// among its conditions.
	ModRevision uint64
	Teams       []string
	CatchAll    bool

	epoch         uint64
	catchAllEpoch uint64
	// legacySegment are the machines that a record of the earlier form names.
	legacySegment *Segment
}

// Segment is some machines that belong to a share.
type Segment struct {
	Name        string
	Shard       string
	ModRevision uint64
	groups      []epochGroup
}

// Owner is whose a machine is, and the epoch under which.
type Owner struct {
	*Shard
	Epoch uint64
}

// assignment is a lot that names a machine, and since when.
type assignment struct {
	segment *Segment
	epoch   uint64
}

// HeldSince is the revision at which the share came to its holder.
func (s *Shard) HeldSince() uint64 { return s.epoch }

// Map is all shares and lots as of one revision. It is not safe for concurrent use.
type Map struct {
	shards   map[string]*Shard
	segments map[string]*Segment
	teams    map[string]*Shard
	catchAll *Shard
	// current holds for each named machine the lot that named it last, and more
	// the others, of which there are few and not for long.
	current    map[string]assignment
	superseded map[string][]assignment
	// names and order are the shares by name, as kept up to date.
	shardNames []string
}

// NewMap makes an empty one.
func NewMap() *Map {
	return &Map{
		shards: map[string]*Shard{}, segments: map[string]*Segment{}, teams: map[string]*Shard{},
		current: map[string]assignment{}, superseded: map[string][]assignment{},
	}
}

// ApplyShard applies a share's record; value nil: it has been removed. An error says that
// the record can't be read, and leaves the share out.
func (b *Map) ApplyShard(name string, value []byte, modRevision uint64) error {
	if old := b.shards[name]; old != nil {
		b.unassign(old.legacySegment)
		delete(b.shards, name)
	}
	var err error
	if value != nil {
		var r shardRecord
		if err = decode(value, &r); err != nil {
			err = fmt.Errorf("share %s: %w", name, err)
		} else {
			s := &Shard{
				Name: name, Host: cmp.Or(r.Host, name), Incarnation: r.Incarnation, ModRevision: modRevision, Teams: r.Teams, CatchAll: r.CatchAll,
				epoch: cmp.Or(r.Epoch, modRevision), catchAllEpoch: cmp.Or(r.CatchAllEpoch, modRevision),
			}
			if len(r.Machines) > 0 {
				s.legacySegment = &Segment{Shard: name, ModRevision: modRevision, groups: []epochGroup{{s.epoch, r.Machines}}}
				b.assign(s.legacySegment)
			}
			b.shards[name] = s
		}
	}
	b.reindex()
	return err
}

// reindex finds out who has which team and who has the rest. Shares are few. Of two
// that say they have the same the later one counts; the divider never writes that.
func (b *Map) reindex() {
	b.shardNames = b.shardNames[:0]
	for n := range b.shards {
		b.shardNames = append(b.shardNames, n)
	}
	slices.Sort(b.shardNames)
	clear(b.teams)
	b.catchAll = nil
	for _, n := range b.shardNames {
		s := b.shards[n]
		for _, t := range s.Teams {
			if o := b.teams[t]; o == nil || s.ModRevision > o.ModRevision {
				b.teams[t] = s
			}
		}
		if s.CatchAll && (b.catchAll == nil || s.catchAllEpoch > b.catchAll.catchAllEpoch) {
			b.catchAll = s
		}
	}
}

// ApplySegment applies a lot's record, as Share does.
func (b *Map) ApplySegment(name string, value []byte, modRevision uint64) error {
	if old := b.segments[name]; old != nil {
		b.unassign(old)
		delete(b.segments, name)
	}
	if value == nil {
		return nil
	}
	shard, groups, err := decodeSegment(value)
	if err != nil {
		return fmt.Errorf("lot %s: %w", name, err)
	}
	for i := range groups {
		groups[i].epoch = cmp.Or(groups[i].epoch, modRevision)
	}
	segment := &Segment{Name: name, Shard: shard, ModRevision: modRevision, groups: groups}
	b.segments[name] = segment
	b.assign(segment)
	return nil
}

// supersedes says which of two namings of a machine counts.
func (x assignment) supersedes(y assignment) bool {
	return x.epoch > y.epoch || x.epoch == y.epoch && x.segment.Name > y.segment.Name
}

func (b *Map) assign(segment *Segment) {
	for _, g := range segment.groups {
		for _, id := range g.names {
			x := assignment{segment, g.epoch}
			y, ok := b.current[id]
			switch {
			case !ok:
				b.current[id] = x
			case x.supersedes(y):
				b.current[id] = x
				b.superseded[id] = append(b.superseded[id], y)
			default:
				b.superseded[id] = append(b.superseded[id], x)
			}
		}
	}
}

func (b *Map) unassign(segment *Segment) {
	if segment == nil {
		return
	}
	for _, g := range segment.groups {
		for _, id := range g.names {
			others := b.superseded[id]
			if b.current[id].segment != segment {
				others = slices.DeleteFunc(others, func(x assignment) bool { return x.segment == segment })
			} else if len(others) == 0 {
				delete(b.current, id)
				continue
			} else {
				newest := 0
				for i, x := range others {
					if x.supersedes(others[newest]) {
						newest = i
					}
				}
				b.current[id] = others[newest]
				others = slices.Delete(others, newest, newest+1)
			}
			if len(others) == 0 {
				delete(b.superseded, id)
			} else {
				b.superseded[id] = others
			}
		}
	}
}

// Owner tells whose a machine is. It takes the same time however many there are. ok
// is false while no record says: nobody has the rest, or the share of its lot is
// gone.
func (b *Map) Owner(machine string) (o Owner, ok bool) {
	if x, named := b.current[machine]; named {
		if s := b.shards[x.segment.Shard]; s != nil {
			return Owner{s, max(x.epoch, s.epoch)}, true
		}
	}
	if b.catchAll == nil {
		return Owner{}, false
	}
	return Owner{b.catchAll, max(b.catchAll.catchAllEpoch, b.catchAll.epoch)}, true
}

// IsAssigned says whether a lot names a machine.
func (b *Map) IsAssigned(machine string) bool { _, ok := b.current[machine]; return ok }

// EachMachine calls fn with every machine that a lot names, in no order.
func (b *Map) EachMachine(fn func(machine string)) {
	for id := range b.current {
		fn(id)
	}
}

// Team tells whose share a team is in, or nil.
func (b *Map) Team(team string) *Shard { return b.teams[team] }

// Shard is the share of that name, or nil.
func (b *Map) Shard(name string) *Shard { return b.shards[name] }

// Shards are all shares, in the order of their names.
func (b *Map) Shards() []*Shard {
	out := make([]*Shard, 0, len(b.shardNames))
	for _, n := range b.shardNames {
		out = append(out, b.shards[n])
	}
	return out
}

// HeldBy are the shares that the life of a controller holds, in order.
func (b *Map) HeldBy(host, incarnation string) []*Shard {
	var out []*Shard
	for _, n := range b.shardNames {
		if s := b.shards[n]; s.Host == host && s.Incarnation == incarnation {
			out = append(out, s)
		}
	}
	return out
}

// Counts counts the lots, and the machines that they name.
func (b *Map) Counts() (segments, machines int) { return len(b.segments), len(b.current) }

// Machines are the machines named for a share, in order.
func (b *Map) Machines(shard string) []string {
	var out []string
	for _, l := range b.sortedSegments() {
		if l.Shard != shard {
			continue
		}
		out = append(out, b.currentMachines(l)...)
	}
	for id, x := range b.current {
		if x.segment.Name == "" && x.segment.Shard == shard {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// SegmentsOf names the lots of a share, in no order.
func (b *Map) SegmentsOf(shard string) []string {
	var out []string
	for name, l := range b.segments {
		if l.Shard == shard {
			out = append(out, name)
		}
	}
	return out
}

// HasMachines says whether any record names machines for a share.
func (b *Map) HasMachines(shard string) bool {
	for _, l := range b.segments {
		if l.Shard == shard {
			return true
		}
	}
	s := b.shards[shard]
	return s != nil && s.legacySegment != nil
}

// currentMachines are the machines of a lot that no later one names.
func (b *Map) currentMachines(segment *Segment) []string {
	var out []string
	for _, g := range segment.groups {
		for _, id := range g.names {
			if b.current[id].segment == segment {
				out = append(out, id)
			}
		}
	}
	return out
}

func (b *Map) sortedSegments() []*Segment {
	out := make([]*Segment, 0, len(b.segments))
	for _, l := range b.segments {
		out = append(out, l)
	}
	slices.SortFunc(out, func(a, b *Segment) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// record is the share's stored form, with the epochs that it has now.
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
