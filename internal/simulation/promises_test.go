package simulation

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/micahill/micahill/internal/controller"
	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/promise"
	"github.com/vmihailenco/msgpack/v5"
)

// promiseValue is the value of the register of a job's promised date: the revision, and the date as a time
// after the submission. The zero value means that the job has no date.
type promiseValue struct {
	revision int
	after    time.Duration
}

// promiseModel is the linearizability model of a job's promised date as one register. Each stored date is a
// write, and each answer with a date is a read. An answer without a date is not part of the history.
var promiseModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byJob := map[string][]porcupine.Operation{}
		for _, operation := range history {
			byJob[operation.Input.(promiseOperation).job] = append(byJob[operation.Input.(promiseOperation).job], operation)
		}
		var out [][]porcupine.Operation
		for _, id := range sortedKeys(byJob) {
			out = append(out, byJob[id])
		}
		return out
	},
	Init: func() any { return promiseValue{} },
	Step: func(state, input, output any) (bool, any) {
		if operation := input.(promiseOperation); operation.write.revision > 0 {
			return true, operation.write
		}
		return output.(promiseValue) == state.(promiseValue), state
	},
}

// promiseOperation is the input of an operation on a promised date: a write of the date, or a read if write
// is zero.
type promiseOperation struct {
	job   string
	write promiseValue
}

// promiseRecorder records when the state service of a world stored promised dates and when controllers
// answered with them.
type promiseRecorder struct {
	world   *World
	history []porcupine.Operation
	// newest has the newest stored date of each job, and issuedAt the time when it was stored.
	newest     map[string]promiseValue
	issuedAt   map[string]time.Time
	violations []string
	// writes counts the changes of records by the first part of their key, and the changes of pages of
	// dates under "page".
	writes map[string]int
	// revised counts the stored dates that replace an earlier date.
	revised int
}

// nanosecondsSinceStart returns the time from the start of the world to t in nanoseconds.
func (recorder *promiseRecorder) nanosecondsSinceStart(t time.Time) int64 {
	return t.Sub(recorder.world.startedAt).Nanoseconds()
}

// recordPromises returns a recorder of the dates that are stored and answered in the world from this call on.
func recordPromises(world *World) *promiseRecorder {
	recorder := &promiseRecorder{world: world, newest: map[string]promiseValue{}, issuedAt: map[string]time.Time{}, writes: map[string]int{}}
	world.state.onChange = recorder.onChange
	world.onAnswer = func(sentAt time.Time, reply message.UserReply) {
		if reply.PromiseRevision > 0 {
			recorder.history = append(recorder.history, porcupine.Operation{ClientId: len(recorder.history), Input: promiseOperation{job: reply.ID}, Call: recorder.nanosecondsSinceStart(sentAt), Output: promiseValue{reply.PromiseRevision, reply.PromisedAfter}, Return: recorder.nanosecondsSinceStart(world.now)})
		}
	}
	return recorder
}

// onStored records that a date was stored. It is a violation if the revision grows by more than one, if the
// date changes without a new revision, or if a new revision follows within a minute.
func (recorder *promiseRecorder) onStored(id string, value promiseValue) {
	previous := recorder.newest[id]
	switch {
	case value.revision < previous.revision || value == previous || value.revision == 0:
		return
	case value.revision == previous.revision || value.revision > previous.revision+1:
		recorder.violations = append(recorder.violations, fmt.Sprintf("%s: stored date %v after %v, want the next revision", id, value, previous))
	case previous.revision > 0 && recorder.world.now.Sub(recorder.issuedAt[id]) < time.Minute:
		recorder.violations = append(recorder.violations, fmt.Sprintf("%s: stored date %v only %v after %v, want at least 1m", id, value, recorder.world.now.Sub(recorder.issuedAt[id]), previous))
	}
	if value.revision > 1 {
		recorder.revised++
	}
	recorder.newest[id], recorder.issuedAt[id] = value, recorder.world.now
	at := recorder.nanosecondsSinceStart(recorder.world.now)
	recorder.history = append(recorder.history, porcupine.Operation{ClientId: len(recorder.history), Input: promiseOperation{id, value}, Call: at, Output: promiseValue{}, Return: at + 1})
}

