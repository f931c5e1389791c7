package simulation

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
)

// dependentJob returns a batch job of team ops that depends on other jobs.
func dependentJob(id string, tasks int, runTime time.Duration, dependencies ...string) model.JobSpec {
	spec := batchJob(id, "ops", tasks, 1, runTime)
	spec.Dependencies = dependencies
	return spec
}

// submitChain submits jobs a, b and c, each after the acceptance of the previous one. Job b depends on a, and
// c on b.
func (world *World) submitChain(runTime time.Duration) (jobA, jobB, jobC *userJob) {
	jobA = newUserJob(dependentJob("job-00000a", 2, runTime), runTime)
	jobB = newUserJob(dependentJob("job-00000b", 2, runTime, "job-00000a"), runTime)
	jobC = newUserJob(dependentJob("job-00000c", 2, runTime, "job-00000b"), runTime)
	world.submitJob(jobA)
	world.submitAfter(jobB, milestoneAccepted, jobA)
	world.submitAfter(jobC, milestoneAccepted, jobB)
	return jobA, jobB, jobC
}

// corruptReplies returns a corruption that applies change to each reply to users about a job.
func corruptReplies(id string, change func(*message.UserReply)) func(message.Effect) message.Effect {
	return func(effect message.Effect) message.Effect {
		if reply, ok := effect.(message.UserReply); ok && reply.ID == id {
			change(&reply)
			return reply
		}
		return effect
	}
}

// injectEarlyStart returns a corruption that starts a job's first task before its dependencies are done: it
// adds the start to the first commands for any machine, and drops all commands that stop tasks of the job.
func injectEarlyStart(id string) func(message.Effect) message.Effect {
	start, startsLeft := model.TaskCommand{Kind: model.StartTask, Job: id, Attempt: 99}, 1
	addStart := func(commands []model.TaskCommand) []model.TaskCommand {
		commands = slices.DeleteFunc(slices.Clone(commands), func(command model.TaskCommand) bool { return command.Kind == model.StopTask && command.Job == id })
		if len(commands) == 0 || startsLeft == 0 {
			return commands
		}
		startsLeft--
		return append([]model.TaskCommand{start}, commands...)
	}
	return func(effect message.Effect) message.Effect {
		switch outgoing := effect.(type) {
		case message.WorkerRequest:
			outgoing.Commands = addStart(outgoing.Commands)
			return outgoing
		case message.HeartbeatReply:
			outgoing.Commands = addStart(outgoing.Commands)
			return outgoing
		}
		return effect
	}
}

