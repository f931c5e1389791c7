package controller

import (
	"testing"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/record"
	"github.com/micahill/micahill/internal/remote"
	"github.com/micahill/micahill/internal/sharding"
)

// putShard applies a shard's record to the controller's shard map. rest makes it the catch-all
// shard.
func (c *Controller) putShard(t *testing.T, name, host string, modRevision uint64, rest bool, teams ...string) {
	t.Helper()
	b := record.Encode(map[string]any{"host": host, "nonce": host + "#1", "teams": teams, "rest": rest})
	if host == c.settings.Host {
		b = record.Encode(map[string]any{"host": host, "nonce": c.incarnation(), "teams": teams, "rest": rest})
	}
	if err := c.membership.shardMap.ApplyShard(name, b, modRevision); err != nil {
		t.Fatalf("applying shard %s: got error %v, want none", name, err)
	}
	c.membership.controllers["b"] = record.Member{Incarnation: "b#1"}
}

// putSegment applies a segment that assigns machines to a shard.
func (c *Controller) putSegment(t *testing.T, shard string, modRevision uint64, ids ...string) {
	t.Helper()
	w, assigned := sharding.BumpEpoch(c.requests.storeLimits(), "l"+ids[0], c.membership.shardMap.Shard(shard), ids)
	if len(assigned) != len(ids) {
		t.Fatalf("got %d machines in one segment, want %d", len(assigned), len(ids))
	}
	if err := c.membership.shardMap.ApplySegment(w.Name, w.Value, modRevision); err != nil {
		t.Fatalf("applying segment %s: got error %v, want none", w.Name, err)
	}
}

// twoControllers returns a controller whose shard leader has one machine, and in whose shard map
// controller b holds a shard with the team lab.
func twoControllers(t *testing.T) *Controller {
	t.Helper()
	c := largePool(1)
	c.settings.Teams = append(c.settings.Teams, model.Team{Name: "lab"})
	c.putShard(t, "b", "b", 2, false, "lab")
	c.frontend.watchCache.loaded, c.frontend.watchCache.openJobs = true, map[string]openJob{}
	return c
}

// TestLeaderUpdateMakesNoOwner guards against two owners of a machine: the leader's update about
// a machine must not make a controller its owner, since only a record of the shard map does.
func TestLeaderUpdateMakesNoOwner(t *testing.T) {
	c := twoControllers(t)
	c.putSegment(t, "b", 3, "vm-000077")
	for _, status := range []string{"running", statusComing, "booting"} {
		c.receiveLeaderUpdate(message.PeerUpdate{From: "b", IsLeaderUpdate: true, Seq: 5, RentalUpdates: []message.RentalUpdate{{ID: "vm-000077", Addr: "x", MachineType: "box", Zone: "z", Status: status}}})
		if c.shardLeader.machines["vm-000077"] != nil {
			t.Errorf("another shard's machine with status %s: got it added by a leader update, want it left out", status)
		}
	}
	c.putSegment(t, "a", 4, "vm-000078")
	c.receiveLeaderUpdate(message.PeerUpdate{From: "b", IsLeaderUpdate: true, Seq: 6, RentalUpdates: []message.RentalUpdate{{ID: "vm-000078", Addr: "x", MachineType: "box", Zone: "z", Status: "running"}}})
	if c.shardLeader.machines["vm-000078"] == nil {
		t.Error("machine of the controller's own shard: got it left out, want it added")
	}
}

// TestControlUpdatesInOrder checks two watch responses that overlap: each change must count
// once, and the older response must not undo a newer change.
func TestControlUpdatesInOrder(t *testing.T) {
	c := twoControllers(t)
	c.membership.revision = 5
	shardRecord := func(host string, modRevision uint64) message.KeyValue {
		return message.KeyValue{Key: record.ShardPrefix + "x", Value: record.Encode(map[string]any{"host": host, "nonce": "n", "teams": []string{"lab"}}), ModRevision: modRevision}
	}
	c.membership.applyControlUpdates(message.StoreResponse{Status: message.StoreOK, Revision: 9, KeyValues: []message.KeyValue{shardRecord("c", 7), shardRecord("d", 9)}})
	c.membership.applyControlUpdates(message.StoreResponse{Status: message.StoreOK, Revision: 7, KeyValues: []message.KeyValue{shardRecord("c", 7)}})
	if s := c.membership.shardMap.Shard("x"); s.Host != "d" || c.membership.revision != 9 {
		t.Errorf("got shard held by %s as of revision %d, want d and 9", s.Host, c.membership.revision)
	}
}

