package simulation

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/micahill/micahill/internal/message"
)

// opDependencyCancelled is the cancellation of a direct or indirect dependency of a job. It cancels the
// job at once if the job is accepted, and otherwise as soon as the job is accepted.
const opDependencyCancelled operationKind = "dependency cancelled"

// neverFate is a fate that no job reaches. It stands in cancelOn for a job that users don't cancel.
const neverFate jobFate = "never"

// dependentFate is the value of the linearizability register of a job in a pipeline.
type dependentFate struct {
	fate jobFate
	// dependencyCancelled means that a direct or indirect dependency of the job is cancelled.
	dependencyCancelled bool
}

// dependentJobModel is jobModel with cancellations of dependencies. A cancelled dependency is never done,
// so a job that depends on it is never done either.
var dependentJobModel = porcupine.Model{
	Init: func() any { return dependentFate{} },
	Step: func(state, input, output any) (bool, any) {
		previous, operation, answer := state.(dependentFate), input.(jobOperation), output.(jobAnswer)
		if operation.kind == opDependencyCancelled {
			next := dependentFate{previous.fate, true}
			if previous.fate == fateAccepted {
				next.fate = fateCancelled
			}
			return previous.fate != fateDone, next
		}
		if operation.kind == opSubmit && previous.fate == fateUnknown && previous.dependencyCancelled {
			// A job with a cancelled dependency is accepted all the same, and is then cancelled.
			ok := answer.status == 201 && (answer.fate == fateAccepted || answer.fate == fateCancelled)
			return answer.status == 0 || ok || answer.status == 200 && answer.fate == fateCancelled, dependentFate{fateCancelled, true}
		}
		ok, next := jobModel.Step(previous.fate, input, output)
		return ok, dependentFate{next.(jobFate), previous.dependencyCancelled}
	},
}

// pipelineReaders adds pipelines to concurrentReaders: their jobs are submitted, queried and cancelled
// through different controllers.
type pipelineReaders struct {
	*concurrentReaders
	jobs []*userJob
}

// addPipeline submits, at the time at, a chain of five jobs with a fan-out in the middle. Job k is
// cancelled after it reaches the fate cancelOn[k].
func (readers *pipelineReaders) addPipeline(at time.Duration, name string, cancelOn [5]jobFate) {
	id := func(k int) string { return fmt.Sprintf("job-%s%d", name, k) }
	needs := [5][]string{nil, {id(0)}, {id(1)}, {id(1)}, {id(2), id(3)}}
	for k := range 5 {
		run := time.Duration(1+readers.rng.IntN(6)) * time.Second
		job := newUserJob(dependentJob(id(k), 1+k%3, run, needs[k]...), run)
		readers.jobs = append(readers.jobs, job)
		readers.world.jobs[id(k)] = job
		readers.world.linkDependencies(job)
		submit := func() {
			job.submitted = readers.world.now
			readers.cancelOn[id(k)] = cancelOn[k]
			readers.startBurst(id(k), fateUnknown)
			readers.send(readers.rng.IntN(len(readers.world.controllers)), opSubmit, id(k))
			readers.pollUntilFinal(id(k))
		}
		readers.world.schedule(at, func() { onAllReached(job.dependencies, milestoneAccepted, submit) })
	}
}

// runHooks calls the functions that wait for milestones of the jobs, and calls itself again every 20 ms.
func (readers *pipelineReaders) runHooks() {
	for _, job := range readers.jobs {
		job.runHooks()
	}
	readers.world.schedule(20*time.Millisecond, readers.runHooks)
}

