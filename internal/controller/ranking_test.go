package controller

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/ranking"
	"github.com/micahill/micahill/internal/record"

	_ "github.com/micahill/micahill/internal/testseed"
	"pgregory.net/rapid"
)

// newRankedController returns a shard leader of some machines with a ranking that is known as of
// now.
func newRankedController(machines int, text string) *Controller {
	controller := largePool(machines)
	controller.settings.Capabilities.Ranking = true
	controller.settings.Objectives = nil
	controller.frontend.watchCache.loaded, controller.frontend.watchCache.openJobs = true, map[string]openJob{}
	controller.setRanking(text, 7)
	return controller
}

// setRanking applies a ranking as a read of the control records returns it that began now.
func (controller *Controller) setRanking(text string, revision uint64) {
	rec, err := ranking.Parse([]byte(text))
	if err != nil {
		panic(err)
	}
	rec.Revision = revision
	controller.membership.applyControlUpdates(message.StoreResponse{Status: message.StoreOK, SentAt: controller.now, Revision: revision, KeyValues: []message.KeyValue{{Key: record.RankingKey, Value: rec.Encode(), ModRevision: revision}}})
}

const (
	// fooFirst ranks the workloads foo* before bar*, and barFirst the other way round.
	fooFirst = "[[class]]\nname=\"foo\"\nworkloads=[\"foo*\"]\n[[class]]\nname=\"bar\"\nworkloads=[\"bar*\"]\n"
	barFirst = "[[class]]\nname=\"bar\"\nworkloads=[\"bar*\"]\n[[class]]\nname=\"foo\"\nworkloads=[\"foo*\"]\n"
)

// addWaitingJob adds a job whose tasks are all pending.
func (controller *Controller) addWaitingJob(id, workload string, tasks int, cpu float64) *job {
	job := newJob(model.JobSpec{ID: id, Workload: workload, Team: "ops", Urgency: model.Normal, Tasks: tasks, AllowSpot: true, Need: model.Resources{CPU: cpu, Memory: cpu}, ExpectedRunTime: time.Minute}, controller.now, 1, 4096)
	controller.shardLeader.jobs[id] = job
	return job
}

// comparedRevision returns the mod revision with which a transaction compares a key, and whether it
// compares the key.
func comparedRevision(request *message.StoreRequest, key string) (uint64, bool) {
	i := slices.IndexFunc(request.Compares, func(c message.Compare) bool { return c.Key == key })
	if i < 0 {
		return 0, false
	}
	return request.Compares[i].ModRevision, true
}

// TestStartsCompareRankingRevision guards against starts under a replaced ranking. The write of a start
// must fail when another ranking was set, and the task must be placed again only after that ranking
// has been read.
func TestStartsCompareRankingRevision(t *testing.T) {
	controller := newRankedController(1, barFirst)
	foo, bar := controller.addWaitingJob("job-1", "foo", 1, 20), controller.addWaitingJob("job-2", "bar", 1, 20)
	controller.effects = nil
	controller.shardLeader.scheduler.placeAll()
	controller.shardLeader.persistence.writeSegments()
	requests := sentStoreRequests(controller)
	if foo.liveTasks != 0 || bar.liveTasks != 1 || len(requests) != 1 {
		t.Fatalf("got %d live tasks of foo, %d of bar, %d writes; want 0, 1 and 1", foo.liveTasks, bar.liveTasks, len(requests))
	}
	if revision, ok := comparedRevision(&requests[0], record.RankingKey); !ok || revision != 7 {
		t.Fatalf("got compares %v in the write of the start, want the ranking at mod revision 7 among them", requests[0].Compares)
	}
	controller.effects = nil
	controller.handleCommand(message.StoreResponse{ID: requests[0].ID, Status: message.StoreConflict, FailedKeys: []string{record.RankingKey}})
	controller.shardLeader.scheduler.placeAll()
	controller.shardLeader.persistence.writeSegments()
	for _, request := range emittedEffects[message.StoreRequest](controller) {
		if request.Kind == message.OpTxn {
			t.Fatalf("got transaction %+v while the ranking is stale, want none", request)
		}
	}
	// The new ranking holds also for a start whose transaction failed because of another write in
	// it. Time passes meanwhile.
	controller.now = controller.now.Add(100 * time.Millisecond)
	controller.setRanking(fooFirst, 9)
	controller.effects = nil
	controller.shardLeader.scheduler.placeAll()
	controller.shardLeader.persistence.writeSegments()
	written := false
	for _, request := range emittedEffects[message.StoreRequest](controller) {
		if request.Kind == message.OpTxn {
			revision, _ := comparedRevision(&request, record.RankingKey)
			written = written || revision == 9
		}
	}
	if foo.liveTasks != 1 || bar.liveTasks != 0 || !written {
		t.Errorf("under the new ranking: got %d live tasks of foo, %d of bar, written %v; want 1, 0 and true", foo.liveTasks, bar.liveTasks, written)
	}
}

