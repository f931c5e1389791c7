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

// dependentJob returns a job with dependencies.
func dependentJob(id string, tasks int, run time.Duration, dependencies ...string) model.JobSpec {
	spec := batchJob(id, "ops", tasks, 1, run)
	spec.Dependencies = dependencies
	return spec
}

// submitChain submits jobs a, b and c one after the other, each of which needs the one before it.
func (w *World) submitChain(run time.Duration) (a, b, c *userJob) {
	a = newUserJob(dependentJob("job-00000a", 2, run), run)
	b = newUserJob(dependentJob("job-00000b", 2, run, "job-00000a"), run)
	c = newUserJob(dependentJob("job-00000c", 2, run, "job-00000b"), run)
	w.submitJob(a)
	w.submitAfter(b, milestoneAccepted, a)
	w.submitAfter(c, milestoneAccepted, b)
	return a, b, c
}

// corruptReplies changes the answers to users about a job.
func corruptReplies(id string, change func(*message.UserReply)) func(message.Effect) message.Effect {
	return func(e message.Effect) message.Effect {
		if r, ok := e.(message.UserReply); ok && r.ID == id {
			change(&r)
			return r
		}
		return e
	}
}

// startEarly adds the start of a job's first task to the first commands for any machine, and drops all
// commands that stop it.
func startEarly(id string) func(message.Effect) message.Effect {
	start, left := model.TaskCommand{Kind: model.StartTask, Job: id, Attempt: 99}, 1
	add := func(commands []model.TaskCommand) []model.TaskCommand {
		commands = slices.DeleteFunc(slices.Clone(commands), func(o model.TaskCommand) bool { return o.Kind == model.StopTask && o.Job == id })
		if len(commands) == 0 || left == 0 {
			return commands
		}
		left--
		return append([]model.TaskCommand{start}, commands...)
	}
	return func(e message.Effect) message.Effect {
		switch x := e.(type) {
		case message.WorkerRequest:
			x.Commands = add(x.Commands)
			return x
		case message.HeartbeatReply:
			x.Commands = add(x.Commands)
			return x
		}
		return e
	}
}

// TestPipelineChecksDetectCorruption checks that each checker of pipelines fails on a corrupted controller, and none
// on a correct one.
func TestPipelineChecksDetectCorruption(t *testing.T) {
	const a, b, c = "job-00000a", "job-00000b", "job-00000c"
	for _, x := range []struct {
		name, rule string
		// corrupt changes the effects of the controllers: from the milestone of job a at which it
		// is cancelled, or from the start if it is not.
		corrupt func(*World) func(message.Effect) message.Effect
		at      milestone
	}{
		{"not corrupted", "", nil, ""},
		{"not corrupted, cancelled", "", nil, milestoneAccepted},
		{"not corrupted, cancelled at the end", "", nil, milestoneTasksDone},
		{"a dependent starts early", "too_early", func(*World) func(message.Effect) message.Effect { return startEarly(c) }, ""},
		{"a dependent is answered as queued for ever", RuleOrphaned, func(*World) func(message.Effect) message.Effect {
			return corruptReplies(c, func(r *message.UserReply) {
				if r.State == "cancelled" {
					r.State = "queued"
				}
			})
		}, milestoneAccepted},
		{"a dependent is answered as queued a moment too long", RuleOrphaned, func(w *World) func(message.Effect) message.Effect {
			till := w.now.Add(w.cancelWithin + 8*time.Second)
			return corruptReplies(c, func(r *message.UserReply) {
				if r.State == "cancelled" && w.now.Before(till) {
					r.State = "queued"
				}
			})
		}, milestoneAccepted},
		{"a dependent goes back to queued", "went_back", func(w *World) func(message.Effect) message.Effect {
			from := w.now.Add(40 * time.Second)
			return corruptReplies(c, func(r *message.UserReply) {
				if r.State == "cancelled" && w.now.After(from) {
					r.State = "queued"
				}
			})
		}, milestoneAccepted},
		{"a dependent is answered as cancelled without a cause", "went_back", func(*World) func(message.Effect) message.Effect {
			return corruptReplies(c, func(r *message.UserReply) { r.State = "cancelled" })
		}, ""},
		{"a dependent of a cancelled job is answered as done", "not_done", func(*World) func(message.Effect) message.Effect {
			return corruptReplies(c, func(r *message.UserReply) { r.State = "done" })
		}, milestoneAccepted},
		{"a dependent is refused", "refused_wrongly", func(*World) func(message.Effect) message.Effect {
			return corruptReplies(c, func(r *message.UserReply) { r.Status = 422 })
		}, ""},
		{"a dependent is never started", RuleWaiting, func(w *World) func(message.Effect) message.Effect {
			return func(e message.Effect) message.Effect {
				return dropCommands(e, func(o model.TaskCommand) bool { return o.Kind == model.StartTask && o.Job == b })
			}
		}, ""},
	} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			w := newTestWorld(3)
			w.faultsEndAt = w.startedAt
			ja, jb, jc := w.submitChain(15 * time.Second)
			// This job keeps enough machines rented for all.
			w.Submit(batchJob("job-000001", "ops", 4, 2, time.Hour), time.Hour, false)
			if x.corrupt != nil && x.at == "" {
				w.corruptEffect = x.corrupt(w)
			}
			if x.at != "" {
				ja.onMilestone(x.at, func() {
					if x.corrupt != nil {
						w.corruptEffect = x.corrupt(w)
					}
					w.CancelAt(a, 0, 2)
				})
			}
			w.Run(5 * time.Minute)
			w.checkDependencyOutcomes()
			found := strings.Join(w.Violations, "\n")
			if x.rule == "" {
				checkNoViolations(t, w)
				for _, j := range []*userJob{ja, jb, jc} {
					if want := []string{"done", "cancelled"}[boolInt(ja.lastState == "cancelled")]; j.lastState != want {
						t.Errorf("%s: got final state %q, want %q", j.spec.ID, j.lastState, want)
					}
				}
			} else if !strings.Contains(found, x.rule+" at") {
				t.Errorf("got violations %q, want %s in them", found, x.rule)
			}
		})
	}
}

