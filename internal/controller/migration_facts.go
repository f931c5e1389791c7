package controller

import (
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/migration"
	"github.com/micahill/micahill/internal/model"
)

// migrationFacts implements migration.ShardState: it passes the state of the shard leader's jobs and machines
// to the migration tracker.
type migrationFacts struct{ controller *Controller }

// movableReplica returns the job and the task with the given job ID and index if the task is a replica that
// may be migrated. It returns nil for tasks that are never migrated: those of batch, gang, cancelled or
// ending jobs, of jobs lent to a peer, and of jobs borrowed from a peer.
func (migrations *migrationManager) movableReplica(id string, index int) (*job, *task) {
	job := migrations.controller.shardLeader.jobs[id]
	if job == nil || !job.LongRunning || job.Gang || job.cancelled || job.ending || job.isLentOrLending() || job.borrowedLoan != "" || index >= len(job.tasks) {
		return nil, nil
	}
	return job, &job.tasks[index]
}

// Task returns the state of a replica. It implements migration.ShardState.
func (facts migrationFacts) Task(id string, index int) migration.Task {
	job, task := facts.controller.shardLeader.migration.movableReplica(id, index)
	if job == nil {
		return migration.Task{}
	}
	out := migration.Task{Known: true, Attempt: task.attempt, Running: task.isRunning(), Stopping: task.stopReason != stopNone}
	if task.machine != nil {
		out.Host = task.machine.id
	}
	return out
}

// RunningReplicas counts the running replicas of a job that are not being stopped and whose machine is
// responsive, and all replicas of the job. It implements migration.ShardState.
func (facts migrationFacts) RunningReplicas(id string) (int, int) {
	job := facts.controller.shardLeader.jobs[id]
	if job == nil {
		return 0, 0
	}
	running := 0
	for i := range job.tasks[:job.nextFresh] {
		if task := &job.tasks[i]; task.isRunning() && task.stopReason == stopNone && !facts.controller.shardLeader.heartbeats.unresponsive(task.machine) {
			running++
		}
	}
	return running, len(job.tasks)
}

// WaitingTasks counts the pending tasks of a job. For the name of an evacuation it returns 1 while the leader
// requests that evacuation, and 0 otherwise. It implements migration.ShardState.
func (facts migrationFacts) WaitingTasks(id string) int {
	if isEvacuationHold(id) {
		return int(boolToFloat(facts.controller.shardLeader.migration.state.evacuationRequest(facts.controller.now, id) != nil))
	}
	job := facts.controller.shardLeader.jobs[id]
	if job == nil {
		return 0
	}
	return job.pendingTasks()
}

// FreeCapacity returns the capacity of a host that no task uses, including capacity reserved for migrations,
// and whether tasks may be placed on the host. It implements migration.ShardState.
func (facts migrationFacts) FreeCapacity(host string) (model.Resources, bool) {
	machine := facts.controller.shardLeader.machines[host]
	if machine == nil {
		return model.Resources{}, false
	}
	return machine.free().AddScaled(machine.reservedForMigration, 1), facts.controller.shardLeader.scheduler.usable(machine)
}

// AwaitsHeartbeat reports whether this shard leader owns a host from which it has received no heartbeat since
// it recovered its records, and may still expect one. It waits for three heartbeat intervals. It implements
// migration.ShardState.
func (facts migrationFacts) AwaitsHeartbeat(host string) bool {
	if _, owned := facts.controller.membership.ownedMachine(host); !owned || facts.controller.knowledge.released[host] {
		return false
	}
	machine := facts.controller.shardLeader.machines[host]
	return (machine == nil || !machine.heard) && facts.controller.now.Sub(later(facts.controller.shardLeader.readyAt, facts.controller.shardLeader.migration.state.recoveredAt)) < 3*facts.controller.maxHeartbeatInterval()
}

// Downtime returns how long a host takes to fetch the image of a job. It implements migration.ShardState.
func (facts migrationFacts) Downtime(id, host string) time.Duration {
	job, machine := facts.controller.shardLeader.jobs[id], facts.controller.shardLeader.machines[host]
	if job == nil || machine == nil {
		return 0
	}
	return facts.controller.knowledge.fetchTime(machine, job)
}

// YieldsTo reports whether the only replica of a job may be stopped for another job or for an evacuation. It
// implements migration.ShardState.
func (facts migrationFacts) YieldsTo(id, other string) bool {
	replicaJob, otherJob := facts.controller.shardLeader.jobs[id], facts.controller.shardLeader.jobs[other]
	if need := facts.controller.shardLeader.migration.state.evacuationRequest(facts.controller.now, other); need != nil {
		otherJob = &job{JobSpec: neededJobSpec(need)}
	}
	return replicaJob != nil && otherJob != nil && facts.controller.shardLeader.migration.yieldsTo(replicaJob, otherJob)
}

// yieldsTo reports whether the only replica of a job may be stopped to free capacity for another job. The
// other job must come before it in the ranking, or have the same rank and tasks that need more GPUs or, with
// equal GPUs, more CPUs.
func (migrations *migrationManager) yieldsTo(job, other *job) bool {
	switch rank, otherRank := migrations.controller.ranking.rankOf(job), migrations.controller.ranking.rankOf(other); {
	case rank != otherRank:
		return otherRank < rank
	case other.Need.GPU != job.Need.GPU:
		return other.Need.GPU > job.Need.GPU
	}
	return other.Need.CPU > job.Need.CPU
}

// migrationsStatus returns the migrations as status and metrics show them. It returns nil if this controller
// leads no shard or has no migrations state.
func (controller *Controller) migrationsStatus() *message.MigrationsStatus {
	if controller.shardLeader == nil || controller.shardLeader.migration.state == nil {
		return nil
	}
	tracker := controller.shardLeader.migration.state.tracker
	status := &message.MigrationsStatus{Plans: tracker.Stats.Started, Moved: tracker.Stats.Moved, Dropped: tracker.Stats.Dropped, LongestDownSeconds: tracker.Stats.LongestDowntime.Seconds()}
	for _, plan := range tracker.Plans() {
		for i := range plan.Steps {
			step := &plan.Steps[i]
			status.InProgress = append(status.InProgress, message.MigrationStatus{
				Job: step.Job, Task: step.Index, From: step.From, To: step.To, For: plan.HeldFor, State: step.State.String(),
				ExpectedDownSeconds: step.Downtime.Seconds(), GivenUpInSeconds: plan.Until.Sub(controller.now).Seconds(),
			})
		}
	}
	return status
}
