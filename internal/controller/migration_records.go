package controller

import (
	"slices"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/record"
)

// nextMigrationWrite is when a record may be written next.
func (g *migrationManager) nextMigrationWrite(mv *migrations) time.Time {
	leaders := 0
	for _, s := range g.controller.membership.shardMap.Shards() {
		if len(s.Teams) > 0 {
			leaders++
		}
	}
	return mv.lastWrite.Add(migrationWriteInterval * time.Duration(max(1, leaders)))
}

// write writes the record of one team, if any is due: new plans at once, ends of migrations when there is time.
func (g *migrationManager) write(mv *migrations) {
	if g.nextMigrationWrite(mv).After(g.now) {
		return
	}
	var best string
	var bestSince time.Time
	bestFresh := false
	for _, team := range mv.tracker.Teams() {
		since, fresh, due := mv.tracker.WriteDue(team)
		rec := mv.records[team]
		if rec == nil || rec.writing || !due || !fresh && g.now.Sub(since) < migrationLazyDelay {
			continue
		}
		if _, ver := mv.tracker.EncodeRecord(team); ver == rec.rejectedVersion {
			continue
		}
		if best == "" || fresh && !bestFresh || fresh == bestFresh && since.Before(bestSince) {
			best, bestSince, bestFresh = team, since, fresh
		}
	}
	if best == "" {
		return
	}
	mv.lastWrite = g.now
	g.writeTeam(mv, best)
}

// migrationTxn is the transaction that writes a team's record. It names the open record of each job of a new plan, so
// that none is migrated that was cancelled meanwhile, the shards of their teams, and the record as it was read. It
// returns false if such a job is open no more.
func (g *migrationManager) migrationTxn(mv *migrations, team string, value []byte) (message.StoreRequest, bool) {
	op := message.StoreRequest{Kind: message.OpTxn, Priority: message.PriorityLazy}
	teams := []string{team}
	for _, e := range mv.tracker.UnsavedPlans(team) {
		op.Priority = message.PriorityStart
		var jobs []string
		if !isEvacuationHold(e.HeldFor) {
			jobs = append(jobs, e.HeldFor)
		}
		for i := range e.Steps {
			jobs = append(jobs, e.Steps[i].Job)
		}
		for _, id := range jobs {
			j := g.controller.shardLeader.jobs[id]
			if j == nil {
				return op, false
			}
			teams = append(teams, j.Team)
			if c := (message.Compare{Key: record.OpenJobPrefix + id, ModRevision: j.modRevision}); !slices.Contains(op.Compares, c) {
				op.Compares = append(op.Compares, c)
			}
		}
	}
	key, rec := migrationKey(team), mv.records[team]
	op.Compares = append(op.Compares, g.controller.shardLeader.shardCompares(teams...)...)
	op.Compares = append(op.Compares, message.Compare{Key: key, ModRevision: rec.modRevision})
	op.Writes = []message.Write{{Key: key, Value: value}}
	return op, true
}

// writeTeam writes a team's record, or deletes it when nothing is under way any more.
func (g *migrationManager) writeTeam(mv *migrations, team string) {
	rec := mv.records[team]
	value, version := mv.tracker.EncodeRecord(team)
	op, ok := g.migrationTxn(mv, team, value)
	if !ok {
		// A job is over: nothing of this plan is to be done.
		mv.tracker.WriteRefused(team, g.now)
		return
	}
	if value == nil && rec.modRevision == 0 {
		mv.tracker.MarkPersisted(team, version)
		return
	}
	rec.writing = true
	generation := g.controller.shardLeader.generation
	g.controller.requests.toStore(op, func(d message.StoreResponse) {
		if g.controller.shardLeader == nil || g.controller.shardLeader.generation != generation || mv.records[team] != rec {
			return
		}
		rec.writing = false
		switch d.Status {
		case message.StoreOK:
			rec.modRevision = d.Revision
			if value == nil {
				rec.modRevision = 0
			}
			mv.tracker.MarkPersisted(team, version)
			g.controller.shardLeader.migration.advance(mv)
		case message.StoreConflict:
			if !slices.Contains(d.FailedKeys, migrationKey(team)) {
				// A job or a shard has changed: planned again, if it is still needed.
				mv.tracker.WriteRefused(team, g.now)
				g.controller.shardLeader.migration.updateReservations(mv)
				return
			}
			g.controller.shardLeader.migration.reReadTeam(mv, team, rec)
		case message.StoreUnknown:
			g.controller.shardLeader.migration.reReadTeam(mv, team, rec)
		case message.StoreMalformed:
			mv.tracker.WriteRefused(team, g.now)
			_, rec.rejectedVersion = mv.tracker.EncodeRecord(team)
			g.controller.shardLeader.migration.updateReservations(mv)
		}
	})
}

// reReadTeam reads a team's record after a write of this shard leader that may have been applied, or may be later.
// What stands there was written under its shard. It is written again on top of that.
func (g *migrationManager) reReadTeam(mv *migrations, team string, rec *migrationRecord) {
	rec.writing = true
	generation := g.controller.shardLeader.generation
	g.controller.requests.toStore(message.StoreRequest{Kind: message.OpGet, Priority: message.PriorityStart, Key: migrationKey(team)}, func(d message.StoreResponse) {
		if g.controller.shardLeader == nil || g.controller.shardLeader.generation != generation || mv.records[team] != rec {
			return
		}
		switch d.Status {
		case message.StoreOK:
			rec.modRevision, rec.writing = d.KeyValues[0].ModRevision, false
		case message.StoreNotFound:
			rec.modRevision, rec.writing = 0, false
		default:
			g.after(g.jitter(storeRetryDelay), func() {
				if g.controller.shardLeader != nil && g.controller.shardLeader.generation == generation && mv.records[team] == rec {
					g.controller.shardLeader.migration.reReadTeam(mv, team, rec)
				}
			})
			return
		}
		mv.tracker.WriteUncertain(team, g.now)
	})
}