// controllerWithUnsentStart returns a controller, its only machine and a job with a durable start
// on that machine that was not sent yet.
func controllerWithUnsentStart() (*Controller, *machine, *job) {
	controller := newRankedController(1, fooFirst)
	machine := controller.shardLeader.machinesByID[0]
	job := controller.addWaitingJob("job-1", "foo", 1, 1)
	controller.shardLeader.scheduler.placeAll()
	job.segmentOf(0).persistedVersion = job.segmentOf(0).version
	controller.effects = nil
	return controller, machine, job
}

// countStarts returns the number of commands that start a task.
func countStarts(commands []model.TaskCommand) int {
	starts := 0
	for _, command := range commands {
		if command.Kind == model.StartTask {
			starts++
		}
	}
	return starts
}

// TestUnsentStartsAreCheckedWhenSent guards against starts that are sent under a ranking replaced
// more than two seconds ago. A durable start may be sent only while the ranking is known as of at
// most two seconds ago, or after it was read again. A start that waited too long in a send queue
// must be dropped.
func TestUnsentStartsAreCheckedWhenSent(t *testing.T) {
	controller, machine, job := controllerWithUnsentStart()
	controller.now = controller.now.Add(3 * time.Second)
	controller.shardLeader.dispatcher.dispatch(machine)
	if len(controller.requests.workerCallbacks) != 0 || job.tasks[0].startSent {
		t.Fatal("got a start sent three seconds after the ranking was last read, want it held back")
	}
	request := sentStoreRequests(controller)[0]
	if request.Kind != message.OpWatch || request.Key != record.ControlPrefix || request.WatchTimeout != 0 {
		t.Fatalf("got request %+v, want a read of ctl/", request)
	}
	controller.handleCommand(message.StoreResponse{ID: request.ID, Status: message.StoreOK, SentAt: controller.now, Revision: 8})
	controller.effects = nil
	controller.shardLeader.dispatcher.dispatchAll()
	if len(controller.requests.workerCallbacks) != 1 {
		t.Fatalf("got %d requests to workers when the ranking is known, want 1 for a heartbeat", len(controller.requests.workerCallbacks))
	}
	if sent := controller.effects[0].(message.WorkerRequest); countStarts(sent.Commands) != 0 || !sent.RequestsHeartbeat {
		t.Errorf("got request %+v, want one for a heartbeat without starts", sent)
	}
	// A late start is removed from the reply to a heartbeat, and the reply still renews the lease.
	controller, machine, _ = controllerWithUnsentStart()
	controller.now = controller.now.Add(time.Second)
	heartbeat := controller.poolHeartbeat(0)
	heartbeat.Sequence, heartbeat.Epoch = 5, machine.epoch
	controller.handleHeartbeat(message.WorkerHeartbeat{Reply: 1, Heartbeat: *heartbeat})
	reply := controller.effects[len(controller.effects)-1].(message.HeartbeatReply)
	if countStarts(reply.Commands) != 1 {
		t.Fatalf("got reply %+v, want one start in it", reply)
	}
	if deadline := controller.ranking.asOf.Add(maxRankingStaleness); !reply.StartsDeadline.Equal(deadline) {
		t.Errorf("got the start until %v, want until %v, 2 s after the ranking was read", reply.StartsDeadline, deadline)
	}
	_, instead, late := CheckDeadline(reply, controller.now.Add(maxRankingStaleness))
	if lateReply, ok := instead.(message.HeartbeatReply); !late || !ok || lateReply.Status != 200 || countStarts(lateReply.Commands) != 0 {
		t.Errorf("got %+v instead of the late reply, want status 200 without starts", instead)
	}
	// The start never arrived. Once the machine's heartbeat shows that, it counts as never sent.
	controller.setRanking(barFirst, 9)
	heartbeat.Sequence = 6
	controller.effects = nil
	controller.handleHeartbeat(message.WorkerHeartbeat{Reply: 2, Heartbeat: *heartbeat})
	for _, reply := range emittedEffects[message.HeartbeatReply](controller) {
		if countStarts(reply.Commands) != 0 {
			t.Errorf("got commands %v, want no start that was decided under the former ranking and never arrived", reply.Commands)
		}
	}
}

