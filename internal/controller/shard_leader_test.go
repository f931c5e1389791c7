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

// putShard writes a share into the node's picture of ctl/.
func (c *Controller) putShard(t *testing.T, name, host string, stamp uint64, rest bool, teams ...string) {
	t.Helper()
	b := record.Encode(map[string]any{"host": host, "nonce": host + "#1", "teams": teams, "rest": rest})
	if host == c.settings.Host {
		b = record.Encode(map[string]any{"host": host, "nonce": c.incarnation(), "teams": teams, "rest": rest})
	}
	if err := c.membership.shardMap.ApplyShard(name, b, stamp); err != nil {
		t.Fatal(err)
	}
	c.membership.controllers["b"] = record.Member{Incarnation: "b#1"}
}

// putSegment names machines for a share.
func (c *Controller) putSegment(t *testing.T, share string, stamp uint64, ids ...string) {
	t.Helper()
	w, some := sharding.BumpEpoch(c.requests.storeLimits(), "l"+ids[0], c.membership.shardMap.Shard(share), ids)
	if len(some) != len(ids) {
		t.Fatal("too many")
	}
	if err := c.membership.shardMap.ApplySegment(w.Name, w.Value, stamp); err != nil {
		t.Fatal(err)
	}
}

// twoControllers is an owner with one machine of its own, and another controller's share.
func twoControllers(t *testing.T) *Controller {
	n := largePool(1)
	n.settings.Teams = append(n.settings.Teams, model.Team{Name: "lab"})
	n.putShard(t, "b", "b", 2, false, "lab")
	n.frontend.watchCache.loaded, n.frontend.watchCache.openJobs = true, map[string]openJob{}
	return n
}

// TestLeaderUpdateMakesNoOwner: what the leader tells of a machine makes nobody its owner; a
// record does.
func TestLeaderUpdateMakesNoOwner(t *testing.T) {
	n := twoControllers(t)
	n.putSegment(t, "b", 3, "vm-000077")
	for _, status := range []string{"running", statusComing, "booting"} {
		n.receiveLeaderUpdate(message.PeerUpdate{From: "b", IsLeaderUpdate: true, Seq: 5, RentalUpdates: []message.RentalUpdate{{ID: "vm-000077", Addr: "x", MachineType: "box", Zone: "z", Status: status}}})
		if n.shardLeader.machines["vm-000077"] != nil {
			t.Errorf("told of a %s machine of another's it is taken for its own", status)
		}
	}
	n.putSegment(t, "a", 4, "vm-000078")
	n.receiveLeaderUpdate(message.PeerUpdate{From: "b", IsLeaderUpdate: true, Seq: 6, RentalUpdates: []message.RentalUpdate{{ID: "vm-000078", Addr: "x", MachineType: "box", Zone: "z", Status: "running"}}})
	if n.shardLeader.machines["vm-000078"] == nil {
		t.Error("a machine of its own is not looked after")
	}
}

// TestControlUpdatesInOrder: of two answers that overlap each change counts once, and an older
// one does not undo a newer.
func TestControlUpdatesInOrder(t *testing.T) {
	n := twoControllers(t)
	n.membership.revision = 5
	item := func(host string, stamp uint64) message.KeyValue {
		return message.KeyValue{Key: record.ShardPrefix + "x", Value: record.Encode(map[string]any{"host": host, "nonce": "n", "teams": []string{"lab"}}), ModRevision: stamp}
	}
	n.membership.applyControlUpdates(message.StoreResponse{Status: message.StoreOK, Revision: 9, KeyValues: []message.KeyValue{item("c", 7), item("d", 9)}})
	n.membership.applyControlUpdates(message.StoreResponse{Status: message.StoreOK, Revision: 7, KeyValues: []message.KeyValue{item("c", 7)}})
	if s := n.membership.shardMap.Shard("x"); s.Host != "d" || n.membership.revision != 9 {
		t.Errorf("the share is %s's as of %d, want the later holder's", s.Host, n.membership.revision)
	}
}

