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

// formats.go has the records of tasks go over to fewer tasks a record before the state
// service lowers its limit of values. The version before numbers its records by the
// limit of now and can't read others, so nothing changes until no controller of that
// version can come back. Each controller that knows parts says so in a record of its
// own, which outlives it; when all have, which stays true for ever, the leader writes
// formatKey, and from then on records stand as parts. What stood before is read, and never
// written again: see docs/design.md, "Two versions, and lower limits".

const (
	// sizedSegmentMark is what the names of parts begin with, after the job's.
	sizedSegmentMark = "s"
)

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

// segmentFormat is the form in which records of tasks are written now.
func (n *Controller) segmentFormat() segmentFormat {
	if n.membership.format.tasksPerSegment > 0 {
		return n.membership.format
	}
	return n.settings.unsizedFormat()
}

// parseSegmentKey reads the form of a record of tasks and its number from its key.
func (n *Controller) parseSegmentKey(key string) (f segmentFormat, k int, ok bool) {
	name := key[strings.LastIndexByte(key, '/')+1:]
	f = n.settings.unsizedFormat()
	if part, sized := strings.CutPrefix(name, sizedSegmentMark); sized {
		per, rest, _ := strings.Cut(part, ".")
		f.sized = true
		f.tasksPerSegment, _ = strconv.Atoi(per)
		name = rest
	}
	k, err := strconv.Atoi(name)
	ok = err == nil && k >= 0 && f.tasksPerSegment > 0 && key[strings.LastIndexByte(key, '/')+1:] == f.nameOf(k)
	return f, k, ok
}

// applyFormatRecord takes in what ctl/ says of forms. It is never taken back.
func applyFormatRecord(n *Controller, it message.KeyValue) {
	var r record.Format
	switch {
	case it.Deleted:
	case it.Key != record.FormatKey:
		n.membership.formatSupport[strings.TrimPrefix(it.Key, record.FormatSupportPrefix)] = true
	case !record.Decode(it.Value, &r) || r.TasksPerSegment <= 0:
		n.rejectInput("record", it.Key, "it can't be read")
	default:
		n.membership.formatModRevision = it.ModRevision
		adoptFormat(n, segmentFormat{r.TasksPerSegment, true})
	}
}

// adoptFormat goes over to a form if it is finer than the one that counts: one that has
// come to count once counts for all, and stays.
func adoptFormat(n *Controller, f segmentFormat) {
	if !f.sized || f.tasksPerSegment >= n.segmentFormat().tasksPerSegment && n.segmentFormat().sized {
		return
	}
	n.membership.format = f
	n.info("records of tasks are parts", "tasks", f.tasksPerSegment)
	if n.shardLeader == nil {
		return
	}
	for _, j := range n.shardLeader.jobs {
		j.changeFormat(f)
	}
}

// advanceFormat says that this controller knows parts, where they will be needed, and as the
// leader that all do.
func advanceFormat(n *Controller) {
	s := &n.membership
	target := record.MaxTasksPerSegment(n.settings.MaxValueBytes)
	if s.writingFormat || !s.loaded || s.leaseID == 0 || target >= n.segmentFormat().tasksPerSegment {
		return
	}
	op := message.StoreRequest{Kind: message.OpTxn, Priority: message.PriorityMembership}
	rec := record.Encode(record.Format{TasksPerSegment: target})
	switch {
	case !s.formatSupport[n.settings.Host]:
		key := record.FormatSupportPrefix + n.settings.Host
		op.Compares = []message.Compare{{Key: key, ModRevision: 0}}
		op.Writes = []message.Write{{Key: key, Value: rec}}
	case s.limitsLowered && n.shardLeader != nil:
		op.Compares = append(n.shardCompares(""), message.Compare{Key: record.FormatKey, ModRevision: s.formatModRevision})
		op.Writes = []message.Write{{Key: record.FormatKey, Value: rec}}
	case n.leader != nil && allSupportSizedSegments(n):
		op.Compares = []message.Compare{{Key: record.LeaderKey, ModRevision: n.leader.modRevision}, {Key: record.FormatKey, ModRevision: s.formatModRevision}}
		op.Writes = []message.Write{{Key: record.FormatKey, Value: rec}}
	default:
		return
	}
	s.writingFormat = true
	n.requestStore(op, func(message.StoreResponse) {
		// The watch brings it, whoever wrote it.
		n.after(n.jitter(storeRetryDelay), func() {
			s.writingFormat = false
			advanceFormat(n)
		})
	})
}

