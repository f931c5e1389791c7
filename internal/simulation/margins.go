package simulation

import (
	"fmt"
	"time"

	"github.com/micahill/micahill/internal/model"
)

// slack.go records how near a day came to breaking each rule that has a time, and checks
// that no job is left waiting beside room for it.

// The rules that have a time.
const (
	// RuleCancelled: the tasks of a cancelled job are gone within cancel_s.
	RuleCancelled = "ran_cancelled"
	// RuleForgotten: once all troubles are over, no job goes without an answer for
	// MaxUnanswered.
	RuleForgotten = "forgotten"
	// RuleWaiting: then none is left waiting for maxWaiting beside room for it.
	RuleWaiting = "waiting"
	// RuleBegin: a class's largest jobs begin within maxStartWait.
	RuleBegin = "begin"
)

// TimedRules names them, in the order in which they are told.
var TimedRules = []string{RuleCancelled, RuleOrphaned, RuleForgotten, RuleWaiting, RuleBegin}

// Margin is the least time that was left to a rule, and what came so near; less than
// nothing is left where it was broken.
type Margin struct {
	Remaining time.Duration `json:"left_ns"`
	Subject   string        `json:"what"`
}

// recordMargin notes how much time is left to a rule.
func (w *World) recordMargin(rule string, left time.Duration, what string) {
	if old, ok := w.margins[rule]; !ok || left < old.Remaining {
		w.margins[rule] = Margin{left, fmt.Sprintf("%s at %.1fs", what, w.now.Sub(w.startedAt).Seconds())}
	}
}

const (
	// maxWaiting is how long a job may be left waiting beside room once all troubles are
	// over, and waitCheckInterval how often that is looked at.
	maxWaiting        = 90 * time.Second
	waitCheckInterval = time.Second
	// capacitySamples is at how many looks in a row room has to be free to count: where much
	// comes and goes there is always some that just got free.
	capacitySamples = 10
)

// checkWaiting judges, once all troubles are over, that no job waits for maxWaiting while
// at every moment of it a machine that fits has room and its team is under its limit. A
// job waits while some task of it is neither done nor on a machine, and none was given to
// one. Jobs whose tasks have to be apart, or start together, are not judged: what they
// need is no single machine's.
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
		room := w.machineWithCapacity(j, free, used)
		if room == nil {
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
		w.recordMargin(RuleWaiting, left, id+" beside room on "+room.ID)
		if left < 0 && !j.waitReported {
			j.waitReported = true
			w.violate(RuleWaiting, "%s of %s has waited for %.0f s, now beside room on %s", id, j.spec.Team, w.now.Sub(from).Seconds(), room.ID)
		}
	}
}

// isWaiting says that a job that is to run has a task that is neither done nor on a machine.
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

// isPlaced says that a task is on a machine, or waits there for its image.
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

// resourceUse is what has been free for a while on the machines that can take tasks, and what the
// teams' tasks take, those included that wait for their images.
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

// machineWithCapacity is a machine that a job may use and that has room for a task of it, if there is
// one and its team is under its limit.
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

// allowsMachine says that a job allows a machine, in that zone unless it is empty.
func allowsMachine(s *model.JobSpec, m *Worker, zone string) bool {
	flavour := len(s.MachineTypes) == 0
	for _, f := range s.MachineTypes {
		flavour = flavour || f == m.MachineType
	}
	return flavour && (zone == "" || zone == m.Zone) && (s.AllowSpot || !m.Spot)
}

func minResources(rs []model.Resources) model.Resources {
	out := rs[0]
	for _, r := range rs[1:] {
		out = model.Resources{CPU: min(out.CPU, r.CPU), GPU: min(out.GPU, r.GPU), Memory: min(out.Memory, r.Memory)}
	}
	return out
}