// TestTakenOverMachineWithTasks: whoever had it may go on answering it, so its lease
// is not over before that one surely stopped.
func TestTakenOverMachineWithTasks(t *testing.T) {
	n := twoControllers(t)
	n.putSegment(t, "b", 3, "vm-000077")
	j := n.shardLeader.addJob(model.JobSpec{ID: "job-000900", Workload: "w", Team: "ops", Tasks: 1, Need: model.Resources{CPU: 1, Memory: 1}, ExpectedRunTime: time.Minute}, n.now, 1)
	j.nextFresh, j.tasks[0].attempt, j.tasks[0].startSent = 1, 1, true
	n.shardLeader.attachAttempt(j, 0, n.shardLeader.ownedOrRemoteMachine("vm-000077"))
	if len(n.shardLeader.remoteAttempts.machines) != 1 || n.shardLeader.machines["vm-000077"] != nil {
		t.Fatal("a machine of another's is not kept apart")
	}
	n.putSegment(t, "a", 4, "vm-000077")
	n.syncShardLeader()
	m := n.shardLeader.machines["vm-000077"]
	if m == nil || len(m.attempts) != 1 || j.tasks[0].machine != m || len(n.shardLeader.remoteAttempts.machines) != 0 {
		t.Fatal("it is not taken up with its work")
	}
	if least := n.now.Add(membershipLeaseTTL + n.renewal.grace() + n.settings.WorkerLease); m.leaseEnd.Before(least) {
		t.Errorf("its lease counts as over after %v, want %v at least", m.leaseEnd.Sub(n.now), least.Sub(n.now))
	}
	// And it goes again, with the work on it.
	n.putSegment(t, "b", 5, "vm-000077", "vm-000079")
	n.syncShardLeader()
	if a := n.shardLeader.remoteAttempts.machines["vm-000077"]; a == nil || j.tasks[0].machine != a || j.liveTasks != 1 {
		t.Error("what runs on a machine that goes is lost from the books")
	}
}

// TestLeaseRestartsUnderNewEpoch: a machine that is this owner's under a new epoch may have been
// another's in between, and one that was never heard of and has others' work may have been
// answered by whoever had it: their leases count from the last answer that was possible.
func TestLeaseRestartsUnderNewEpoch(t *testing.T) {
	n := twoControllers(t)
	m := n.shardLeader.machinesByID[0]
	m.formerOwnerUntil, m.leaseEnd = time.Time{}, n.renewal.leaseEndAfter(n.now)
	n.putSegment(t, "a", 4, m.id, "vm-000088")
	n.syncShardLeader()
	least := n.now.Add(membershipLeaseTTL + n.renewal.grace() + n.settings.WorkerLease)
	if m.epoch != 4 || m.leaseEnd.Before(least) {
		t.Errorf("under epoch %d its lease counts as over after %v, want %v at least", m.epoch, m.leaseEnd.Sub(n.now), least.Sub(n.now))
	}
	n.shardLeader.remoteAttempts.receiveRemoteRequests("b", []remote.Request{{Machine: "vm-000088", Attempts: []remote.AttemptRequest{{AttemptID: remote.AttemptID{Job: "job-000900", Index: 0, Attempt: 1}}}}})
	if m = n.shardLeader.machines["vm-000088"]; m == nil || m.heard || m.leaseEnd.Before(least) {
		t.Errorf("a machine with others' work: %+v", m)
	}
}