// TestPipelineSubmissions checks that a job which names an unknown job, itself, or one twice is refused for
// good; that a resubmission is recognized, whatever became of the dependencies; and that a job which
// names a cancelled one is accepted and cancelled with it.
func TestPipelineSubmissions(t *testing.T) {
	w := newTestWorld(5)
	a, b, c := w.submitChain(10 * time.Second)
	refused := []*userJob{}
	for i, dependencies := range [][]string{{"job-999999"}, {"job-00000a", "job-999998"}, {"job-00000x"}, {"job-00000a", "job-00000a"}} {
		j := newUserJob(dependentJob(fmt.Sprintf("job-00000%c", 'u'+i), 1, 10*time.Second, dependencies...), 10*time.Second)
		if i == 2 {
			j.spec.Dependencies = []string{j.spec.ID}
		}
		j.invalid = true
		refused = append(refused, j)
		a.onMilestone(milestoneAccepted, func() { w.submitJob(j) })
	}
	w.Run(20 * time.Second)
	for _, j := range refused {
		if j.refusedStatus != 422 || j.accepted {
			t.Errorf("%s with dependencies %v: got status %d, want 422", j.spec.ID, j.spec.Dependencies, j.refusedStatus)
		}
	}
	if w.waitUntil(5*time.Minute, func() bool { return c.lastState == "done" }) < 0 || a.lastState != "done" || b.lastState != "done" {
		t.Errorf("got final states %q, %q, %q, want done", a.lastState, b.lastState, c.lastState)
	}
	d := newUserJob(dependentJob("job-00000d", 1, 10*time.Second, a.spec.ID, c.spec.ID), 10*time.Second)
	w.submitJob(d)
	w.Run(2 * time.Minute)
	e := newUserJob(dependentJob("job-00000e", 1, time.Hour, d.spec.ID), time.Hour)
	w.submitJob(e)
	w.Run(time.Minute)
	w.CancelAt(e.spec.ID, 0, 3)
	w.Run(time.Minute)
	f := newUserJob(dependentJob("job-00000f", 1, 10*time.Second, a.spec.ID, e.spec.ID), 10*time.Second)
	w.submitJob(f)
	w.Run(w.cancelWithin)
	if d.lastState != "done" || e.lastState != "cancelled" || f.lastState != "cancelled" || len(f.firstStarts) > 0 {
		t.Errorf("got final states %q, %q, %q, want done, cancelled, cancelled", d.lastState, e.lastState, f.lastState)
	}
	for _, j := range []*userJob{a, b, c, d, e, f} {
		for range 4 {
			w.resubmit(j)
		}
	}
	w.Run(10 * time.Second)
	w.checkDependencyOutcomes()
	checkNoViolations(t, w)
}