// onChange counts a changed record, and records the dates that the record holds: a page of dates, an open
// record with a first date, or the record of an ended job with the final date.
func (recorder *promiseRecorder) onChange(change message.KeyValue) {
	recorder.writes[strings.SplitN(change.Key, "/", 2)[0]]++
	if change.Deleted {
		return
	}
	milliseconds := func(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
	switch {
	case strings.HasPrefix(change.Key, "open/~"):
		recorder.writes["page"]++
		entries, err := promise.DecodePage(change.Value)
		if err != nil {
			recorder.violations = append(recorder.violations, err.Error())
		}
		for _, id := range sortedKeys(entries) {
			recorder.onStored(id, promiseValue{entries[id].Revision, entries[id].After})
		}
	case strings.HasPrefix(change.Key, "open/"):
		var rec struct {
			P int64 `msgpack:"p"`
		}
		if msgpack.Unmarshal(change.Value, &rec) == nil && rec.P > 0 {
			recorder.onStored(change.Key[len("open/"):], promiseValue{1, milliseconds(rec.P)})
		}
	case strings.HasPrefix(change.Key, "job/"):
		var rec struct {
			P   int64 `msgpack:"p"`
			Rev int   `msgpack:"r"`
		}
		id := change.Key[len("job/"):]
		if msgpack.Unmarshal(change.Value, &rec) == nil && rec.Rev > 0 {
			if rec.Rev < recorder.newest[id].revision {
				recorder.violations = append(recorder.violations, fmt.Sprintf("%s: got final revision %d after stored date %v", id, rec.Rev, recorder.newest[id]))
			}
			recorder.onStored(id, promiseValue{rec.Rev, milliseconds(rec.P)})
		}
	}
}

// check returns all violations, including one for each job whose dates are not linearizable.
func (recorder *promiseRecorder) check() []string {
	violations := recorder.violations
	for _, history := range promiseModel.Partition(recorder.history) {
		if result := porcupine.CheckOperationsTimeout(promiseModel, history, 20*time.Second); result != porcupine.Ok {
			violations = append(violations, fmt.Sprintf("%s: dates are not linearizable: %s", history[0].Input.(promiseOperation).job, result))
		}
	}
	return violations
}

// queryAll queries every job at every controller once a second until the given time.
func (recorder *promiseRecorder) queryAll(until time.Time) {
	world := recorder.world
	if world.now.After(until) {
		return
	}
	for _, id := range sortedKeys(world.jobs) {
		for _, process := range world.controllers {
			sentAt := world.now
			world.sendMessage("user", process.name, func() {
				process.request(func(reply uint64) message.Command { return message.QueryJob{Reply: reply, ID: id} }, func(effect message.Effect) {
					reply := effect.(message.UserReply)
					world.sendMessage(process.name, "user", func() {
						// The protocol lets a user wait for at most two seconds.
						if world.now.Sub(sentAt) < 2*time.Second {
							world.onAnswer(sentAt, reply)
						}
					})
				})
			})
		}
	}
	world.schedule(time.Second, func() { recorder.queryAll(until) })
}

// newPromiseWorld returns a world with the given number of controllers, which promise dates.
func newPromiseWorld(seed uint64, controllers int) *World {
	types, capacity := testTypes()
	settings := testSettings()
	settings.Capabilities = controller.Capabilities{Promises: true, PromiseFraction: 0.95}
	return NewWorld(seed, controllers, settings, testCancelWithin, types, capacity)
}

// TestPromisesRandomDays checks on random days with faults that promised dates are linearizable and that the
// stored totals are exact. Users query all jobs at all controllers. Some days also duplicate or lose
// messages.
func TestPromisesRandomDays(t *testing.T) {
	for seed := range dayCount(t, 8, 3) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			world := newPromiseWorld(seed, 3+2*int(seed%2))
			if seed%3 == 1 {
				world.duplicateRate = 0.03
			}
			if seed%3 == 2 {
				world.lossRate, world.duplicateRate = 0.02, 0.02
			}
			world.trace = os.Getenv("MICAHILL_TRACE")
			recorder := recordPromises(world)
			world.schedule(20*time.Second, func() { recorder.queryAll(world.startedAt.Add(6 * time.Minute)) })
			runRandomDay(world, seed)
			reportViolations(t, append(world.Violations, recorder.check()...))
			recorder.checkTotals(t)
			t.Logf("%d answers, %d revised, writes %v", len(recorder.history), recorder.revised, recorder.writes)
			if t.Failed() || world.trace != "" {
				logTail(t, world.logs, len(world.logs))
			}
		})
	}
}

