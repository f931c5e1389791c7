package controller

import (
	"slices"
	"time"
)

// gangStartTimeout is how long some tasks of a gang may be live while others are pending, before
// all tasks are stopped to start together again.
const gangStartTimeout = 20 * time.Second

// placeGang places all tasks of a gang or none. For a job with SameZone it tries the zones one
// after another.
func (scheduler *scheduler) placeGang(job *job, round *placementRound) {
	if job.liveTasks > 0 {
		// Some tasks were lost. The workers end the remaining tasks by themselves; tasks
		// that are still live after gangStartTimeout are stopped here.
		for i := range job.tasks[:job.nextFresh] {
			task := &job.tasks[i]
			if task.machine != nil && task.stopReason == stopNone && scheduler.now.Sub(time.UnixMilli(task.groupStart)) > gangStartTimeout {
				task.stopReason = stopDrain
				scheduler.controller.markDispatchPending(task.machine)
			}
		}
		return
	}
	zones := []string{""}
	if job.SameZone {
		zones = scheduler.settings.Zones
	}
	for _, zone := range zones {
		zoneRound := *round
		if zone != "" {
			zoneRound.candidates = slices.DeleteFunc(slices.Clone(round.candidates), func(candidate *candidateMachine) bool { return candidate.machine.zone != zone })
			zoneRound.unplaceableShapes, zoneRound.candidateGroups = map[taskShape]bool{}, map[candidateGroupKey]*candidateGroup{}
		}
		if scheduler.gangFits(job, &zoneRound) {
			scheduler.placeJob(job, &zoneRound, forever, job.pendingTasks())
			return
		}
	}
}

// gangFits reports whether all pending tasks of a job fit at once. It counts only machines that
// placement accepts. If it counted, for instance, a machine under decommission, some of the tasks
// would repeatedly start and wait in vain for the others.
func (scheduler *scheduler) gangFits(job *job, round *placementRound) bool {
	if team := scheduler.team(job.Team); team != nil {
		used := scheduler.controller.shardLeader.usedByTeam[job.Team].AddScaled(job.Need, float64(job.pendingTasks()))
		if team.QuotaLimit.CPU > 0 && used.CPU > team.QuotaLimit.CPU+roundingTolerance || team.QuotaLimit.GPU > 0 && used.GPU > team.QuotaLimit.GPU+roundingTolerance {
			return false
		}
	}
	for _, i := range job.requeued {
		if job.tasks[i].notBefore.After(scheduler.now) {
			return false
		}
	}
	fitting := 0
	zones := map[string]int{}
	group := scheduler.candidateGroupFor(round, job)
	for _, candidate := range round.candidates {
		machine := candidate.machine
		if _, ok := group.rate(scheduler, job, candidate); !ok {
			continue
		}
		count := scheduler.freeCapacityOn(group, candidate).FitCount(job.Need)
		if job.SpreadZones {
			count = min(count, (len(job.tasks)+1)/2-zones[machine.zone])
			zones[machine.zone] += count
		}
		fitting += count
	}
	return fitting >= job.pendingTasks()
}
