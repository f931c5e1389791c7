package controller

import (
	"time"
)

// due.go has the marks by which components ask each other for work in the next tick of the
// shard leader, and the checks whether it is due. See shardLeader.tick.

// requestPlacement has the next round of placement run as soon as rounds may.
func (s *scheduler) requestPlacement() { s.placementDue = true }

// hurryPlacement lets the next round, once requested, wait for no interval if the wait of the
// workload's tasks is bounded.
func (s *scheduler) hurryPlacement(workload string) {
	s.placementUrgent = s.placementUrgent || s.waitObjective(workload) > 0
}

// placementRoundDue says whether a round of placement is to run now.
func (s *scheduler) placementRoundDue() bool { return s.placementDue && !s.now.Before(s.nextRoundAt()) }

// nextRoundAt is when tasks may be placed again. A round that took long leaves two and a half
// times as long to others, however much work waits.
func (s *scheduler) nextRoundAt() time.Time {
	gap := placementInterval
	if s.placementUrgent {
		gap = 0
	}
	return s.placedAt.Add(max(gap, s.roundDuration*5/2))
}

// runPlacementRound runs a round of placement.
func (s *scheduler) runPlacementRound() {
	s.placementDue, s.placementUrgent, s.placedAt = false, false, s.now
	s.placeAll()
}

// notePlacementRound notes that the running Step has a round of placement: recordStep takes
// its length for that of the round.
func (t *planningThrottle) notePlacementRound() { t.placementRan = true }

// writeSoon has the records that have changed written in this tick.
func (p *persistence) writeSoon() { p.persistedAt = time.Time{} }

// writeIfDue writes the records that have changed, if that was not just done.
func (p *persistence) writeIfDue() {
	if p.now.Sub(p.persistedAt) >= persistInterval {
		p.persistedAt = p.now
		p.writeShardLeaderRecords()
	}
}

// addOrphanedRecord has a task record deleted whose job is over.
func (p *persistence) addOrphanedRecord(key string) {
	p.orphanedRecords = append(p.orphanedRecords, key)
}

// requestSoon has the owners of remote machines asked about attempts there in this tick.
func (r *remoteAttempts) requestSoon() { r.due = true }

// recordArrival counts a new job's tasks among those that the fleet is sized for.
func (f *fleetPlanner) recordArrival(j *job) {
	k := workloadKey{j.Team, j.Workload}
	f.arrivals[k] = append(f.arrivals[k], arrival{f.now, j.Tasks, j.Need, &j.JobSpec})
}

// forgetTeam drops what has arrived for a team that another shard has now.
func (f *fleetPlanner) forgetTeam(team string) {
	for k := range f.arrivals {
		if k.team == team {
			delete(f.arrivals, k)
		}
	}
}