// TestTakenOverMachineWithTasks guards against counting a worker's lease as expired too early:
// the former owner may go on answering the machine's heartbeats after the takeover, so the lease
// counts from when that owner has certainly stopped.
func TestTakenOverMachineWithTasks(t *testing.T) {
	c := twoControllers(t)
	c.putSegment(t, "b", 3, "vm-000077")
	j := c.shardLeader.addJob(model.JobSpec{ID: "job-000900", Workload: "w", Team: "ops", Tasks: 1, Need: model.Resources{CPU: 1, Memory: 1}, ExpectedRunTime: time.Minute}, c.now, 1)
	j.nextFresh, j.tasks[0].attempt, j.tasks[0].startSent = 1, 1, true
	c.shardLeader.attachAttempt(j, 0, c.shardLeader.ownedOrRemoteMachine("vm-000077"))
	if len(c.shardLeader.remoteAttempts.machines) != 1 || c.shardLeader.machines["vm-000077"] != nil {
		t.Fatal("got another shard's machine among the controller's own, want a remote machine")
	}
	c.putSegment(t, "a", 4, "vm-000077")
	c.syncShardLeader()
	m := c.shardLeader.machines["vm-000077"]
	if m == nil || len(m.attempts) != 1 || j.tasks[0].machine != m || len(c.shardLeader.remoteAttempts.machines) != 0 {
		t.Fatal("got the machine without its attempt, want both taken over")
	}
	if least := c.now.Add(membershipLeaseTTL + c.renewal.grace() + c.settings.WorkerLease); m.leaseEnd.Before(least) {
		t.Errorf("got the lease expired after %v, want at least %v", m.leaseEnd.Sub(c.now), least.Sub(c.now))
	}
	// The machine is handed over to b again, with the attempt on it.
	c.putSegment(t, "b", 5, "vm-000077", "vm-000079")
	c.syncShardLeader()
	if a := c.shardLeader.remoteAttempts.machines["vm-000077"]; a == nil || j.tasks[0].machine != a || j.liveTasks != 1 {
		t.Error("got the attempt on a handed-over machine dropped, want it on the remote machine")
	}
}

// TestLeaseRestartsUnderNewEpoch guards against counting a worker's lease as expired too early.
// A machine with a new epoch may have had another owner in between, and a machine without a
// heartbeat that has another owner's tasks may have been answered by its former owner. Both
// leases must count from the last possible answer.
func TestLeaseRestartsUnderNewEpoch(t *testing.T) {
	c := twoControllers(t)
	m := c.shardLeader.machinesByID[0]
	m.formerOwnerUntil, m.leaseEnd = time.Time{}, c.renewal.leaseEndAfter(c.now)
	c.putSegment(t, "a", 4, m.id, "vm-000088")
	c.syncShardLeader()
	least := c.now.Add(membershipLeaseTTL + c.renewal.grace() + c.settings.WorkerLease)
	if m.epoch != 4 || m.leaseEnd.Before(least) {
		t.Errorf("got epoch %d, lease expired after %v; want 4 and at least %v", m.epoch, m.leaseEnd.Sub(c.now), least.Sub(c.now))
	}
	c.shardLeader.remoteAttempts.receiveRemoteRequests("b", []remote.Request{{Machine: "vm-000088", Attempts: []remote.AttemptRequest{{AttemptID: remote.AttemptID{Job: "job-000900", Index: 0, Attempt: 1}}}}})
	if m = c.shardLeader.machines["vm-000088"]; m == nil || m.heard || m.leaseEnd.Before(least) {
		t.Errorf("got machine %+v with another owner's task, want one without a heartbeat whose lease lasts at least until %v", m, least)
	}
}

