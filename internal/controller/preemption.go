package controller

import (
	"cmp"
	"slices"
	"time"

	"github.com/micahill/micahill/internal/aging"
	"github.com/micahill/micahill/internal/model"
)

const (
	// stopTimeout is how long the capacity of a stopped task is waited for.
	stopTimeout = 1500 * time.Millisecond
)

// preemptionInterval is how often a job may scan for work to stop: a scan goes through the
// attempts of many machines.
const preemptionInterval = 500 * time.Millisecond

// preemptIfDue preempts for j unless it did so within preemptionInterval. It returns for how many
// of j's pending tasks capacity is coming free.
func (s *scheduler) preemptIfDue(j *job, fetch time.Duration) int {
	if s.now.Sub(j.lastPreemptionScan) >= preemptionInterval {
		j.lastPreemptionScan = s.now
		j.preemptionCapacity = s.preempt(j, fetch)
	}
	return min(j.preemptionCapacity, j.pendingTasks())
}

// maxPreemptions is how often a task may be preempted, so that it is not stopped again and again
// and never finishes.
const maxPreemptions = 2

// hasMaxPreemptions reports whether the only live task of an overdue job is protected, since the
// job was preempted as often as a task may be. Otherwise each of its tasks would be stopped in
// turn: as soon as nothing of the job runs, the machine of the stopped task is reserved for it,
// so nobody gains by the stop, and the next task is stopped there.
func (s *scheduler) hasMaxPreemptions(j *job) bool {
	if j.liveTasks != 1 {
		return false
	}
	bound, _ := s.controller.ranking.waitBound(j)
	if p := (aging.Job{Waited: s.waitTime(j), MaxWait: bound, WaitingTasks: 1}); !p.Overdue() {
		return false
	}
	stops := 0
	for i := range j.tasks[:j.nextFresh] {
		stops += j.tasks[i].preemptions
	}
	return stops >= maxPreemptions
}

// preemptionVictimsOn picks the tasks on m whose stop makes one task of j fit, those that lose the
// least work first. It returns them with the work lost, and whether the task then fits.
func (s *scheduler) preemptionVictimsOn(j *job, m *machine, free model.Resources) ([]*task, time.Duration, bool) {
	type victim struct {
		t    *task
		need model.Resources
		loss time.Duration
	}
	var candidates []victim
	nonGPUOnly := s.preemptsOnlyNonGPU(j)
	able := m.attemptsWhere(func(t *task) bool { return t.stopReason == stopNone && t.preemptions < maxPreemptions })
	for _, k := range able {
		t := m.attempts[k]
		o := s.controller.shardLeader.jobs[k.job]
		if o.Urgency >= j.Urgency || o.Gang || o.LongRunning || s.hasMaxPreemptions(o) || s.controller.ranking.rankOf(o) < s.controller.ranking.rankOf(j) || nonGPUOnly && o.Need.GPU > roundingTolerance {
			continue
		}
		var loss time.Duration
		if !t.startedAt.IsZero() {
			loss = s.now.Sub(t.startedAt)
			if o.CheckpointInterval > 0 {
				loss = min(loss%o.CheckpointInterval, o.CheckpointCost)
			}
			// Stopping a large task for a small one counts as a larger loss.
			loss = time.Duration(float64(loss) * max(1, o.Need.CPU/max(j.Need.CPU, 0.1)))
		}
		candidates = append(candidates, victim{t, o.Need, loss})
	}
	slices.SortStableFunc(candidates, func(a, b victim) int { return int(a.loss - b.loss) })
	var out []*task
	var sum time.Duration
	for _, v := range candidates {
		if j.Need.Fits(free) {
			break
		}
		free = free.AddScaled(v.need, 1)
		sum += v.loss
		out = append(out, v.t)
	}
	return out, sum, len(out) > 0 && j.Need.Fits(free)
}

// preemptionVictims is where one kind of task may take the place of lower work. It is a cache,
// since a scan of everything that runs for each pending job would take longer than the wait; what
// it names is checked again before use.
type preemptionVictims struct {
	at time.Time
	// withCapacity are machines with free capacity, withVictims those where tasks may be
	// stopped, the least work lost first.
	withCapacity []*machine
	withVictims  []*machine
}

