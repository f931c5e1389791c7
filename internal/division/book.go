package division

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Share is a share as of the revision that a book has been brought to.
type Share struct {
	Name  string
	Host  string
	Nonce string
	// Stamp is the record's last change: what a write that rests on the share has
	// among its conditions.
	Stamp uint64
	Teams []string
	Rest  bool

	epoch     uint64
	restEpoch uint64
	// old are the machines that a record of the earlier form names.
	old *Lot
}

// Lot is some machines that belong to a share.
type Lot struct {
	Name   string
	Share  string
	Stamp  uint64
	groups []group
}

// Owner is whose a machine is, and the epoch under which.
type Owner struct {
	*Share
	Epoch uint64
}

// naming is a lot that names a machine, and since when.
type naming struct {
	lot   *Lot
	epoch uint64
}

// Since is the revision at which the share came to its holder.
func (s *Share) Since() uint64 { return s.epoch }

// Book is all shares and lots as of one revision. It is not safe for concurrent use.
type Book struct {
	shares map[string]*Share
	lots   map[string]*Lot
	teams  map[string]*Share
	rest   *Share
	// machines holds for each named machine the lot that named it last, and more
	// the others, of which there are few and not for long.
	machines map[string]naming
	more     map[string][]naming
	// names and order are the shares by name, as kept up to date.
	order []string
}

// NewBook makes an empty one.
func NewBook() *Book {
	return &Book{
		shares: map[string]*Share{}, lots: map[string]*Lot{}, teams: map[string]*Share{},
		machines: map[string]naming{}, more: map[string][]naming{},
	}
}

// Share applies a share's record; value nil: it has been removed. An error says that
// the record can't be read, and leaves the share out.
func (b *Book) Share(name string, value []byte, stamp uint64) error {
	if old := b.shares[name]; old != nil {
		b.unname(old.old)
		delete(b.shares, name)
	}
	var err error
	if value != nil {
		var r shareRecord
		if err = decode(value, &r); err != nil {
			err = fmt.Errorf("share %s: %w", name, err)
		} else {
			s := &Share{
				Name: name, Host: cmp.Or(r.Host, name), Nonce: r.Nonce, Stamp: stamp, Teams: r.Teams, Rest: r.Rest,
				epoch: cmp.Or(r.Epoch, stamp), restEpoch: cmp.Or(r.RestEpoch, stamp),
			}
			if len(r.Machines) > 0 {
				s.old = &Lot{Share: name, Stamp: stamp, groups: []group{{s.epoch, r.Machines}}}
				b.name(s.old)
			}
			b.shares[name] = s
		}
	}
	b.reindex()
	return err
}

// reindex finds out who has which team and who has the rest. Shares are few. Of two
// that say they have the same the later one counts; the divider never writes that.
func (b *Book) reindex() {
	b.order = b.order[:0]
	for n := range b.shares {
		b.order = append(b.order, n)
	}
	slices.Sort(b.order)
	clear(b.teams)
	b.rest = nil
	for _, n := range b.order {
		s := b.shares[n]
		for _, t := range s.Teams {
			if o := b.teams[t]; o == nil || s.Stamp > o.Stamp {
				b.teams[t] = s
			}
		}
		if s.Rest && (b.rest == nil || s.restEpoch > b.rest.restEpoch) {
			b.rest = s
		}
	}
}

// Lot applies a lot's record, as Share does.
func (b *Book) Lot(name string, value []byte, stamp uint64) error {
	if old := b.lots[name]; old != nil {
		b.unname(old)
		delete(b.lots, name)
	}
	if value == nil {
		return nil
	}
	share, groups, err := decodeLot(value)
	if err != nil {
		return fmt.Errorf("lot %s: %w", name, err)
	}
	for i := range groups {
		groups[i].epoch = cmp.Or(groups[i].epoch, stamp)
	}
	l := &Lot{Name: name, Share: share, Stamp: stamp, groups: groups}
	b.lots[name] = l
	b.name(l)
	return nil
}

// later says which of two namings of a machine counts.
func (x naming) later(y naming) bool {
	return x.epoch > y.epoch || x.epoch == y.epoch && x.lot.Name > y.lot.Name
}

func (b *Book) name(l *Lot) {
	for _, g := range l.groups {
		for _, id := range g.names {
			x := naming{l, g.epoch}
			y, ok := b.machines[id]
			switch {
			case !ok:
				b.machines[id] = x
			case x.later(y):
				b.machines[id] = x
				b.more[id] = append(b.more[id], y)
			default:
				b.more[id] = append(b.more[id], x)
			}
		}
	}
}

