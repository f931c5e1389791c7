package simulation

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/vmihailenco/msgpack/v5"
)

// jobFate is the value of a job's register: the state that users may be told about the job. Queued and
// running jobs are both accepted.
type jobFate string

const (
	fateUnknown   jobFate = ""
	fateAccepted  jobFate = "accepted"
	fateDone      jobFate = "done"
	fateCancelled jobFate = "cancelled"
)

// operationKind is the kind of an operation on a job's register. Users send all kinds except opEnd, which
// stands for the moment when the state service stores that the job is done.
type operationKind string

const (
	opSubmit operationKind = "submit"
	opPoll   operationKind = "poll"
	opCancel operationKind = "abort"
	opEnd    operationKind = "end"
)

// jobOperation is the input of an operation on a job's register.
type jobOperation struct {
	job  string
	kind operationKind
}

// jobAnswer is the answer to an operation. The zero value means that there was no answer: the request may
// take effect at any later time, or never.
type jobAnswer struct {
	status int
	fate   jobFate
}

// jobModel is the linearizability model of a job as one register. A request that got no answer or a
// temporary refusal never returns in the history, so the model may also place it after all other operations,
// where no answer shows its effect.
var jobModel = porcupine.Model{
	Init: func() any { return fateUnknown },
	Step: func(state, input, output any) (bool, any) {
		previous, operation, answer := state.(jobFate), input.(jobOperation), output.(jobAnswer)
		next := previous
		switch {
		case operation.kind == opSubmit && previous == fateUnknown:
			next = fateAccepted
		case operation.kind == opCancel && previous == fateAccepted:
			next = fateCancelled
		case operation.kind == opEnd:
			return previous == fateAccepted, fateDone
		}
		switch {
		case answer.status == 0:
			return true, next
		case answer.status == 404:
			return operation.kind != opSubmit && previous == fateUnknown, previous
		case answer.status == 201:
			return operation.kind == opSubmit && previous == fateUnknown && answer.fate == fateAccepted, next
		}
		return answer.status == 200 && answer.fate == next && previous != fateUnknown, next
	},
}

// concurrentReaders simulates users who query all controllers and resubmit their jobs within milliseconds
// after an answer shows a new fate of a job, or after the state service stores a change of the job.
type concurrentReaders struct {
	world *World
	rng   *rand.Rand
	// history has the operations on the register of each job, and newestFate the newest fate that
	// users were told.
	history    map[string][]porcupine.Operation
	newestFate map[string]jobFate
	// cancelOn has, for each job that its user cancels, the fate that makes the user send the
	// cancellation.
	cancelOn   map[string]jobFate
	violations []string
	// sentFate has the newest fate that each incarnation of a controller has answered about each job.
	sentFate map[string]jobFate
	// bursts counts the bursts by the fate that they followed, and unansweredCount counts the
	// requests without an answer by their kind.
	bursts          map[jobFate]int
	unansweredCount map[operationKind]int
	*lostResponses
}

// readDelays are the times in milliseconds after which a burst sends its requests.
var readDelays = []time.Duration{0, 1, 2, 5, 20, 60, 150, 310}

// newConcurrentReaders returns readers that see each change in the world's state service. No response of the
// state service is lost until the readers' fraction of lost responses is set.
func newConcurrentReaders(world *World, seed uint64) *concurrentReaders {
	readers := &concurrentReaders{world: world, rng: rand.New(rand.NewPCG(seed, 37)), history: map[string][]porcupine.Operation{}, newestFate: map[string]jobFate{}, cancelOn: map[string]jobFate{}, sentFate: map[string]jobFate{},
		bursts: map[jobFate]int{}, unansweredCount: map[operationKind]int{}}
	world.state.onChange = readers.onChange
	readers.lostResponses = loseResponses(world, seed, 0)
	return readers
}

// onChange records the end of a job and starts a burst for each changed job record. The state service calls
// it before any controller sees the change.
func (readers *concurrentReaders) onChange(change message.KeyValue) {
	id, isJob := strings.CutPrefix(change.Key, "job/")
	var rec struct {
		Status jobFate `msgpack:"s"`
	}
	if !isJob || change.Deleted || msgpack.Unmarshal(change.Value, &rec) != nil {
		return
	}
	if now := readers.now(); rec.Status == fateDone {
		readers.add(porcupine.Operation{Input: jobOperation{id, opEnd}, Call: now, Output: jobAnswer{}, Return: now + 1})
	}
	// Users may happen to query at the moment of the change.
	readers.startBurst(id, rec.Status)
}

