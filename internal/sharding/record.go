// Package sharding decides which controller runs which teams and owns which machines. The
// assignment is kept in records of the state service, each of bounded size.
//
// A shard is the unit of ownership: it has a holder (one incarnation of a controller) and
// teams. A shard segment names machines and the shard that they belong to; the one catch-all
// shard has every machine that no segment names. When a controller dies, its shards get new
// holders. That takes one change for each shard, however many teams and machines it has.
//
// Each machine has an epoch: the fencing token under which its owner sends it commands. The
// epoch is the revision at which the machine came to its owner, so it is above every epoch that
// an earlier owner used. Other changes of shards and segments keep the epochs, because a higher
// epoch makes every worker concerned send a heartbeat at once.
//
// The package does no I/O and reads no clock. Callers apply the records in the order of their
// revisions. Two controllers that have read up to the same revision then agree about every
// owner, and a controller that has read less sees a lower epoch or the same owner.
package sharding

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/micahill/micahill/internal/sizelimit"
	"github.com/vmihailenco/msgpack/v5"
)

// ErrRecord reports that a value is not a record of this package.
var ErrRecord = errors.New("sharding: unreadable record")

// shardRecord is the stored form of a shard.
type shardRecord struct {
	// Host and Incarnation name the holder. A restarted controller does not reuse the epochs of
	// its previous incarnation, under which commands may still be in flight. Records of the
	// legacy format have no Host: in them the shard's name is the host.
	Host        string `msgpack:"host,omitempty"`
	Incarnation string `msgpack:"nonce"`
	// Epoch is the revision since which the holder has had the shard; 0 stands for the record's
	// own revision.
	Epoch uint64   `msgpack:"e,omitempty"`
	Teams []string `msgpack:"teams"`
	// CatchAll gives the shard all machines that no segment names, since the revision
	// CatchAllEpoch; 0 stands for the record's own revision.
	CatchAll      bool   `msgpack:"rest,omitempty"`
	CatchAllEpoch uint64 `msgpack:"re,omitempty"`
	// Machines are the shard's machines in the legacy format, which has no segments.
	Machines []string `msgpack:"machines,omitempty"`
}

// segmentRecord is the stored form of a shard segment.
type segmentRecord struct {
	Shard  string        `msgpack:"s"`
	Groups []groupRecord `msgpack:"g"`
}

// groupRecord is the machines of a segment that came to its shard at the same revision. Their
// names consist of Prefix and a number of Width digits. Runs holds a pair for each run of
// consecutive numbers: the gap after the previous run, and the length of the run. Names holds
// the names without a number.
type groupRecord struct {
	//lint:ignore U1000 its tag makes the encoder store rows as lists
	_msgpack struct{} `msgpack:",as_array"`
	Epoch    uint64
	Prefix   string
	Width    int
	Runs     []uint64
	Names    []string
}

// epochGroup is machines with the same epoch. Epoch 0 stands for the record's own revision.
type epochGroup struct {
	epoch uint64
	names []string
}

// maxNumberDigits is the largest number of trailing digits that count as the number in a
// machine's name. A number of 18 digits fits a uint64.
const maxNumberDigits = 18

// splitNumber splits a name into its prefix and the number at its end. width is the number of
// digits. ok is false if the name does not end with a number of at most maxNumberDigits digits.
func splitNumber(name string) (prefix string, value uint64, width int, ok bool) {
	prefix = strings.TrimRight(name, "0123456789")
	digits := name[len(prefix):]
	if digits == "" || len(digits) > maxNumberDigits {
		return "", 0, 0, false
	}
	value, err := strconv.ParseUint(digits, 10, 64)
	return prefix, value, len(digits), err == nil
}