// TestPipelineChecksDetectCorruption checks that each check of dependencies reports a corrupted controller,
// and that none reports a correct controller. Job a of a chain is cancelled in some cases.
func TestPipelineChecksDetectCorruption(t *testing.T) {
	const idA, idB, idC = "job-00000a", "job-00000b", "job-00000c"
	for _, test := range []struct {
		name, rule string
		// corrupt returns the change of the controllers' effects. It applies from the start, or from
		// the milestone of job a named by at. At that milestone job a is cancelled.
		corrupt func(*World) func(message.Effect) message.Effect
		at      milestone
	}{
		{"not corrupted", "", nil, ""},
		{"not corrupted, cancelled", "", nil, milestoneAccepted},
		{"not corrupted, cancelled at the end", "", nil, milestoneTasksDone},
		{"a dependent starts early", "too_early", func(*World) func(message.Effect) message.Effect { return injectEarlyStart(idC) }, ""},
		{"a cancelled dependent is answered as queued for ever", RuleOrphaned, func(*World) func(message.Effect) message.Effect {
			return corruptReplies(idC, func(reply *message.UserReply) {
				if reply.State == "cancelled" {
					reply.State = "queued"
				}
			})
		}, milestoneAccepted},
		{"a cancelled dependent is answered as queued a few seconds too long", RuleOrphaned, func(world *World) func(message.Effect) message.Effect {
			until := world.now.Add(world.cancelWithin + 8*time.Second)
			return corruptReplies(idC, func(reply *message.UserReply) {
				if reply.State == "cancelled" && world.now.Before(until) {
					reply.State = "queued"
				}
			})
		}, milestoneAccepted},
		{"a cancelled dependent is answered as queued again later", "went_back", func(world *World) func(message.Effect) message.Effect {
			from := world.now.Add(40 * time.Second)
			return corruptReplies(idC, func(reply *message.UserReply) {
				if reply.State == "cancelled" && world.now.After(from) {
					reply.State = "queued"
				}
			})
		}, milestoneAccepted},
		{"a dependent is answered as cancelled though no job was cancelled", "went_back", func(*World) func(message.Effect) message.Effect {
			return corruptReplies(idC, func(reply *message.UserReply) { reply.State = "cancelled" })
		}, ""},
		{"a dependent of a cancelled job is answered as done", "not_done", func(*World) func(message.Effect) message.Effect {
			return corruptReplies(idC, func(reply *message.UserReply) { reply.State = "done" })
		}, milestoneAccepted},
		{"a dependent is refused", "refused_wrongly", func(*World) func(message.Effect) message.Effect {
			return corruptReplies(idC, func(reply *message.UserReply) { reply.Status = 422 })
		}, ""},
		{"a dependent is never started", RuleWaiting, func(world *World) func(message.Effect) message.Effect {
			return func(effect message.Effect) message.Effect {
				return dropCommands(effect, func(command model.TaskCommand) bool { return command.Kind == model.StartTask && command.Job == idB })
			}
		}, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			world := newTestWorld(3)
			world.faultsEndAt = world.startedAt
			jobA, jobB, jobC := world.submitChain(15 * time.Second)
			// This job keeps enough machines rented for the whole chain.
			world.Submit(batchJob("job-000001", "ops", 4, 2, time.Hour), time.Hour, false)
			if test.corrupt != nil && test.at == "" {
				world.corruptEffect = test.corrupt(world)
			}
			if test.at != "" {
				jobA.onMilestone(test.at, func() {
					if test.corrupt != nil {
						world.corruptEffect = test.corrupt(world)
					}
					world.CancelAt(idA, 0, 2)
				})
			}
			world.Run(5 * time.Minute)
			world.checkDependencyOutcomes()
			found := strings.Join(world.Violations, "\n")
			if test.rule == "" {
				checkNoViolations(t, world)
				for _, job := range []*userJob{jobA, jobB, jobC} {
					if want := []string{"done", "cancelled"}[boolInt(jobA.lastState == "cancelled")]; job.lastState != want {
						t.Errorf("%s: got final state %q, want %q", job.spec.ID, job.lastState, want)
					}
				}
			} else if !strings.Contains(found, test.rule+" at") {
				t.Errorf("got violations %q, want %s in them", found, test.rule)
			}
		})
	}
}

