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
func (l *leader) logFleet() {
	type sums struct{ ready, idle, booting int }
	byKind := map[machineKind]*sums{}
	var used, size float64
	for _, r := range l.rentals {
		s := byKind[r.machineKind]
		if s == nil {
			s = &sums{}
			byKind[r.machineKind] = s
		}
		m := l.controller.shardLeader.machines[r.id]
		switch {
		case m == nil || !m.heard:
			s.booting++
		case m.isEmpty():
			s.ready++
			s.idle++
		default:
			s.ready++
		}
		if m != nil && m.heard {
			used += m.used.CPU
			size += m.size.CPU
		}
	}
	args := []any{"used_cpus", used, "cpus", size}
	for _, k := range sortedKinds(byKind) {
		s := byKind[k]
		name := k.machineType
		if k.spot {
			name += "/spot"
		}
		args = append(args, name, fmt.Sprintf("%d ready, %d idle, %d booting", s.ready, s.idle, s.booting))
	}
	for _, j := range l.controller.shardLeader.scheduler.jobsInQueueOrder() {
		args = append(args, j.Workload, j.pendingTasks())
	}
	l.debug("fleet summary", args...)
}