// TestRemoteAttemptsAreLeftAlone guards against stopping a task of another controller's job on a
// machine of this controller, before that controller has requested the stop.
func TestRemoteAttemptsAreLeftAlone(t *testing.T) {
	c := twoControllers(t)
	m := c.shardLeader.machinesByID[0]
	spec := model.JobSpec{ID: "job-000900", Workload: "w", Team: "lab", Tasks: 2, Need: model.Resources{CPU: 1, Memory: 2}}
	c.frontend.watchCache.openJobs[spec.ID] = openJob{1, record.NewOpenJob(&spec, c.now)}
	r := c.poolHeartbeat(0)
	r.Sequence = 2
	r.Tasks = []model.TaskReport{{Job: spec.ID, Index: 0, Attempt: 1, Status: model.Running}}
	c.shardLeader.heartbeats.applyHeartbeat(m, r, true)
	c.frontend.watchCache.asOf = c.now.Add(time.Minute)
	c.now = c.now.Add(time.Minute)
	if commands := c.shardLeader.dispatcher.reconcile(m); len(commands) != 0 {
		t.Errorf("got commands %v, want none", commands)
	}
	if m.isEmpty() || m.othersUsed.CPU != 1 || m.hasUnknownTasks {
		t.Errorf("got resources of others' tasks %v, empty %v, unknown tasks %v; want 1 CPU, false and false", m.othersUsed, m.isEmpty(), m.hasUnknownTasks)
	}
	// A task of a cancelled job is stopped without a request: the job's owner may be
	// unreachable.
	rec := record.NewOpenJob(&spec, c.now)
	rec.Cancelled = true
	c.frontend.watchCache.openJobs[spec.ID] = openJob{2, rec}
	if commands := c.shardLeader.dispatcher.reconcile(m); len(commands) != 1 || commands[0].Kind != model.StopTask {
		t.Errorf("for a cancelled job: got commands %v, want a stop", commands)
	}
	c.frontend.watchCache.openJobs[spec.ID] = openJob{1, record.NewOpenJob(&spec, c.now)}
	// The task is stopped on its owner's request.
	c.shardLeader.remoteAttempts.receiveRemoteRequests("b", []remote.Request{{Machine: m.id, Attempts: []remote.AttemptRequest{{AttemptID: remote.AttemptID{Job: spec.ID, Index: 0, Attempt: 1}, Intent: remote.Stop}}}})
	if commands := c.shardLeader.dispatcher.reconcile(m); len(commands) != 1 || commands[0].Kind != model.StopTask {
		t.Errorf("on request: got commands %v, want a stop", commands)
	}
}

// TestCancelledWhileCheckpointing checks a task of another owner that is stopping with time to
// checkpoint when its job is cancelled. It must be stopped at once, although that owner is
// unreachable.
func TestCancelledWhileCheckpointing(t *testing.T) {
	c := twoControllers(t)
	m := c.shardLeader.machinesByID[0]
	spec := model.JobSpec{ID: "job-000900", Workload: "w", Team: "lab", Tasks: 1, Need: model.Resources{CPU: 1, Memory: 2}}
	rec := record.NewOpenJob(&spec, c.now)
	c.frontend.watchCache.openJobs[spec.ID] = openJob{1, rec}
	r := c.poolHeartbeat(0)
	r.Sequence, r.Tasks = 2, []model.TaskReport{{Job: spec.ID, Index: 0, Attempt: 1, Status: model.Checkpointing}}
	c.shardLeader.heartbeats.applyHeartbeat(m, r, true)
	a := remote.AttemptID{Job: spec.ID, Index: 0, Attempt: 1}
	c.shardLeader.remoteAttempts.receiveRemoteRequests("b", []remote.Request{{Machine: m.id, Attempts: []remote.AttemptRequest{{AttemptID: a, Intent: remote.Stop, WindDown: 20 * time.Second}}}})
	if commands := c.shardLeader.dispatcher.reconcile(m); len(commands) > 0 {
		t.Errorf("while it is checkpointing: got commands %v, want none", commands)
	}
	rec.Cancelled, rec.CancelledAtMillis = true, c.now.UnixMilli()
	c.frontend.watchCache.openJobs[spec.ID] = openJob{2, rec}
	want := model.TaskCommand{Kind: model.StopTask, Job: spec.ID, Attempt: 1}
	if commands := c.shardLeader.dispatcher.reconcile(m); len(commands) != 1 || commands[0] != want {
		t.Errorf("cancelled while it is checkpointing: got commands %+v, want %+v", commands, want)
	}
}

// TestStaleTeamReadIsIgnored guards against using the records read of a team that belonged to
// another shard in between, whose leader may have written more.
func TestStaleTeamReadIsIgnored(t *testing.T) {
	c := twoControllers(t)
	staleTeam := &heldTeam{holdID: 1}
	c.shardLeader.teams["ops"] = &heldTeam{holdID: 2}
	c.shardLeader.recoverTeams(map[string]*heldTeam{"ops": staleTeam}, nil, nil, c.now)
	if c.shardLeader.teams["ops"].ready {
		t.Error("got the team ready after an outdated read, want it not ready")
	}
}