// now returns the simulated time since the start of the world in nanoseconds.
func (readers *concurrentReaders) now() int64 {
	return readers.world.now.Sub(readers.world.startedAt).Nanoseconds()
}

// add appends an operation to the history of its job.
func (readers *concurrentReaders) add(operation porcupine.Operation) {
	id := operation.Input.(jobOperation).job
	operation.ClientId = len(readers.history[id])
	readers.history[id] = append(readers.history[id], operation)
}

// send sends one request about a job to one controller and records the answer, or that there was none.
func (readers *concurrentReaders) send(controller int, kind operationKind, id string) {
	world, sentAt, finished := readers.world, readers.now(), false
	timeout := 5 * time.Second
	newCommand := func(reply uint64) message.Command { return message.SubmitJob{Reply: reply, Spec: world.jobs[id].spec} }
	switch kind {
	case opPoll:
		timeout = 2 * time.Second
		newCommand = func(reply uint64) message.Command { return message.QueryJob{Reply: reply, ID: id} }
	case opCancel:
		world.jobs[id].cancelRequested = true
		newCommand = func(reply uint64) message.Command { return message.CancelJob{Reply: reply, ID: id} }
	}
	finish := func(reply message.UserReply) {
		if finished {
			return
		}
		finished = true
		if !isDefinite(reply) {
			readers.recordUnanswered(jobOperation{id, kind}, sentAt, reply)
			return
		}
		answer := jobAnswer{reply.Status, fateOf(reply)}
		readers.add(porcupine.Operation{Input: jobOperation{id, kind}, Call: sentAt, Output: answer, Return: readers.now()})
		readers.recordFate(id, answer.fate)
	}
	world.schedule(timeout, func() { finish(message.UserReply{}) })
	process := world.controllers[controller]
	world.sendMessage("user", process.name, func() {
		process.request(newCommand, func(effect message.Effect) {
			readers.onSend(process, id, effect.(message.UserReply))
			world.sendMessage(process.name, "user", func() { finish(effect.(message.UserReply)) })
		})
	})
}

// isDefinite reports whether a reply states the job's fate, which a temporary refusal doesn't.
func isDefinite(reply message.UserReply) bool {
	return reply.Status == 200 || reply.Status == 201 || reply.Status == 404
}

// fateOf returns the fate that a definite reply states.
func fateOf(reply message.UserReply) jobFate {
	if reply.State == "queued" || reply.State == "running" {
		return fateAccepted
	}
	return jobFate(reply.State)
}

// onSend checks a reply at the moment when it leaves a controller. The replies of one incarnation must never
// go back from a final fate to accepted, even if the requests were sent in another order.
func (readers *concurrentReaders) onSend(process *controllerProcess, id string, reply message.UserReply) {
	if !isDefinite(reply) {
		return
	}
	order := map[jobFate]int{fateAccepted: 1, fateDone: 2, fateCancelled: 2}
	key := fmt.Sprintf("%s %s.%d", id, process.name, process.incarnation)
	previous, fate := readers.sentFate[key], fateOf(reply)
	if order[fate] < order[previous] {
		readers.violations = append(readers.violations, fmt.Sprintf("%s: got answer %q after %q", key, fate, previous))
	}
	readers.sentFate[key] = fate
}

