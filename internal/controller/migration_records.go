package controller

import (
	"slices"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/record"
)

// nextMigrationWrite returns the time from which on the next record may be written.
func (migrations *migrationManager) nextMigrationWrite(state *migrationState) time.Time {
	shardLeaders := 0
	for _, shard := range migrations.controller.membership.shardMap.Shards() {
		if len(shard.Teams) > 0 {
			shardLeaders++
		}
	}
	return state.lastWrite.Add(migrationWriteInterval * time.Duration(max(1, shardLeaders)))
}

// write writes the record of one team, if a write is due. A record with new plans is written first and
// without delay; any other change waits for migrationLazyDelay.
func (migrations *migrationManager) write(state *migrationState) {
	if migrations.nextMigrationWrite(state).After(migrations.now) {
		return
	}
	var bestTeam string
	var bestSince time.Time
	bestHasNewPlans := false
	for _, team := range state.tracker.Teams() {
		since, hasNewPlans, due := state.tracker.WriteDue(team)
		rec := state.records[team]
		if rec == nil || rec.writing || !due || !hasNewPlans && migrations.now.Sub(since) < migrationLazyDelay {
			continue
		}
		if _, version := state.tracker.EncodeRecord(team); version == rec.rejectedVersion {
			continue
		}
		if bestTeam == "" || hasNewPlans && !bestHasNewPlans || hasNewPlans == bestHasNewPlans && since.Before(bestSince) {
			bestTeam, bestSince, bestHasNewPlans = team, since, hasNewPlans
		}
	}
	if bestTeam == "" {
		return
	}
	state.lastWrite = migrations.now
	migrations.writeTeam(state, bestTeam)
}

// migrationTxn returns the transaction that writes a team's record. The transaction compares the revisions of
// the open records of all jobs in new plans, so that no job is migrated that was cancelled in the meantime.
// It also compares the revisions of the shards of these jobs' teams and of the migration record itself.
// migrationTxn returns false if a job of a new plan is not open any more.
func (migrations *migrationManager) migrationTxn(state *migrationState, team string, value []byte) (message.StoreRequest, bool) {
	request := message.StoreRequest{Kind: message.OpTxn, Priority: message.PriorityLazy}
	teams := []string{team}
	for _, plan := range state.tracker.UnsavedPlans(team) {
		request.Priority = message.PriorityStart
		var jobs []string
		if !isEvacuationHold(plan.HeldFor) {
			jobs = append(jobs, plan.HeldFor)
		}
		for i := range plan.Steps {
			jobs = append(jobs, plan.Steps[i].Job)
		}
		for _, jobID := range jobs {
			job := migrations.controller.shardLeader.jobs[jobID]
			if job == nil {
				return request, false
			}
			teams = append(teams, job.Team)
			if compare := (message.Compare{Key: record.OpenJobPrefix + jobID, ModRevision: job.modRevision}); !slices.Contains(request.Compares, compare) {
				request.Compares = append(request.Compares, compare)
			}
		}
	}
	key, rec := migrationKey(team), state.records[team]
	request.Compares = append(request.Compares, migrations.controller.shardLeader.shardCompares(teams...)...)
	request.Compares = append(request.Compares, message.Compare{Key: key, ModRevision: rec.modRevision})
	request.Writes = []message.Write{{Key: key, Value: value}}
	return request, true
}

// writeTeam writes a team's record, or deletes it if the team has no migrations and no cooldowns.
func (migrations *migrationManager) writeTeam(state *migrationState, team string) {
	rec := state.records[team]
	value, version := state.tracker.EncodeRecord(team)
	request, ok := migrations.migrationTxn(state, team, value)
	if !ok {
		// A job of a new plan has ended, so the plan is dropped.
		state.tracker.WriteRefused(team, migrations.now)
		return
	}
	if value == nil && rec.modRevision == 0 {
		state.tracker.MarkPersisted(team, version)
		return
	}
	rec.writing = true
	generation := migrations.controller.shardLeader.generation
	migrations.controller.requests.toStore(request, func(response message.StoreResponse) {
		if migrations.controller.shardLeader == nil || migrations.controller.shardLeader.generation != generation || state.records[team] != rec {
			return
		}
		rec.writing = false
		switch response.Status {
		case message.StoreOK:
			rec.modRevision = response.Revision
			if value == nil {
				rec.modRevision = 0
			}
			state.tracker.MarkPersisted(team, version)
			migrations.controller.shardLeader.migration.advance(state)
		case message.StoreConflict:
			if !slices.Contains(response.FailedKeys, migrationKey(team)) {
				// A job or a shard has changed. The new plans are dropped; tick plans again if capacity is still
				// needed.
				state.tracker.WriteRefused(team, migrations.now)
				migrations.controller.shardLeader.migration.updateReservations(state)
				return
			}
			migrations.controller.shardLeader.migration.reReadTeam(state, team, rec)
		case message.StoreUnknown:
			migrations.controller.shardLeader.migration.reReadTeam(state, team, rec)
		case message.StoreMalformed:
			state.tracker.WriteRefused(team, migrations.now)
			_, rec.rejectedVersion = state.tracker.EncodeRecord(team)
			migrations.controller.shardLeader.migration.updateReservations(state)
		}
	})
}

// reReadTeam reads the revision of a team's record after a write with an unknown outcome: the store may have
// applied it, or may apply it later. Each write compares the shard's revision, so the stored record was
// written under this shard, and the record is written again on top of the revision that was read.
func (migrations *migrationManager) reReadTeam(state *migrationState, team string, rec *migrationRecord) {
	rec.writing = true
	generation := migrations.controller.shardLeader.generation
	migrations.controller.requests.toStore(message.StoreRequest{Kind: message.OpGet, Priority: message.PriorityStart, Key: migrationKey(team)}, func(response message.StoreResponse) {
		if migrations.controller.shardLeader == nil || migrations.controller.shardLeader.generation != generation || state.records[team] != rec {
			return
		}
		switch response.Status {
		case message.StoreOK:
			rec.modRevision, rec.writing = response.KeyValues[0].ModRevision, false
		case message.StoreNotFound:
			rec.modRevision, rec.writing = 0, false
		default:
			migrations.after(migrations.jitter(storeRetryDelay), func() {
				if migrations.controller.shardLeader != nil && migrations.controller.shardLeader.generation == generation && state.records[team] == rec {
					migrations.controller.shardLeader.migration.reReadTeam(state, team, rec)
				}
			})
			return
		}
		state.tracker.WriteUncertain(team, migrations.now)
	})
}