// TestHeldStartOfFormerLeadership guards against a start that waits for a read of the ranking while
// its controller loses its shard. The start must not be sent when the controller leads a shard
// again, perhaps without the start's job.
func TestHeldStartOfFormerLeadership(t *testing.T) {
	controller, former, job := controllerWithUnsentStart()
	controller.now = controller.now.Add(3 * time.Second)
	controller.shardLeader.dispatcher.dispatch(former)
	request := sentStoreRequests(controller)[0]
	added := controller.shardLeader.ensureMachine("vm-added")
	delete(controller.shardLeader.machines, former.id)
	controller.shardLeader.machinesByID = []*machine{added}
	delete(controller.shardLeader.jobs, job.ID)
	controller.handleCommand(message.StoreResponse{ID: request.ID, Status: message.StoreOK, SentAt: controller.now, Revision: 8})
	controller.shardLeader.dispatcher.dispatchAll()
	if len(controller.requests.workerCallbacks) != 0 {
		t.Errorf("got %d requests to workers for a machine of the former leadership, want 0", len(controller.requests.workerCallbacks))
	}
}

// TestSuccessorReplansStarts guards against a task that starts twice, or under a replaced ranking,
// after failover. A successor sends the starts that were decided under its ranking. It places a
// task again if its start was decided under another ranking and is proven absent. A start that may or
// may not have been sent waits for proof by a heartbeat.
func TestSuccessorReplansStarts(t *testing.T) {
	for _, tc := range []struct {
		name            string
		rankingRevision uint64
		acked           bool
		wantStarts      int
		wantPlacedAgain bool
	}{
		{"same ranking, all starts acknowledged", 7, true, 1, false},
		{"another ranking, all starts acknowledged", 6, true, 0, true},
		{"another ranking, perhaps sent", 6, false, 0, false},
		{"same ranking, perhaps sent", 7, false, 1, false},
	} {
		controller := newRankedController(1, fooFirst)
		machine := controller.shardLeader.machinesByID[0]
		job := controller.addWaitingJob("job-1", "foo", 1, 1)
		rec := record.TaskSegment{RankingRevision: tc.rankingRevision, Rows: []record.TaskEntry{{Index: 0, Try: 3, Machine: machine.id, Group: controller.now.UnixMilli()}}}
		controller.shardLeader.failover.recoverSegment(job, message.KeyValue{Key: record.TaskSegmentPrefix + "job-1/0", ModRevision: 2}, &rec)
		if !tc.acked {
			// No heartbeat has shown the epoch of this shard leader.
			machine.seenEpoch = machine.epoch - 1
		}
		if got := countStarts(controller.shardLeader.dispatcher.reconcile(machine)); got != tc.wantStarts {
			t.Errorf("%s: got %d starts, want %d", tc.name, got, tc.wantStarts)
		}
		if got := len(job.requeued) == 1; got != tc.wantPlacedAgain {
			t.Errorf("%s: got the task placed again %v, want %v", tc.name, got, tc.wantPlacedAgain)
		}
		if got, want := machine.attempts[taskKey{job.ID, 0}] != nil, !tc.wantPlacedAgain; got != want {
			t.Errorf("%s: got the attempt kept on its machine %v, want %v", tc.name, got, want)
		}
		if got := job.segmentRecord(job.segmentOf(0)).RankingRevision; got != tc.rankingRevision {
			t.Errorf("%s: got ranking revision %d in the record, want %d as in the recovered record", tc.name, got, tc.rankingRevision)
		}
	}
}

