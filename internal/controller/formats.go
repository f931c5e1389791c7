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

// sizedSegmentMark begins the name of a sized segment, whose name includes its size, within a
// job's keys.
const sizedSegmentMark = "s"

// formatMigration has the controllers change to task records with fewer tasks in a segment
// before the store lowers its limit of value sizes.
//
// The previous version of this program numbers segments by the present limit and can't read any
// others. So nothing changes until no controller of that version can come back. Each controller
// that supports sized segments writes a record of its own that says so and outlives the process.
// Once every controller has written one, which stays true for ever, the leader writes
// record.FormatKey. From then on segments are written with their size in the name. Segments of
// earlier formats are read and never written again: see docs/design.md, "Two versions, and lower
// limits".
//
// formatMigration is part of membership and lives as long as the process. Its state follows
// records that are never removed, so a failover does not change it.
type formatMigration struct {
	component

	// support has the hosts of the controllers that support sized segments.
	support map[string]bool
	// current is the format that all controllers have changed to, and zero before the change.
	// modRevision is the mod revision of record.FormatKey.
	current     segmentFormat
	modRevision uint64
	// writing is set while a write of one of these records is under way.
	writing bool
	// limitsLowered is set when the store was found to enforce its new value limit.
	// probingLimits is set for malformedRetryDelay after a probe of that limit.
	limitsLowered bool
	probingLimits bool
}

// init prepares the empty set of supporting controllers.
func (f *formatMigration) init() { f.support = map[string]bool{} }

// segmentFormat is how a job's task records are cut into segments of tasksPerSegment tasks. The
// name of a segment is its number or, if the format is sized, its size and its number.
type segmentFormat struct {
	tasksPerSegment int
	sized           bool
}

// nameOf returns the name of segment k within a job's keys.
func (f segmentFormat) nameOf(k int) string {
	if !f.sized {
		return strconv.Itoa(k)
	}
	return fmt.Sprintf("%s%d.%d", sizedSegmentMark, f.tasksPerSegment, k)
}

// keyOf returns the store's key of segment k of the job id.
func (f segmentFormat) keyOf(id string, k int) string {
	return record.TaskSegmentPrefix + id + "/" + f.nameOf(k)
}

// currentMaxValueBytes returns the limit of value sizes, in bytes, that the numbers of unsized
// segments are based on.
func (s *Settings) currentMaxValueBytes() int { return max(s.MaxValueBytes, s.CurrentMaxValueBytes) }

// unsizedFormat returns the format of the previous version of this program.
func (s *Settings) unsizedFormat() segmentFormat {
	return segmentFormat{tasksPerSegment: record.MaxTasksPerSegment(s.currentMaxValueBytes())}
}

// currentFormat returns the format in which task records are written at present.
func (f *formatMigration) currentFormat() segmentFormat {
	if f.current.tasksPerSegment > 0 {
		return f.current
	}
	return f.settings.unsizedFormat()
}

// parseSegmentKey returns the format and the number of the segment that a key names. ok is false
// for a key that no format produces.
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

// applyFormatRecord applies a format record or format support record under ctl/. The deletion of
// such a record changes nothing.
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

// adoptFormat changes to a sized format that has fewer tasks in a segment than the current one.
// A format that one controller has adopted counts for all, and is never given up.
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

// advanceFormat takes the next step of the migration, if one is due. It records that this
// controller supports sized segments. Once it has, it writes the new format: as the leader when
// all controllers support it, or as a shard leader when the store has lowered its limit.
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
		// The watch delivers the record, whichever controller wrote it. Without it the step is
		// tried again.
		f.after(f.jitter(storeRetryDelay), func() {
			f.writing = false
			f.advanceFormat()
		})
	})
}

// probeValueLimit finds out whether the store has lowered its limit of value sizes. The store
// does so only after the upgrade, when no controller of the previous version is left. That holds
// even if a controller has not recorded its support, having been cut off from the store since
// its upgrade. The store may reject a task record as malformed for other reasons, so the probe
// is a plain text that only the new limit forbids.
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

// allSupportSizedSegments reports whether every controller of the deployment has recorded that
// it supports sized segments. Each controller's process of the previous version has ended by
// then and never comes back.
func (f *formatMigration) allSupportSizedSegments() bool {
	for _, h := range f.settings.Peers {
		if !f.support[h] {
			return false
		}
	}
	return f.support[f.settings.Host]
}

// changeFormat divides the job's tasks into segments of format f. Durable task states stay in
// the records of the former format. A state that is not durable, or may not be because its write
// is in flight, is to be written in the new format.
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

// formerSegment returns the present segment of task i, whose state is stored in a record of a
// former format. rankingRevision is that of the former segment.
func (j *job) formerSegment(i int, rankingRevision uint64) *taskSegment {
	c := j.segmentOf(i)
	if c.version == 0 {
		c.version, c.persistedVersion, c.inFlightVersion = 1, 1, 1
	}
	c.rankingRevision = max(c.rankingRevision, rankingRevision)
	return c
}

// neverStartedCompares returns compares that hold only if no record of the job's first tasks was
// ever written, in any format that may be current when the store checks the compares.
func (f *formatMigration) neverStartedCompares(id string) []message.Compare {
	var out []message.Compare
	for _, format := range [...]segmentFormat{f.settings.unsizedFormat(), f.currentFormat(), {record.MaxTasksPerSegment(f.settings.MaxValueBytes), true}} {
		c := message.Compare{Key: format.keyOf(id, 0), ModRevision: 0}
		if format.sized && !f.currentFormat().sized && format.tasksPerSegment >= f.currentFormat().tasksPerSegment {
			// A sized format with this many tasks in a segment is never adopted.
			continue
		}
		if !slices.Contains(out, c) {
			out = append(out, c)
		}
	}
	return out
}

// compareFormats orders task records by format, those with fewer tasks in a segment first,
// because they take precedence over the coarser ones.
func (f *formatMigration) compareFormats(a, b message.KeyValue) int {
	rank := func(it message.KeyValue) int {
		if format, _, ok := f.parseSegmentKey(it.Key); ok && format.sized {
			return format.tasksPerSegment
		}
		return math.MaxInt
	}
	return cmp.Compare(rank(a), rank(b))
}
