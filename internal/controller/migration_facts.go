package controller

import (
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/migration"
	"github.com/micahill/micahill/internal/model"
)

// migrationFacts shows the shard leader's jobs and machines to the tracker.
type migrationFacts struct{ controller *Controller }

// movableReplica returns a replica that may be migrated at all, nil for other tasks.
func (g *migrationManager) movableReplica(id string, index int) (*job, *task) {
	j := g.controller.shardLeader.jobs[id]
	if j == nil || !j.LongRunning || j.Gang || j.cancelled || j.ending || j.elsewhere() || j.borrowedLoan != "" || index >= len(j.tasks) {
		return nil, nil
	}
	return j, &j.tasks[index]
}

func (f migrationFacts) Task(id string, index int) migration.Task {
	j, t := f.controller.shardLeader.migration.movableReplica(id, index)
	if j == nil {
		return migration.Task{}
	}
	out := migration.Task{Known: true, Attempt: t.attempt, Running: t.isRunning(), Stopping: t.stopReason != stopNone}
	if t.machine != nil {
		out.Host = t.machine.id
	}
	return out
}

func (f migrationFacts) RunningReplicas(id string) (int, int) {
	j := f.controller.shardLeader.jobs[id]
	if j == nil {
		return 0, 0
	}
	up := 0
	for i := range j.tasks[:j.nextFresh] {
		if t := &j.tasks[i]; t.isRunning() && t.stopReason == stopNone && !f.controller.shardLeader.heartbeats.unresponsive(t.machine) {
			up++
		}
	}
	return up, len(j.tasks)
}

func (f migrationFacts) WaitingTasks(id string) int {
	if isEvacuationHold(id) {
		return int(boolToFloat(f.controller.shardLeader.migration.state.evacuationRequest(f.controller.now, id) != nil))
	}
	j := f.controller.shardLeader.jobs[id]
	if j == nil {
		return 0
	}
	return j.pendingTasks()
}

func (f migrationFacts) FreeCapacity(host string) (model.Resources, bool) {
	m := f.controller.shardLeader.machines[host]
	if m == nil {
		return model.Resources{}, false
	}
	return m.free().AddScaled(m.reservedForMigration, 1), f.controller.shardLeader.scheduler.usable(m)
}

func (f migrationFacts) Unheard(host string) bool {
	if _, mine := f.controller.membership.ownedMachine(host); !mine || f.controller.knowledge.released[host] {
		return false
	}
	m := f.controller.shardLeader.machines[host]
	return (m == nil || !m.heard) && f.controller.now.Sub(later(f.controller.shardLeader.readyAt, f.controller.shardLeader.migration.state.recoveredAt)) < 3*f.controller.maxHeartbeatInterval()
}

func (f migrationFacts) Downtime(id, host string) time.Duration {
	j, m := f.controller.shardLeader.jobs[id], f.controller.shardLeader.machines[host]
	if j == nil || m == nil {
		return 0
	}
	return f.controller.knowledge.fetchTime(m, j)
}

func (f migrationFacts) YieldsTo(id, other string) bool {
	j, o := f.controller.shardLeader.jobs[id], f.controller.shardLeader.jobs[other]
	if h := f.controller.shardLeader.migration.state.evacuationRequest(f.controller.now, other); h != nil {
		o = &job{JobSpec: neededJobSpec(h)}
	}
	return j != nil && o != nil && f.controller.shardLeader.migration.yieldsTo(j, o)
}

// yieldsTo reports whether a job's only replica may be stopped to make room for another job: one that the ranking
// has before it, or one of the same rank that is larger.
func (g *migrationManager) yieldsTo(j, other *job) bool {
	switch a, b := g.controller.ranking.rankOf(j), g.controller.ranking.rankOf(other); {
	case a != b:
		return b < a
	case other.Need.GPU != j.Need.GPU:
		return other.Need.GPU > j.Need.GPU
	}
	return other.Need.CPU > j.Need.CPU
}

// migrationsStatus returns what status and metrics show; nil without migrations.
func (c *Controller) migrationsStatus() *message.MigrationsStatus {
	if c.shardLeader == nil || c.shardLeader.migration.state == nil {
		return nil
	}
	tracker := c.shardLeader.migration.state.tracker
	s := &message.MigrationsStatus{Plans: tracker.Stats.Started, Moved: tracker.Stats.Moved, Dropped: tracker.Stats.Dropped, LongestDownSeconds: tracker.Stats.LongestDowntime.Seconds()}
	for _, e := range tracker.Plans() {
		for i := range e.Steps {
			x := &e.Steps[i]
			s.InProgress = append(s.InProgress, message.MigrationStatus{
				Job: x.Job, Task: x.Index, From: x.From, To: x.To, For: e.HeldFor, State: x.State.String(),
				ExpectedDownSeconds: x.Downtime.Seconds(), GivenUpInSeconds: e.Until.Sub(c.now).Seconds(),
			})
		}
	}
	return s
}
