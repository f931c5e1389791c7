package simulation

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/micahill/micahill/internal/message"
)

// opDependencyCancelled is that one of the jobs that a job needs, directly or through others, is
// cancelled: it cancels what is accepted, and what is accepted later.
const opDependencyCancelled operationKind = "doom"

// neverFate is news on which nobody cancels, as it doesn't come.
const neverFate jobFate = "never"

// dependentFate is what the register of a job in a pipeline holds.
type dependentFate struct {
	is     jobFate
	doomed bool
}

// dependentJobModel is jobModel with the cancellation of a job before it. That one is not done, so
// this one isn't either.
var dependentJobModel = porcupine.Model{
	Init: func() any { return dependentFate{} },
	Step: func(state, input, output any) (bool, any) {
		was, op, said := state.(dependentFate), input.(jobOperation), output.(jobAnswer)
		if op.kind == opDependencyCancelled {
			next := dependentFate{was.is, true}
			if was.is == accepted {
				next.is = cancelled
			}
			return was.is != done, next
		}
		if op.kind == opSubmit && was.is == unknown && was.doomed {
			// It is accepted all the same.
			told := said.status == 201 && (said.fate == accepted || said.fate == cancelled)
			return said.status == 0 || told || said.status == 200 && said.fate == cancelled, dependentFate{cancelled, true}
		}
		ok, next := jobModel.Step(was.is, input, output)
		return ok, dependentFate{next.(jobFate), was.doomed}
	},
}

// pipelineReaders are close looks at pipelines whose jobs are cancelled through different
// controllers.
type pipelineReaders struct {
	*concurrentReaders
	jobs []*userJob
}

// addPipeline has a chain of jobs come, with a fan in the middle; its jobs are cancelled on
// this news of them.
func (p *pipelineReaders) addPipeline(at time.Duration, name string, on [5]jobFate) {
	id := func(k int) string { return fmt.Sprintf("job-%s%d", name, k) }
	needs := [5][]string{nil, {id(0)}, {id(1)}, {id(1)}, {id(2), id(3)}}
	for k := range 5 {
		run := time.Duration(1+p.rng.IntN(6)) * time.Second
		j := newUserJob(dependentJob(id(k), 1+k%3, run, needs[k]...), run)
		p.jobs = append(p.jobs, j)
		p.world.jobs[id(k)] = j
		p.world.linkDependencies(j)
		submit := func() {
			j.submitted = p.world.now
			p.cancels[id(k)] = on[k]
			p.burst(id(k), unknown)
			p.send(p.rng.IntN(len(p.world.controllers)), opSubmit, id(k))
			p.readEverywhere(id(k))
		}
		p.world.schedule(at, func() { onAllReached(j.dependencies, milestoneAccepted, submit) })
	}
}

// runHooks has what waits for a job's moments hear of them.
func (p *pipelineReaders) runHooks() {
	for _, j := range p.jobs {
		j.runHooks()
	}
	p.world.schedule(20*time.Millisecond, p.runHooks)
}

// addDependencyCancels adds to a job's history the cancellations of those before it: they may take place
// since somebody asked for them, and have within cancel_s after anybody was told.
func (p *pipelineReaders) addDependencyCancels(j *userJob) []porcupine.Operation {
	id := j.spec.ID
	out := splitAcceptAndCancel(p.history[id])
	for _, n := range allDependencies(j) {
		if p.newestFate[n.spec.ID] != cancelled {
			continue
		}
		asked, told := int64(math.MaxInt64), int64(math.MaxInt64)
		for _, o := range p.history[n.spec.ID] {
			if o.Input.(jobOperation).kind == opCancel {
				asked = min(asked, o.Call)
			}
			if o.Output.(jobAnswer).fate == cancelled {
				told = min(told, o.Return)
			}
		}
		if asked == math.MaxInt64 {
			// Not itself, but through one before it.
			continue
		}
		if told < math.MaxInt64 {
			told += p.world.cancelWithin.Nanoseconds()
		}
		out = append(out, porcupine.Operation{ClientId: len(out), Input: jobOperation{id, opDependencyCancelled}, Call: asked, Output: jobAnswer{}, Return: told})
	}
	return out
}

// splitAcceptAndCancel divides an answer that a job was accepted and is cancelled by now: that may have
// come about in between.
func splitAcceptAndCancel(history []porcupine.Operation) []porcupine.Operation {
	var out []porcupine.Operation
	for _, o := range history {
		if in, said := o.Input.(jobOperation), o.Output.(jobAnswer); said.status == 201 && said.fate == cancelled {
			o.Output = jobAnswer{201, accepted}
			read := o
			read.Input, read.Output = jobOperation{in.job, opPoll}, jobAnswer{200, cancelled}
			out = append(out, read)
		}
		out = append(out, o)
	}
	return out
}

// allDependencies are all jobs that one needs, directly or through others.
func allDependencies(j *userJob) []*userJob {
	seen := map[*userJob]bool{}
	var out []*userJob
	var walk func(*userJob)
	walk = func(j *userJob) {
		for _, n := range j.dependencies {
			if !seen[n] {
				seen[n] = true
				out = append(out, n)
				walk(n)
			}
		}
	}
	walk(j)
	return out
}