// TestPipelineCancelledAtTheEnd cancels the first job of a chain around the end of its last task, at one or
// several controllers. It ends one way, and all its dependents the same.
func TestPipelineCancelledAtTheEnd(t *testing.T) {
	w := newTestWorldOfSize(7, 3)
	first, _, _ := w.submitChain(10 * time.Second)
	w.Run(2 * time.Minute)
	end := first.tasksDoneAt.Sub(w.startedAt)
	ends := map[string]int{}
	for _, step := range sampleCases(32, 8) {
		for node := range 3 {
			w := newTestWorldOfSize(7, 3)
			a, b, c := w.submitChain(10 * time.Second)
			off := time.Duration(step-16) * 4 * time.Millisecond
			w.schedule(end+off, func() { w.CancelAt(a.spec.ID, node, 1+step%3) })
			if w.waitUntil(5*time.Minute, func() bool { return isFinal(a.lastState) && isFinal(b.lastState) && isFinal(c.lastState) }) < 0 {
				t.Errorf("%v node-%d: got states %q, %q, %q, want final ones", off, node, a.lastState, b.lastState, c.lastState)
			}
			w.Run(w.cancelWithin)
			w.checkDependencyOutcomes()
			if a.lastState != b.lastState || b.lastState != c.lastState || len(w.Violations) > 0 {
				t.Errorf("%v node-%d: got final states %q, %q, %q, violations %v, want equal states and none", off, node, a.lastState, b.lastState, c.lastState, w.Violations)
			}
			ends[a.lastState]++
		}
	}
	t.Log(ends)
	if ends["done"] == 0 || ends["cancelled"] == 0 {
		t.Errorf("got ends %v, want some done and some cancelled", ends)
	}
}

// TestPipelineDays plays a few random days with pipelines. Many more are played by micahill-lab days
// --pipelines.
func TestPipelineDays(t *testing.T) {
	for seed := range dayCount(t, 5, 2) {
		t.Run(fmt.Sprint(seed+1), func(t *testing.T) {
			t.Parallel()
			d := GenerateDay(DayParams{Seed: seed + 1, Machines: 40, OverlappingFaults: seed%2 == 0, Pipelines: true})
			r := RunDay(d, "")
			reportViolations(t, append(r.Violations, r.Starved()...))
			if t.Failed() {
				t.Logf("%v %v", d.Cancels, d.Faults)
				logTail(t, r.Log, 60)
			}
		})
	}
}

// TestPipelineDaysDetectCorruption checks that the checkers of a day detect a controller that ignores dependencies, and
// one that hides cancellations of dependents.
func TestPipelineDaysDetectCorruption(t *testing.T) {
	d := GenerateDay(DayParams{Seed: 4, Machines: 60, Teams: 2, Controllers: 3, Jobs: 40, Minutes: 1, HotFactor: 1, FaultCount: -1, Pipelines: true})
	for _, x := range []struct {
		rule    string
		corrupt func(*World, message.Effect) message.Effect
	}{
		{"too_early", func(w *World, e message.Effect) message.Effect {
			op, ok := e.(message.WorkerRequest)
			if !ok || len(op.Commands) == 0 {
				return e
			}
			for _, id := range sortedKeys(w.jobs) {
				if j := w.jobs[id]; j.accepted && !j.dependenciesDone() && len(j.firstStarts) == 0 {
					op.Commands = append(op.Commands[:len(op.Commands):len(op.Commands)], model.TaskCommand{Kind: model.StartTask, Job: id, Attempt: 99})
					return op
				}
			}
			return e
		}},
		{RuleOrphaned, func(w *World, e message.Effect) message.Effect {
			if r, ok := e.(message.UserReply); ok && r.State == "cancelled" && w.jobs[r.ID] != nil && len(w.jobs[r.ID].dependencies) > 0 && !w.jobs[r.ID].cancelRequested {
				r.State = "queued"
				return r
			}
			return e
		}},
	} {
		t.Run(x.rule, func(t *testing.T) {
			t.Parallel()
			if r := d.run("", x.corrupt); !strings.Contains(strings.Join(r.Violations, "\n"), x.rule+" at") {
				t.Errorf("got violations %v, want %s in them", r.Violations, x.rule)
			}
		})
	}
}