// recordUnanswered records a request without a definite reply, which may still take effect later, and retries
// a submission or cancellation. If an earlier request of the same kind is unanswered too, or was answered
// before this request was sent, this request adds nothing to the history.
func (readers *concurrentReaders) recordUnanswered(operation jobOperation, sentAt int64, reply message.UserReply) {
	readers.unansweredCount[operation.kind]++
	if reply.Status != 0 && reply.Status != 503 {
		readers.violations = append(readers.violations, fmt.Sprintf("%s of %s: got status %d, message %q", operation.kind, operation.job, reply.Status, reply.Message))
	}
	if operation.kind == opPoll {
		return
	}
	for _, earlier := range readers.history[operation.job] {
		if input, answer := earlier.Input.(jobOperation), earlier.Output.(jobAnswer); input.kind == operation.kind && (earlier.Call < sentAt && (earlier.Return == math.MaxInt64 || earlier.Return < sentAt && answer.fate != fateUnknown)) {
			readers.retryUntilAnswered(operation)
			return
		}
	}
	readers.add(porcupine.Operation{Input: operation, Call: sentAt, Output: jobAnswer{}, Return: math.MaxInt64})
	readers.retryUntilAnswered(operation)
}

// retryUntilAnswered repeats an unanswered request until the users know its effect.
func (readers *concurrentReaders) retryUntilAnswered(operation jobOperation) {
	readers.world.schedule(readers.world.jitter(time.Second), func() {
		if fate := readers.newestFate[operation.job]; operation.kind == opSubmit && fate == fateUnknown || operation.kind == opCancel && fate == fateAccepted {
			readers.send(readers.rng.IntN(len(readers.world.controllers)), operation.kind, operation.job)
		}
	})
}

// recordFate records the newest fate that users were told, and starts a burst if the fate is new. A final
// fate stays.
func (readers *concurrentReaders) recordFate(id string, fate jobFate) {
	if fate == fateUnknown || fate == readers.newestFate[id] || readers.newestFate[id] == fateDone || readers.newestFate[id] == fateCancelled {
		return
	}
	readers.newestFate[id], readers.world.jobs[id].accepted = fate, true
	readers.startBurst(id, fate)
}

// startBurst queries all controllers and resubmits the job within milliseconds. It also sends the
// cancellation of the job if the user cancels the job at this fate.
func (readers *concurrentReaders) startBurst(id string, fate jobFate) {
	readers.bursts[fate]++
	for _, delay := range readDelays {
		for controller := range readers.world.controllers {
			kind := opPoll
			if readers.rng.IntN(4) == 0 {
				kind = opSubmit
			}
			readers.world.schedule(delay*time.Millisecond, func() { readers.send(controller, kind, id) })
		}
	}
	if readers.cancelOn[id] == fate {
		readers.world.schedule(time.Duration(readers.rng.IntN(4))*time.Millisecond, func() { readers.send(readers.rng.IntN(len(readers.world.controllers)), opCancel, id) })
	}
}

// addJob submits a job after the delay at, and cancels the job once users are told the fate cancelOn, unless
// cancelOn is unknown. The job's user polls about once a second until the job has ended.
func (readers *concurrentReaders) addJob(at time.Duration, id string, run time.Duration, tasks int, cancelOn jobFate) {
	spec := model.JobSpec{ID: id, Workload: "batch", Team: "ops", Urgency: model.Normal, Tasks: tasks,
		Need: model.Resources{CPU: 1, Memory: 1}, Image: "i", ImageGB: 1, ExpectedRunTime: run}
	readers.world.jobs[id] = newUserJob(spec, run)
	readers.world.schedule(at, func() {
		readers.world.jobs[id].submitted = readers.world.now
		if cancelOn != fateUnknown {
			readers.cancelOn[id] = cancelOn
		}
		readers.startBurst(id, fateUnknown)
		readers.send(readers.rng.IntN(len(readers.world.controllers)), opSubmit, id)
		readers.pollUntilFinal(id)
	})
}

// pollUntilFinal polls a random controller about once a second until the job has ended.
func (readers *concurrentReaders) pollUntilFinal(id string) {
	if fate := readers.newestFate[id]; fate == fateDone || fate == fateCancelled {
		return
	}
	readers.send(readers.rng.IntN(len(readers.world.controllers)), opPoll, id)
	readers.world.schedule(readers.world.jitter(time.Second), func() { readers.pollUntilFinal(id) })
}

