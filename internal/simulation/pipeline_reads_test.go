package simulation

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/micahill/micahill/internal/message"
)

// opDependencyCancelled is the cancellation of a job that this one needs, directly or through others: it
// cancels the job if it is accepted, now or later.
const opDependencyCancelled operationKind = "doom"

// neverFate is a fate that no job reaches, for jobs that are not cancelled.
const neverFate jobFate = "never"

// dependentFate is the value of the register of a job in a pipeline.
type dependentFate struct {
	is jobFate
	// doomed means that a dependency is cancelled.
	doomed bool
}

// dependentJobModel is jobModel with cancellations of dependencies. A cancelled dependency is never done,
// and so this job never is either.
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
			// The job is accepted nevertheless.
			ok := said.status == 201 && (said.fate == accepted || said.fate == cancelled)
			return said.status == 0 || ok || said.status == 200 && said.fate == cancelled, dependentFate{cancelled, true}
		}
		ok, next := jobModel.Step(was.is, input, output)
		return ok, dependentFate{next.(jobFate), was.doomed}
	},
}

// pipelineReaders are concurrentReaders of pipelines, whose jobs are cancelled through different
// controllers.
type pipelineReaders struct {
	*concurrentReaders
	jobs []*userJob
}

// addPipeline submits a chain of five jobs with a fan-out in the middle. Job k is cancelled after its fate
// cancelOn[k].
func (p *pipelineReaders) addPipeline(at time.Duration, name string, cancelOn [5]jobFate) {
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
			p.cancels[id(k)] = cancelOn[k]
			p.burst(id(k), unknown)
			p.send(p.rng.IntN(len(p.world.controllers)), opSubmit, id(k))
			p.readEverywhere(id(k))
		}
		p.world.schedule(at, func() { onAllReached(j.dependencies, milestoneAccepted, submit) })
	}
}

// runHooks calls what waits for milestones of the jobs, every 20 ms from now on.
func (p *pipelineReaders) runHooks() {
	for _, j := range p.jobs {
		j.runHooks()
	}
	p.world.schedule(20*time.Millisecond, p.runHooks)
}

// addDependencyCancels returns a job's history with the cancellations of its dependencies. These take
// effect after somebody requested them, and within cancel_s after anybody was answered so.
func (p *pipelineReaders) addDependencyCancels(j *userJob) []porcupine.Operation {
	id := j.spec.ID
	out := splitAcceptAndCancel(p.history[id])
	for _, n := range allDependencies(j) {
		if p.newestFate[n.spec.ID] != cancelled {
			continue
		}
		requested, confirmed := int64(math.MaxInt64), int64(math.MaxInt64)
		for _, o := range p.history[n.spec.ID] {
			if o.Input.(jobOperation).kind == opCancel {
				requested = min(requested, o.Call)
			}
			if o.Output.(jobAnswer).fate == cancelled {
				confirmed = min(confirmed, o.Return)
			}
		}
		if requested == math.MaxInt64 {
			// It was not cancelled itself, but through one of its dependencies.
			continue
		}
		if confirmed < math.MaxInt64 {
			confirmed += p.world.cancelWithin.Nanoseconds()
		}
		out = append(out, porcupine.Operation{ClientId: len(out), Input: jobOperation{id, opDependencyCancelled}, Call: requested, Output: jobAnswer{}, Return: confirmed})
	}
	return out
}

// splitAcceptAndCancel splits answers that a job was accepted and is cancelled by now: it may have been
// cancelled in between.
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

// allDependencies returns all jobs that a job needs, directly or through others.
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

