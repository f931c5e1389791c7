package controller

import (
	"cmp"
	"slices"
	"time"

	"github.com/micahill/micahill/internal/aging"
	"github.com/micahill/micahill/internal/model"
)

const (
	// stopTimeout is how long a stopped task's room is waited for.
	stopTimeout = 1500 * time.Millisecond
)

// preemptionInterval is how often a waiting job may look for work to stop: it goes
// through the attempts of many machines.
const preemptionInterval = 500 * time.Millisecond

func (s *scheduler) preemptIfDue(j *job, fetch time.Duration) int {
	if s.now.Sub(j.lastPreemptionScan) >= preemptionInterval {
		j.lastPreemptionScan = s.now
		j.preemptionCapacity = s.preempt(j, fetch)
	}
	return min(j.preemptionCapacity, j.pendingTasks())
}

// maxPreemptions is how often a task may be stopped for others: work is not to be
// stopped in turns and never end.
const maxPreemptions = 2

// hasMaxPreemptions says that the one running task of a job that has waited too long is left
// alone: the job was stopped for others as often as a task may be. Without it each of its
// tasks takes a turn: a machine is gathered for the job as soon as nothing of it runs,
// that of the stop, so that nobody gains by it, and the next is stopped there.
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

// preemptionVictimsOn picks the tasks on m whose stop makes room for one of j's.
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
			// Stopping a large task for a small one loses the more.
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

// preemptionVictims is where work of some kind may take the place of lower work: machines with
// room at once, and those where something may be stopped, the least work lost
// first. It is looked for now and then and judged again when it is used: going
// through all that runs for each job that waits would take longer than the wait.
type preemptionVictims struct {
	at           time.Time
	withCapacity []*machine
	withVictims  []*machine
}

type preemptionVictimsKey struct {
	taskShape
	urgency model.Urgency
}

func (s *scheduler) preemptionVictimsFor(j *job) *preemptionVictims {
	o := s.controller.shardLeader
	key := preemptionVictimsKey{j.taskShape(), j.Urgency}
	p := o.scheduler.preemptionVictims[key]
	if p != nil && s.now.Sub(p.at) < preemptionInterval {
		return p
	}
	p = &preemptionVictims{at: s.now}
	if o.scheduler.preemptionVictims == nil {
		o.scheduler.preemptionVictims = map[preemptionVictimsKey]*preemptionVictims{}
	}
	for k, old := range o.scheduler.preemptionVictims {
		if s.now.Sub(old.at) > workloadRetention {
			delete(o.scheduler.preemptionVictims, k)
		}
	}
	o.scheduler.preemptionVictims[key] = p
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

// freeAfterPreemption is the room on m with what stopped tasks are about to leave.
func (s *scheduler) freeAfterPreemption(m *machine) model.Resources {
	f := m.free()
	for k, t := range m.attempts {
		if t.stopReason == stopPreempt && s.now.Sub(t.stoppedAt) < stopTimeout {
			f = f.AddScaled(s.controller.shardLeader.jobs[k.job].Need, 1)
		}
	}
	return f
}

// preempt stops tasks of lower urgency so that the waiting tasks of j find room
// where the image takes no longer than fetch, the least work lost first. It says
// for how many tasks room is coming, by these stops and by earlier ones.
func (s *scheduler) preempt(j *job, fetch time.Duration) int {
	need := j.pendingTasks()
	if !s.withinQuotaLimit(j) {
		return 0
	}
	p := s.preemptionVictimsFor(j)
	suits := func(m *machine) bool {
		return !m.removed && s.controller.shardLeader.scheduler.usable(m) && !m.reservedForOther(j) && j.zoneAllowed(m.zone) && s.controller.knowledge.fetchTime(m, j) <= fetch
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
			// Stopped for another job a moment ago, or something has ended.
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
		s.debug("preempt", "for", j.ID, "machine", m.id, "stopped", len(ts), "loss", loss)
	}
	return j.pendingTasks() - max(need, 0)
}
