package controller

import "time"

// due.go has the marks by which components ask each other for work in the next tick of the
// shard leader, and the checks whether it is due. See shardLeader.tick.

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

// forgetTeam drops what has arrived for a team that another shard has now.
func (f *fleetPlanner) forgetTeam(team string) {
	for k := range f.arrivals {
		if k.team == team {
			f.forgetArrivals(k)
		}
	}
}
