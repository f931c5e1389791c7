package controller

import (
	"time"

	"github.com/micahill/micahill/internal/model"
)

const (
	// scarcePenalty is how much longer an image fetch may take on another machine for that machine
	// to be preferred to one that other workloads depend on.
	scarcePenalty = 20 * time.Second
	// scarcityWindow is the time before the latest start of a workload's pending tasks in which the
	// machine types that the workload depends on are scarce for others.
	scarcityWindow = 45 * time.Second
)

// workloadRetention is how long after the last job of a workload more jobs of it are expected.
const workloadRetention = 5 * time.Minute

// scarcity is the degree to which other workloads depend on a machine type.
type scarcity int

const (
	// notScarce: no other recent workload depends more on the machine type.
	notScarce scarcity = iota
	// scarceSoon: a job that fits fewer machine types was submitted within workloadRetention.
	scarceSoon
	// scarceNow: tasks of such a workload are pending, ranked at least as high, and due within
	// scarcityWindow.
	scarceNow
)

// scarcityOf returns the scarcity of the machine types on which another recent workload depends more than
// the workload of spec, since the other workload fits fewer types. Without this rating, small tasks would
// fill the only machines on which large tasks fit, and the large tasks would wait while small machines
// are idle.
func (scheduler *scheduler) scarcityOf(spec *model.JobSpec) map[string]scarcity {
	var out map[string]scarcity
	mine := scheduler.controller.knowledge.fittingMachineTypes(spec)
	for _, workload := range scheduler.controller.shardLeader.workloads {
		if workload.spec.Workload == spec.Workload || scheduler.now.Sub(workload.lastSeen) > workloadRetention {
			continue
		}
		theirs := scheduler.controller.knowledge.fittingMachineTypes(workload.spec)
		if len(theirs) >= len(mine) {
			continue
		}
		rate := scarceSoon
		if deadline, ok := scheduler.startDeadlines[workload.spec.Workload]; ok && scheduler.controller.ranking.rankOfSpec(workload.spec) <= scheduler.controller.ranking.rankOfSpec(spec) && deadline.Sub(scheduler.now) < scarcityWindow {
			rate = scarceNow
		}
		if out == nil {
			out = map[string]scarcity{}
		}
		for _, name := range theirs {
			out[name] = max(out[name], rate)
		}
	}
	return out
}