// TestRankingWritesCompareRevisions guards against overwritten rankings. A write of a ranking compares the
// record that its author saw. A write of a derived ranking compares the leader's record, and that
// there is no ranking.
func TestRankingWritesCompareRevisions(t *testing.T) {
	controller := newRankedController(1, fooFirst)
	set := func(rev uint64) (*message.StoreRequest, *message.RankingReply) {
		controller.effects = nil
		rec, _ := ranking.Parse([]byte(barFirst))
		controller.handleCommand(message.SetRanking{Reply: 1, Record: rec, Revision: rev, Deadline: controller.now.Add(time.Second)})
		controller.handleCommand(message.StoreResponse{ID: sentStoreRequests(controller)[0].ID, Status: message.StoreOK, SentAt: controller.now, Revision: 8})
		for _, reply := range emittedEffects[message.RankingReply](controller) {
			return nil, &reply
		}
		requests := sentStoreRequests(controller)
		return &requests[len(requests)-1], nil
	}
	if _, reply := set(6); reply == nil || reply.Status != 409 {
		t.Fatalf("over another revision: got reply %+v, want status 409", reply)
	}
	request, _ := set(7)
	if revision, ok := comparedRevision(request, record.RankingKey); !ok || revision != 7 || len(request.Writes) != 2 || request.Writes[1].Key != "ranking/8" {
		t.Fatalf("got write %+v, want one that compares the ranking at mod revision 7 and also writes ranking/8", request)
	}
	controller.handleCommand(message.StoreResponse{ID: request.ID, Status: message.StoreConflict, FailedKeys: []string{record.RankingKey}})
	if reply := controller.effects[len(controller.effects)-1].(message.RankingReply); reply.Status != 409 {
		t.Errorf("ranking replaced meanwhile: got reply %+v, want status 409", reply)
	}
	controller.ranking.applyRecord(message.KeyValue{Key: record.RankingKey, Deleted: true})
	controller.leader = newLeader(controller)
	controller.leader.modRevision = 5
	controller.effects = nil
	controller.ranking.derive()
	controller.ranking.derive()
	requests := sentStoreRequests(controller)
	leaderRevision, comparesLeader := comparedRevision(&requests[0], record.LeaderKey)
	rankingRevision, comparesRanking := comparedRevision(&requests[0], record.RankingKey)
	if !comparesLeader || !comparesRanking || leaderRevision != 5 || rankingRevision != 0 || len(requests) != 1 {
		t.Errorf("derived: got %d writes with compares %+v, want 1 that compares the leader's record at 5 and the ranking at 0", len(requests), requests[0].Compares)
	}
}

// TestDamagedRanking guards against a damaged record that changes the order of jobs. The last valid
// ranking stays in force, the damage is reported, and writes compare the damaged record's mod
// revision. A controller that has seen no valid ranking reads the history.
func TestDamagedRanking(t *testing.T) {
	controller := newRankedController(1, barFirst)
	foo, bar := controller.addWaitingJob("job-1", "foo", 1, 1), controller.addWaitingJob("job-2", "bar", 1, 1)
	good := controller.ranking.lastValid.Encode()
	later := record.Encode(map[string]any{"v": 9, "rev": 30})
	for i, value := range [][]byte{{0x81}, later, record.Encode(map[string]any{"v": 1, "rev": 3, "c": []any{}}), nil} {
		controller.now = controller.now.Add(2 * time.Minute)
		controller.effects = nil
		controller.membership.applyControlUpdates(message.StoreResponse{Status: message.StoreOK, SentAt: controller.now, Revision: uint64(20 + i), KeyValues: []message.KeyValue{{Key: record.RankingKey, Value: value, ModRevision: uint64(20 + i)}}})
		if controller.ranking.rankOf(bar) >= controller.ranking.rankOf(foo) || controller.ranking.modRevision != uint64(20+i) || controller.ranking.invalidReason == "" || len(controller.effects) == 0 {
			t.Errorf("damaged by %v: got ranks %d of bar and %d of foo, mod revision %d, reason %q, %d effects; want bar before foo, %d, a reason and at least one effect", value, controller.ranking.rankOf(bar), controller.ranking.rankOf(foo), controller.ranking.modRevision, controller.ranking.invalidReason, len(controller.effects), 20+i)
		}
	}
	if controller.ranking.highestRevision != 30 {
		t.Errorf("got highest revision %d, want 30, that of the record in a later format", controller.ranking.highestRevision)
	}
	controller.ranking = rankingState{component: controller.ranking.component}
	controller.effects = nil
	controller.membership.applyControlUpdates(message.StoreResponse{Status: message.StoreOK, SentAt: controller.now, Revision: 40, KeyValues: []message.KeyValue{{Key: record.RankingKey, Value: later, ModRevision: 40}}})
	requests := sentStoreRequests(controller)
	if len(requests) != 1 || requests[0].Kind != message.OpList || requests[0].Key != record.RankingHistoryPrefix {
		t.Fatalf("got requests %+v, want one list of the history", requests)
	}
	controller.handleCommand(message.StoreResponse{ID: requests[0].ID, Status: message.StoreOK, KeyValues: []message.KeyValue{{Key: "ranking/1", Value: later}, {Key: "ranking/7", Value: good}}})
	if controller.ranking.lastValid.Revision != 7 || controller.ranking.rankOf(bar) >= controller.ranking.rankOf(foo) {
		t.Errorf("got revision %d as the last valid one, want 7", controller.ranking.lastValid.Revision)
	}
}