// writesPromisePage reports whether an effect writes a page of promised dates.
func writesPromisePage(effect message.Effect) bool {
	request, ok := effect.(message.StoreRequest)
	return ok && request.Kind == message.OpTxn && len(request.Writes) > 0 && strings.HasPrefix(request.Writes[0].Key, "open/~")
}

// describe queries all jobs at all controllers. It returns the number of jobs with and without a date,
// whether all controllers answered the same, and the violations, in the format of the scenario files.
func (recorder *promiseRecorder) describe(revised bool) string {
	world := recorder.world
	last := map[string]promiseValue{}
	var out strings.Builder
	onAnswer := world.onAnswer
	equal := true
	world.onAnswer = func(sentAt time.Time, reply message.UserReply) {
		onAnswer(sentAt, reply)
		value := promiseValue{reply.PromiseRevision, reply.PromisedAfter}
		if previous, seen := last[reply.ID]; reply.Status == 200 && reply.State != "cancelled" {
			equal = equal && (!seen || previous == value)
			last[reply.ID] = value
		}
	}
	recorder.queryAll(world.now)
	world.Run(2500 * time.Millisecond)
	world.onAnswer = onAnswer
	undated := 0
	for _, id := range sortedKeys(last) {
		if last[id].revision == 0 {
			undated++
		} else if last[id] != recorder.newest[id] {
			fmt.Fprintf(&out, "%s is told %v, %v is durable\n", id, last[id], recorder.newest[id])
		}
	}
	fmt.Fprintf(&out, "%d jobs, %d without a date, alike: %v", len(last), undated, equal)
	if revised {
		fmt.Fprintf(&out, ", revised: %v", recorder.revised > 0)
	}
	fmt.Fprintln(&out)
	for _, violation := range recorder.check() {
		fmt.Fprintln(&out, violation)
	}
	return out.String()
}

// checkTotals checks the stored totals of promises against the ended jobs, and returns the totals.
func (recorder *promiseRecorder) checkTotals(t *testing.T) *promise.Totals {
	t.Helper()
	rec := recorder.world.state.records["promise/totals"]
	if rec == nil {
		t.Error("got no record promise/totals, want one")
		return nil
	}
	totals, err := promise.DecodeTotals(rec.value)
	if err != nil {
		t.Fatal(err)
	}
	ended, promised := 0, 0
	for _, id := range sortedKeys(recorder.world.state.records) {
		if strings.HasPrefix(id, "job/") {
			ended++
			if strings.HasPrefix(id, "job/") && recorder.world.jobs[id[4:]].lastState == "done" && recorder.newest[id[4:]].revision > 0 {
				promised++
			}
		}
	}
	sum := totals.Sum()
	if sum.Jobs != ended || sum.Made != promised || sum.Kept+sum.Broken != sum.Made {
		t.Errorf("got totals %+v, want %d ended jobs, %d of them done with a date, and kept plus broken equal to made", sum, ended, promised)
	}
	t.Logf("totals %+v, ratio %.2f, first %d", sum, totals.MedianRatio(), totals.PromisedAtAccept)
	return totals
}

// TestStalePromisesAreDetected checks that promiseModel detects controllers that answer a job's first date
// after a later date.
func TestStalePromisesAreDetected(t *testing.T) {
	for _, corrupted := range []bool{false, true} {
		world := newPromiseWorld(3, 3)
		recorder := recordPromises(world)
		first := map[string]promiseValue{}
		world.corruptEffect = func(effect message.Effect) message.Effect {
			reply, ok := effect.(message.UserReply)
			if !ok || reply.PromiseRevision == 0 {
				return effect
			}
			value, seen := first[reply.ID]
			if !seen {
				value = promiseValue{reply.PromiseRevision, reply.PromisedAfter}
				first[reply.ID] = value
			}
			if corrupted && world.rng.IntN(20) == 0 {
				reply.PromiseRevision, reply.PromisedAfter = value.revision, value.after
			}
			return reply
		}
		for i := range 4 {
			world.Submit(model.JobSpec{ID: fmt.Sprintf("job-%03d", i), Workload: "batch", Team: "ops", Urgency: model.Normal, Tasks: 2,
				Need: model.Resources{CPU: 2, Memory: 2}, Image: "i", ImageGB: 1, ExpectedRunTime: 70 * time.Second}, 300*time.Second, false)
		}
		recorder.queryAll(world.startedAt.Add(5 * time.Minute))
		world.Run(8 * time.Minute)
		found := recorder.check()
		if recorder.revised == 0 || corrupted != (len(found) > 0) {
			t.Errorf("corrupted %v: got %d revised, violations %v, want some revised, and violations only if corrupted", corrupted, recorder.revised, found)
		}
	}
}

