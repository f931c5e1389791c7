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
// The previous version of this program numbers segments by the current limit and can't read any
// others. So nothing changes until no controller of that version can come back. Each controller
// that supports sized segments writes a record of its own that says so and outlives the process.
// Once every controller has written one, which stays true, the leader writes
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
	// writing is set while a write of one of these records is in flight.
	writing bool
	// limitsLowered is set when the store was found to enforce its new value limit.
	// probingLimits is set for malformedRetryDelay after a probe of that limit.
	limitsLowered bool
	probingLimits bool
}

// init prepares the empty set of supporting controllers.
func (formats *formatMigration) init() { formats.support = map[string]bool{} }

// segmentFormat is how a job's task records are cut into segments of tasksPerSegment tasks. The
// name of a segment is its number or, if the format is sized, its size and its number.
type segmentFormat struct {
	tasksPerSegment int
	sized           bool
}

// nameOf returns the name of the segment with this index within a job's keys.
func (format segmentFormat) nameOf(index int) string {
	if !format.sized {
		return strconv.Itoa(index)
	}
	return fmt.Sprintf("%s%d.%d", sizedSegmentMark, format.tasksPerSegment, index)
}

// keyOf returns the store's key of the job's segment with this index.
func (format segmentFormat) keyOf(jobID string, index int) string {
	return record.TaskSegmentPrefix + jobID + "/" + format.nameOf(index)
}

// currentMaxValueBytes returns the limit of value sizes, in bytes, that the numbers of unsized
// segments are based on.
func (settings *Settings) currentMaxValueBytes() int {
	return max(settings.MaxValueBytes, settings.CurrentMaxValueBytes)
}

// unsizedFormat returns the format of the previous version of this program.
func (settings *Settings) unsizedFormat() segmentFormat {
	return segmentFormat{tasksPerSegment: record.MaxTasksPerSegment(settings.currentMaxValueBytes())}
}

// currentFormat returns the format in which task records are written.
func (formats *formatMigration) currentFormat() segmentFormat {
	if formats.current.tasksPerSegment > 0 {
		return formats.current
	}
	return formats.settings.unsizedFormat()
}

// parseSegmentKey returns the format and the number of the segment that a key names. ok is false
// for a key that no format produces.
func (formats *formatMigration) parseSegmentKey(key string) (format segmentFormat, index int, ok bool) {
	name := key[strings.LastIndexByte(key, '/')+1:]
	format = formats.settings.unsizedFormat()
	if part, sized := strings.CutPrefix(name, sizedSegmentMark); sized {
		per, rest, _ := strings.Cut(part, ".")
		format.sized = true
		format.tasksPerSegment, _ = strconv.Atoi(per)
		name = rest
	}
	index, err := strconv.Atoi(name)
	ok = err == nil && index >= 0 && format.tasksPerSegment > 0 && key[strings.LastIndexByte(key, '/')+1:] == format.nameOf(index)
	return format, index, ok
}

// applyFormatRecord applies a format record or format support record under ctl/. The deletion of
// such a record changes nothing.
func (formats *formatMigration) applyFormatRecord(kv message.KeyValue) {
	var rec record.Format
	switch {
	case kv.Deleted:
	case kv.Key != record.FormatKey:
		formats.support[strings.TrimPrefix(kv.Key, record.FormatSupportPrefix)] = true
	case !record.Decode(kv.Value, &rec) || rec.TasksPerSegment <= 0:
		formats.rejectInput("record", kv.Key, "record unreadable")
	default:
		formats.modRevision = kv.ModRevision
		formats.adoptFormat(segmentFormat{rec.TasksPerSegment, true})
	}
}

// adoptFormat changes to a sized format if the current format is unsized or has more tasks in a
// segment.
// A format that one controller has adopted counts for all, and is never given up.
func (formats *formatMigration) adoptFormat(format segmentFormat) {
	if !format.sized || format.tasksPerSegment >= formats.currentFormat().tasksPerSegment && formats.currentFormat().sized {
		return
	}
	formats.current = format
	formats.info("task record format migrated", "tasks_per_segment", format.tasksPerSegment)
	if formats.controller.shardLeader == nil {
		return
	}
	for _, job := range formats.controller.shardLeader.jobs {
		job.changeFormat(format)
	}
}

// advanceFormat takes the next step of the migration, if one is due. It records that this
// controller supports sized segments. Once that is recorded, it writes the new format: as the
// leader when all controllers support it, or as a shard leader when the store has lowered its
// limit.
func (formats *formatMigration) advanceFormat() {
	target := record.MaxTasksPerSegment(formats.settings.MaxValueBytes)
	if formats.writing || !formats.controller.membership.loaded || formats.controller.membership.leaseID == 0 || target >= formats.currentFormat().tasksPerSegment {
		return
	}
	request := message.StoreRequest{Kind: message.OpTxn, Priority: message.PriorityMembership}
	rec := record.Encode(record.Format{TasksPerSegment: target})
	switch {
	case !formats.support[formats.settings.Host]:
		key := record.FormatSupportPrefix + formats.settings.Host
		request.Compares = []message.Compare{{Key: key, ModRevision: 0}}
		request.Writes = []message.Write{{Key: key, Value: rec}}
	case formats.limitsLowered && formats.controller.shardLeader != nil:
		request.Compares = append(formats.controller.shardLeader.shardCompares(""), message.Compare{Key: record.FormatKey, ModRevision: formats.modRevision})
		request.Writes = []message.Write{{Key: record.FormatKey, Value: rec}}
	case formats.controller.leader != nil && formats.allSupportSizedSegments():
		request.Compares = []message.Compare{{Key: record.LeaderKey, ModRevision: formats.controller.leader.modRevision}, {Key: record.FormatKey, ModRevision: formats.modRevision}}
		request.Writes = []message.Write{{Key: record.FormatKey, Value: rec}}
	default:
		return
	}
	formats.writing = true
	formats.controller.requests.toStore(request, func(message.StoreResponse) {
		// The watch delivers the record, whichever controller wrote it. Without it the step is
		// tried again.
		formats.after(formats.jitter(storeRetryDelay), func() {
			formats.writing = false
			formats.advanceFormat()
		})
	})
}

