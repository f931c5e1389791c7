package controller

import (
	"strconv"
	"strings"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/record"
	"github.com/micahill/micahill/internal/sizelimit"
)

// prewarmedWriteInterval is how often one of the records is written that say which machines
// hold which images. It is news that nothing depends on but the time that work
// waits for its images after the end of all controllers, when nobody else knows.
const prewarmedWriteInterval = 4 * time.Second

// splitMachineNumber splits a machine's name into what stands before its number, and that.
func splitMachineNumber(id string) (prefix string, value, width int, ok bool) {
	prefix = strings.TrimRight(id, "0123456789")
	digits := id[len(prefix):]
	value, err := strconv.Atoi(digits)
	return prefix, value, len(digits), err == nil
}

// prewarmedImageOverhead is what an image takes in a record's JSON form beside its name and its
// machines.
const prewarmedImageOverhead = 32

// nextPrewarmedRecord puts together the next record, from the machine at the place on, and
// says where the one after it begins.
func (p *persistence) nextPrewarmedRecord(from int) (record.Prewarmed, int) {
	var r record.Prewarmed
	at := map[string]int{}
	maxBytes := p.settings.MaxValueBytes * 3 / 4
	bytesLeft := maxBytes
	ms := p.controller.shardLeader.machinesByID
	for ; from < len(ms); from++ {
		m := ms[from]
		prefix, value, width, ok := splitMachineNumber(m.id)
		if !ok || !m.heard || m.releasing {
			continue
		}
		switch {
		case len(r.Images) == 0:
			r.MachinePrefix, r.NumberWidth = prefix, width
		case r.MachinePrefix != prefix || r.NumberWidth != width:
			return r, from
		}
		before := bytesLeft
		for _, name := range sortedKeys(m.images) {
			im := m.images[name]
			if !im.cached {
				continue
			}
			i, ok := at[name]
			cost := width + 2
			if !ok {
				cost += sizelimit.StringSize(name) + prewarmedImageOverhead
			}
			if cost > bytesLeft {
				if before == maxBytes {
					// No record holds all that it has.
					return r, from + 1
				}
				return r, from
			}
			bytesLeft -= cost
			if !ok {
				i = len(r.Images)
				at[name] = i
				r.Images = append(r.Images, record.PrewarmedImage{Name: name, GB: im.sizeGB})
			}
			r.Images[i].Machines = append(r.Images[i].Machines, value)
		}
	}
	return r, from
}

// writePrewarmed writes the records one after another, again and again.
func (p *persistence) writePrewarmed() {
	o := p.controller.shardLeader
	if o.persistence.writingPrewarmed || p.now.Sub(o.persistence.prewarmedWrittenAt) < prewarmedWriteInterval || o.persistence.txnsInFlight > 0 || p.now.After(p.controller.membership.leaseValidUntil) {
		return
	}
	o.persistence.prewarmedWrittenAt = p.now
	if o.persistence.prewarmedNextMachine >= len(o.machinesByID) {
		o.persistence.prewarmedNextMachine, o.persistence.prewarmedNextKey = 0, 0
	}
	r, next := p.nextPrewarmedRecord(o.persistence.prewarmedNextMachine)
	if len(r.Images) == 0 {
		o.persistence.prewarmedNextMachine = next
		return
	}
	key := record.PrewarmedPrefix + p.settings.Host + "/" + strconv.Itoa(o.persistence.prewarmedNextKey)
	o.persistence.prewarmedNextMachine, o.persistence.prewarmedNextKey, o.persistence.writingPrewarmed = next, o.persistence.prewarmedNextKey+1, true
	gen := o.generation
	p.controller.requests.toStore(message.StoreRequest{Kind: message.OpTxn, Priority: message.PriorityLazy, Compares: p.controller.shardLeader.shardCompares(""),
		Writes: []message.Write{{Key: key, Value: record.Encode(r)}}}, func(message.StoreResponse) {
		if p.controller.shardLeader != nil && p.controller.shardLeader.generation == gen {
			p.controller.shardLeader.persistence.writingPrewarmed = false
		}
	})
}

// applyPrewarmedRecord takes in a record of a former owner.
func (p *persistence) applyPrewarmedRecord(it message.KeyValue) {
	var r record.Prewarmed
	if !record.Decode(it.Value, &r) {
		return
	}
	for _, im := range r.Images {
		for _, value := range im.Machines {
			digits := strconv.Itoa(value)
			id := r.MachinePrefix + strings.Repeat("0", max(0, r.NumberWidth-len(digits))) + digits
			if p.prewarmedImages[id] == nil {
				p.prewarmedImages[id] = map[string]float64{}
			}
			p.prewarmedImages[id][im.Name] = im.GB
		}
	}
}

// recoverCachedImages remembers what a machine held, when it is heard of for the first time.
func (p *persistence) recoverCachedImages(m *machine) {
	if len(m.images) > 0 {
		return
	}
	for name, gb := range p.prewarmedImages[m.id] {
		m.images[name] = &image{sizeGB: gb, last: p.controller.shardLeader.readyAt, cached: true}
	}
}