func (b *Book) unname(l *Lot) {
	if l == nil {
		return
	}
	for _, g := range l.groups {
		for _, id := range g.names {
			others := b.more[id]
			if b.machines[id].lot != l {
				others = slices.DeleteFunc(others, func(x naming) bool { return x.lot == l })
			} else if len(others) == 0 {
				delete(b.machines, id)
				continue
			} else {
				last := 0
				for i, x := range others {
					if x.later(others[last]) {
						last = i
					}
				}
				b.machines[id] = others[last]
				others = slices.Delete(others, last, last+1)
			}
			if len(others) == 0 {
				delete(b.more, id)
			} else {
				b.more[id] = others
			}
		}
	}
}

// Owner tells whose a machine is. It takes the same time however many there are. ok
// is false while no record says: nobody has the rest, or the share of its lot is
// gone.
func (b *Book) Owner(machine string) (o Owner, ok bool) {
	if x, named := b.machines[machine]; named {
		if s := b.shares[x.lot.Share]; s != nil {
			return Owner{s, max(x.epoch, s.epoch)}, true
		}
	}
	if b.rest == nil {
		return Owner{}, false
	}
	return Owner{b.rest, max(b.rest.restEpoch, b.rest.epoch)}, true
}

// Named says whether a lot names a machine.
func (b *Book) Named(machine string) bool { _, ok := b.machines[machine]; return ok }

// Each calls fn with every machine that a lot names, in no order.
func (b *Book) Each(fn func(machine string)) {
	for id := range b.machines {
		fn(id)
	}
}

// Team tells whose share a team is in, or nil.
func (b *Book) Team(team string) *Share { return b.teams[team] }

// Find is the share of that name, or nil.
func (b *Book) Find(share string) *Share { return b.shares[share] }

// Shares are all shares, in the order of their names.
func (b *Book) Shares() []*Share {
	out := make([]*Share, 0, len(b.order))
	for _, n := range b.order {
		out = append(out, b.shares[n])
	}
	return out
}

// Holds are the shares that the life of a controller holds, in order.
func (b *Book) Holds(host, nonce string) []*Share {
	var out []*Share
	for _, n := range b.order {
		if s := b.shares[n]; s.Host == host && s.Nonce == nonce {
			out = append(out, s)
		}
	}
	return out
}

// Lots counts the lots, and the machines that they name.
func (b *Book) Lots() (lots, machines int) { return len(b.lots), len(b.machines) }

// Machines are the machines named for a share, in order.
func (b *Book) Machines(share string) []string {
	var out []string
	for _, l := range b.sortedLots() {
		if l.Share != share {
			continue
		}
		out = append(out, b.names(l)...)
	}
	for id, x := range b.machines {
		if x.lot.Name == "" && x.lot.Share == share {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// LotsOf names the lots of a share, in no order.
func (b *Book) LotsOf(share string) []string {
	var out []string
	for name, l := range b.lots {
		if l.Share == share {
			out = append(out, name)
		}
	}
	return out
}

// Names says whether any record names machines for a share.
func (b *Book) Names(share string) bool {
	for _, l := range b.lots {
		if l.Share == share {
			return true
		}
	}
	s := b.shares[share]
	return s != nil && s.old != nil
}

// names are the machines of a lot that no later one names.
func (b *Book) names(l *Lot) []string {
	var out []string
	for _, g := range l.groups {
		for _, id := range g.names {
			if b.machines[id].lot == l {
				out = append(out, id)
			}
		}
	}
	return out
}

func (b *Book) sortedLots() []*Lot {
	out := make([]*Lot, 0, len(b.lots))
	for _, l := range b.lots {
		out = append(out, l)
	}
	slices.SortFunc(out, func(a, b *Lot) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// record is the share's stored form, with the epochs that it has now.
func (s *Share) record() shareRecord {
	r := shareRecord{Host: s.Host, Nonce: s.Nonce, Epoch: s.epoch, Teams: slices.Clone(s.Teams), Rest: s.Rest}
	if s.Rest {
		r.RestEpoch = s.restEpoch
	}
	if s.old != nil {
		for _, g := range s.old.groups {
			r.Machines = append(r.Machines, g.names...)
		}
	}
	return r
}