// TestPipelineBounds checks that, within 4 KiB of a value and 12 writes of a transaction, a job with a thousand
// dependencies and the last of a long chain start when all are done, and that another such job is cancelled
// with one of them. No request is malformed.
func TestPipelineBounds(t *testing.T) {
	const wide, long = 1000, 200
	w := newSmallWorld(9, testSettings())
	w.state.SetLimits(w.settings)
	run := 2 * time.Second
	var needs []string
	var others []*userJob
	for i := range wide {
		j := newUserJob(batchJob(fmt.Sprintf("job-%06d", 7*i), "ops", 1, 1, run), run)
		needs, others = append(needs, j.spec.ID), append(others, j)
		w.schedule(time.Duration(i)*60*time.Millisecond, func() { w.submitJob(j) })
	}
	join := newUserJob(dependentJob("job-900001", 3, run, needs...), run)
	dependent := newUserJob(dependentJob("job-900002", 3, run, needs...), run)
	dependent.spec.Dependencies = append(slices.Clone(needs), "job-900003")
	last := newUserJob(batchJob("job-900003", "ops", 1, 1, time.Hour), time.Hour)
	w.submitAfter(join, milestoneAccepted, others...)
	w.schedule(time.Minute, func() { w.submitJob(last) })
	w.submitAfter(dependent, milestoneAccepted, append(slices.Clone(others), last)...)
	var before *userJob
	for i := range long {
		j := newUserJob(dependentJob(fmt.Sprintf("job-8%05d", i), 1, run), run)
		if before == nil {
			w.schedule(6*time.Second, func() { w.submitJob(j) })
		} else {
			j.spec.Dependencies = []string{before.spec.ID}
			w.submitAfter(j, milestoneAccepted, before)
		}
		before = j
	}
	w.Run(10 * time.Minute)
	w.CancelAt(last.spec.ID, 0, 2)
	w.Run(20 * time.Minute)
	if join.lastState != "done" || dependent.lastState != "cancelled" || before.lastState != "done" {
		t.Errorf("got final states %q, %q, %q, want done, cancelled, done; the last but one of the chain has %d tasks done", join.lastState, dependent.lastState, before.lastState, len(before.dependencies[0].doneTasks))
	}
	if w.state.Malformed > 0 {
		t.Errorf("got %d malformed requests, the last for %s, want none", w.state.Malformed, w.state.LastMalformed)
	}
	w.checkDependencyOutcomes()
	checkNoViolations(t, w)
}

// TestReleaseNeedsStoredEnd checks that while the record that a job is done cannot be written, no dependent
// starts, though all tasks of the job are done and its shard leader knows; also if all controllers crash
// meanwhile. Once it is written, all go on.
func TestReleaseNeedsStoredEnd(t *testing.T) {
	for _, crash := range []bool{false, true} {
		w := newTestWorld(11)
		a, b, c := w.submitChain(10 * time.Second)
		refused, over := 0, false
		w.corruptEffect = func(e message.Effect) message.Effect {
			if !over && writesKey(e, "job/"+a.spec.ID) {
				refused++
				op := e.(message.StoreRequest)
				op.Compares = append(slices.Clone(op.Compares), message.Compare{Key: "none", ModRevision: 1})
				return op
			}
			return e
		}
		if w.waitUntil(2*time.Minute, func() bool { return !a.tasksDoneAt.IsZero() }) < 0 {
			t.Fatal("got job a not ended within 2m")
		}
		w.Run(5 * time.Second)
		if crash {
			for i := range w.controllers {
				w.CrashController(i, 5*time.Second)
			}
		}
		w.Run(time.Minute)
		if len(b.firstStarts) > 0 || refused < 2 || a.lastState == "done" {
			t.Errorf("got %d tasks of the dependent started, %d writes refused, state %q, want none, at least 2 and not done", len(b.firstStarts), refused, a.lastState)
		}
		over = true
		w.Run(3 * time.Minute)
		if c.lastState != "done" {
			t.Errorf("got final states %q, %q, %q, want done", a.lastState, b.lastState, c.lastState)
		}
		checkNoViolations(t, w)
	}
}

// TestStoredEndIsChecked checks that a start before the end of a dependency is stored is a violation, though
// all its tasks are done.
func TestStoredEndIsChecked(t *testing.T) {
	w := newTestWorld(3)
	a, b, _ := w.submitChain(10 * time.Second)
	if w.waitUntil(2*time.Minute, func() bool { return !a.tasksDoneAt.IsZero() }) < 0 {
		t.Fatal("got job a not ended within 2m")
	}
	w.checkDependencies(b, b.spec.ID)
	if found := strings.Join(w.Violations, " "); !strings.Contains(found, "is stored") {
		t.Errorf("got violations %q, want one that the end is not stored", found)
	}
}