// TestPromiseWritesAreGuarded guards against a former leader whose late write replaces newer dates or totals.
// Each write of a page of dates must compare the shard record of the page's team and the page's own mod
// revision, and each write of the totals must compare the leader record and the totals' own mod revision.
// Each of these writes must conflict if it is applied again later. At the end the totals must be exact.
func TestPromiseWritesAreGuarded(t *testing.T) {
	world := newPromiseWorld(6, 3)
	recorder := recordPromises(world)
	var writes []message.StoreRequest
	world.corruptEffect = func(effect message.Effect) message.Effect {
		request, ok := effect.(message.StoreRequest)
		if !ok || len(request.Writes) == 0 {
			return effect
		}
		key := request.Writes[0].Key
		fence := ""
		switch {
		case strings.HasPrefix(key, "open/~"):
			fence = "ctl/share/"
		case key == "promise/totals":
			fence = "ctl/lead"
		default:
			return effect
		}
		comparesOwnKey, comparesFence := false, false
		for _, compare := range request.Compares {
			comparesOwnKey = comparesOwnKey || compare.Key == key
			comparesFence = comparesFence || strings.HasPrefix(compare.Key, fence)
		}
		if !comparesOwnKey || !comparesFence || len(request.Writes) > 1 {
			t.Errorf("write of %s: got compares %v, want only this key written, and compares of this key and of %s", key, request.Compares, fence)
		}
		writes = append(writes, request)
		return effect
	}
	for i := range 60 {
		world.schedule(time.Duration(i)*4*time.Second, func() {
			world.Submit(model.JobSpec{ID: fmt.Sprintf("job-%03d", i), Workload: []string{"batch", "rush"}[i%2], Team: []string{"ops", "lab"}[i/2%2], Urgency: model.Normal, Tasks: 1 + i%5,
				Need: model.Resources{CPU: 2, Memory: 2}, Image: "i", ImageGB: 1, ExpectedRunTime: 20 * time.Second}, time.Duration(10+i%7*20)*time.Second, false)
			if i%9 == 8 {
				world.schedule(30*time.Second, func() { world.Cancel(fmt.Sprintf("job-%03d", i)) })
			}
		})
	}
	world.Run(2 * time.Minute)
	world.CrashController(0, 3*time.Second)
	world.Run(2 * time.Minute)
	// After a compaction of the history, controllers read all records again and must count each ended
	// job only once.
	world.state.compactedRevision, world.state.changes = world.state.revision, nil
	world.Run(6 * time.Minute)
	world.state.limits = nil
	for _, request := range writes {
		if request.Compares[len(request.Compares)-1].ModRevision == 0 {
			// This write creates a page. It may create the page again after its removal, when all its jobs
			// have ended, so it need not conflict.
			continue
		}
		world.state.Do(world.now, request, func(response message.StoreResponse) {
			if response.Status != message.StoreConflict {
				t.Errorf("late write of %s: got status %v, want a conflict", request.Writes[0].Key, response.Status)
			}
		})
	}
	world.Run(30 * time.Second)
	reportViolations(t, append(world.Violations, recorder.check()...))
	if recorder.checkTotals(t); len(writes) < 10 {
		t.Errorf("got %d writes of pages and totals, want at least 10", len(writes))
	}
	if recorder.writes["page"] > 60 || recorder.writes["promise"] > 80 {
		t.Errorf("got writes %v, want at most 60 of pages and 80 of records under promise/", recorder.writes)
	}
}

