package simulation

import (
	"fmt"
	"time"

	"github.com/micahill/micahill/internal/model"
)

// This file records the smallest margin of each timed rule, and checks that no job waits for long
// while there is free capacity for it.

// These are the rules that bound a duration, except RuleOrphaned, which is defined next to its
// checks.
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
func (world *World) recordMargin(rule string, left time.Duration, subject string) {
	if old, ok := world.margins[rule]; !ok || left < old.Remaining {
		world.margins[rule] = Margin{left, fmt.Sprintf("%s at %.1fs", subject, world.now.Sub(world.startedAt).Seconds())}
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
func (world *World) checkWaiting() {
	if world.faultsEndAt.IsZero() || world.now.Before(world.faultsEndAt) || world.now.Before(world.nextWaitCheck) {
		return
	}
	world.nextWaitCheck = world.now.Add(waitCheckInterval)
	free, used := world.resourceUse()
	for _, id := range sortedKeys(world.jobs) {
		job := world.jobs[id]
		if !job.isWaiting() {
			job.waitingSince = time.Time{}
			continue
		}
		machine := world.machineWithCapacity(job, free, used)
		if machine == nil {
			job.waitingSince = time.Time{}
			continue
		}
		from := job.waitingSince
		if from.IsZero() {
			from, job.waitingSince = world.now, world.now
		}
		if job.placedAt.After(from) {
			from = job.placedAt
		}
		left := maxWaiting - world.now.Sub(from)
		world.recordMargin(RuleWaiting, left, id+" beside room on "+machine.ID)
		if left < 0 && !job.waitReported {
			job.waitReported = true
			world.reportViolation(RuleWaiting, "%s of %s has waited for %.0f s, now beside room on %s", id, job.spec.Team, world.now.Sub(from).Seconds(), machine.ID)
		}
	}
}

// isWaiting reports whether a job that could run has a task that is neither done nor on a machine.
func (job *userJob) isWaiting() bool {
	if !job.accepted || job.isCancelled() || !job.dependenciesDone() || job.alwaysFails || isFinal(job.lastState) || job.spec.SpreadZones || job.spec.Gang {
		return false
	}
	for i := range job.spec.Tasks {
		if !job.doneTasks[i] && !job.isPlaced(i) {
			return true
		}
	}
	return false
}

// isPlaced reports whether task i has an active attempt on a machine, which may still fetch its
// image.
func (job *userJob) isPlaced(i int) bool {
	for _, machine := range job.machines[i] {
		for _, task := range machine.tasks {
			if task.job == job && task.index == i && task.status != model.Ended {
				return true
			}
		}
	}
	return false
}

// resourceUse returns the capacity that was free at all of the last capacitySamples checks on each
// machine that can run tasks, and the resources that each team's tasks take, including tasks that
// wait for their images.
func (world *World) resourceUse() (map[*Worker]model.Resources, map[string]model.Resources) {
	free, used := map[*Worker]model.Resources{}, map[string]model.Resources{}
	for _, machine := range world.fleet {
		left := machine.Size
		for _, task := range machine.tasks {
			if task.status != model.Ended {
				left = left.AddScaled(task.job.spec.Need, -1)
				used[task.job.spec.Team] = used[task.job.spec.Team].AddScaled(task.job.spec.Need, 1)
			}
		}
		if machine.up(world.now) && machine.incarnation > 0 && !machine.ignoresStarts && !machine.faulty && machine.slowFactor == 0 && machine.reclaimAt.IsZero() {
			machine.recentFree = append(machine.recentFree, left)
			machine.recentFree = machine.recentFree[max(0, len(machine.recentFree)-capacitySamples):]
		} else {
			machine.recentFree = nil
		}
		if len(machine.recentFree) == capacitySamples {
			free[machine] = minResources(machine.recentFree)
		}
	}
	return free, used
}

// machineWithCapacity returns a machine that a job may use and that has free capacity for one of
// its tasks. It returns nil if there is no such machine or one more task would exceed the team's
// quota limit.
func (world *World) machineWithCapacity(job *userJob, free map[*Worker]model.Resources, used map[string]model.Resources) *Worker {
	spec := &job.spec
	limit, usage := world.team(spec.Team).QuotaLimit, used[spec.Team].AddScaled(spec.Need, 1)
	if limit.CPU > 0 && usage.CPU > limit.CPU || limit.GPU > 0 && usage.GPU > limit.GPU {
		return nil
	}
	zone := spec.Zone
	if spec.SameZone {
		world.eachRunningTask(job, func(_ *workerTask, machine *Worker) { zone = machine.Zone })
	}
	for _, machine := range world.fleet {
		if left, there := free[machine]; there && spec.Need.Fits(left) && allowsMachine(spec, machine, zone) {
			return machine
		}
	}
	return nil
}

// allowsMachine reports whether a job may use a machine. A zone that is not empty restricts the job
// to it.
func allowsMachine(spec *model.JobSpec, machine *Worker, zone string) bool {
	return spec.AllowsMachineType(machine.MachineType) && (zone == "" || zone == machine.Zone) && (spec.AllowSpot || !machine.Spot)
}

// minResources returns the minimum of each resource.
func minResources(rs []model.Resources) model.Resources {
	out := rs[0]
	for _, r := range rs[1:] {
		out = model.Resources{CPU: min(out.CPU, r.CPU), GPU: min(out.GPU, r.GPU), Memory: min(out.Memory, r.Memory)}
	}
	return out
}