type preemptionVictimsKey struct {
	taskShape
	urgency model.Urgency
}

// preemptionVictimsFor returns the cached victims for j, or scans for them.
func (s *scheduler) preemptionVictimsFor(j *job) *preemptionVictims {
	o := s.controller.shardLeader
	key := preemptionVictimsKey{j.taskShape(), j.Urgency}
	p := s.preemptionVictims[key]
	if p != nil && s.now.Sub(p.at) < preemptionInterval {
		return p
	}
	p = &preemptionVictims{at: s.now}
	if s.preemptionVictims == nil {
		s.preemptionVictims = map[preemptionVictimsKey]*preemptionVictims{}
	}
	for k, old := range s.preemptionVictims {
		if s.now.Sub(old.at) > workloadRetention {
			delete(s.preemptionVictims, k)
		}
	}
	s.preemptionVictims[key] = p
	type choice struct {
		m    *machine
		loss time.Duration
	}
	var cs []choice
	avoidGPUs := s.avoidsGPUsNow(j)
	for _, m := range o.machinesByID {
		if !j.allowsMachine(m.machineType, m.zone, m.spot) || !s.usable(m) || !s.gpuPolicyAllows(avoidGPUs, m) {
			continue
		}
		if free := s.freeAfterPreemption(m); j.Need.Fits(free) {
			p.withCapacity = append(p.withCapacity, m)
		} else if _, loss, ok := s.preemptionVictimsOn(j, m, free); ok {
			cs = append(cs, choice{m, loss})
		}
	}
	slices.SortStableFunc(cs, func(a, b choice) int { return cmp.Compare(a.loss, b.loss) })
	for _, c := range cs {
		p.withVictims = append(p.withVictims, c.m)
	}
	return p
}

// freeAfterPreemption is the free capacity of m with what preempted tasks are about to leave.
func (s *scheduler) freeAfterPreemption(m *machine) model.Resources {
	f := m.free()
	for k, t := range m.attempts {
		if t.stopReason == stopPreempt && s.now.Sub(t.stoppedAt) < stopTimeout {
			f = f.AddScaled(s.controller.shardLeader.jobs[k.job].Need, 1)
		}
	}
	return f
}

// preempt stops tasks of lower urgency so that pending tasks of j fit on machines that need no
// longer than fetch to have the image, the least work lost first. It returns for how many tasks
// capacity is coming free, by these stops and by earlier ones.
func (s *scheduler) preempt(j *job, fetch time.Duration) int {
	need := j.pendingTasks()
	if !s.withinQuotaLimit(j) {
		return 0
	}
	p := s.preemptionVictimsFor(j)
	suits := func(m *machine) bool {
		return !m.removed && s.usable(m) && !m.reservedForOther(j) && j.zoneAllowed(m.zone) && s.controller.knowledge.fetchTime(m, j) <= fetch
	}
	for _, m := range p.withCapacity {
		if need > 0 && suits(m) {
			need -= s.freeAfterPreemption(m).FitCount(j.Need)
		}
	}
	most := s.maxPreemptionLoss(j)
	for _, m := range p.withVictims {
		if need <= 0 {
			break
		}
		if !suits(m) {
			continue
		}
		free := s.freeAfterPreemption(m)
		if k := free.FitCount(j.Need); k > 0 {
			// Tasks were stopped for another job a moment ago, or have ended.
			need -= k
			continue
		}
		ts, loss, ok := s.preemptionVictimsOn(j, m, free)
		if !ok || loss > most {
			continue
		}
		for _, t := range ts {
			t.stopReason, t.stoppedAt = stopPreempt, s.now
			t.preemptions++
		}
		s.controller.markDispatchPending(m)
		need--
		s.debug("tasks preempted", "for", j.ID, "machine", m.id, "stopped", len(ts), "loss", loss)
	}
	return j.pendingTasks() - max(need, 0)
}