// TestRemoteAttemptsAreLeftAlone: what runs on a machine for another controller's job is
// not stopped before that controller has asked for it.
func TestRemoteAttemptsAreLeftAlone(t *testing.T) {
	n := twoControllers(t)
	m := n.shardLeader.machinesByID[0]
	spec := model.JobSpec{ID: "job-000900", Workload: "w", Team: "lab", Tasks: 2, Need: model.Resources{CPU: 1, Memory: 2}}
	n.frontend.watchCache.openJobs[spec.ID] = openJob{1, record.NewOpenJob(&spec, n.now)}
	r := n.poolHeartbeat(0)
	r.Sequence = 2
	r.Tasks = []model.TaskReport{{Job: spec.ID, Index: 0, Attempt: 1, Status: model.Running}}
	n.shardLeader.heartbeats.applyHeartbeat(m, r, true)
	n.frontend.watchCache.asOf = n.now.Add(time.Minute)
	n.now = n.now.Add(time.Minute)
	if os := n.shardLeader.dispatcher.reconcile(m); len(os) != 0 {
		t.Errorf("ordered %v", os)
	}
	if m.isEmpty() || m.othersUsed.CPU != 1 || m.hasUnknownTasks {
		t.Errorf("it takes %v, empty %v, strays %v: want its room to be known", m.othersUsed, m.isEmpty(), m.hasUnknownTasks)
	}
	// Cancelled, it is stopped unasked: its job's owner may not be heard.
	rec := record.NewOpenJob(&spec, n.now)
	rec.Cancelled = true
	n.frontend.watchCache.openJobs[spec.ID] = openJob{2, rec}
	if os := n.shardLeader.dispatcher.reconcile(m); len(os) != 1 || os[0].Kind != model.StopTask {
		t.Errorf("ordered %v for a cancelled job, want a stop", os)
	}
	n.frontend.watchCache.openJobs[spec.ID] = openJob{1, record.NewOpenJob(&spec, n.now)}
	// Asked to stop it, it does.
	n.shardLeader.remoteAttempts.receiveRemoteRequests("b", []remote.Request{{Machine: m.id, Attempts: []remote.AttemptRequest{{AttemptID: remote.AttemptID{Job: spec.ID, Index: 0, Attempt: 1}, Intent: remote.Stop}}}})
	if os := n.shardLeader.dispatcher.reconcile(m); len(os) != 1 || os[0].Kind != model.StopTask {
		t.Errorf("ordered %v, want a stop", os)
	}
}

// TestCancelledWhileCheckpointing: another owner's task was told to stop with time to save, and
// then its job is cancelled. It is ended at once, though that owner is not heard.
func TestCancelledWhileCheckpointing(t *testing.T) {
	n := twoControllers(t)
	m := n.shardLeader.machinesByID[0]
	spec := model.JobSpec{ID: "job-000900", Workload: "w", Team: "lab", Tasks: 1, Need: model.Resources{CPU: 1, Memory: 2}}
	rec := record.NewOpenJob(&spec, n.now)
	n.frontend.watchCache.openJobs[spec.ID] = openJob{1, rec}
	r := n.poolHeartbeat(0)
	r.Sequence, r.Tasks = 2, []model.TaskReport{{Job: spec.ID, Index: 0, Attempt: 1, Status: model.Checkpointing}}
	n.shardLeader.heartbeats.applyHeartbeat(m, r, true)
	a := remote.AttemptID{Job: spec.ID, Index: 0, Attempt: 1}
	n.shardLeader.remoteAttempts.receiveRemoteRequests("b", []remote.Request{{Machine: m.id, Attempts: []remote.AttemptRequest{{AttemptID: a, Intent: remote.Stop, WindDown: 20 * time.Second}}}})
	if os := n.shardLeader.dispatcher.reconcile(m); len(os) > 0 {
		t.Errorf("ordered %v while it saves", os)
	}
	rec.Cancelled, rec.CancelledAtMillis = true, n.now.UnixMilli()
	n.frontend.watchCache.openJobs[spec.ID] = openJob{2, rec}
	want := model.TaskCommand{Kind: model.StopTask, Job: spec.ID, Attempt: 1}
	if os := n.shardLeader.dispatcher.reconcile(m); len(os) != 1 || os[0] != want {
		t.Errorf("ordered %+v for a cancelled job that saves, want %+v", os, want)
	}
}

// TestStaleTeamReadIsIgnored: what was read of a team does not count when the team was
// another's in between, who may have written more.
func TestStaleTeamReadIsIgnored(t *testing.T) {
	n := twoControllers(t)
	staleTeam := &heldTeam{holdID: 1}
	n.shardLeader.teams["ops"] = &heldTeam{holdID: 2}
	n.shardLeader.recoverTeams(map[string]*heldTeam{"ops": staleTeam}, nil, nil, n.now)
	if n.shardLeader.teams["ops"].ready {
		t.Error("an older reading makes the team ready")
	}
}

