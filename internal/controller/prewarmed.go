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
// hold which images. They only spare work the fetch of its images after all controllers
// have ended at once, when no machine's former shard leader is left to publish that.
const prewarmedWriteInterval = 4 * time.Second

// splitMachineNumber splits a machine's name into its prefix and its number, with the width of
// the latter in digits.
func splitMachineNumber(id string) (prefix string, value, width int, ok bool) {
	prefix = strings.TrimRight(id, "0123456789")
	digits := id[len(prefix):]
	value, err := strconv.Atoi(digits)
	return prefix, value, len(digits), err == nil
}

// prewarmedImageOverhead is the size of an image in a record's JSON beside its name and its
// machines, in bytes.
const prewarmedImageOverhead = 32

// nextPrewarmedRecord makes the next record, from the machine at index from on, and returns the
// index with which the record after it begins.
func (p *persistence) nextPrewarmedRecord(from int) (record.Prewarmed, int) {
	var r record.Prewarmed
	position := map[string]int{}
	maxBytes := p.settings.MaxValueBytes * 3 / 4
	bytesLeft := maxBytes
	machines := p.controller.shardLeader.machinesByID
	for ; from < len(machines); from++ {
		m := machines[from]
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
		bytesBefore := bytesLeft
		for _, name := range sortedKeys(m.images) {
			img := m.images[name]
			if !img.cached {
				continue
			}
			i, ok := position[name]
			bytes := width + 2
			if !ok {
				bytes += sizelimit.StringSize(name) + prewarmedImageOverhead
			}
			if bytes > bytesLeft {
				if bytesBefore == maxBytes {
					// All its images don't fit into any record.
					return r, from + 1
				}
				return r, from
			}
			bytesLeft -= bytes
			if !ok {
				i = len(r.Images)
				position[name] = i
				r.Images = append(r.Images, record.PrewarmedImage{Name: name, GB: img.sizeGB})
			}
			r.Images[i].Machines = append(r.Images[i].Machines, value)
		}
	}
	return r, from
}

// writePrewarmed writes the records one after another, over and over.
func (p *persistence) writePrewarmed() {
	if p.writingPrewarmed || p.now.Sub(p.prewarmedWrittenAt) < prewarmedWriteInterval || p.txnsInFlight > 0 || p.now.After(p.controller.membership.leaseValidUntil) {
		return
	}
	p.prewarmedWrittenAt = p.now
	if p.prewarmedNextMachine >= len(p.controller.shardLeader.machinesByID) {
		p.prewarmedNextMachine, p.prewarmedNextKey = 0, 0
	}
	r, next := p.nextPrewarmedRecord(p.prewarmedNextMachine)
	if len(r.Images) == 0 {
		p.prewarmedNextMachine = next
		return
	}
	key := record.PrewarmedPrefix + p.settings.Host + "/" + strconv.Itoa(p.prewarmedNextKey)
	p.prewarmedNextMachine, p.prewarmedNextKey, p.writingPrewarmed = next, p.prewarmedNextKey+1, true
	gen := p.controller.shardLeader.generation
	p.controller.requests.toStore(message.StoreRequest{Kind: message.OpTxn, Priority: message.PriorityLazy, Compares: p.controller.shardLeader.shardCompares(""),
		Writes: []message.Write{{Key: key, Value: record.Encode(r)}}}, func(message.StoreResponse) {
		if p.controller.shardLeader != nil && p.controller.shardLeader.generation == gen {
			p.controller.shardLeader.persistence.writingPrewarmed = false
		}
	})
}

// applyPrewarmedRecord takes in a record of a former shard leader.
func (p *persistence) applyPrewarmedRecord(kv message.KeyValue) {
	var r record.Prewarmed
	if !record.Decode(kv.Value, &r) {
		return
	}
	for _, img := range r.Images {
		for _, value := range img.Machines {
			digits := strconv.Itoa(value)
			id := r.MachinePrefix + strings.Repeat("0", max(0, r.NumberWidth-len(digits))) + digits
			if p.prewarmedImages[id] == nil {
				p.prewarmedImages[id] = map[string]float64{}
			}
			p.prewarmedImages[id][img.Name] = img.GB
		}
	}
}

// recoverCachedImages gives a machine the images that a former shard leader wrote down for it,
// when its first heartbeat comes.
func (p *persistence) recoverCachedImages(m *machine) {
	if len(m.images) > 0 {
		return
	}
	for name, gb := range p.prewarmedImages[m.id] {
		m.images[name] = &image{sizeGB: gb, last: p.controller.shardLeader.readyAt, cached: true}
	}
}
