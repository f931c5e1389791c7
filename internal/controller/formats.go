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

// segmentFormat is how a job's tasks are divided among records: so many share one, which is
// numbered alone, or is a part whose name says how many.
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

// currentMaxValueBytes is the limit of values by which records without parts are numbered.
func (s *Settings) currentMaxValueBytes() int { return max(s.MaxValueBytes, s.CurrentMaxValueBytes) }

// unsizedFormat is the form without parts.
func (s *Settings) unsizedFormat() segmentFormat {
	return segmentFormat{tasksPerSegment: record.MaxTasksPerSegment(s.currentMaxValueBytes())}
}

// currentFormat is the form in which records of tasks are written now.
func (f *formatMigration) currentFormat() segmentFormat {
	if f.current.tasksPerSegment > 0 {
		return f.current
	}
	return f.settings.unsizedFormat()
}

// parseSegmentKey reads the form of a record of tasks and its number from its key.
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

// applyFormatRecord takes in what ctl/ says of forms. It is never taken back.
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

// adoptFormat goes over to a form if it is finer than the one that counts: one that has
// come to count once counts for all, and stays.
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

// advanceFormat says that this controller knows parts, where they will be needed, and as the
// leader that all do.
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
		// The watch brings it, whoever wrote it.
		f.after(f.jitter(storeRetryDelay), func() {
			f.writing = false
			f.advanceFormat()
		})
	})
}

// probeValueLimit finds out whether the state service has lowered its limit of values, which
// it does only when the upgrade is over: a controller may have been cut off since it was
// replaced, and has not said so. A record that was called malformed may be so for another
// reason; a plain text that is too large for the limit to come is not.
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

// allSupportSizedSegments says that every controller of the deployment has said that it knows parts.
// Its process of the version before is over by then and never comes back.
func (f *formatMigration) allSupportSizedSegments() bool {
	for _, h := range f.settings.Peers {
		if !f.support[h] {
			return false
		}
	}
	return f.support[f.settings.Host]
}

// changeFormat divides the job's tasks anew. What is durable stays so where it stands; what
// is not, or perhaps is not, has to be written in the new form.
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

// formerSegment is the chunk of a task whose state stands in a record of a former form.
func (j *job) formerSegment(i int, rankingRevision uint64) *taskSegment {
	c := j.segmentOf(i)
	if c.version == 0 {
		c.version, c.persistedVersion, c.inFlightVersion = 1, 1, 1
	}
	c.rankingRevision = max(c.rankingRevision, rankingRevision)
	return c
}

// neverStartedCompares are conditions that nothing of a job's first tasks was ever written, in
// whatever form it may be by the time that they are judged.
func (f *formatMigration) neverStartedCompares(id string) []message.Compare {
	var out []message.Compare
	for _, format := range [...]segmentFormat{f.settings.unsizedFormat(), f.currentFormat(), {record.MaxTasksPerSegment(f.settings.MaxValueBytes), true}} {
		c := message.Compare{Key: format.keyOf(id, 0), ModRevision: 0}
		if format.sized && !f.currentFormat().sized && format.tasksPerSegment >= f.currentFormat().tasksPerSegment {
			// It never comes to that.
			continue
		}
		if !slices.Contains(out, c) {
			out = append(out, c)
		}
	}
	return out
}

// compareFormats orders records of tasks: those that count before others come first.
func (f *formatMigration) compareFormats(a, b message.KeyValue) int {
	rank := func(it message.KeyValue) int {
		if format, _, ok := f.parseSegmentKey(it.Key); ok && format.sized {
			return format.tasksPerSegment
		}
		return math.MaxInt
	}
	return cmp.Compare(rank(a), rank(b))
}
