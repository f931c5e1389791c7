package simulation

import (
	"fmt"
	"time"

	"github.com/micahill/micahill/internal/model"
)

// This file records how close a day came to breaking each timed rule, and checks that no job waits
// while there is free capacity for it.

// The timed rules, beside RuleOrphaned.
const (
	// RuleCancelled: the tasks of a cancelled job are gone within cancel_s.
	RuleCancelled = "ran_cancelled"
	// RuleForgotten: once all faults are over, no job goes without an answer for longer than
	// MaxUnanswered.
	RuleForgotten = "forgotten"
	// RuleWaiting: once all faults are over, no job waits for longer than maxWaiting while there is
	// free capacity for it.
	RuleWaiting = "waiting"
	// RuleBegin: the largest jobs of a class start within maxStartWait.
	RuleBegin = "begin"
)

// TimedRules has the timed rules in the order in which they are printed.
var TimedRules = []string{RuleCancelled, RuleOrphaned, RuleForgotten, RuleWaiting, RuleBegin}

// Margin is the least time that was left to a rule, and where; it is negative if the rule was
// broken.
type Margin struct {
	Remaining time.Duration `json:"left_ns"`
	Subject   string        `json:"what"`
}

// recordMargin notes how much time was left to a rule.
func (w *World) recordMargin(rule string, left time.Duration, what string) {
	if old, ok := w.margins[rule]; !ok || left < old.Remaining {
		w.margins[rule] = Margin{left, fmt.Sprintf("%s at %.1fs", what, w.now.Sub(w.startedAt).Seconds())}
	}
}

const (
	// maxWaiting is how long a job may wait beside free capacity once all faults are over, and
	// waitCheckInterval how often that is checked.
	maxWaiting        = 90 * time.Second
	waitCheckInterval = time.Second
	// capacitySamples is at how many checks in a row capacity must be free to count: where tasks
	// come and go, some is always free for a moment.
	capacitySamples = 10
)

// checkWaiting checks, once all faults are over, that no job waits for maxWaiting while all that
// time some machine that fits has free capacity and its team is under its quota limit. A job waits
// while one of its tasks is neither done nor on a machine, and none was placed. Jobs with
// anti-affinity and gangs are not checked: what they need is not on a single machine.
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

// isWaiting reports whether a job that should run has a task that is neither done nor on a machine.
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

// isPlaced reports whether a task is on a machine, or waits there for its image.
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

// resourceUse returns what has been free for a while on the machines that can take tasks, and what
// each team's tasks take, including those that wait for their images.
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
// its tasks, or nil if there is none or the team is at its quota limit.
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

// allowsMachine reports whether a job allows a machine, in a zone unless that is empty.
func allowsMachine(s *model.JobSpec, m *Worker, zone string) bool {
	allowed := len(s.MachineTypes) == 0
	for _, f := range s.MachineTypes {
		allowed = allowed || f == m.MachineType
	}
	return allowed && (zone == "" || zone == m.Zone) && (s.AllowSpot || !m.Spot)
}

// minResources returns the least of each resource.
func minResources(rs []model.Resources) model.Resources {
	out := rs[0]
	for _, r := range rs[1:] {
		out = model.Resources{CPU: min(out.CPU, r.CPU), GPU: min(out.GPU, r.GPU), Memory: min(out.Memory, r.Memory)}
	}
	return out
}
