package simulation

import (
	"fmt"
	"time"

	"github.com/micahill/micahill/internal/model"
)

// This file records the smallest margin of each timed rule, and checks that no job waits for long
// while there is free capacity for it.

// Timed rules bound a duration. RuleOrphaned is another one.
const (
	// RuleCancelled is the rule that the tasks of a cancelled job end within cancel_s.
	RuleCancelled = "ran_cancelled"
	// RuleForgotten is the rule that the queries of an accepted job are not unanswered for longer
	// than MaxUnanswered once all faults are over.
	RuleForgotten = "forgotten"
	// RuleWaiting is the rule that no job waits for longer than maxWaiting while there is free
	// capacity for it, once all faults are over.
	RuleWaiting = "waiting"
	// RuleBegin is the rule that the largest jobs of a class start within maxStartWait, not
	// counting times without capacity.
	RuleBegin = "begin"
)

// TimedRules lists the timed rules in the order in which they are printed.
var TimedRules = []string{RuleCancelled, RuleOrphaned, RuleForgotten, RuleWaiting, RuleBegin}

// Margin is the smallest time that was left before a rule would have been violated, and the job or
// machine concerned. It is negative if the rule was violated.
type Margin struct {
	Remaining time.Duration `json:"left_ns"`
	Subject   string        `json:"what"`
}

// recordMargin records the time that was left before a violation of a rule, if it is the smallest
// so far.
func (w *World) recordMargin(rule string, left time.Duration, what string) {
	if old, ok := w.margins[rule]; !ok || left < old.Remaining {
		w.margins[rule] = Margin{left, fmt.Sprintf("%s at %.1fs", what, w.now.Sub(w.startedAt).Seconds())}
	}
}

const (
	// maxWaiting is how long a job may wait while there is free capacity for it, once all faults
	// are over. waitCheckInterval is the interval of the check.
	maxWaiting        = 90 * time.Second
	waitCheckInterval = time.Second
	// capacitySamples is the number of consecutive checks at which capacity must be free to count
	// as free. Capacity between the end of one task and the start of the next does not count.
	capacitySamples = 10
)

// checkWaiting checks, once all faults are over, that no job waits for longer than maxWaiting while
// a suitable machine has free capacity during the whole time and the team is below its quota limit.
// A job waits while one of its tasks is neither done nor on a machine; each placement of a task
// restarts the time. Jobs with anti-affinity and gangs are not checked, because free capacity on a
// single machine is not enough for them.
func (w *World) checkWaiting() {
	if w.faultsEndAt.IsZero() || w.now.Before(w.faultsEndAt) || w.now.Before(w.nextWaitCheck) {
		return
	}
	w.nextWaitCheck = w.now.Add(waitCheckInterval)
	free, used := w.resourceUse()
	for _, id := range sortedKeys(w.jobs) {
		j := w.jobs[id]
		if !j.isWaiting() {
			j.waitingSince = time.Time{}
			continue
		}
		machine := w.machineWithCapacity(j, free, used)
		if machine == nil {
			j.waitingSince = time.Time{}
			continue
		}
		from := j.waitingSince
		if from.IsZero() {
			from, j.waitingSince = w.now, w.now
		}
		if j.placedAt.After(from) {
			from = j.placedAt
		}
		left := maxWaiting - w.now.Sub(from)
		w.recordMargin(RuleWaiting, left, id+" beside room on "+machine.ID)
		if left < 0 && !j.waitReported {
			j.waitReported = true
			w.violate(RuleWaiting, "%s of %s has waited for %.0f s, now beside room on %s", id, j.spec.Team, w.now.Sub(from).Seconds(), machine.ID)
		}
	}
}

// isWaiting reports whether a job that could run has a task that is neither done nor on a machine.
func (j *userJob) isWaiting() bool {
	if !j.accepted || j.isCancelled() || !j.dependenciesDone() || j.alwaysFails || isFinal(j.lastState) || j.spec.SpreadZones || j.spec.Gang {
		return false
	}
	for i := range j.spec.Tasks {
		if !j.doneTasks[i] && !j.isPlaced(i) {
			return true
		}
	}
	return false
}

// isPlaced reports whether task i has an active attempt on a machine, which may still fetch its
// image.
func (j *userJob) isPlaced(i int) bool {
	for _, m := range j.machines[i] {
		for _, t := range m.tasks {
			if t.job == j && t.index == i && t.status != model.Ended {
				return true
			}
		}
	}
	return false
}

// resourceUse returns the capacity that was free at all of the last capacitySamples checks on each
// machine that can run tasks, and the resources that each team's tasks take, including tasks that
// wait for their images.
func (w *World) resourceUse() (map[*Worker]model.Resources, map[string]model.Resources) {
	free, used := map[*Worker]model.Resources{}, map[string]model.Resources{}
	for _, m := range w.fleet {
		left := m.Size
		for _, t := range m.tasks {
			if t.status != model.Ended {
				left = left.AddScaled(t.job.spec.Need, -1)
				used[t.job.spec.Team] = used[t.job.spec.Team].AddScaled(t.job.spec.Need, 1)
			}
		}
		if m.up(w.now) && m.incarnation > 0 && !m.ignoresStarts && !m.faulty && m.slowFactor == 0 && m.reclaimAt.IsZero() {
			m.recentFree = append(m.recentFree, left)
			m.recentFree = m.recentFree[max(0, len(m.recentFree)-capacitySamples):]
		} else {
			m.recentFree = nil
		}
		if len(m.recentFree) == capacitySamples {
			free[m] = minResources(m.recentFree)
		}
	}
	return free, used
}

// machineWithCapacity returns a machine that a job may use and that has free capacity for one of
// its tasks. It returns nil if there is no such machine or one more task would exceed the team's
// quota limit.
func (w *World) machineWithCapacity(j *userJob, free map[*Worker]model.Resources, used map[string]model.Resources) *Worker {
	s := &j.spec
	limit, takes := w.team(s.Team).QuotaLimit, used[s.Team].AddScaled(s.Need, 1)
	if limit.CPU > 0 && takes.CPU > limit.CPU || limit.GPU > 0 && takes.GPU > limit.GPU {
		return nil
	}
	zone := s.Zone
	if s.SameZone {
		w.eachRunningTask(j, func(_ *workerTask, m *Worker) { zone = m.Zone })
	}
	for _, m := range w.fleet {
		if left, there := free[m]; there && s.Need.Fits(left) && allowsMachine(s, m, zone) {
			return m
		}
	}
	return nil
}

// allowsMachine reports whether a job may use a machine. A zone that is not empty restricts the job
// to it.
func allowsMachine(s *model.JobSpec, m *Worker, zone string) bool {
	allowed := len(s.MachineTypes) == 0
	for _, f := range s.MachineTypes {
		allowed = allowed || f == m.MachineType
	}
	return allowed && (zone == "" || zone == m.Zone) && (s.AllowSpot || !m.Spot)
}

// minResources returns the minimum of each resource.
func minResources(rs []model.Resources) model.Resources {
	out := rs[0]
	for _, r := range rs[1:] {
		out = model.Resources{CPU: min(out.CPU, r.CPU), GPU: min(out.GPU, r.GPU), Memory: min(out.Memory, r.Memory)}
	}
	return out
}