// TestHandedOverTeamLeavesTasks: what a team that goes leaves running here takes room, though no
// report has shown it yet, and is not told to be gone while its start may be on its
// way.
func TestHandedOverTeamLeavesTasks(t *testing.T) {
	n := twoControllers(t)
	n.putShard(t, "a", "a", 6, true, "ops", "lab")
	n.putShard(t, "b", "b", 7, false)
	n.shardLeader.teams["lab"] = &heldTeam{ready: true}
	n.syncShardLeader()
	m := n.shardLeader.machinesByID[0]
	spec := model.JobSpec{ID: "job-000900", Workload: "w", Team: "lab", Tasks: 1, Need: model.Resources{CPU: 3, Memory: 2}, ExpectedRunTime: time.Minute}
	n.frontend.watchCache.openJobs[spec.ID] = openJob{1, record.NewOpenJob(&spec, n.now)}
	j := n.shardLeader.addJob(spec, n.now, 1)
	j.nextFresh, j.tasks[0].attempt, j.tasks[0].startSent = 1, 1, true
	n.shardLeader.attachAttempt(j, 0, m)
	n.putShard(t, "a", "a", 8, true, "ops")
	n.putShard(t, "b", "b", 8, false, "lab")
	n.syncShardLeader()
	// Its start got no answer.
	m.unackedStartEpoch, m.seenEpoch = m.epoch, m.epoch
	if n.shardLeader.jobs[spec.ID] != nil || m.isEmpty() || m.othersUsed.CPU != 3 {
		t.Fatalf("left behind it takes %v, empty %v", m.othersUsed, m.isEmpty())
	}
	requests := []remote.Request{{Machine: m.id, Attempts: []remote.AttemptRequest{{AttemptID: remote.AttemptID{Job: spec.ID, Index: 0, Attempt: 1}}}}}
	publishedState := func() remote.State {
		n.now, n.effects = n.now.Add(2*time.Second), nil
		n.shardLeader.remoteAttempts.receiveRemoteRequests("b", requests)
		n.shardLeader.remoteAttempts.publishRemoteAttempts()
		for _, p := range emittedEffects[message.SendPeerUpdate](n) {
			if len(p.Update.RemoteStatuses) > 0 {
				return p.Update.RemoteStatuses[0].Attempts[0].State
			}
		}
		t.Fatal("nothing is told")
		return 0
	}
	r := n.poolHeartbeat(0)
	r.Sequence, r.Epoch = 3, m.epoch
	n.shardLeader.heartbeats.applyHeartbeat(m, r, true)
	if s := publishedState(); s != remote.Unknown {
		t.Errorf("told as %v while its start may be on its way", s)
	}
	// Under a higher epoch it can't be executed any more.
	n.putSegment(t, "a", 9, m.id)
	n.syncShardLeader()
	r = n.poolHeartbeat(0)
	r.Sequence, r.Epoch = 4, m.epoch
	n.shardLeader.heartbeats.applyHeartbeat(m, r, true)
	if s := publishedState(); s != remote.Gone {
		t.Errorf("told as %v, want that it is gone", s)
	}
}

// TestRemoteStateNeedsCurrentEpoch: a word about a machine counts only from its owner, under the
// epoch of now.
func TestRemoteStateNeedsCurrentEpoch(t *testing.T) {
	n := twoControllers(t)
	n.putSegment(t, "b", 5, "vm-000077")
	j := n.shardLeader.addJob(model.JobSpec{ID: "job-000900", Workload: "w", Team: "ops", Tasks: 1, Need: model.Resources{CPU: 1, Memory: 1}, ExpectedRunTime: time.Minute}, n.now, 1)
	j.nextFresh, j.tasks[0].attempt, j.tasks[0].startSent = 1, 1, true
	n.shardLeader.attachAttempt(j, 0, n.shardLeader.ownedOrRemoteMachine("vm-000077"))
	publish := func(from string, epoch uint64) {
		n.shardLeader.remoteAttempts.receiveRemoteAttempts(from, []remote.MachineStatus{{Machine: "vm-000077", Epoch: epoch, Attempts: []remote.AttemptStatus{{AttemptID: remote.AttemptID{Job: j.ID, Index: 0, Attempt: 1}, State: remote.Gone}}}})
	}
	publish("b", 4)
	publish("c", 5)
	if j.liveTasks != 1 {
		t.Error("a word under an earlier epoch, or of another, counts")
	}
	publish("b", 5)
	if j.liveTasks != 0 || j.pendingTasks() != 1 {
		t.Error("the owner's word does not count")
	}
}
