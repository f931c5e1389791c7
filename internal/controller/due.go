package controller

import "time"

// due.go has the methods by which components request actions from each other for the next tick of
// the shard leader, and the checks whether such an action is due. See shardLeader.tick.

// writeSoon requests that changed records are written in this tick.
func (persistence *persistence) writeSoon() { persistence.persistedAt = time.Time{} }

// writeIfDue writes the changed records unless they were written within persistInterval.
func (persistence *persistence) writeIfDue() {
	if persistence.now.Sub(persistence.persistedAt) >= persistInterval {
		persistence.persistedAt = persistence.now
		persistence.writeShardLeaderRecords()
	}
}

// addOrphanedRecord queues the deletion of a task record whose job is over.
func (persistence *persistence) addOrphanedRecord(key string) {
	persistence.orphanedRecords = append(persistence.orphanedRecords, key)
}

// requestSoon requests that the owners of remote machines are asked in this tick about the attempts
// on these machines.
func (attempts *remoteAttempts) requestSoon() { attempts.due = true }

// forgetTeam removes the recorded arrivals of a team that another shard has taken over.
func (planner *fleetPlanner) forgetTeam(team string) {
	for k := range planner.arrivals {
		if k.team == team {
			planner.forgetArrivals(k)
		}
	}
}
