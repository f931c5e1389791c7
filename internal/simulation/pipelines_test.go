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

// dependentJob is a job that needs others.
func dependentJob(id string, tasks int, run time.Duration, prereqs ...string) model.JobSpec {
	spec := batchJob(id, "ops", tasks, 1, run)
	spec.Dependencies = prereqs
	return spec
}

// submitChain submits a, b and c one after the other, each needing the one before it.
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

// startEarly puts the start of a job's first task before the first orders for any machine, and
// lets nothing stop it.
func startEarly(id string) func(message.Effect) message.Effect {
	start, left := model.TaskCommand{Kind: model.StartTask, Job: id, Attempt: 99}, 1
	add := func(orders []model.TaskCommand) []model.TaskCommand {
		orders = slices.DeleteFunc(slices.Clone(orders), func(o model.TaskCommand) bool { return o.Kind == model.StopTask && o.Job == id })
		if len(orders) == 0 || left == 0 {
			return orders
		}
		left--
		return append([]model.TaskCommand{start}, orders...)
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

// TestPipelineChecksNotice: each checker of pipelines fails on a core made wrong, and none
// on one that is right.
func TestPipelineChecksNotice(t *testing.T) {
	const a, b, c = "job-00000a", "job-00000b", "job-00000c"
	for _, x := range []struct {
		name, rule string
		// wrong is what the core does, from the moment when a is to be cancelled on if it
		// is; at is that moment.
		wrong func(*World) func(message.Effect) message.Effect
		at    milestone
	}{
		{"nothing", "", nil, ""},
		{"nothing, cancelled", "", nil, milestoneAccepted},
		{"nothing, cancelled at the end", "", nil, milestoneTasksDone},
		{"a task of a later job is started", "too_early", func(*World) func(message.Effect) message.Effect { return startEarly(c) }, ""},
		{"a later job is called queued for ever", RuleOrphaned, func(*World) func(message.Effect) message.Effect {
			return corruptReplies(c, func(r *message.UserReply) {
				if r.State == "cancelled" {
					r.State = "queued"
				}
			})
		}, milestoneAccepted},
		{"a later job is called queued a moment too long", RuleOrphaned, func(w *World) func(message.Effect) message.Effect {
			till := w.now.Add(w.cancelWithin + 8*time.Second)
			return corruptReplies(c, func(r *message.UserReply) {
				if r.State == "cancelled" && w.now.Before(till) {
					r.State = "queued"
				}
			})
		}, milestoneAccepted},
		{"a later job goes back", "went_back", func(w *World) func(message.Effect) message.Effect {
			from := w.now.Add(40 * time.Second)
			return corruptReplies(c, func(r *message.UserReply) {
				if r.State == "cancelled" && w.now.After(from) {
					r.State = "queued"
				}
			})
		}, milestoneAccepted},
		{"a later job is cancelled by nobody", "went_back", func(*World) func(message.Effect) message.Effect {
			return corruptReplies(c, func(r *message.UserReply) { r.State = "cancelled" })
		}, ""},
		{"what comes after is called done", "not_done", func(*World) func(message.Effect) message.Effect {
			return corruptReplies(c, func(r *message.UserReply) { r.State = "done" })
		}, milestoneAccepted},
		{"what comes after a cancelled job is refused", "refused_wrongly", func(*World) func(message.Effect) message.Effect {
			return corruptReplies(c, func(r *message.UserReply) { r.Status = 422 })
		}, ""},
		{"a later job is never released", RuleWaiting, func(w *World) func(message.Effect) message.Effect {
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
			// Room for it all is there, and stays.
			w.Submit(batchJob("job-000001", "ops", 4, 2, time.Hour), time.Hour, false)
			if x.wrong != nil && x.at == "" {
				w.corruptEffect = x.wrong(w)
			}
			if x.at != "" {
				ja.onMilestone(x.at, func() {
					if x.wrong != nil {
						w.corruptEffect = x.wrong(w)
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
						t.Errorf("%s is %q", j.spec.ID, j.lastState)
					}
				}
			} else if !strings.Contains(found, x.rule+" at") {
				t.Errorf("no %s: %s", x.rule, found)
			}
		})
	}
}

// TestPipelineSubmissions: a job that names one that was never accepted, itself, or one
// twice is refused for good; a repeat is known, whatever became of what it needs; a
// submission that names a cancelled job is accepted, and cancelled with it.
func TestPipelineSubmissions(t *testing.T) {
	w := newTestWorld(5)
	a, b, c := w.submitChain(10 * time.Second)
	refused := []*userJob{}
	for i, prereqs := range [][]string{{"job-999999"}, {"job-00000a", "job-999998"}, {"job-00000x"}, {"job-00000a", "job-00000a"}} {
		j := newUserJob(dependentJob(fmt.Sprintf("job-00000%c", 'u'+i), 1, 10*time.Second, prereqs...), 10*time.Second)
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
			t.Errorf("%s, which needs %v, is answered %d", j.spec.ID, j.spec.Dependencies, j.refusedStatus)
		}
	}
	if w.waitUntil(5*time.Minute, func() bool { return c.lastState == "done" }) < 0 || a.lastState != "done" || b.lastState != "done" {
		t.Errorf("%s %s %s", a.lastState, b.lastState, c.lastState)
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
		t.Errorf("%s %s %s", d.lastState, e.lastState, f.lastState)
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

// TestPipelineCancelledAtTheEnd: the first of a chain is cancelled around the end of its
// last task, at one or several controllers. It ends one way, and all behind it the same.
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
				t.Errorf("%v node-%d: %q %q %q", off, node, a.lastState, b.lastState, c.lastState)
			}
			w.Run(w.cancelWithin)
			w.checkDependencyOutcomes()
			if a.lastState != b.lastState || b.lastState != c.lastState || len(w.Violations) > 0 {
				t.Errorf("%v node-%d: %q %q %q: %v", off, node, a.lastState, b.lastState, c.lastState, w.Violations)
			}
			ends[a.lastState]++
		}
	}
	t.Log(ends)
	if ends["done"] == 0 || ends["cancelled"] == 0 {
		t.Errorf("not both met: %v", ends)
	}
}