// TestPromisesSwitchedOnAndOff checks that promises can be switched on and off by a restart of the
// controllers while jobs run. All jobs must end and no query may fail. Jobs that were submitted without
// promises must get a date later, and while promises are off no date may be answered or written.
func TestPromisesSwitchedOnAndOff(t *testing.T) {
	world := newTestWorld(8)
	recorder := recordPromises(world)
	submit := func(from, to int) {
		for i := from; i < to; i++ {
			world.Submit(model.JobSpec{ID: fmt.Sprintf("job-%03d", i), Workload: "batch", Team: "ops", Urgency: model.Normal, Tasks: 2,
				Need: model.Resources{CPU: 2, Memory: 2}, Image: "i", ImageGB: 1, ExpectedRunTime: 200 * time.Second}, 200*time.Second, false)
		}
	}
	restartAll := func(enabled bool) {
		world.settings.Capabilities = controller.Capabilities{Promises: enabled, PromiseFraction: 0.95}
		for i := range world.controllers {
			world.CrashController(i, 500*time.Millisecond)
			world.Run(6 * time.Second)
		}
	}
	submit(0, 6)
	world.Run(30 * time.Second)
	if len(recorder.history) > 0 || recorder.writes["promise"] > 0 || recorder.writes["page"] > 0 {
		t.Fatalf("promises off: got %d answers with a date and writes %v, want no such answers and no writes of dates", len(recorder.history), recorder.writes)
	}
	restartAll(true)
	submit(6, 10)
	world.Run(10 * time.Second)
	if len(recorder.newest) != 10 {
		t.Errorf("got %d jobs with a date after promises were switched on, want 10", len(recorder.newest))
	}
	restartAll(false)
	answers := len(recorder.history)
	pages := recorder.writes["page"]
	world.Run(30 * time.Second)
	if len(recorder.history) > answers || recorder.writes["page"] > pages {
		t.Error("promises off: got dates answered or written, want none")
	}
	restartAll(true)
	world.Run(10 * time.Minute)
	reportViolations(t, append(world.Violations, recorder.check()...))
	for _, id := range sortedKeys(world.jobs) {
		if world.jobs[id].lastState != "done" || world.jobs[id].promiseRevision == 0 {
			t.Errorf("%s: got final state %q, date revision %d, want done with a date", id, world.jobs[id].lastState, world.jobs[id].promiseRevision)
		}
	}
	for key := range world.state.records {
		if strings.HasPrefix(key, "open/") {
			t.Errorf("got record %s after all jobs ended, want it removed", key)
		}
	}
}

// TestServicePromises checks that the date of a service is the time by which all its replicas run. A service
// of a class that has started before gets its date with the acceptance, and after three services of the class
// the promises must be kept.
func TestServicePromises(t *testing.T) {
	world := newPromiseWorld(9, 3)
	recorder := recordPromises(world)
	for i := range 6 {
		world.schedule(time.Duration(i)*40*time.Second, func() {
			world.Submit(model.JobSpec{ID: fmt.Sprintf("job-%03d", i), Workload: "model", Team: "ops", LongRunning: true, Urgency: model.Normal, Tasks: 2,
				Need: model.Resources{CPU: 2, Memory: 2}, Image: "i", ImageGB: 1, ExpectedRunTime: time.Hour}, time.Hour, false)
		})
	}
	world.Run(7 * time.Minute)
	reportViolations(t, append(world.Violations, recorder.check()...))
	for _, id := range sortedKeys(world.jobs) {
		job := world.jobs[id]
		allRunningAfter := time.Duration(0)
		for _, at := range job.firstStarts {
			allRunningAfter = max(allRunningAfter, at.Sub(job.submitted))
		}
		if len(job.firstStarts) != 2 || job.promiseRevision == 0 || id > "job-002" && allRunningAfter > job.promised || id > "job-000" && !job.promisedInFirstAnswer || job.promised > 5*time.Minute {
			t.Errorf("%s: got all replicas running after %v, promised %v, revision %d, promised at acceptance %v, want a kept promise of at most 5m; the first job may lack one at acceptance, and the first three may break theirs", id, allRunningAfter, job.promised, job.promiseRevision, job.promisedInFirstAnswer)
		}
	}
}