// startRandomFault starts one short fault.
func (readers *concurrentReaders) startRandomFault() {
	world, duration := readers.world, time.Duration(200+readers.rng.IntN(6000))*time.Millisecond
	i := readers.rng.IntN(len(world.controllers))
	restartAfter := []time.Duration{20, 100, 300}[readers.rng.IntN(3)] * time.Millisecond
	switch readers.rng.IntN(7) {
	case 0:
		world.CrashController(i, restartAfter)
	case 1:
		for i := range world.controllers {
			world.CrashController(i, restartAfter)
		}
	case 2:
		world.refuseController(world.controllers[i], duration)
	case 3:
		world.stateSlowUntil, world.stateSlowFactor = world.now.Add(duration), 15+10*readers.rng.Float64()
	case 4:
		world.DelayWrites(0.5, duration)
	case 5:
		world.Pause(i, min(duration, 1500*time.Millisecond))
	case 6:
		world.partitionOneWay("state", world.controllers[i].name, duration)
	}
}

// run submits jobs one after the other and cancels some of them. With faults, it starts a random fault every
// five seconds and makes the state service lose 15% of its responses.
func (readers *concurrentReaders) run(faults bool) {
	const jobCount, interval = 24, 4 * time.Second
	for i := range jobCount {
		cancelOn := []jobFate{fateUnknown, fateAccepted, fateUnknown, fateDone, fateUnknown, fateCancelled}[i%6]
		readers.addJob(30*time.Second+time.Duration(i)*interval, fmt.Sprintf("job-%06d", i), time.Duration(2+readers.rng.IntN(12))*time.Second, 1+i%3, cancelOn)
	}
	if faults {
		readers.fraction = 0.15
		for i := range 20 {
			readers.world.schedule(32*time.Second+time.Duration(i)*5*time.Second, readers.startRandomFault)
		}
		readers.world.schedule(32*time.Second+20*5*time.Second, func() { readers.fraction = 0 })
	}
	readers.world.Run(5 * time.Minute)
}

// dropImpliedReads returns a history without implied reads, since Porcupine would try all their orders. A
// read implies another read with the same answer if its interval lies within the interval of the other read.
func dropImpliedReads(history []porcupine.Operation) []porcupine.Operation {
	readAnswer := func(operation porcupine.Operation) (jobAnswer, bool) {
		answer, kind := operation.Output.(jobAnswer), operation.Input.(jobOperation).kind
		return answer, answer.status == 404 || answer.status == 200 && (kind != opCancel || answer.fate == fateDone)
	}
	var out []porcupine.Operation
	for i, operation := range history {
		answer, isRead := readAnswer(operation)
		needed := true
		for k, candidate := range history {
			otherAnswer, otherIsRead := readAnswer(candidate)
			inside := candidate.Call >= operation.Call && candidate.Return <= operation.Return && (k < i || candidate.Call > operation.Call || candidate.Return < operation.Return)
			needed = needed && !(isRead && otherIsRead && k != i && otherAnswer == answer && inside)
		}
		if needed {
			out = append(out, operation)
		}
	}
	return out
}

// withSubmission adds a submission without an answer if no answer says that a submission created the job. The
// reply to the submission that created the job may leave after the job was cancelled, and then says
// cancelled instead.
func withSubmission(history []porcupine.Operation) []porcupine.Operation {
	firstCall := int64(math.MaxInt64)
	for _, operation := range history {
		if input, answer := operation.Input.(jobOperation), operation.Output.(jobAnswer); input.kind == opSubmit {
			if answer.status == 201 {
				return history
			}
			firstCall = min(firstCall, operation.Call)
		}
	}
	id := history[0].Input.(jobOperation).job
	return append(history, porcupine.Operation{ClientId: len(history), Input: jobOperation{id, opSubmit}, Call: firstCall, Output: jobAnswer{}, Return: math.MaxInt64})
}

// check returns all violations, including one for each job whose history is not linearizable.
func (readers *concurrentReaders) check() []string {
	violations := readers.violations
	for _, id := range sortedKeys(readers.history) {
		if result := porcupine.CheckOperationsTimeout(jobModel, dropImpliedReads(withSubmission(readers.history[id])), 5*time.Second); result != porcupine.Ok {
			violations = append(violations, fmt.Sprintf("%s: history is not linearizable: %s", id, result))
		}
	}
	return violations
}