// TestPipelineSubmissions checks how controllers answer submissions of dependent jobs. A job that depends on
// an unknown job, on itself or twice on the same job is refused permanently. A resubmission is recognized in
// every state of the dependencies. A job that depends on a cancelled job is accepted and cancelled without a
// start.
func TestPipelineSubmissions(t *testing.T) {
	world := newTestWorld(5)
	jobA, jobB, jobC := world.submitChain(10 * time.Second)
	refused := []*userJob{}
	for i, dependencies := range [][]string{{"job-999999"}, {"job-00000a", "job-999998"}, {"job-00000x"}, {"job-00000a", "job-00000a"}} {
		job := newUserJob(dependentJob(fmt.Sprintf("job-00000%c", 'u'+i), 1, 10*time.Second, dependencies...), 10*time.Second)
		if i == 2 {
			job.spec.Dependencies = []string{job.spec.ID}
		}
		job.invalid = true
		refused = append(refused, job)
		jobA.onMilestone(milestoneAccepted, func() { world.submitJob(job) })
	}
	world.Run(20 * time.Second)
	for _, job := range refused {
		if job.refusedStatus != 422 || job.accepted {
			t.Errorf("%s with dependencies %v: got status %d, want 422", job.spec.ID, job.spec.Dependencies, job.refusedStatus)
		}
	}
	if world.waitUntil(5*time.Minute, func() bool { return jobC.lastState == "done" }) < 0 || jobA.lastState != "done" || jobB.lastState != "done" {
		t.Errorf("got final states %q, %q, %q, want done for all", jobA.lastState, jobB.lastState, jobC.lastState)
	}
	jobD := newUserJob(dependentJob("job-00000d", 1, 10*time.Second, jobA.spec.ID, jobC.spec.ID), 10*time.Second)
	world.submitJob(jobD)
	world.Run(2 * time.Minute)
	jobE := newUserJob(dependentJob("job-00000e", 1, time.Hour, jobD.spec.ID), time.Hour)
	world.submitJob(jobE)
	world.Run(time.Minute)
	world.CancelAt(jobE.spec.ID, 0, 3)
	world.Run(time.Minute)
	jobF := newUserJob(dependentJob("job-00000f", 1, 10*time.Second, jobA.spec.ID, jobE.spec.ID), 10*time.Second)
	world.submitJob(jobF)
	world.Run(world.cancelWithin)
	if jobD.lastState != "done" || jobE.lastState != "cancelled" || jobF.lastState != "cancelled" || len(jobF.firstStarts) > 0 {
		t.Errorf("got final states %q, %q, %q, want done, cancelled, cancelled, and no start of the last job", jobD.lastState, jobE.lastState, jobF.lastState)
	}
	for _, job := range []*userJob{jobA, jobB, jobC, jobD, jobE, jobF} {
		for range 4 {
			world.resubmit(job)
		}
	}
	world.Run(10 * time.Second)
	world.checkDependencyOutcomes()
	checkNoViolations(t, world)
}

// TestPipelineCancelledAtTheEnd guards against a chain whose jobs disagree about a cancellation. The first
// job is cancelled within 64 ms around the end of its last task, at one to three controllers. It may end as
// done or cancelled, and all its dependents must end in the same state.
func TestPipelineCancelledAtTheEnd(t *testing.T) {
	world := newTestWorldOfSize(7, 3)
	first, _, _ := world.submitChain(10 * time.Second)
	world.Run(2 * time.Minute)
	end := first.tasksDoneAt.Sub(world.startedAt)
	outcomes := map[string]int{}
	for _, step := range sampleCases(32, 8) {
		for controller := range 3 {
			world := newTestWorldOfSize(7, 3)
			jobA, jobB, jobC := world.submitChain(10 * time.Second)
			offset := time.Duration(step-16) * 4 * time.Millisecond
			world.schedule(end+offset, func() { world.CancelAt(jobA.spec.ID, controller, 1+step%3) })
			if world.waitUntil(5*time.Minute, func() bool { return isFinal(jobA.lastState) && isFinal(jobB.lastState) && isFinal(jobC.lastState) }) < 0 {
				t.Errorf("offset %v, node-%d: got states %q, %q, %q after 5m, want final ones", offset, controller, jobA.lastState, jobB.lastState, jobC.lastState)
			}
			world.Run(world.cancelWithin)
			world.checkDependencyOutcomes()
			if jobA.lastState != jobB.lastState || jobB.lastState != jobC.lastState || len(world.Violations) > 0 {
				t.Errorf("offset %v, node-%d: got final states %q, %q, %q, violations %v, want equal states and no violations", offset, controller, jobA.lastState, jobB.lastState, jobC.lastState, world.Violations)
			}
			outcomes[jobA.lastState]++
		}
	}
	t.Log(outcomes)
	if outcomes["done"] == 0 || outcomes["cancelled"] == 0 {
		t.Errorf("got final states %v, want some done and some cancelled", outcomes)
	}
}

