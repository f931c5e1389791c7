package controller

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/record"
	"github.com/micahill/micahill/internal/sizelimit"
)

// sizedSegmentMark begins the name, within a job's keys, of a segment whose name says its size.
const sizedSegmentMark = "s"

// formatMigration has task records go over to fewer tasks a segment before the store lowers
// its limit of value sizes.
//
// The previous version of this program numbers segments by the present limit and can't
// read others, so nothing changes until no controller of that version can come back. Each
// controller that knows sized segments says so in a record of its own, which outlives it.
// When all have, which stays true for ever, the leader writes record.FormatKey, and from
// then on segments are written with their size in the name. Segments of earlier formats
// are read, and never written again: see docs/design.md, "Two versions, and lower limits".
//
// It is part of membership and lives as long as the process. Its state follows records
// that are never taken back, so that a failover changes nothing of it.
type formatMigration struct {
	component

	// support has the controllers that know sized segments.
	support map[string]bool
	// current is the format that all have gone over to, zero before; modRevision is that of
	// record.FormatKey.
	current     segmentFormat
	modRevision uint64
	// writing: a write of one of these records is under way.
	writing bool
	// limitsLowered: the store has its new limits. probingLimits: it has lately been asked.
	limitsLowered bool
	probingLimits bool
}

func (f *formatMigration) init() { f.support = map[string]bool{} }

// segmentFormat is how a job's task records are cut into segments: so many tasks share one. A
// segment's name is its number or, if sized, the size and the number.
type segmentFormat struct {
	tasksPerSegment int
	sized           bool
}

func (f segmentFormat) nameOf(k int) string {
	if !f.sized {
		return strconv.Itoa(k)
	}
	return fmt.Sprintf("%s%d.%d", sizedSegmentMark, f.tasksPerSegment, k)
}

func (f segmentFormat) keyOf(id string, k int) string {
	return record.TaskSegmentPrefix + id + "/" + f.nameOf(k)
}

// currentMaxValueBytes is the limit of value sizes that unsized segments are numbered by.
func (s *Settings) currentMaxValueBytes() int { return max(s.MaxValueBytes, s.CurrentMaxValueBytes) }

// unsizedFormat is the format of the previous version of this program.
func (s *Settings) unsizedFormat() segmentFormat {
	return segmentFormat{tasksPerSegment: record.MaxTasksPerSegment(s.currentMaxValueBytes())}
}

// currentFormat is the format in which task records are written now.
func (f *formatMigration) currentFormat() segmentFormat {
	if f.current.tasksPerSegment > 0 {
		return f.current
	}
	return f.settings.unsizedFormat()
}

// parseSegmentKey reads a segment's format and number from its key.
func (f *formatMigration) parseSegmentKey(key string) (format segmentFormat, k int, ok bool) {
	name := key[strings.LastIndexByte(key, '/')+1:]
	format = f.settings.unsizedFormat()
	if part, sized := strings.CutPrefix(name, sizedSegmentMark); sized {
		per, rest, _ := strings.Cut(part, ".")
		format.sized = true
		format.tasksPerSegment, _ = strconv.Atoi(per)
		name = rest
	}
	k, err := strconv.Atoi(name)
	ok = err == nil && k >= 0 && format.tasksPerSegment > 0 && key[strings.LastIndexByte(key, '/')+1:] == format.nameOf(k)
	return format, k, ok
}

// applyFormatRecord applies a record under ctl/ about formats. Their deletion changes nothing.
func (f *formatMigration) applyFormatRecord(it message.KeyValue) {
	var r record.Format
	switch {
	case it.Deleted:
	case it.Key != record.FormatKey:
		f.support[strings.TrimPrefix(it.Key, record.FormatSupportPrefix)] = true
	case !record.Decode(it.Value, &r) || r.TasksPerSegment <= 0:
		f.rejectInput("record", it.Key, "record unreadable")
	default:
		f.modRevision = it.ModRevision
		f.adoptFormat(segmentFormat{r.TasksPerSegment, true})
	}
}

// adoptFormat goes over to a format if it is finer than the current one: a format that has
// come to count for one controller counts for all, and stays.
func (f *formatMigration) adoptFormat(format segmentFormat) {
	if !format.sized || format.tasksPerSegment >= f.currentFormat().tasksPerSegment && f.currentFormat().sized {
		return
	}
	f.current = format
	f.info("task record format migrated", "tasks_per_segment", format.tasksPerSegment)
	if f.controller.shardLeader == nil {
		return
	}
	for _, j := range f.controller.shardLeader.jobs {
		j.changeFormat(format)
	}
}

