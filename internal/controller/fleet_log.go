package controller

import (
	"fmt"
	"time"
)

// fleetLogInterval is the time between summaries of the fleet in the log, at level debug.
const fleetLogInterval = 10 * time.Second

// logFleet logs how much of the machines' CPU is in use, the number of machines of each kind,
// and the pending tasks of each job. It may be called only while this controller also leads a
// shard.
func (leader *leader) logFleet() {
	type sums struct{ ready, idle, booting int }
	byKind := map[machineKind]*sums{}
	var used, size float64
	for _, rental := range leader.rentals {
		counts := byKind[rental.machineKind]
		if counts == nil {
			counts = &sums{}
			byKind[rental.machineKind] = counts
		}
		machine := leader.controller.shardLeader.machines[rental.id]
		switch {
		case machine == nil || !machine.heard:
			counts.booting++
		case machine.isEmpty():
			counts.ready++
			counts.idle++
		default:
			counts.ready++
		}
		if machine != nil && machine.heard {
			used += machine.used.CPU
			size += machine.size.CPU
		}
	}
	args := []any{"used_cpus", used, "cpus", size}
	for _, kind := range sortedKinds(byKind) {
		counts := byKind[kind]
		name := kind.machineType
		if kind.spot {
			name += "/spot"
		}
		args = append(args, name, fmt.Sprintf("%d ready, %d idle, %d booting", counts.ready, counts.idle, counts.booting))
	}
	for _, job := range leader.controller.shardLeader.scheduler.jobsInQueueOrder() {
		args = append(args, job.Workload, job.pendingTasks())
	}
	leader.debug("fleet summary", args...)
}