// TestPipelineDays plays a few drawn days of meetings with pipelines; many more are played
// by micahill-lab days --pipelines.
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

// TestPipelineDaysNotice: a day's checkers see a core that knows of no prerequisites, and
// one that hides how closures end.
func TestPipelineDaysNotice(t *testing.T) {
	d := GenerateDay(DayParams{Seed: 4, Machines: 60, Teams: 2, Controllers: 3, Jobs: 40, Minutes: 1, HotFactor: 1, FaultCount: -1, Pipelines: true})
	for _, x := range []struct {
		rule  string
		wrong func(*World, message.Effect) message.Effect
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
			if r := d.run("", x.wrong); !strings.Contains(strings.Join(r.Violations, "\n"), x.rule+" at") {
				t.Errorf("not noticed: %v", r.Violations)
			}
		})
	}
}

// TestPipelineBounds: within 4 KiB of a value and 12 changes of a transaction, a job that
// needs a thousand others, and the last of a long chain, start when all are done, and
// another such is cancelled with one of them. No request is called malformed.
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
	behind := newUserJob(dependentJob("job-900002", 3, run, needs...), run)
	behind.spec.Dependencies = append(slices.Clone(needs), "job-900003")
	last := newUserJob(batchJob("job-900003", "ops", 1, 1, time.Hour), time.Hour)
	w.submitAfter(join, milestoneAccepted, others...)
	w.schedule(time.Minute, func() { w.submitJob(last) })
	w.submitAfter(behind, milestoneAccepted, append(slices.Clone(others), last)...)
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
	if join.lastState != "done" || behind.lastState != "cancelled" || before.lastState != "done" {
		t.Errorf("%q %q %q, the last but one %d", join.lastState, behind.lastState, before.lastState, len(before.dependencies[0].doneTasks))
	}
	if w.state.Malformed > 0 {
		t.Errorf("%d malformed, %s", w.state.Malformed, w.state.LastMalformed)
	}
	w.checkDependencyOutcomes()
	checkNoViolations(t, w)
}

// TestReleaseNeedsStoredEnd: while the record that a job is done can't be written, nothing
// that needs it starts, though all its tasks are done and the owner knows; also when all
// controllers end meanwhile. Once it is written, all goes on.
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
			t.Fatal("not ended")
		}
		w.Run(5 * time.Second)
		if crash {
			for i := range w.controllers {
				w.CrashController(i, 5*time.Second)
			}
		}
		w.Run(time.Minute)
		if len(b.firstStarts) > 0 || refused < 2 || a.lastState == "done" {
			t.Errorf("%d of the next began, %d records refused, %q", len(b.firstStarts), refused, a.lastState)
		}
		over = true
		w.Run(3 * time.Minute)
		if c.lastState != "done" {
			t.Errorf("%q %q %q", a.lastState, b.lastState, c.lastState)
		}
		checkNoViolations(t, w)
	}
}

// TestStoredEndIsChecked: a start before an end is stored is noticed, though all tasks of
// that job are done.
func TestStoredEndIsChecked(t *testing.T) {
	w := newTestWorld(3)
	a, b, _ := w.submitChain(10 * time.Second)
	if w.waitUntil(2*time.Minute, func() bool { return !a.tasksDoneAt.IsZero() }) < 0 {
		t.Fatal("not ended")
	}
	w.checkDependencies(b, b.spec.ID)
	if found := strings.Join(w.Violations, " "); !strings.Contains(found, "is stored") {
		t.Errorf("not noticed: %v", found)
	}
}