// TestHigherRankedTasksAreNotPreempted guards against preemption of a higher-ranked job. The protocol lets
// urgent tasks preempt less urgent ones, but not those of a job that ranks before theirs.
func TestHigherRankedTasksAreNotPreempted(t *testing.T) {
	for _, text := range []string{fooFirst, barFirst} {
		controller := newRankedController(1, text)
		machine := controller.shardLeader.machinesByID[0]
		low := controller.addWaitingJob("job-1", "foo", 1, 32)
		controller.shardLeader.scheduler.placeAll()
		high := controller.addWaitingJob("job-2", "bar", 1, 32)
		high.Urgency = model.Urgent
		victims, _, ok := controller.shardLeader.scheduler.preemptionVictimsOn(high, machine, machine.free())
		if ok != (text == barFirst) || low.liveTasks != 1 {
			t.Errorf("got %d victims, preemption %v, %d live tasks; want preemption %v and 1", len(victims), ok, low.liveTasks, text == barFirst)
		}
	}
}

// TestPlacementFollowsRanking guards against tasks placed out of rank order. No job may be placed on a
// machine that suits a job that ranks before it and still waits.
func TestPlacementFollowsRanking(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.SampledFrom([]string{fooFirst, barFirst, "[[class]]\nname=\"u\"\nurgency=\"urgent\"\n[[class]]\nname=\"b\"\nworkloads=[\"ba*\"]\n"}).Draw(t, "ranking")
		controller := newRankedController(0, text)
		controller.settings.Teams = []model.Team{{Name: "ops", QuotaLimit: model.Resources{CPU: rapid.Float64Range(10, 200).Draw(t, "limit")}}}
		for i := range rapid.IntRange(1, 12).Draw(t, "machines") {
			r := controller.poolHeartbeat(i * rapid.IntRange(1, 8).Draw(t, "kind"))
			r.Machine = fmt.Sprintf("vm-%02d", i)
			controller.shardLeader.heartbeats.applyHeartbeat(controller.shardLeader.ensureMachine(r.Machine), r, true)
		}
		for i := range rapid.IntRange(1, 12).Draw(t, "jobs") {
			job := controller.addWaitingJob(fmt.Sprintf("job-%02d", i), rapid.SampledFrom([]string{"foo", "foo2", "bar", "baz", "x"}).Draw(t, "workload"),
				rapid.IntRange(1, 6).Draw(t, "tasks"), rapid.SampledFrom([]float64{1, 2, 4, 6, 16}).Draw(t, "cpu"))
			job.Urgency = model.Urgency(rapid.IntRange(0, 3).Draw(t, "urgency"))
			job.AllowSpot = rapid.Bool().Draw(t, "spot")
			controller.shardLeader.workloads[job.Workload] = &workload{&job.JobSpec, controller.now}
		}
		controller.shardLeader.scheduler.placeAll()
		for _, machine := range controller.shardLeader.machinesByID {
			for key := range machine.attempts {
				placed := controller.shardLeader.jobs[key.job]
				machine.used = machine.used.AddScaled(placed.Need, -1)
				controller.shardLeader.usedByTeam["ops"] = controller.shardLeader.usedByTeam["ops"].AddScaled(placed.Need, -1)
				r := controller.shardLeader.scheduler.newPlacementRound()
				for _, waiting := range controller.shardLeader.jobs {
					if controller.ranking.rankOf(waiting) >= controller.ranking.rankOf(placed) || controller.shardLeader.scheduler.placeableTasks(waiting) == 0 || !controller.shardLeader.scheduler.withinQuotaLimit(waiting) {
						continue
					}
					for _, candidate := range r.candidates {
						if candidate.machine != machine {
							continue
						}
						if _, suits := controller.shardLeader.scheduler.candidateGroupFor(r, waiting).rate(&controller.shardLeader.scheduler, waiting, candidate); suits {
							t.Fatalf("got %s of %s, rank %d, on %s while %s of %s, rank %d, waits; want the waiting job there", placed.ID, placed.Workload, controller.ranking.rankOf(placed), machine.id, waiting.ID, waiting.Workload, controller.ranking.rankOf(waiting))
						}
					}
				}
				machine.used = machine.used.AddScaled(placed.Need, 1)
				controller.shardLeader.usedByTeam["ops"] = controller.shardLeader.usedByTeam["ops"].AddScaled(placed.Need, 1)
			}
		}
	})
}

