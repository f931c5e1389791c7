package core

import (
	"strconv"
	"strings"
	"time"

	"github.com/micahill/micahill/internal/bounds"
)

// warmEvery is how often one of the records is written that say which machines
// hold which images. It is news that nothing depends on but the time that work
// waits for its images after the end of all controllers, when nobody else knows.
const warmEvery = 4 * time.Second

// warmRecord is what some of the machines hold. Machines are kept by the number
// at the end of their names, which is short.
type warmRecord struct {
	Prefix string      `msgpack:"p"`
	Width  int         `msgpack:"w"`
	Images []warmImage `msgpack:"i"`
}

type warmImage struct {
	//lint:ignore U1000 its tag has rows stored as lists
	_msgpack struct{} `msgpack:",as_array"`
	Name     string
	GB       float64
	Machines []int
}

// number splits a machine's name into what stands before its number, and that.
func number(id string) (prefix string, value, width int, ok bool) {
	prefix = strings.TrimRight(id, "0123456789")
	digits := id[len(prefix):]
	value, err := strconv.Atoi(digits)
	return prefix, value, len(digits), err == nil
}

// warmFrame is what an image takes in a record's JSON form beside its name and its
// machines.
const warmFrame = 32

// warmNext puts together the next record, from the machine at the place on, and
// says where the one after it begins.
func (n *Node) warmNext(from int) (warmRecord, int) {
	var r warmRecord
	at := map[string]int{}
	whole := n.set.ValueBytes * 3 / 4
	room := whole
	ms := n.owner.byID
	for ; from < len(ms); from++ {
		m := ms[from]
		prefix, value, width, ok := number(m.id)
		if !ok || !m.heard || m.returning {
			continue
		}
		switch {
		case len(r.Images) == 0:
			r.Prefix, r.Width = prefix, width
		case r.Prefix != prefix || r.Width != width:
			return r, from
		}
		before := room
		for _, name := range sortedKeys(m.images) {
			im := m.images[name]
			if !im.cached {
				continue
			}
			i, ok := at[name]
			takes := width + 2
			if !ok {
				takes += bounds.Text(name) + warmFrame
			}
			if takes > room {
				if before == whole {
					// No record holds all that it has.
					return r, from + 1
				}
				return r, from
			}
			room -= takes
			if !ok {
				i = len(r.Images)
				at[name] = i
				r.Images = append(r.Images, warmImage{Name: name, GB: im.gb})
			}
			r.Images[i].Machines = append(r.Images[i].Machines, value)
		}
	}
	return r, from
}

// writeWarm writes the records one after another, again and again.
func (n *Node) writeWarm() {
	o := n.owner
	if o.warming || n.now.Sub(o.warmed) < warmEvery || o.inFlight > 0 || n.now.After(n.sess.sureUntil) {
		return
	}
	o.warmed = n.now
	if o.warmFrom >= len(o.byID) {
		o.warmFrom, o.warmKey = 0, 0
	}
	r, next := n.warmNext(o.warmFrom)
	if len(r.Images) == 0 {
		o.warmFrom = next
		return
	}
	key := warmPrefix + n.set.Host + "/" + strconv.Itoa(o.warmKey)
	o.warmFrom, o.warmKey, o.warming = next, o.warmKey+1, true
	gen := o.gen
	n.ask(StateOp{Kind: OpTxn, Prio: PrioLazy, When: n.shareConds(""),
		Apply: []Change{{Key: key, Value: encode(r)}}}, func(StateDone) {
		if n.owner != nil && n.owner.gen == gen {
			n.owner.warming = false
		}
	})
}

// warmItem takes in a record of a former owner.
func (n *Node) warmItem(it Item) {
	var r warmRecord
	if !decode(it.Value, &r) {
		return
	}
	for _, im := range r.Images {
		for _, value := range im.Machines {
			digits := strconv.Itoa(value)
			id := r.Prefix + strings.Repeat("0", max(0, r.Width-len(digits))) + digits
			if n.owner.warm[id] == nil {
				n.owner.warm[id] = map[string]float64{}
			}
			n.owner.warm[id][im.Name] = im.GB
		}
	}
}

// warmUp remembers what a machine held, when it is heard of for the first time.
func (n *Node) warmUp(m *machine) {
	if len(m.images) > 0 {
		return
	}
	for name, gb := range n.owner.warm[m.id] {
		m.images[name] = &image{gb: gb, last: n.owner.readyAt, cached: true}
	}
}