// addDependencyCancels returns a job's history with the cancellations of its dependencies. Such a
// cancellation takes effect after a user requested it, and within cancel_s after the first answer that
// says that the dependency is cancelled.
func (readers *pipelineReaders) addDependencyCancels(job *userJob) []porcupine.Operation {
	id := job.spec.ID
	out := splitAcceptAndCancel(readers.history[id])
	for _, dependency := range allDependencies(job) {
		if readers.newestFate[dependency.spec.ID] != fateCancelled {
			continue
		}
		requested, confirmed := int64(math.MaxInt64), int64(math.MaxInt64)
		for _, operation := range readers.history[dependency.spec.ID] {
			if operation.Input.(jobOperation).kind == opCancel {
				requested = min(requested, operation.Call)
			}
			if operation.Output.(jobAnswer).fate == fateCancelled {
				confirmed = min(confirmed, operation.Return)
			}
		}
		if requested == math.MaxInt64 {
			// The dependency itself was cancelled only because one of its own dependencies was.
			continue
		}
		if confirmed < math.MaxInt64 {
			confirmed += readers.world.cancelWithin.Nanoseconds()
		}
		out = append(out, porcupine.Operation{ClientId: len(out), Input: jobOperation{id, opDependencyCancelled}, Call: requested, Output: jobAnswer{}, Return: confirmed})
	}
	return out
}

// splitAcceptAndCancel replaces each answer that a submission was accepted but the job is cancelled by two
// operations, an accepted submission and a query answered as cancelled, as the job may have been cancelled
// between its acceptance and the answer.
func splitAcceptAndCancel(history []porcupine.Operation) []porcupine.Operation {
	var out []porcupine.Operation
	for _, operation := range history {
		if input, answer := operation.Input.(jobOperation), operation.Output.(jobAnswer); answer.status == 201 && answer.fate == fateCancelled {
			operation.Output = jobAnswer{201, fateAccepted}
			read := operation
			read.Input, read.Output = jobOperation{input.job, opPoll}, jobAnswer{200, fateCancelled}
			out = append(out, read)
		}
		out = append(out, operation)
	}
	return out
}

// allDependencies returns the direct and indirect dependencies of a job, each once.
func allDependencies(job *userJob) []*userJob {
	seen := map[*userJob]bool{}
	var out []*userJob
	var walk func(*userJob)
	walk = func(job *userJob) {
		for _, dependency := range job.dependencies {
			if !seen[dependency] {
				seen[dependency] = true
				out = append(out, dependency)
				walk(dependency)
			}
		}
	}
	walk(job)
	return out
}

// check returns the recorded violations, and one more for each job whose history is not linearizable and
// for each dependent of a cancelled job that did not end as cancelled.
func (readers *pipelineReaders) check() []string {
	out := readers.violations
	for _, job := range readers.jobs {
		id := job.spec.ID
		if len(readers.history[id]) == 0 {
			continue
		}
		if result := porcupine.CheckOperationsTimeout(dependentJobModel, dropImpliedReads(withSubmission(readers.addDependencyCancels(job))), 5*time.Second); result != porcupine.Ok {
			out = append(out, fmt.Sprintf("%s: history is not linearizable: %s: %s", id, result, formatHistory(readers.addDependencyCancels(job))))
		}
		for _, dependency := range job.dependencies {
			if readers.newestFate[dependency.spec.ID] == fateCancelled && readers.newestFate[id] != fateCancelled {
				out = append(out, fmt.Sprintf("%s: got state %q although %s is cancelled", id, readers.newestFate[id], dependency.spec.ID))
			}
		}
	}
	return out
}

// runPipelines runs a world for six minutes with pipelines whose jobs are cancelled at different steps. If
// faults is set, it injects random faults meanwhile.
func runPipelines(world *World, seed uint64, faults bool) *pipelineReaders {
	readers := &pipelineReaders{concurrentReaders: newConcurrentReaders(world, seed)}
	const pipelines, interval = 12, 8 * time.Second
	for i := range pipelines {
		cancelOn := [5]jobFate{neverFate, neverFate, neverFate, neverFate, neverFate}
		if i%3 > 0 {
			cancelOn[i%5] = []jobFate{fateAccepted, fateCancelled, fateDone}[readers.rng.IntN(3)]
			cancelOn[readers.rng.IntN(5)] = []jobFate{fateUnknown, fateAccepted, fateDone}[readers.rng.IntN(3)]
			if i%3 == 2 {
				// Cancel all jobs of this pipeline before they are accepted.
				cancelOn = [5]jobFate{fateUnknown, fateUnknown, fateUnknown, fateUnknown, fateUnknown}
			}
		}
		readers.addPipeline(30*time.Second+time.Duration(i)*interval, fmt.Sprintf("%05d", i), cancelOn)
	}
	readers.runHooks()
	if faults {
		readers.fraction = 0.15
		for i := range 20 {
			world.schedule(32*time.Second+time.Duration(i)*5*time.Second, readers.startRandomFault)
		}
		world.schedule(32*time.Second+20*5*time.Second, func() { readers.fraction = 0 })
	}
	world.Run(6 * time.Minute)
	return readers
}