// TestConcurrentReads guards against a controller that answers an older state of a job than any controller
// answered before. Users query all controllers and resubmit jobs at the moment when a job is accepted, ends
// or is cancelled, and within milliseconds afterwards. Meanwhile controllers crash, and the state service
// refuses requests, is slow, loses responses or applies writes late. Each job must behave as one register.
func TestConcurrentReads(t *testing.T) {
	for seed := range dayCount(t, 8, 2) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			world := newTestWorld(seed)
			readers := newConcurrentReaders(world, seed)
			readers.run(seed > 0)
			reportViolations(t, append(world.Violations, readers.check()...))
			answers := 0
			for _, id := range sortedKeys(world.jobs) {
				answers += len(readers.history[id])
				if fate := readers.newestFate[id]; fate != fateDone && fate != fateCancelled {
					t.Errorf("%s: got final state %q, want done or cancelled", id, fate)
				}
			}
			for _, fate := range []jobFate{fateAccepted, fateDone, fateCancelled} {
				if readers.bursts[fate] < 6 {
					t.Errorf("got %d bursts after %s, want at least 6", readers.bursts[fate], fate)
				}
			}
			if seed > 0 && (readers.lost["open"] == 0 || readers.unansweredCount[opSubmit] == 0) {
				t.Errorf("got lost responses %v and unanswered requests %v, want some lost responses about open records and some unanswered submissions", readers.lost, readers.unansweredCount)
			}
			t.Logf("%d answers, bursts %v, lost responses %v, unanswered %v", answers, readers.bursts, readers.lost, readers.unansweredCount)
		})
	}
}

// TestStaleAnswersAreDetected checks that jobModel detects each corruption by which a controller answers an
// older state than was answered or stored before.
func TestStaleAnswersAreDetected(t *testing.T) {
	changeReply := func(effect message.Effect, change func(*message.UserReply)) message.Effect {
		if userReply, ok := effect.(message.UserReply); ok {
			change(&userReply)
			return userReply
		}
		return effect
	}
	dropCompares := func(effect message.Effect, writePrefix, comparePrefix string) message.Effect {
		request, ok := effect.(message.StoreRequest)
		if !ok || request.Kind != message.OpTxn || len(request.Writes) == 0 || !strings.HasPrefix(request.Writes[0].Key, writePrefix) {
			return effect
		}
		var compares []message.Compare
		for _, compare := range request.Compares {
			if !strings.HasPrefix(compare.Key, comparePrefix) {
				compares = append(compares, compare)
			}
		}
		request.Compares = compares
		return request
	}
	for name, corrupt := range map[string]func(message.Effect) message.Effect{
		"not corrupted": nil,
		"polls are answered from a stale watch cache": func(effect message.Effect) message.Effect {
			if request, ok := effect.(message.StoreRequest); ok && request.Kind == message.OpWatch && request.WatchTimeout == 0 && request.Key == "open/" {
				// Watches a prefix without records, so that the watch goes on but brings no changes.
				request.Key = "none/"
				return request
			}
			return effect
		},
		"refused submissions are answered as accepted": func(effect message.Effect) message.Effect {
			return changeReply(effect, func(userReply *message.UserReply) {
				if userReply.Status == 503 {
					userReply.Status, userReply.State = 201, "queued"
				}
			})
		},
		"refused requests are answered not found": func(effect message.Effect) message.Effect {
			return changeReply(effect, func(userReply *message.UserReply) {
				if userReply.Status == 503 {
					userReply.Status = 404
				}
			})
		},
		"a cancellation changes an ended job": func(effect message.Effect) message.Effect {
			return dropCompares(effect, "job/", "open/")
		},
		"a resubmission starts a new job": func(effect message.Effect) message.Effect {
			return dropCompares(effect, "open/", "")
		},
		"a cancelled job is answered as queued": func(effect message.Effect) message.Effect {
			return changeReply(effect, func(userReply *message.UserReply) {
				if userReply.State == "cancelled" && userReply.Reply%7 == 0 {
					userReply.State = "queued"
				}
			})
		},
	} {
		t.Run(name, func(t *testing.T) {
			world := newTestWorld(3)
			world.corruptEffect = corrupt
			readers := newConcurrentReaders(world, 3)
			readers.run(true)
			if found := readers.check(); (corrupt != nil) != (len(found) > 0) {
				t.Errorf("got violations %v, want some only if corrupted", found)
			}
		})
	}
}