// TestPipelineDays checks for violations and starved jobs on a few random days with pipelines. The command
// micahill-lab days --pipelines simulates many more.
func TestPipelineDays(t *testing.T) {
	for seed := range dayCount(t, 5, 2) {
		t.Run(fmt.Sprint(seed+1), func(t *testing.T) {
			t.Parallel()
			day := GenerateDay(DayParams{Seed: seed + 1, Machines: 40, OverlappingFaults: seed%2 == 0, Pipelines: true})
			result := RunDay(day, "")
			reportViolations(t, append(result.Violations, result.Starved()...))
			if t.Failed() {
				t.Logf("%v %v", day.Cancels, day.Faults)
				logTail(t, result.Log, 60)
			}
		})
	}
}

// TestPipelineDaysDetectCorruption checks that the checks of a day detect a controller that ignores
// dependencies, and a controller that hides cancellations of dependents.
func TestPipelineDaysDetectCorruption(t *testing.T) {
	day := GenerateDay(DayParams{Seed: 4, Machines: 60, Teams: 2, Controllers: 3, Jobs: 40, Minutes: 1, HotFactor: 1, FaultCount: -1, Pipelines: true})
	for _, test := range []struct {
		rule    string
		corrupt func(*World, message.Effect) message.Effect
	}{
		{"too_early", func(world *World, effect message.Effect) message.Effect {
			request, ok := effect.(message.WorkerRequest)
			if !ok || len(request.Commands) == 0 {
				return effect
			}
			for _, id := range sortedKeys(world.jobs) {
				if job := world.jobs[id]; job.accepted && !job.dependenciesDone() && len(job.firstStarts) == 0 {
					request.Commands = append(request.Commands[:len(request.Commands):len(request.Commands)], model.TaskCommand{Kind: model.StartTask, Job: id, Attempt: 99})
					return request
				}
			}
			return effect
		}},
		{RuleOrphaned, func(world *World, effect message.Effect) message.Effect {
			if reply, ok := effect.(message.UserReply); ok && reply.State == "cancelled" && world.jobs[reply.ID] != nil && len(world.jobs[reply.ID].dependencies) > 0 && !world.jobs[reply.ID].cancelRequested {
				reply.State = "queued"
				return reply
			}
			return effect
		}},
	} {
		t.Run(test.rule, func(t *testing.T) {
			t.Parallel()
			if result := day.run("", test.corrupt); !strings.Contains(strings.Join(result.Violations, "\n"), test.rule+" at") {
				t.Errorf("got violations %v, want %s in them", result.Violations, test.rule)
			}
		})
	}
}

// TestPipelineBounds guards against large pipelines that exceed the state service's limits of 4 KiB for a
// value and 12 writes for a transaction. A job with 1000 dependencies and the last job of a chain of 200 must
// start once their dependencies are done. Another job with 1001 dependencies must be cancelled with one of
// them. No request may be malformed.
func TestPipelineBounds(t *testing.T) {
	const dependencyCount, chainLength = 1000, 200
	world := newSmallWorld(9, testSettings())
	world.state.SetLimits(world.settings)
	runTime := 2 * time.Second
	var dependencyIDs []string
	var dependencies []*userJob
	for i := range dependencyCount {
		job := newUserJob(batchJob(fmt.Sprintf("job-%06d", 7*i), "ops", 1, 1, runTime), runTime)
		dependencyIDs, dependencies = append(dependencyIDs, job.spec.ID), append(dependencies, job)
		world.schedule(time.Duration(i)*60*time.Millisecond, func() { world.submitJob(job) })
	}
	join := newUserJob(dependentJob("job-900001", 3, runTime, dependencyIDs...), runTime)
	dependent := newUserJob(dependentJob("job-900002", 3, runTime, dependencyIDs...), runTime)
	dependent.spec.Dependencies = append(slices.Clone(dependencyIDs), "job-900003")
	cancelledDependency := newUserJob(batchJob("job-900003", "ops", 1, 1, time.Hour), time.Hour)
	world.submitAfter(join, milestoneAccepted, dependencies...)
	world.schedule(time.Minute, func() { world.submitJob(cancelledDependency) })
	world.submitAfter(dependent, milestoneAccepted, append(slices.Clone(dependencies), cancelledDependency)...)
	var previous *userJob
	for i := range chainLength {
		job := newUserJob(dependentJob(fmt.Sprintf("job-8%05d", i), 1, runTime), runTime)
		if previous == nil {
			world.schedule(6*time.Second, func() { world.submitJob(job) })
		} else {
			job.spec.Dependencies = []string{previous.spec.ID}
			world.submitAfter(job, milestoneAccepted, previous)
		}
		previous = job
	}
	world.Run(10 * time.Minute)
	world.CancelAt(cancelledDependency.spec.ID, 0, 2)
	world.Run(20 * time.Minute)
	if join.lastState != "done" || dependent.lastState != "cancelled" || previous.lastState != "done" {
		t.Errorf("got final states %q, %q, %q, want done, cancelled, done; the last but one job of the chain has %d tasks done", join.lastState, dependent.lastState, previous.lastState, len(previous.dependencies[0].doneTasks))
	}
	if world.state.Malformed > 0 {
		t.Errorf("got %d malformed requests to the state service, the last for %s, want none", world.state.Malformed, world.state.LastMalformed)
	}
	world.checkDependencyOutcomes()
	checkNoViolations(t, world)
}