// TestPipelineReads has users query all controllers at the moment at which a job of a pipeline is accepted,
// ends or is cancelled, or milliseconds later, and cancel jobs through different controllers. It guards
// against controllers that give stale answers: the history of each job must be linearizable, and the
// cancellation of a dependency must reach the job within cancel_s.
func TestPipelineReads(t *testing.T) {
	for seed := range dayCount(t, 8, 2) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			world := newTestWorld(seed)
			readers := runPipelines(world, seed, seed > 0)
			reportViolations(t, append(world.Violations, readers.check()...))
			ends := map[jobFate]int{}
			for _, job := range readers.jobs {
				fate := readers.newestFate[job.spec.ID]
				if ends[fate]++; fate != fateDone && fate != fateCancelled {
					t.Errorf("%s: got final state %q, want done or cancelled", job.spec.ID, fate)
				}
			}
			if ends[fateDone] < 10 || ends[fateCancelled] < 10 {
				t.Errorf("got ends %v, want at least 10 done and 10 cancelled", ends)
			}
			t.Logf("%v, bursts %v, unanswered %v", ends, readers.bursts, readers.unansweredCount)
		})
	}
}

// TestStalePipelineAnswersAreDetected corrupts answers about jobs with dependencies. It guards against a
// linearizability check that overlooks such answers or reports correct ones.
func TestStalePipelineAnswersAreDetected(t *testing.T) {
	isDependent := func(world *World, reply *message.UserReply) bool {
		job := world.jobs[reply.ID]
		return job != nil && len(job.dependencies) > 0 && !job.cancelRequested
	}
	for name, corrupt := range map[string]func(*World, *message.UserReply){
		"not corrupted": nil,
		"a dependent is sometimes answered as queued": func(world *World, reply *message.UserReply) {
			if isDependent(world, reply) && reply.State == "cancelled" && reply.Reply%7 == 0 {
				reply.State = "queued"
			}
		},
		"a dependent is answered as cancelled too soon": func(world *World, reply *message.UserReply) {
			if isDependent(world, reply) && reply.State == "queued" && reply.Reply%5 == 0 && reply.Status == 200 {
				reply.State = "cancelled"
			}
		},
		"a dependent is never answered as cancelled": func(world *World, reply *message.UserReply) {
			if isDependent(world, reply) && reply.State == "cancelled" {
				reply.State = "queued"
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			world := newTestWorld(3)
			if corrupt != nil {
				world.corruptEffect = func(effect message.Effect) message.Effect {
					if reply, ok := effect.(message.UserReply); ok {
						corrupt(world, &reply)
						return reply
					}
					return effect
				}
			}
			if found := runPipelines(world, 3, false).check(); (corrupt != nil) != (len(found) > 0) {
				t.Errorf("got violations %v, want some only if corrupted", found)
			}
		})
	}
}

// formatHistory formats the operations that the linearizability check of a job uses, with times in ms.
func formatHistory(history []porcupine.Operation) string {
	out := ""
	for _, operation := range dropImpliedReads(withSubmission(history)) {
		ms := func(at int64) string {
			if at == math.MaxInt64 {
				return "never"
			}
			return fmt.Sprint(at / 1e6)
		}
		out += fmt.Sprintf("\n  %s..%s %v %v", ms(operation.Call), ms(operation.Return), operation.Input, operation.Output)
	}
	return out
}