// TestHandedOverTeamLeavesTasks guards against placing tasks on capacity that is in use: an
// attempt of a handed-over team takes capacity on its machine, though no heartbeat has shown it.
// It also must not be reported as gone while its start may still be in flight.
func TestHandedOverTeamLeavesTasks(t *testing.T) {
	c := twoControllers(t)
	c.putShard(t, "a", "a", 6, true, "ops", "lab")
	c.putShard(t, "b", "b", 7, false)
	c.shardLeader.teams["lab"] = &heldTeam{ready: true}
	c.syncShardLeader()
	m := c.shardLeader.machinesByID[0]
	spec := model.JobSpec{ID: "job-000900", Workload: "w", Team: "lab", Tasks: 1, Need: model.Resources{CPU: 3, Memory: 2}, ExpectedRunTime: time.Minute}
	c.frontend.watchCache.openJobs[spec.ID] = openJob{1, record.NewOpenJob(&spec, c.now)}
	j := c.shardLeader.addJob(spec, c.now, 1)
	j.nextFresh, j.tasks[0].attempt, j.tasks[0].startSent = 1, 1, true
	c.shardLeader.attachAttempt(j, 0, m)
	c.putShard(t, "a", "a", 8, true, "ops")
	c.putShard(t, "b", "b", 8, false, "lab")
	c.syncShardLeader()
	// The start of the attempt got no answer.
	m.unackedStartEpoch, m.seenEpoch = m.epoch, m.epoch
	if c.shardLeader.jobs[spec.ID] != nil || m.isEmpty() || m.othersUsed.CPU != 3 {
		t.Fatalf("after the hand-over: got resources of others' tasks %v, empty %v; want 3 CPU and false", m.othersUsed, m.isEmpty())
	}
	requests := []remote.Request{{Machine: m.id, Attempts: []remote.AttemptRequest{{AttemptID: remote.AttemptID{Job: spec.ID, Index: 0, Attempt: 1}}}}}
	publishedState := func() remote.State {
		c.now, c.effects = c.now.Add(2*time.Second), nil
		c.shardLeader.remoteAttempts.receiveRemoteRequests("b", requests)
		c.shardLeader.remoteAttempts.publishRemoteAttempts()
		for _, p := range emittedEffects[message.SendPeerUpdate](c) {
			if len(p.Update.RemoteStatuses) > 0 {
				return p.Update.RemoteStatuses[0].Attempts[0].State
			}
		}
		t.Fatal("got no state published, want one")
		return 0
	}
	r := c.poolHeartbeat(0)
	r.Sequence, r.Epoch = 3, m.epoch
	c.shardLeader.heartbeats.applyHeartbeat(m, r, true)
	if s := publishedState(); s != remote.Unknown {
		t.Errorf("while the start may be in flight: got state %v, want %v", s, remote.Unknown)
	}
	// The worker refuses that start after it has seen a higher epoch.
	c.putSegment(t, "a", 9, m.id)
	c.syncShardLeader()
	r = c.poolHeartbeat(0)
	r.Sequence, r.Epoch = 4, m.epoch
	c.shardLeader.heartbeats.applyHeartbeat(m, r, true)
	if s := publishedState(); s != remote.Gone {
		t.Errorf("under a higher epoch: got state %v, want %v", s, remote.Gone)
	}
}

// TestRemoteStateNeedsCurrentEpoch guards against applying outdated reports of remote attempts:
// a report about a machine counts only from the machine's owner and under its present epoch.
func TestRemoteStateNeedsCurrentEpoch(t *testing.T) {
	c := twoControllers(t)
	c.putSegment(t, "b", 5, "vm-000077")
	j := c.shardLeader.addJob(model.JobSpec{ID: "job-000900", Workload: "w", Team: "ops", Tasks: 1, Need: model.Resources{CPU: 1, Memory: 1}, ExpectedRunTime: time.Minute}, c.now, 1)
	j.nextFresh, j.tasks[0].attempt, j.tasks[0].startSent = 1, 1, true
	c.shardLeader.attachAttempt(j, 0, c.shardLeader.ownedOrRemoteMachine("vm-000077"))
	publish := func(from string, epoch uint64) {
		c.shardLeader.remoteAttempts.receiveRemoteAttempts(from, []remote.MachineStatus{{Machine: "vm-000077", Epoch: epoch, Attempts: []remote.AttemptStatus{{AttemptID: remote.AttemptID{Job: j.ID, Index: 0, Attempt: 1}, State: remote.Gone}}}})
	}
	publish("b", 4)
	publish("c", 5)
	if j.liveTasks != 1 {
		t.Error("got the attempt ended by an update under an earlier epoch or from another controller, want it live")
	}
	publish("b", 5)
	if j.liveTasks != 0 || j.pendingTasks() != 1 {
		t.Errorf("after the owner's update: got %d live and %d pending tasks, want 0 and 1", j.liveTasks, j.pendingTasks())
	}
}
