package controller

import (
	"fmt"
	"time"
)

const (
	// leaderPeriod is how often the leader looks at the fleet.
	leaderPeriod = time.Second
	// machineTypesInterval is how often prices are read again.
	machineTypesInterval = 30 * time.Second
	// refusedBackoff keeps from asking again at once for a kind of machine the
	// cloud has just refused.
	refusedBackoff = 12 * time.Second
	// maxRentPerRequest and maxReleasePerRequest are the cloud's limits for one request.
	maxRentPerRequest    = 50
	maxReleasePerRequest = 100
	// settleTime after a takeover: nobody is taken for silent or idle before.
	settleTime = 8 * time.Second
)

// updateTTL is how long an owner's wishes and a leader's view hold.
const updateTTL = 4 * time.Second

// fleetLogInterval is how often the fleet is described in the log, at debug.
const fleetLogInterval = 10 * time.Second

func (l *leader) logFleet() {
	type sums struct{ up, idle, booting int }
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
			s.up++
			s.idle++
		default:
			s.up++
		}
		if m != nil && m.heard {
			used += m.used.CPU
			size += m.size.CPU
		}
	}
	args := []any{"used", used, "cpus", size}
	for _, k := range sortedKinds(byKind) {
		s := byKind[k]
		name := k.machineType
		if k.spot {
			name += "/spot"
		}
		args = append(args, name, fmt.Sprintf("%d up, %d idle, %d booting", s.up, s.idle, s.booting))
	}
	for _, j := range l.controller.shardLeader.scheduler.jobsInQueueOrder() {
		args = append(args, j.Workload, j.pendingTasks())
	}
	l.debug("fleet", args...)
}

// arrivalWindow is how far back arrivals are looked at, and lately the part of it
// that shows soonest when they have ended.
const (
	arrivalWindow = 90 * time.Second
	recentWindow  = 30 * time.Second
)