// toRecords returns the stored form of the group, one record for each prefix and width, and one
// for the names without a number.
func (group *epochGroup) toRecords() []groupRecord {
	type kind struct {
		prefix string
		width  int
	}
	numbersByFormat := map[kind][]uint64{}
	var unnumbered []string
	for _, name := range group.names {
		if prefix, value, width, ok := splitNumber(name); ok {
			numbersByFormat[kind{prefix, width}] = append(numbersByFormat[kind{prefix, width}], value)
		} else {
			unnumbered = append(unnumbered, name)
		}
	}
	kinds := make([]kind, 0, len(numbersByFormat))
	for format := range numbersByFormat {
		kinds = append(kinds, format)
	}
	slices.SortFunc(kinds, func(a, b kind) int { return cmp.Or(strings.Compare(a.prefix, b.prefix), a.width-b.width) })
	var out []groupRecord
	for _, format := range kinds {
		rec := groupRecord{Epoch: group.epoch, Prefix: format.prefix, Width: format.width}
		numbers := numbersByFormat[format]
		slices.Sort(numbers)
		numbers = slices.Compact(numbers)
		end := uint64(0)
		for i := 0; i < len(numbers); {
			next := i + 1
			for next < len(numbers) && numbers[next] == numbers[next-1]+1 {
				next++
			}
			rec.Runs = append(rec.Runs, numbers[i]-end, uint64(next-i))
			end = numbers[i] + uint64(next-i)
			i = next
		}
		out = append(out, rec)
	}
	if len(unnumbered) > 0 {
		slices.Sort(unnumbered)
		out = append(out, groupRecord{Epoch: group.epoch, Names: slices.Compact(unnumbered)})
	}
	return out
}

// maxRecordMachines is the largest number of machines that a record may name. A record that
// claims more is damaged, and decoding it would exhaust memory.
const maxRecordMachines = 1 << 16

// toGroup returns the machines of a stored group. The error is ErrRecord.
func (rec *groupRecord) toGroup() (epochGroup, error) {
	group := epochGroup{epoch: rec.Epoch, names: rec.Names}
	if len(rec.Runs)%2 != 0 || rec.Width < 0 || rec.Width > maxNumberDigits {
		return group, ErrRecord
	}
	end := uint64(0)
	for i := 0; i < len(rec.Runs); i += 2 {
		gap, length := rec.Runs[i], rec.Runs[i+1]
		if length > maxRecordMachines || len(group.names)+int(length) > maxRecordMachines || gap > 1e18 || end > 1e18 {
			return group, ErrRecord
		}
		for number := end + gap; number < end+gap+length; number++ {
			digits := strconv.FormatUint(number, 10)
			group.names = append(group.names, rec.Prefix+strings.Repeat("0", max(0, rec.Width-len(digits)))+digits)
		}
		end += gap + length
	}
	return group, nil
}

// encode encodes a record of this package.
func encode(v any) []byte {
	b, err := msgpack.Marshal(v)
	if err != nil {
		// Unreachable: only plain structs of this package are encoded.
		panic("sharding: encode record: " + err.Error())
	}
	return b
}

// encodeSegment encodes a segment record.
func encodeSegment(shard string, groups []epochGroup) []byte {
	rec := segmentRecord{Shard: shard}
	for _, group := range groups {
		rec.Groups = append(rec.Groups, group.toRecords()...)
	}
	return encode(&rec)
}

// decode decodes a record; an error wraps ErrRecord. The size check comes first because the
// msgpack library allocates whatever length a damaged list claims.
func decode(b []byte, v any) error {
	if _, err := sizelimit.JSONSize(b); err != nil {
		return fmt.Errorf("%w: %w", ErrRecord, err)
	}
	if err := msgpack.Unmarshal(b, v); err != nil {
		return fmt.Errorf("%w: %w", ErrRecord, err)
	}
	return nil
}

// decodeSegment decodes a segment record; an error wraps ErrRecord.
func decodeSegment(value []byte) (shard string, groups []epochGroup, err error) {
	var rec segmentRecord
	if err := decode(value, &rec); err != nil {
		return "", nil, err
	}
	total := 0
	for i := range rec.Groups {
		group, err := rec.Groups[i].toGroup()
		if err != nil {
			return "", nil, err
		}
		if total += len(group.names); total > maxRecordMachines {
			return "", nil, ErrRecord
		}
		groups = append(groups, group)
	}
	return rec.Shard, groups, nil
}
