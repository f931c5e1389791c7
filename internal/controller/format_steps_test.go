package controller

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/micahill/micahill/internal/record"
	"github.com/micahill/micahill/internal/sizelimit"
)

// formatSteps runs random steps of a job before and after the change to sized segments.
type formatSteps struct {
	seed       uint64
	rng        *rand.Rand
	steps      int
	controller *Controller
	job        *job
	// sized is set after the change to sized segments.
	sized bool
	// stored are the records in the store. durable is the state of the tasks according to these
	// records.
	stored  map[string][]byte
	durable map[int]taskState
	// writtenSized are the tasks whose newest record is in a sized segment.
	writtenSized map[int]bool
	// late is a write in the former format that has no answer, or nil.
	late *lateSegmentWrite
}

// lateSegmentWrite is a write of a segment that the store may apply later, and the task states
// that it holds.
type lateSegmentWrite struct {
	key    string
	value  []byte
	states map[int]taskState
}

// newFormatSteps returns a job recovered from the production records.
func newFormatSteps(t *testing.T, seed uint64) *formatSteps {
	t.Helper()
	s := &formatSteps{seed: seed, rng: rand.New(rand.NewPCG(seed, 2)), stored: productionRecords(t), controller: newFormatTestController(), writtenSized: map[int]bool{}}
	s.job = recoverTestJob(s.controller, s.stored)
	s.durable = taskStatesOf(s.job)
	return s
}

// at returns the seed and the present step, for messages.
func (s *formatSteps) at() string { return fmt.Sprint("seed ", s.seed, " step ", s.steps) }

// statesOf returns the states of a segment's tasks.
func (s *formatSteps) statesOf(segment *taskSegment) map[int]taskState {
	states := map[int]taskState{}
	for i := segment.index * s.job.tasksPerSegment; i < min((segment.index+1)*s.job.tasksPerSegment, 100); i++ {
		states[i] = taskStateOf(s.job, i)
	}
	return states
}

// step makes one random step.
func (s *formatSteps) step(t *testing.T) {
	t.Helper()
	s.steps++
	switch x := s.rng.IntN(12); {
	case x == 0 && s.steps > 6 && !s.sized:
		s.changeFormat(t)
	case x == 1 && s.late != nil:
		s.applyLateWrite()
	case x == 2:
		s.takeOver(t)
	case x < 6:
		s.write(t)
	default:
		changeTask(s.controller, s.job, s.rng.IntN(100), s.rng)
	}
}

// changeFormat changes to sized segments. If a randomly picked segment exists, a write of it in
// the former format is in flight.
func (s *formatSteps) changeFormat(t *testing.T) {
	t.Helper()
	s.sized = true
	if segment := s.job.segments[s.rng.IntN(3)]; segment != nil {
		key, value := writeSegment(t, s.controller, s.job, segment, nil)
		segment.writeInFlight = true
		s.late = &lateSegmentWrite{key, value, s.statesOf(segment)}
	}
	s.adoptSizedFormat()
}

// adoptSizedFormat has the controller adopt sized segments for values of 2048 bytes.
func (s *formatSteps) adoptSizedFormat() {
	s.controller.membership.formats.adoptFormat(segmentFormat{record.MaxTasksPerSegment(2048), true})
}

// applyLateWrite has the store apply the late write. States that sized segments hold take
// precedence over it.
func (s *formatSteps) applyLateWrite() {
	s.stored[s.late.key] = s.late.value
	for i, state := range s.late.states {
		if !s.writtenSized[i] {
			s.durable[i] = state
		}
	}
	s.late = nil
}

// takeOver replaces the controller by a successor that recovers the job. The successor's shard
// has another mod revision, so the store refuses the late write.
func (s *formatSteps) takeOver(t *testing.T) {
	t.Helper()
	s.late = nil
	s.controller = newFormatTestController()
	if s.sized {
		s.adoptSizedFormat()
	}
	s.job = recoverTestJob(s.controller, s.stored)
	requireSameStates(t, s.at()+": recovered by a successor", taskStatesOf(s.job), s.durable)
}

// write writes a random segment, if it has changed.
func (s *formatSteps) write(t *testing.T) {
	t.Helper()
	keys := sortedKeys(s.job.segments)
	segment := s.job.segments[keys[s.rng.IntN(len(keys))]]
	if segment.version == segment.persistedVersion {
		return
	}
	key, value := writeSegment(t, s.controller, s.job, segment, s.stored)
	if size, err := sizelimit.JSON(value); s.sized && (err != nil || size > 2048) || s.sized != strings.Contains(key, "/"+sizedSegmentMark) {
		t.Fatalf("%s: got %s of %d bytes, want at most 2048 bytes once segments are sized, and a sized name: %v", s.at(), key, size, s.sized)
	}
	for i, state := range s.statesOf(segment) {
		s.durable[i] = state
		s.writtenSized[i] = s.sized
	}
}

// checkDurable checks that the task states that the controller takes for durable are those in
// the store.
func (s *formatSteps) checkDurable(t *testing.T) {
	t.Helper()
	for i := range 100 {
		if s.job.tasks[i].version > 0 && s.job.durable(i) && taskStateOf(s.job, i) != s.durable[i] {
			t.Fatalf("%s: task %d: got %+v taken for durable, want %+v", s.at(), i, taskStateOf(s.job, i), s.durable[i])
		}
	}
}

// checkRemoval checks that the job's end removes all its task records.
func (s *formatSteps) checkRemoval(t *testing.T) {
	t.Helper()
	removed := slices.Clone(s.job.formerKeys)
	for _, segment := range s.job.segments {
		if segment.modRevision != 0 {
			removed = append(removed, s.job.segmentKey(segment))
		}
	}
	for key := range s.stored {
		if strings.HasPrefix(key, record.TaskSegmentPrefix) && !slices.Contains(removed, key) {
			t.Fatalf("%s: got record %s left after the job's end, want it removed", s.at(), key)
		}
	}
}

// TestSizedSegmentsAfterAnySteps guards against task states that are lost or outdated after the
// change to sized segments. The change comes at a random moment, a write in the former format
// may get no answer and be applied at any later time, and successors take over in between. For
// every task the last durable state must count, each write must fit the lower limit, and no
// record of the former format may be written again.
func TestSizedSegmentsAfterAnySteps(t *testing.T) {
	for seed := range uint64(200) {
		s := newFormatSteps(t, seed)
		for range 60 {
			s.step(t)
			s.checkDurable(t)
		}
		s.checkRemoval(t)
	}
}
