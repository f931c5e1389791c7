package controller

import (
	"strconv"
	"strings"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/record"
	"github.com/micahill/micahill/internal/sizelimit"
)

// prewarmedWriteInterval is the time between the writes of consecutive records, which say which machines
// hold which images. The records only avoid image fetches after all controllers have ended at once, when
// no former shard leader is left to publish the images of its machines. They are therefore written seldom.
const prewarmedWriteInterval = 4 * time.Second

// splitMachineNumber splits a machine's id into a prefix and a trailing number, and returns the number's
// width in digits. ok is false if the id ends in no number.
func splitMachineNumber(id string) (prefix string, value, width int, ok bool) {
	prefix = strings.TrimRight(id, "0123456789")
	digits := id[len(prefix):]
	value, err := strconv.Atoi(digits)
	return prefix, value, len(digits), err == nil
}

// prewarmedImageOverhead is the size of an image in a record's JSON without its name and its machines, in
// bytes.
const prewarmedImageOverhead = 32

// nextPrewarmedRecord returns a record of the images on the machines from index from on, and the index at
// which the next record begins. A record holds machines whose ids have the same prefix and number width,
// and as many as fit in the store's size limit for a value.
func (persistence *persistence) nextPrewarmedRecord(from int) (record.Prewarmed, int) {
	var prewarmed record.Prewarmed
	position := map[string]int{}
	maxBytes := persistence.settings.MaxValueBytes * 3 / 4
	bytesLeft := maxBytes
	machines := persistence.controller.shardLeader.machinesByID
	for ; from < len(machines); from++ {
		m := machines[from]
		prefix, value, width, ok := splitMachineNumber(m.id)
		if !ok || !m.heard || m.releasing {
			continue
		}
		switch {
		case len(prewarmed.Images) == 0:
			prewarmed.MachinePrefix, prewarmed.NumberWidth = prefix, width
		case prewarmed.MachinePrefix != prefix || prewarmed.NumberWidth != width:
			return prewarmed, from
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
					// The machine has too many images for any record, so the rest
					// of them is skipped.
					return prewarmed, from + 1
				}
				return prewarmed, from
			}
			bytesLeft -= bytes
			if !ok {
				i = len(prewarmed.Images)
				position[name] = i
				prewarmed.Images = append(prewarmed.Images, record.PrewarmedImage{Name: name, GB: img.sizeGB})
			}
			prewarmed.Images[i].Machines = append(prewarmed.Images[i].Machines, value)
		}
	}
	return prewarmed, from
}

// writePrewarmed writes the next record if prewarmedWriteInterval has passed and no other transaction is in
// flight. After the last machine it begins again with the first.
func (persistence *persistence) writePrewarmed() {
	if persistence.writingPrewarmed || persistence.now.Sub(persistence.prewarmedWrittenAt) < prewarmedWriteInterval || persistence.txnsInFlight > 0 || persistence.now.After(persistence.controller.membership.leaseValidUntil) {
		return
	}
	persistence.prewarmedWrittenAt = persistence.now
	if persistence.prewarmedNextMachine >= len(persistence.controller.shardLeader.machinesByID) {
		persistence.prewarmedNextMachine, persistence.prewarmedNextKey = 0, 0
	}
	prewarmed, next := persistence.nextPrewarmedRecord(persistence.prewarmedNextMachine)
	if len(prewarmed.Images) == 0 {
		persistence.prewarmedNextMachine = next
		return
	}
	key := record.PrewarmedPrefix + persistence.settings.Host + "/" + strconv.Itoa(persistence.prewarmedNextKey)
	persistence.prewarmedNextMachine, persistence.prewarmedNextKey, persistence.writingPrewarmed = next, persistence.prewarmedNextKey+1, true
	generation := persistence.controller.shardLeader.generation
	persistence.controller.requests.toStore(message.StoreRequest{Kind: message.OpTxn, Priority: message.PriorityLazy, Compares: persistence.controller.shardLeader.shardCompares(""),
		Writes: []message.Write{{Key: key, Value: record.Encode(prewarmed)}}}, func(message.StoreResponse) {
		if persistence.controller.shardLeader != nil && persistence.controller.shardLeader.generation == generation {
			persistence.controller.shardLeader.persistence.writingPrewarmed = false
		}
	})
}

// applyPrewarmedRecord adds the images of a former shard leader's record to prewarmedImages. It ignores
// a record that can't be decoded.
func (persistence *persistence) applyPrewarmedRecord(kv message.KeyValue) {
	var prewarmed record.Prewarmed
	if !record.Decode(kv.Value, &prewarmed) {
		return
	}
	for _, img := range prewarmed.Images {
		for _, value := range img.Machines {
			digits := strconv.Itoa(value)
			id := prewarmed.MachinePrefix + strings.Repeat("0", max(0, prewarmed.NumberWidth-len(digits))) + digits
			if persistence.prewarmedImages[id] == nil {
				persistence.prewarmedImages[id] = map[string]float64{}
			}
			persistence.prewarmedImages[id][img.Name] = img.GB
		}
	}
}

// recoverCachedImages marks the images that a former shard leader recorded for a machine as cached there.
// It is called at the machine's first heartbeat, and does nothing if images of the machine are known.
func (persistence *persistence) recoverCachedImages(m *machine) {
	if len(m.images) > 0 {
		return
	}
	for name, gb := range persistence.prewarmedImages[m.id] {
		m.images[name] = &image{sizeGB: gb, lastUsedAt: persistence.controller.shardLeader.readyAt, cached: true}
	}
}