// advanceFormat takes the next step of the migration, if one is due: it writes that this
// controller knows sized segments or, as the leader or with the limits lowered, that all go
// over to them.
func (f *formatMigration) advanceFormat() {
	target := record.MaxTasksPerSegment(f.settings.MaxValueBytes)
	if f.writing || !f.controller.membership.loaded || f.controller.membership.leaseID == 0 || target >= f.currentFormat().tasksPerSegment {
		return
	}
	op := message.StoreRequest{Kind: message.OpTxn, Priority: message.PriorityMembership}
	rec := record.Encode(record.Format{TasksPerSegment: target})
	switch {
	case !f.support[f.settings.Host]:
		key := record.FormatSupportPrefix + f.settings.Host
		op.Compares = []message.Compare{{Key: key, ModRevision: 0}}
		op.Writes = []message.Write{{Key: key, Value: rec}}
	case f.limitsLowered && f.controller.shardLeader != nil:
		op.Compares = append(f.controller.shardLeader.shardCompares(""), message.Compare{Key: record.FormatKey, ModRevision: f.modRevision})
		op.Writes = []message.Write{{Key: record.FormatKey, Value: rec}}
	case f.controller.leader != nil && f.allSupportSizedSegments():
		op.Compares = []message.Compare{{Key: record.LeaderKey, ModRevision: f.controller.leader.modRevision}, {Key: record.FormatKey, ModRevision: f.modRevision}}
		op.Writes = []message.Write{{Key: record.FormatKey, Value: rec}}
	default:
		return
	}
	f.writing = true
	f.controller.requests.toStore(op, func(message.StoreResponse) {
		// The watch brings the record, whoever wrote it.
		f.after(f.jitter(storeRetryDelay), func() {
			f.writing = false
			f.advanceFormat()
		})
	})
}

// probeValueLimit finds out whether the store has lowered its limit of value sizes. It does so
// only after the upgrade, so that no controller of the previous version is left even if one
// has not written that it knows sized segments, having been cut off since its upgrade. A
// record may be rejected as malformed for other reasons; a plain text that only the new limit
// forbids is not.
func (f *formatMigration) probeValueLimit() {
	text := record.Encode(strings.Repeat("x", f.settings.MaxValueBytes))
	if size, err := sizelimit.JSON(text); err != nil || size > f.settings.currentMaxValueBytes() || f.limitsLowered || f.probingLimits || f.currentFormat().sized {
		return
	}
	f.probingLimits = true
	f.controller.requests.toStore(message.StoreRequest{Kind: message.OpTxn, Priority: message.PriorityStart, Writes: []message.Write{{Key: record.LimitProbeKey, Value: text}}}, func(d message.StoreResponse) {
		f.limitsLowered = d.Status == message.StoreMalformed
		f.after(malformedRetryDelay, func() { f.probingLimits = false })
		f.advanceFormat()
	})
}

// allSupportSizedSegments says that every controller of the deployment has written that it
// knows sized segments. Its process of the previous version is over by then and never comes
// back.
func (f *formatMigration) allSupportSizedSegments() bool {
	for _, h := range f.settings.Peers {
		if !f.support[h] {
			return false
		}
	}
	return f.support[f.settings.Host]
}

// changeFormat cuts the job's tasks into segments anew. What is durable stays where it stands;
// what is not, or may not be, has to be written in the new format.
func (j *job) changeFormat(f segmentFormat) {
	if f == j.segmentFormat {
		return
	}
	old, oldFormat := j.segments, j.segmentFormat
	j.segmentFormat, j.segments = f, map[int]*taskSegment{}
	for _, k := range sortedKeys(old) {
		c := old[k]
		if c.modRevision != 0 || c.writeInFlight {
			j.formerKeys = append(j.formerKeys, oldFormat.keyOf(j.ID, k))
		}
		for i := k * oldFormat.tasksPerSegment; i < min((k+1)*oldFormat.tasksPerSegment, len(j.tasks)); i++ {
			t := &j.tasks[i]
			if t.version == 0 {
				continue
			}
			target := j.formerSegment(i, c.rankingRevision)
			if t.version <= c.persistedVersion {
				t.version = 1
				continue
			}
			target.version, t.version = 2, 2
			target.urgent, target.changedSince = target.urgent || c.urgent || c.writeInFlight, c.changedSince
			j.unpersisted = true
		}
	}
}

// formerSegment is the segment of a task whose state stands in a record of a former format.
func (j *job) formerSegment(i int, rankingRevision uint64) *taskSegment {
	c := j.segmentOf(i)
	if c.version == 0 {
		c.version, c.persistedVersion, c.inFlightVersion = 1, 1, 1
	}
	c.rankingRevision = max(c.rankingRevision, rankingRevision)
	return c
}

// neverStartedCompares are conditions that nothing of a job's first tasks was ever written, in
// whatever format that may be when the store checks them.
func (f *formatMigration) neverStartedCompares(id string) []message.Compare {
	var out []message.Compare
	for _, format := range [...]segmentFormat{f.settings.unsizedFormat(), f.currentFormat(), {record.MaxTasksPerSegment(f.settings.MaxValueBytes), true}} {
		c := message.Compare{Key: format.keyOf(id, 0), ModRevision: 0}
		if format.sized && !f.currentFormat().sized && format.tasksPerSegment >= f.currentFormat().tasksPerSegment {
			// Such a format is never adopted.
			continue
		}
		if !slices.Contains(out, c) {
			out = append(out, c)
		}
	}
	return out
}

// compareFormats orders task records: finer formats, which take precedence, come first.
func (f *formatMigration) compareFormats(a, b message.KeyValue) int {
	rank := func(it message.KeyValue) int {
		if format, _, ok := f.parseSegmentKey(it.Key); ok && format.sized {
			return format.tasksPerSegment
		}
		return math.MaxInt
	}
	return cmp.Compare(rank(a), rank(b))
}