// check returns all violations, with jobs whose history is not linearizable, and dependents of cancelled
// jobs that did not end as cancelled.
func (p *pipelineReaders) check() []string {
	out := p.violations
	for _, j := range p.jobs {
		id := j.spec.ID
		if len(p.history[id]) == 0 {
			continue
		}
		if r := porcupine.CheckOperationsTimeout(dependentJobModel, dropImpliedReads(withSubmission(p.addDependencyCancels(j))), 5*time.Second); r != porcupine.Ok {
			out = append(out, fmt.Sprintf("%s: history is not linearizable: %s: %s", id, r, formatHistory(p.addDependencyCancels(j))))
		}
		for _, n := range j.dependencies {
			if p.newestFate[n.spec.ID] == cancelled && p.newestFate[id] != cancelled {
				out = append(out, fmt.Sprintf("%s: got state %q although %s is cancelled", id, p.newestFate[id], n.spec.ID))
			}
		}
	}
	return out
}

// runPipelines runs pipelines whose jobs are cancelled at every step, with faults or without.
func runPipelines(w *World, seed uint64, faults bool) *pipelineReaders {
	p := &pipelineReaders{concurrentReaders: newConcurrentReaders(w, seed)}
	const pipelines, interval = 12, 8 * time.Second
	for i := range pipelines {
		on := [5]jobFate{neverFate, neverFate, neverFate, neverFate, neverFate}
		if i%3 > 0 {
			on[i%5] = []jobFate{accepted, cancelled, done}[p.rng.IntN(3)]
			on[p.rng.IntN(5)] = []jobFate{unknown, accepted, done}[p.rng.IntN(3)]
			if i%3 == 2 {
				// These are cancelled before they are accepted.
				on = [5]jobFate{unknown, unknown, unknown, unknown, unknown}
			}
		}
		p.addPipeline(30*time.Second+time.Duration(i)*interval, fmt.Sprintf("%05d", i), on)
	}
	p.runHooks()
	if faults {
		p.fraction = 0.15
		for i := range 20 {
			w.schedule(32*time.Second+time.Duration(i)*5*time.Second, p.startRandomFault)
		}
		w.schedule(32*time.Second+20*5*time.Second, func() { p.fraction = 0 })
	}
	w.Run(6 * time.Minute)
	return p
}

// TestPipelineReads has users query all controllers within milliseconds after, or just when, a job of a
// pipeline is accepted, ends or is cancelled, and cancel through different ones. Each job is one register,
// which the cancellation of a dependency reaches within cancel_s.
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
					t.Errorf("%s: got final state %q, want done or cancelled", j.spec.ID, f)
				}
			}
			if ends[done] < 10 || ends[cancelled] < 10 {
				t.Errorf("got ends %v, want at least 10 done and 10 cancelled", ends)
			}
			t.Logf("%v, bursts %v, unanswered %v", ends, p.bursts, p.unansweredCount)
		})
	}
}

// TestStalePipelineAnswersAreDetected checks that the registers detect each corruption of answers.
func TestStalePipelineAnswersAreDetected(t *testing.T) {
	isDependent := func(w *World, r *message.UserReply) bool {
		j := w.jobs[r.ID]
		return j != nil && len(j.dependencies) > 0 && !j.cancelRequested
	}
	for name, corrupt := range map[string]func(*World, *message.UserReply){
		"not corrupted": nil,
		"a dependent is sometimes answered as queued": func(w *World, r *message.UserReply) {
			if isDependent(w, r) && r.State == "cancelled" && r.Reply%7 == 0 {
				r.State = "queued"
			}
		},
		"a dependent is answered as cancelled too soon": func(w *World, r *message.UserReply) {
			if isDependent(w, r) && r.State == "queued" && r.Reply%5 == 0 && r.Status == 200 {
				r.State = "cancelled"
			}
		},
		"a dependent is never answered as cancelled": func(w *World, r *message.UserReply) {
			if isDependent(w, r) && r.State == "cancelled" {
				r.State = "queued"
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newTestWorld(3)
			if corrupt != nil {
				w.corruptEffect = func(e message.Effect) message.Effect {
					if r, ok := e.(message.UserReply); ok {
						corrupt(w, &r)
						return r
					}
					return e
				}
			}
			if found := runPipelines(w, 3, false).check(); (corrupt != nil) != (len(found) > 0) {
				t.Errorf("got violations %v, want some only if corrupted", found)
			}
		})
	}
}

// formatHistory returns the operations that decide about a job's register, with times in ms.
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