// probeValueLimit finds out whether the store has lowered its limit of value sizes. The store
// does so only after the upgrade, when no controller of the previous version is left. That holds
// even if a controller has not recorded its support, having been cut off from the store since
// its upgrade. The store may reject a task record as malformed for other reasons, so the probe
// is a plain text that only the new limit forbids.
func (formats *formatMigration) probeValueLimit() {
	text := record.Encode(strings.Repeat("x", formats.settings.MaxValueBytes))
	if size, err := sizelimit.JSONSize(text); err != nil || size > formats.settings.currentMaxValueBytes() || formats.limitsLowered || formats.probingLimits || formats.currentFormat().sized {
		return
	}
	formats.probingLimits = true
	formats.controller.requests.toStore(message.StoreRequest{Kind: message.OpTxn, Priority: message.PriorityStart, Writes: []message.Write{{Key: record.LimitProbeKey, Value: text}}}, func(response message.StoreResponse) {
		formats.limitsLowered = response.Status == message.StoreMalformed
		formats.after(malformedRetryDelay, func() { formats.probingLimits = false })
		formats.advanceFormat()
	})
}

// allSupportSizedSegments reports whether every controller of the deployment has recorded that
// it supports sized segments. Each controller's process of the previous version has ended by
// then and never comes back.
func (formats *formatMigration) allSupportSizedSegments() bool {
	for _, host := range formats.settings.Peers {
		if !formats.support[host] {
			return false
		}
	}
	return formats.support[formats.settings.Host]
}

// changeFormat divides the job's tasks into segments of another format. Durable task states stay
// in the records of the former format. A state that is not durable, or may not be because its
// write is in flight, is to be written in the new format.
func (job *job) changeFormat(format segmentFormat) {
	if format == job.segmentFormat {
		return
	}
	old, oldFormat := job.segments, job.segmentFormat
	job.segmentFormat, job.segments = format, map[int]*taskSegment{}
	for _, index := range sortedKeys(old) {
		segment := old[index]
		if segment.modRevision != 0 || segment.writeInFlight {
			job.formerKeys = append(job.formerKeys, oldFormat.keyOf(job.ID, index))
		}
		for i := index * oldFormat.tasksPerSegment; i < min((index+1)*oldFormat.tasksPerSegment, len(job.tasks)); i++ {
			task := &job.tasks[i]
			if task.version == 0 {
				continue
			}
			target := job.formerSegment(i, segment.rankingRevision)
			if task.version <= segment.persistedVersion {
				task.version = 1
				continue
			}
			target.version, task.version = 2, 2
			target.urgent, target.changedSince = target.urgent || segment.urgent || segment.writeInFlight, segment.changedSince
			job.unpersisted = true
		}
	}
}

// formerSegment returns the current segment of task i, whose state is stored in a record of a
// former format. rankingRevision is that of the former segment.
func (job *job) formerSegment(i int, rankingRevision uint64) *taskSegment {
	segment := job.segmentOf(i)
	if segment.version == 0 {
		segment.version, segment.persistedVersion, segment.inFlightVersion = 1, 1, 1
	}
	segment.rankingRevision = max(segment.rankingRevision, rankingRevision)
	return segment
}

// neverStartedCompares returns compares that hold only if no record of the job's first tasks was
// ever written, in any format that may be current when the store checks the compares.
func (formats *formatMigration) neverStartedCompares(jobID string) []message.Compare {
	var out []message.Compare
	for _, format := range [...]segmentFormat{formats.settings.unsizedFormat(), formats.currentFormat(), {record.MaxTasksPerSegment(formats.settings.MaxValueBytes), true}} {
		compare := message.Compare{Key: format.keyOf(jobID, 0), ModRevision: 0}
		if format.sized && !formats.currentFormat().sized && format.tasksPerSegment >= formats.currentFormat().tasksPerSegment {
			// A sized format with this many tasks in a segment is never adopted.
			continue
		}
		if !slices.Contains(out, compare) {
			out = append(out, compare)
		}
	}
	return out
}

// compareFormats orders task records by format, those with fewer tasks in a segment first,
// because they take precedence over the coarser ones.
func (formats *formatMigration) compareFormats(a, b message.KeyValue) int {
	rank := func(kv message.KeyValue) int {
		if format, _, ok := formats.parseSegmentKey(kv.Key); ok && format.sized {
			return format.tasksPerSegment
		}
		return math.MaxInt
	}
	return cmp.Compare(rank(a), rank(b))
}
