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
	// lateWrite is a write in the former format that got no response, or nil.
	lateWrite *lateSegmentWrite
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
	steps := &formatSteps{seed: seed, rng: rand.New(rand.NewPCG(seed, 2)), stored: productionRecords(t), controller: newFormatTestController(), writtenSized: map[int]bool{}}
	steps.job = recoverTestJob(steps.controller, steps.stored)
	steps.durable = taskStatesOf(steps.job)
	return steps
}

// position returns the seed and the current step, for messages.
func (steps *formatSteps) position() string {
	return fmt.Sprint("seed ", steps.seed, " step ", steps.steps)
}

// statesOf returns the states of a segment's tasks.
func (steps *formatSteps) statesOf(segment *taskSegment) map[int]taskState {
	states := map[int]taskState{}
	for i := segment.index * steps.job.tasksPerSegment; i < min((segment.index+1)*steps.job.tasksPerSegment, 100); i++ {
		states[i] = taskStateOf(steps.job, i)
	}
	return states
}

// step makes one random step.
func (steps *formatSteps) step(t *testing.T) {
	t.Helper()
	steps.steps++
	switch choice := steps.rng.IntN(12); {
	case choice == 0 && steps.steps > 6 && !steps.sized:
		steps.changeFormat(t)
	case choice == 1 && steps.lateWrite != nil:
		steps.applyLateWrite()
	case choice == 2:
		steps.takeOver(t)
	case choice < 6:
		steps.write(t)
	default:
		changeTask(steps.controller, steps.job, steps.rng.IntN(100), steps.rng)
	}
}

// changeFormat changes to sized segments. If a randomly picked segment exists, a write of it in
// the former format is in flight.
func (steps *formatSteps) changeFormat(t *testing.T) {
	t.Helper()
	steps.sized = true
	if segment := steps.job.segments[steps.rng.IntN(3)]; segment != nil {
		key, value := writeSegment(t, steps.controller, steps.job, segment, nil)
		segment.writeInFlight = true
		steps.lateWrite = &lateSegmentWrite{key, value, steps.statesOf(segment)}
	}
	steps.adoptSizedFormat()
}

// adoptSizedFormat has the controller adopt sized segments for values of 2048 bytes.
func (steps *formatSteps) adoptSizedFormat() {
	steps.controller.membership.formats.adoptFormat(segmentFormat{record.MaxTasksPerSegment(2048), true})
}

// applyLateWrite has the store apply the late write. States that sized segments hold take
// precedence over it.
func (steps *formatSteps) applyLateWrite() {
	steps.stored[steps.lateWrite.key] = steps.lateWrite.value
	for i, state := range steps.lateWrite.states {
		if !steps.writtenSized[i] {
			steps.durable[i] = state
		}
	}
	steps.lateWrite = nil
}

// takeOver replaces the controller by a successor that recovers the job. The successor's shard
// has another mod revision, so the store refuses the late write.
func (steps *formatSteps) takeOver(t *testing.T) {
	t.Helper()
	steps.lateWrite = nil
	steps.controller = newFormatTestController()
	if steps.sized {
		steps.adoptSizedFormat()
	}
	steps.job = recoverTestJob(steps.controller, steps.stored)
	requireSameStates(t, steps.position()+": recovered by a successor", taskStatesOf(steps.job), steps.durable)
}

// write writes a random segment, if it has changed.
func (steps *formatSteps) write(t *testing.T) {
	t.Helper()
	keys := sortedKeys(steps.job.segments)
	segment := steps.job.segments[keys[steps.rng.IntN(len(keys))]]
	if segment.version == segment.persistedVersion {
		return
	}
	key, value := writeSegment(t, steps.controller, steps.job, segment, steps.stored)
	if size, err := sizelimit.JSONSize(value); steps.sized && (err != nil || size > 2048) || steps.sized != strings.Contains(key, "/"+sizedSegmentMark) {
		t.Fatalf("%s: got %s of %d bytes, want at most 2048 bytes once segments are sized, and a sized name: %v", steps.position(), key, size, steps.sized)
	}
	for i, state := range steps.statesOf(segment) {
		steps.durable[i] = state
		steps.writtenSized[i] = steps.sized
	}
}

// checkDurable checks that the task states that the controller takes for durable are those in
// the store.
func (steps *formatSteps) checkDurable(t *testing.T) {
	t.Helper()
	for i := range 100 {
		if steps.job.tasks[i].version > 0 && steps.job.durable(i) && taskStateOf(steps.job, i) != steps.durable[i] {
			t.Fatalf("%s: task %d: got %+v taken for durable, want %+v", steps.position(), i, taskStateOf(steps.job, i), steps.durable[i])
		}
	}
}

// checkRemoval checks that the job's end removes all its task records.
func (steps *formatSteps) checkRemoval(t *testing.T) {
	t.Helper()
	removed := slices.Clone(steps.job.formerKeys)
	for _, segment := range steps.job.segments {
		if segment.modRevision != 0 {
			removed = append(removed, steps.job.segmentKey(segment))
		}
	}
	for key := range steps.stored {
		if strings.HasPrefix(key, record.TaskSegmentPrefix) && !slices.Contains(removed, key) {
			t.Fatalf("%s: got record %s left after the job's end, want it removed", steps.position(), key)
		}
	}
}

// TestSizedSegmentsAfterAnySteps guards against task states that are lost or outdated after the
// change to sized segments. The change comes at a random moment, a write in the former format
// may get no response and be applied at any later time, and successors take over in between. For
// every task the last durable state must count, each write must fit the lower limit, and no
// record of the former format may be written again.
func TestSizedSegmentsAfterAnySteps(t *testing.T) {
	for seed := range uint64(200) {
		steps := newFormatSteps(t, seed)
		for range 60 {
			steps.step(t)
			steps.checkDurable(t)
		}
		steps.checkRemoval(t)
	}
}
