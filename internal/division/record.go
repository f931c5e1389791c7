// Package division says which controller runs which teams and owns which machines,
// in records of the state service that are bounded whatever their number.
//
// A share is a cell of ownership: it has a holder, the life of one controller, and
// teams. A lot names machines and the share that they belong to; one share has the
// rest, every machine that no lot names. When a controller dies its shares get
// another holder, one change each, however many teams and machines they have.
//
// Each machine has an epoch, the token under which its owner gives it orders. It is
// the revision at which the machine came to its owner, and so above whatever any
// owner before has used. What else is written about shares and lots leaves epochs as
// they are: a higher one makes every worker concerned report at once.
//
// The package is pure. Records are applied in the order of their revisions and never
// ahead of it: then two controllers that have read up to the same revision agree
// about every owner, and one that has read less has a lower epoch.
package division

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/micahill/micahill/internal/bounds"
	"github.com/vmihailenco/msgpack/v5"
)

// ErrRecord says that a value is no record of this package.
var ErrRecord = errors.New("division: unreadable record")

// shareRecord is a share as it is stored.
type shareRecord struct {
	// Host holds the share, in the life called Nonce: a restarted controller does
	// not go on with its former life's epochs, under which orders may still be on
	// their way. Without Host, an earlier form, the share's name is the host's.
	Host  string `msgpack:"host,omitempty"`
	Nonce string `msgpack:"nonce"`
	// Epoch is the revision since which the holder has it; 0: the record's own.
	Epoch uint64   `msgpack:"e,omitempty"`
	Teams []string `msgpack:"teams"`
	// Rest: it has all machines that no lot names, since RestEpoch, as Epoch.
	Rest      bool   `msgpack:"rest,omitempty"`
	RestEpoch uint64 `msgpack:"re,omitempty"`
	// Machines are those of an earlier form, which named them one by one.
	Machines []string `msgpack:"machines,omitempty"`
}

// lotRecord is a lot as it is stored.
type lotRecord struct {
	Share  string     `msgpack:"s"`
	Groups []groupRec `msgpack:"g"`
}

// groupRec is some machines of a lot that came to its share together. Their names
// are a prefix and a number of so many digits; Runs are pairs of a gap after the
// last run and a length, and Names those that have no number.
type groupRec struct {
	//lint:ignore U1000 its tag has rows stored as lists
	_msgpack struct{} `msgpack:",as_array"`
	Epoch    uint64
	Prefix   string
	Width    int
	Runs     []uint64
	Names    []string
}

// group is machines with one epoch; 0 stands for the record's own revision.
type group struct {
	epoch uint64
	names []string
}

// numberDigits bounds the digits that count as a machine's number.
const numberDigits = 18

// numbered splits a name into what stands before its number, and that.
func numbered(name string) (prefix string, value uint64, width int, ok bool) {
	prefix = strings.TrimRight(name, "0123456789")
	digits := name[len(prefix):]
	if digits == "" || len(digits) > numberDigits {
		return "", 0, 0, false
	}
	value, err := strconv.ParseUint(digits, 10, 64)
	return prefix, value, len(digits), err == nil
}

func (g *group) records() []groupRec {
	type kind struct {
		prefix string
		width  int
	}
	by := map[kind][]uint64{}
	var odd []string
	for _, name := range g.names {
		if p, v, w, ok := numbered(name); ok {
			by[kind{p, w}] = append(by[kind{p, w}], v)
		} else {
			odd = append(odd, name)
		}
	}
	kinds := make([]kind, 0, len(by))
	for k := range by {
		kinds = append(kinds, k)
	}
	slices.SortFunc(kinds, func(a, b kind) int { return cmp.Or(strings.Compare(a.prefix, b.prefix), a.width-b.width) })
	var out []groupRec
	for _, k := range kinds {
		r := groupRec{Epoch: g.epoch, Prefix: k.prefix, Width: k.width}
		vs := by[k]
		slices.Sort(vs)
		vs = slices.Compact(vs)
		end := uint64(0)
		for i := 0; i < len(vs); {
			j := i + 1
			for j < len(vs) && vs[j] == vs[j-1]+1 {
				j++
			}
			r.Runs = append(r.Runs, vs[i]-end, uint64(j-i))
			end = vs[i] + uint64(j-i)
			i = j
		}
		out = append(out, r)
	}
	if len(odd) > 0 {
		slices.Sort(odd)
		out = append(out, groupRec{Epoch: g.epoch, Names: slices.Compact(odd)})
	}
	return out
}

// namesMost bounds the machines that a record may name: one that claims more is
// damaged, and would take all memory.
const namesMost = 1 << 16

func (r *groupRec) group() (group, error) {
	g := group{epoch: r.Epoch, names: r.Names}
	if len(r.Runs)%2 != 0 || r.Width < 0 || r.Width > numberDigits {
		return g, ErrRecord
	}
	end := uint64(0)
	for i := 0; i < len(r.Runs); i += 2 {
		gap, n := r.Runs[i], r.Runs[i+1]
		if n > namesMost || len(g.names)+int(n) > namesMost || gap > 1e18 || end > 1e18 {
			return g, ErrRecord
		}
		for v := end + gap; v < end+gap+n; v++ {
			digits := strconv.FormatUint(v, 10)
			g.names = append(g.names, r.Prefix+strings.Repeat("0", max(0, r.Width-len(digits)))+digits)
		}
		end += gap + n
	}
	return g, nil
}

func encode(v any) []byte {
	b, err := msgpack.Marshal(v)
	if err != nil {
		// Only plain structs of this package come here; they always encode.
		panic("division: " + err.Error())
	}
	return b
}

// encodeLot is the record of a lot.
func encodeLot(share string, groups []group) []byte {
	r := lotRecord{Share: share}
	for _, g := range groups {
		r.Groups = append(r.Groups, g.records()...)
	}
	return encode(&r)
}

// decode reads a record. The library takes a list's length at its word and makes
// room for it, so a damaged one is found before.
func decode(b []byte, v any) error {
	if _, err := bounds.JSON(b); err != nil {
		return fmt.Errorf("%w: %w", ErrRecord, err)
	}
	if err := msgpack.Unmarshal(b, v); err != nil {
		return fmt.Errorf("%w: %w", ErrRecord, err)
	}
	return nil
}

func decodeLot(b []byte) (share string, groups []group, err error) {
	var r lotRecord
	if err := decode(b, &r); err != nil {
		return "", nil, err
	}
	sum := 0
	for i := range r.Groups {
		g, err := r.Groups[i].group()
		if err != nil {
			return "", nil, err
		}
		if sum += len(g.names); sum > namesMost {
			return "", nil, ErrRecord
		}
		groups = append(groups, g)
	}
	return r.Share, groups, nil
}