// TestOverloadRefusesLowestRankFirst guards against low-ranked submissions that fill the queue for
// the store. The end of the queue is reserved for higher-ranked jobs.
func TestOverloadRefusesLowestRankFirst(t *testing.T) {
	controller := newRankedController(1, fooFirst)
	controller.frontend.waitingRequests = maxWaitingRequests * 3 / 4
	first, last := model.JobSpec{Workload: "foo", Urgency: model.Normal}, model.JobSpec{Workload: "x", Urgency: model.BestEffort}
	if controller.ranking.overloadRefuses(&first) || !controller.ranking.overloadRefuses(&last) {
		t.Errorf("got highest rank refused %v, lowest rank refused %v; want false, true", controller.ranking.overloadRefuses(&first), controller.ranking.overloadRefuses(&last))
	}
	if controller.settings.Capabilities.Ranking = false; controller.ranking.overloadRefuses(&last) {
		t.Error("got the submission of the lowest rank refused with the ranking disabled, want it accepted")
	}
}

// TestExplainRank checks the line that says which jobs are ahead of a job and what keeps the job
// from starting.
func TestExplainRank(t *testing.T) {
	controller := newRankedController(1, fooFirst)
	first := controller.addWaitingJob("job-1", "foo", 2, 20)
	controller.shardLeader.scheduler.placeAll()
	controller.addWaitingJob("job-2", "bar", 3, 20)
	controller.addWaitingJob("job-3", "bar", 1, 99)
	for id, job := range controller.shardLeader.jobs {
		controller.frontend.watchCache.openJobs[id] = openJob{rec: record.NewOpenJob(&job.JobSpec, controller.now)}
	}
	controller.shardLeader.usedByTeam["ops"] = first.Need
	controller.settings.Teams = []model.Team{{Name: "ops", QuotaLimit: model.Resources{CPU: 110}}}
	controller.frontend.finalStatuses["job-9"] = model.Done
	for id, want := range map[string]string{
		"job-1": "job-1: class foo, place 1 of 6; 1 of 2 tasks wait; position 1 in its class; 1 tasks are placed and wait until their record is durable; 1 suitable machines are full: it starts when tasks there end, or when another machine is rented",
		"job-2": "job-2: class bar, place 2 of 6; 3 of 3 tasks wait; position 1 in its class; ahead of it: class foo with 1 jobs, 1 tasks; 1 suitable machines are full: it starts when tasks there end, or when another machine is rented",
		"job-3": "job-3: class bar, place 2 of 6; 1 of 1 tasks wait; position 2 in its class; ahead of it: class foo with 1 jobs, 1 tasks; ahead of it: class bar with 1 jobs, 3 tasks; its team ops is at its quota limit: it continues when tasks of the team end",
		"job-8": "job-8 is not an open job in what a has read of the state service",
		"job-9": "job-9 is done",
	} {
		if got := controller.ranking.explainRank(id); got != want {
			t.Errorf("%s:\n got %s\nwant %s", id, got, want)
		}
	}
}