// check judges all registers, and that what comes after a cancelled job ends with it.
func (p *pipelineReaders) check() []string {
	out := p.violations
	for _, j := range p.jobs {
		id := j.spec.ID
		if len(p.history[id]) == 0 {
			continue
		}
		if r := porcupine.CheckOperationsTimeout(dependentJobModel, dropImpliedReads(withSubmission(p.addDependencyCancels(j))), 5*time.Second); r != porcupine.Ok {
			out = append(out, fmt.Sprintf("%s is no register: %s: %s", id, r, formatHistory(p.addDependencyCancels(j))))
		}
		for _, n := range j.dependencies {
			if p.newestFate[n.spec.ID] == cancelled && p.newestFate[id] != cancelled {
				out = append(out, fmt.Sprintf("%s is %q, and %s cancelled", id, p.newestFate[id], n.spec.ID))
			}
		}
	}
	return out
}

// runPipelines has pipelines whose jobs are cancelled at every step, with troubles or
// without.
func runPipelines(w *World, seed uint64, troubles bool) *pipelineReaders {
	p := &pipelineReaders{concurrentReaders: newConcurrentReaders(w, seed)}
	const many, apart = 12, 8 * time.Second
	for i := range many {
		on := [5]jobFate{neverFate, neverFate, neverFate, neverFate, neverFate}
		if i%3 > 0 {
			on[i%5] = []jobFate{accepted, cancelled, done}[p.rng.IntN(3)]
			on[p.rng.IntN(5)] = []jobFate{unknown, accepted, done}[p.rng.IntN(3)]
			if i%3 == 2 {
				// Before they are accepted, too.
				on = [5]jobFate{unknown, unknown, unknown, unknown, unknown}
			}
		}
		p.addPipeline(30*time.Second+time.Duration(i)*apart, fmt.Sprintf("%05d", i), on)
	}
	p.runHooks()
	if troubles {
		p.fraction = 0.15
		for i := range 20 {
			w.schedule(32*time.Second+time.Duration(i)*5*time.Second, p.startRandomFault)
		}
		w.schedule(32*time.Second+20*5*time.Second, func() { p.fraction = 0 })
	}
	w.Run(6 * time.Minute)
	return p
}

// TestPipelineReads: users ask all controllers within milliseconds after, or just when, a
// job of a pipeline was accepted, ended or cancelled, and cancel through different ones.
// Each job is one register, which a cancellation before it reaches within cancel_s.
func TestPipelineReads(t *testing.T) {
	for seed := range dayCount(t, 8, 2) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := newTestWorld(seed)
			p := runPipelines(w, seed, seed > 0)
			reportViolations(t, append(w.Violations, p.check()...))
			ends := map[jobFate]int{}
			for _, j := range p.jobs {
				f := p.newestFate[j.spec.ID]
				if ends[f]++; f != done && f != cancelled {
					t.Errorf("%s is %q in the end", j.spec.ID, f)
				}
			}
			if ends[done] < 10 || ends[cancelled] < 10 {
				t.Errorf("too few: %v", ends)
			}
			t.Logf("%v, looks %v, no answer %v", ends, p.bursts, p.unansweredCount)
		})
	}
}

// TestStalePipelineAnswersAreNoticed: a core made wrong is noticed by the registers.
func TestStalePipelineAnswersAreNoticed(t *testing.T) {
	behind := func(w *World, r *message.UserReply) bool {
		j := w.jobs[r.ID]
		return j != nil && len(j.dependencies) > 0 && !j.cancelRequested
	}
	for name, wrong := range map[string]func(*World, *message.UserReply){
		"nothing": nil,
		"what comes after is called queued now and then": func(w *World, r *message.UserReply) {
			if behind(w, r) && r.State == "cancelled" && r.Reply%7 == 0 {
				r.State = "queued"
			}
		},
		"what comes after is called cancelled too soon": func(w *World, r *message.UserReply) {
			if behind(w, r) && r.State == "queued" && r.Reply%5 == 0 && r.Status == 200 {
				r.State = "cancelled"
			}
		},
		"what comes after is never called cancelled": func(w *World, r *message.UserReply) {
			if behind(w, r) && r.State == "cancelled" {
				r.State = "queued"
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newTestWorld(3)
			if wrong != nil {
				w.corruptEffect = func(e message.Effect) message.Effect {
					if r, ok := e.(message.UserReply); ok {
						wrong(w, &r)
						return r
					}
					return e
				}
			}
			if found := runPipelines(w, 3, false).check(); (wrong != nil) != (len(found) > 0) {
				t.Errorf("noticed: %v", found)
			}
		})
	}
}

// formatHistory shows what decides about a job's register.
func formatHistory(history []porcupine.Operation) string {
	out := ""
	for _, o := range dropImpliedReads(withSubmission(history)) {
		ms := func(at int64) string {
			if at == math.MaxInt64 {
				return "never"
			}
			return fmt.Sprint(at / 1e6)
		}
		out += fmt.Sprintf("\n  %s..%s %v %v", ms(o.Call), ms(o.Return), o.Input, o.Output)
	}
	return out
}