// probeValueLimit finds out whether the state service has lowered its limit of values, which
// it does only when the upgrade is over: a controller may have been cut off since it was
// replaced, and has not said so. A record that was called malformed may be so for another
// reason; a plain text that is too large for the limit to come is not.
func probeValueLimit(n *Controller) {
	s := &n.membership
	text := record.Encode(strings.Repeat("x", n.settings.MaxValueBytes))
	if size, err := sizelimit.JSON(text); err != nil || size > n.settings.currentMaxValueBytes() || s.limitsLowered || s.probingLimits || n.segmentFormat().sized {
		return
	}
	s.probingLimits = true
	n.requestStore(message.StoreRequest{Kind: message.OpTxn, Priority: message.PriorityStart, Writes: []message.Write{{Key: record.LimitProbeKey, Value: text}}}, func(d message.StoreResponse) {
		s.limitsLowered = d.Status == message.StoreMalformed
		n.after(malformedRetryDelay, func() { s.probingLimits = false })
		advanceFormat(n)
	})
}

// allSupportSizedSegments says that every controller of the deployment has said that it knows parts.
// Its process of the version before is over by then and never comes back.
func allSupportSizedSegments(n *Controller) bool {
	for _, h := range n.settings.Peers {
		if !n.membership.formatSupport[h] {
			return false
		}
	}
	return n.membership.formatSupport[n.settings.Host]
}

// changeFormat divides the job's tasks anew. What is durable stays so where it stands; what
// is not, or perhaps is not, has to be written in the new form.
func (j *job) changeFormat(f segmentFormat) {
	if f == j.segmentFormat {
		return
	}
	old, oldForm := j.segments, j.segmentFormat
	j.segmentFormat, j.segments = f, map[int]*taskSegment{}
	for _, k := range sortedKeys(old) {
		c := old[k]
		if c.modRevision != 0 || c.writeInFlight {
			j.formerKeys = append(j.formerKeys, oldForm.keyOf(j.ID, k))
		}
		for i := k * oldForm.tasksPerSegment; i < min((k+1)*oldForm.tasksPerSegment, len(j.tasks)); i++ {
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
func (j *job) formerSegment(i int, rank uint64) *taskSegment {
	c := j.segmentOf(i)
	if c.version == 0 {
		c.version, c.persistedVersion, c.inFlightVersion = 1, 1, 1
	}
	c.rankingRevision = max(c.rankingRevision, rank)
	return c
}

// neverStartedCompares are conditions that nothing of a job's first tasks was ever written, in
// whatever form it may be by the time that they are judged.
func (n *Controller) neverStartedCompares(id string) []message.Compare {
	var out []message.Compare
	for _, f := range [...]segmentFormat{n.settings.unsizedFormat(), n.segmentFormat(), {record.MaxTasksPerSegment(n.settings.MaxValueBytes), true}} {
		c := message.Compare{Key: f.keyOf(id, 0), ModRevision: 0}
		if f.sized && !n.segmentFormat().sized && f.tasksPerSegment >= n.segmentFormat().tasksPerSegment {
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
func (n *Controller) compareFormats(a, b message.KeyValue) int {
	rank := func(it message.KeyValue) int {
		if f, _, ok := n.parseSegmentKey(it.Key); ok && f.sized {
			return f.tasksPerSegment
		}
		return math.MaxInt
	}
	return cmp.Compare(rank(a), rank(b))
}