// TestDependentWaitsForStoredEnd guards against a dependent that starts before the end of its dependency is
// stored. The state service refuses the write that the job is done, while all tasks of the job are done and
// its shard leader knows this. No dependent may start meanwhile, also if all controllers crash. Once the
// write succeeds, the dependents must run.
func TestDependentWaitsForStoredEnd(t *testing.T) {
	for _, crash := range []bool{false, true} {
		world := newTestWorld(11)
		jobA, jobB, jobC := world.submitChain(10 * time.Second)
		refused, allowWrite := 0, false
		world.corruptEffect = func(effect message.Effect) message.Effect {
			if !allowWrite && writesKey(effect, "job/"+jobA.spec.ID) {
				refused++
				request := effect.(message.StoreRequest)
				request.Compares = append(slices.Clone(request.Compares), message.Compare{Key: "none", ModRevision: 1})
				return request
			}
			return effect
		}
		if world.waitUntil(2*time.Minute, func() bool { return !jobA.tasksDoneAt.IsZero() }) < 0 {
			t.Fatal("got unfinished tasks of job a after 2m, want all done")
		}
		world.Run(5 * time.Second)
		if crash {
			for i := range world.controllers {
				world.CrashController(i, 5*time.Second)
			}
		}
		world.Run(time.Minute)
		if len(jobB.firstStarts) > 0 || refused < 2 || jobA.lastState == "done" {
			t.Errorf("got %d tasks of the dependent started, %d writes refused, state %q of job a, want none, at least 2 and not done", len(jobB.firstStarts), refused, jobA.lastState)
		}
		allowWrite = true
		world.Run(3 * time.Minute)
		if jobC.lastState != "done" {
			t.Errorf("got final states %q, %q, %q, want done for all", jobA.lastState, jobB.lastState, jobC.lastState)
		}
		checkNoViolations(t, world)
	}
}

// TestStartBeforeStoredEndIsDetected checks that checkDependencies reports a start of a dependent after all
// tasks of the dependency are done but before the state service has stored its end.
func TestStartBeforeStoredEndIsDetected(t *testing.T) {
	world := newTestWorld(3)
	jobA, jobB, _ := world.submitChain(10 * time.Second)
	if world.waitUntil(2*time.Minute, func() bool { return !jobA.tasksDoneAt.IsZero() }) < 0 {
		t.Fatal("got unfinished tasks of job a after 2m, want all done")
	}
	world.checkDependencies(jobB, jobB.spec.ID)
	if found := strings.Join(world.Violations, " "); !strings.Contains(found, "is stored") {
		t.Errorf("got violations %q, want one about an end that is not stored", found)
	}
}
