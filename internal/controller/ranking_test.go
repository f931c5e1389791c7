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

// newRankedController is a shard leader that follows a ranking, known as of now.
func newRankedController(machines int, text string) *Controller {
	c := largePool(machines)
	c.settings.Capabilities.Ranking = true
	c.settings.Objectives = nil
	c.frontend.watchCache.loaded, c.frontend.watchCache.openJobs = true, map[string]openJob{}
	c.setRanking(text, 7)
	return c
}

// setRanking applies a ranking by a read that began now.
func (c *Controller) setRanking(text string, revision uint64) {
	rec, err := ranking.Parse([]byte(text))
	if err != nil {
		panic(err)
	}
	rec.Revision = revision
	c.membership.applyControlUpdates(message.StoreResponse{Status: message.StoreOK, SentAt: c.now, Revision: revision, KeyValues: []message.KeyValue{{Key: record.RankingKey, Value: rec.Encode(), ModRevision: revision}}})
}

const (
	fooFirst = "[[class]]\nname=\"foo\"\nworkloads=[\"foo*\"]\n[[class]]\nname=\"bar\"\nworkloads=[\"bar*\"]\n"
	barFirst = "[[class]]\nname=\"bar\"\nworkloads=[\"bar*\"]\n[[class]]\nname=\"foo\"\nworkloads=[\"foo*\"]\n"
)

// addWaitingJob adds a job that waits.
func (c *Controller) addWaitingJob(id, workload string, tasks int, cpu float64) *job {
	j := newJob(model.JobSpec{ID: id, Workload: workload, Team: "ops", Urgency: model.Normal, Tasks: tasks, AllowSpot: true, Need: model.Resources{CPU: cpu, Memory: cpu}, ExpectedRunTime: time.Minute}, c.now, 1, 4096)
	c.shardLeader.jobs[id] = j
	return j
}

// comparedRevision is the mod revision that a transaction compares a key with, if it does.
func comparedRevision(op *message.StoreRequest, key string) (uint64, bool) {
	i := slices.IndexFunc(op.Compares, func(c message.Compare) bool { return c.Key == key })
	if i < 0 {
		return 0, false
	}
	return op.Compares[i].ModRevision, true
}

// TestStartsNameTheRanking: the write of a start fails when another ranking was set, and what
// it was to start is decided again when that ranking has been read, not before.
func TestStartsNameTheRanking(t *testing.T) {
	c := newRankedController(1, barFirst)
	foo, bar := c.addWaitingJob("job-1", "foo", 1, 20), c.addWaitingJob("job-2", "bar", 1, 20)
	c.effects = nil
	c.shardLeader.scheduler.placeAll()
	c.shardLeader.persistence.writeSegments()
	ops := sentStoreRequests(c)
	if foo.liveTasks != 0 || bar.liveTasks != 1 || len(ops) != 1 {
		t.Fatalf("got %d live tasks of foo, %d of bar, %d writes; want 0, 1 and 1", foo.liveTasks, bar.liveTasks, len(ops))
	}
	if revision, ok := comparedRevision(&ops[0], record.RankingKey); !ok || revision != 7 {
		t.Fatalf("got compares %v of the start, want the ranking at 7 among them", ops[0].Compares)
	}
	c.effects = nil
	c.handleCommand(message.StoreResponse{ID: ops[0].ID, Status: message.StoreConflict, FailedKeys: []string{record.RankingKey}})
	c.shardLeader.scheduler.placeAll()
	c.shardLeader.persistence.writeSegments()
	for _, op := range emittedEffects[message.StoreRequest](c) {
		if op.Kind == message.OpTxn {
			t.Fatalf("got %+v written while the ranking is not known, want no transaction", op)
		}
	}
	// Also a start whose transaction failed for another write in it; meanwhile time passes.
	c.now = c.now.Add(100 * time.Millisecond)
	c.setRanking(fooFirst, 9)
	c.effects = nil
	c.shardLeader.scheduler.placeAll()
	c.shardLeader.persistence.writeSegments()
	written := false
	for _, op := range emittedEffects[message.StoreRequest](c) {
		if op.Kind == message.OpTxn {
			revision, _ := comparedRevision(&op, record.RankingKey)
			written = written || revision == 9
		}
	}
	if foo.liveTasks != 1 || bar.liveTasks != 0 || !written {
		t.Errorf("under the new ranking: got %d live tasks of foo, %d of bar, written %v; want 1, 0 and true", foo.liveTasks, bar.liveTasks, written)
	}
}

// controllerWithUnsentStart is a controller with a durable start that was not sent yet.
func controllerWithUnsentStart() (*Controller, *machine, *job) {
	c := newRankedController(1, fooFirst)
	m := c.shardLeader.machinesByID[0]
	j := c.addWaitingJob("job-1", "foo", 1, 1)
	c.shardLeader.scheduler.placeAll()
	j.segmentOf(0).persistedVersion = j.segmentOf(0).version
	c.effects = nil
	return c, m, j
}

func countStarts(commands []model.TaskCommand) int {
	starts := 0
	for _, command := range commands {
		if command.Kind == model.StartTask {
			starts++
		}
	}
	return starts
}

// TestUnsentStartsAreCheckedWhenSent: a durable start is sent while the ranking is known as
// of two seconds ago, or after it was read again, and none that was held up in a queue.
func TestUnsentStartsAreCheckedWhenSent(t *testing.T) {
	c, m, j := controllerWithUnsentStart()
	c.now = c.now.Add(3 * time.Second)
	c.shardLeader.dispatcher.dispatch(m)
	if len(c.requests.workerCallbacks) != 0 || j.tasks[0].startSent {
		t.Fatal("got a start sent three seconds after the ranking was known, want it held")
	}
	op := sentStoreRequests(c)[0]
	if op.Kind != message.OpWatch || op.Key != record.ControlPrefix || op.WatchTimeout != 0 {
		t.Fatalf("got request %+v, want a read of ctl/", op)
	}
	c.handleCommand(message.StoreResponse{ID: op.ID, Status: message.StoreOK, SentAt: c.now, Revision: 8})
	c.effects = nil
	c.shardLeader.dispatcher.dispatchAll()
	if len(c.requests.workerCallbacks) != 1 {
		t.Fatalf("got %d requests to workers when the ranking is known, want 1 with the start", len(c.requests.workerCallbacks))
	}
	w := c.effects[0].(message.WorkerRequest)
	if _, _, late := CheckDeadline(w, c.now.Add(maxRankingStaleness+time.Millisecond)); !late {
		t.Error("got the start in time after the ranking's, want it late")
	}
	// In the answer to a heartbeat it is left out, and the lease is renewed.
	c, m, _ = controllerWithUnsentStart()
	c.now = c.now.Add(time.Second)
	r := c.poolHeartbeat(0)
	r.Sequence, r.Epoch = 5, m.epoch
	c.handleHeartbeat(message.WorkerHeartbeat{Reply: 1, Heartbeat: *r})
	a := c.effects[len(c.effects)-1].(message.HeartbeatReply)
	if countStarts(a.Commands) != 1 {
		t.Fatalf("got answer %+v, want one start in it", a)
	}
	_, instead, late := CheckDeadline(a, c.now.Add(maxRankingStaleness))
	if b, ok := instead.(message.HeartbeatReply); !late || !ok || b.Status != 200 || countStarts(b.Commands) != 0 {
		t.Errorf("got %+v instead of the late answer, want 200 without starts", instead)
	}
	// It never arrived; when the machine's heartbeat shows that, it counts as never sent.
	c.setRanking(barFirst, 9)
	r.Sequence = 6
	c.effects = nil
	c.handleHeartbeat(message.WorkerHeartbeat{Reply: 2, Heartbeat: *r})
	for _, a := range emittedEffects[message.HeartbeatReply](c) {
		if countStarts(a.Commands) != 0 {
			t.Errorf("got commands %v, want no start under the former ranking that no machine has shown", a.Commands)
		}
	}
}

// TestHeldStartOfFormerLeadership: a start that waited for the ranking when its controller lost its shard
// is not sent in a later leadership, which may not even know its job.
func TestHeldStartOfFormerLeadership(t *testing.T) {
	c, m, j := controllerWithUnsentStart()
	c.now = c.now.Add(3 * time.Second)
	c.shardLeader.dispatcher.dispatch(m)
	op := sentStoreRequests(c)[0]
	added := c.shardLeader.ensureMachine("vm-added")
	delete(c.shardLeader.machines, m.id)
	c.shardLeader.machinesByID = []*machine{added}
	delete(c.shardLeader.jobs, j.ID)
	c.handleCommand(message.StoreResponse{ID: op.ID, Status: message.StoreOK, SentAt: c.now, Revision: 8})
	c.shardLeader.dispatcher.dispatchAll()
	if len(c.requests.workerCallbacks) != 0 {
		t.Errorf("got %d requests to workers for a machine of the former leadership, want 0", len(c.requests.workerCallbacks))
	}
}

// TestSuccessorReplansStarts: a successor sends the starts that its ranking decided, and places
// again what no machine has shown and another ranking decided. A start without an answer is
// repeated, and one that perhaps was never sent waits for the proof.
func TestSuccessorReplansStarts(t *testing.T) {
	for _, tc := range []struct {
		name            string
		rankingRevision uint64
		acked, sent     bool
		wantStarts      int
		wantPlacedAgain bool
	}{
		{"this ranking, all answered", 7, true, false, 1, false},
		{"another ranking, all answered", 6, true, false, 0, true},
		{"another ranking, perhaps sent", 6, false, false, 0, false},
		{"another ranking, sent without an answer", 6, false, true, 1, false},
		{"another ranking, sent and all answered", 6, true, true, 0, true},
		{"this ranking, perhaps sent", 7, false, false, 1, false},
	} {
		c := newRankedController(1, fooFirst)
		m := c.shardLeader.machinesByID[0]
		j := c.addWaitingJob("job-1", "foo", 1, 1)
		rec := record.TaskSegment{RankingRevision: tc.rankingRevision, Rows: []record.TaskEntry{{Index: 0, Try: 3, Machine: m.id, Group: c.now.UnixMilli()}}}
		c.shardLeader.failover.recoverSegment(j, message.KeyValue{Key: record.TaskSegmentPrefix + "job-1/0", ModRevision: 2}, &rec)
		if !tc.acked {
			m.unackedStartEpoch = m.epoch
		}
		j.tasks[0].startUnanswered = tc.sent
		if got := countStarts(c.shardLeader.dispatcher.reconcile(m)); got != tc.wantStarts {
			t.Errorf("%s: got %d starts, want %d", tc.name, got, tc.wantStarts)
		}
		if got := len(j.requeued) == 1; got != tc.wantPlacedAgain {
			t.Errorf("%s: got placed again %v, want %v", tc.name, got, tc.wantPlacedAgain)
		}
		if got, want := m.waitsForStartProof(&c.shardLeader.remoteAttempts.registry), tc.wantStarts == 0 && !tc.wantPlacedAgain; got != want {
			t.Errorf("%s: got wait for a higher epoch %v, want %v", tc.name, got, want)
		}
		if got := j.segmentRecord(j.segmentOf(0)).RankingRevision; got != tc.rankingRevision {
			t.Errorf("%s: got ranking revision %d in the record, want %d as read", tc.name, got, tc.rankingRevision)
		}
	}
}

// TestWritersOfTheRanking: a write of a ranking compares the record that its setter saw; that
// of a derived one the leadership, and that there is no record.
func TestWritersOfTheRanking(t *testing.T) {
	c := newRankedController(1, fooFirst)
	set := func(rev uint64) (*message.StoreRequest, *message.RankingReply) {
		c.effects = nil
		rec, _ := ranking.Parse([]byte(barFirst))
		c.handleCommand(message.SetRanking{Reply: 1, Record: rec, Revision: rev, Deadline: c.now.Add(time.Second)})
		c.handleCommand(message.StoreResponse{ID: sentStoreRequests(c)[0].ID, Status: message.StoreOK, SentAt: c.now, Revision: 8})
		for _, r := range emittedEffects[message.RankingReply](c) {
			return nil, &r
		}
		all := sentStoreRequests(c)
		return &all[len(all)-1], nil
	}
	if _, r := set(6); r == nil || r.Status != 409 {
		t.Fatalf("over another revision: got reply %+v, want 409", r)
	}
	op, _ := set(7)
	if revision, ok := comparedRevision(op, record.RankingKey); !ok || revision != 7 || len(op.Writes) != 2 || op.Writes[1].Key != "ranking/8" {
		t.Fatalf("got write %+v, want one that compares the ranking at 7 and also writes ranking/8", op)
	}
	c.handleCommand(message.StoreResponse{ID: op.ID, Status: message.StoreConflict, FailedKeys: []string{record.RankingKey}})
	if r := c.effects[len(c.effects)-1].(message.RankingReply); r.Status != 409 {
		t.Errorf("the second of two: got reply %+v, want 409", r)
	}
	c.ranking.applyRecord(message.KeyValue{Key: record.RankingKey, Deleted: true})
	c.leader = newLeader(c)
	c.leader.modRevision = 5
	c.effects = nil
	c.ranking.derive()
	c.ranking.derive()
	all := sentStoreRequests(c)
	leaderRevision, comparesLeader := comparedRevision(&all[0], record.LeaderKey)
	rankingRevision, comparesRanking := comparedRevision(&all[0], record.RankingKey)
	if !comparesLeader || !comparesRanking || leaderRevision != 5 || rankingRevision != 0 || len(all) != 1 {
		t.Errorf("derived: got %d writes with compares %+v, want 1 with the leadership at 5 and no ranking", len(all), all[0].Compares)
	}
}

// TestDamagedRanking: the last valid ranking goes on to count, the damage is reported, and
// writes compare the record that is there; a controller without a valid ranking reads the
// history.
func TestDamagedRanking(t *testing.T) {
	c := newRankedController(1, barFirst)
	foo, bar := c.addWaitingJob("job-1", "foo", 1, 1), c.addWaitingJob("job-2", "bar", 1, 1)
	good := c.ranking.lastValid.Encode()
	later := record.Encode(map[string]any{"v": 9, "rev": 30})
	for i, b := range [][]byte{{0x81}, later, record.Encode(map[string]any{"v": 1, "rev": 3, "c": []any{}}), nil} {
		c.now = c.now.Add(2 * time.Minute)
		c.effects = nil
		c.membership.applyControlUpdates(message.StoreResponse{Status: message.StoreOK, SentAt: c.now, Revision: uint64(20 + i), KeyValues: []message.KeyValue{{Key: record.RankingKey, Value: b, ModRevision: uint64(20 + i)}}})
		if c.ranking.rankOf(bar) >= c.ranking.rankOf(foo) || c.ranking.modRevision != uint64(20+i) || c.ranking.invalidReason == "" || len(c.effects) == 0 {
			t.Errorf("damaged by %v: got ranks %d of bar and %d of foo, mod revision %d, reason %q, %d effects; want bar first, %d, a reason and some", b, c.ranking.rankOf(bar), c.ranking.rankOf(foo), c.ranking.modRevision, c.ranking.invalidReason, len(c.effects), 20+i)
		}
	}
	if c.ranking.highestRevision != 30 {
		t.Errorf("got highest revision %d, want 30, that of a later format", c.ranking.highestRevision)
	}
	c.ranking = rankingState{component: c.ranking.component}
	c.effects = nil
	c.membership.applyControlUpdates(message.StoreResponse{Status: message.StoreOK, SentAt: c.now, Revision: 40, KeyValues: []message.KeyValue{{Key: record.RankingKey, Value: later, ModRevision: 40}}})
	all := sentStoreRequests(c)
	if len(all) != 1 || all[0].Kind != message.OpList || all[0].Key != record.RankingHistoryPrefix {
		t.Fatalf("got requests %+v, want one list of the history", all)
	}
	c.handleCommand(message.StoreResponse{ID: all[0].ID, Status: message.StoreOK, KeyValues: []message.KeyValue{{Key: "ranking/1", Value: later}, {Key: "ranking/7", Value: good}}})
	if c.ranking.lastValid.Revision != 7 || c.ranking.rankOf(bar) >= c.ranking.rankOf(foo) {
		t.Errorf("got revision %d as the last valid one, want 7", c.ranking.lastValid.Revision)
	}
}

// TestRankedWorkIsNotStopped: the protocol lets urgent work preempt less urgent work, but not
// work that is ranked before it.
func TestRankedWorkIsNotStopped(t *testing.T) {
	for _, text := range []string{fooFirst, barFirst} {
		c := newRankedController(1, text)
		m := c.shardLeader.machinesByID[0]
		low := c.addWaitingJob("job-1", "foo", 1, 32)
		c.shardLeader.scheduler.placeAll()
		high := c.addWaitingJob("job-2", "bar", 1, 32)
		high.Urgency = model.Urgent
		ts, _, ok := c.shardLeader.scheduler.preemptionVictimsOn(high, m, m.free())
		if ok != (text == barFirst) || low.liveTasks != 1 {
			t.Errorf("got %d victims, preemption %v, %d live tasks; want preemption %v and 1", len(ts), ok, low.liveTasks, text == barFirst)
		}
	}
}

// TestNoLaterRankedFirst: in no round is a job placed where a job that is ranked before it, and
// still waits, could have been placed.
func TestNoLaterRankedFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.SampledFrom([]string{fooFirst, barFirst, "[[class]]\nname=\"u\"\nurgency=\"urgent\"\n[[class]]\nname=\"b\"\nworkloads=[\"ba*\"]\n"}).Draw(t, "ranking")
		c := newRankedController(0, text)
		c.settings.Teams = []model.Team{{Name: "ops", QuotaLimit: model.Resources{CPU: rapid.Float64Range(10, 200).Draw(t, "limit")}}}
		for i := range rapid.IntRange(1, 12).Draw(t, "machines") {
			r := c.poolHeartbeat(i * rapid.IntRange(1, 8).Draw(t, "kind"))
			r.Machine = fmt.Sprintf("vm-%02d", i)
			c.shardLeader.heartbeats.applyHeartbeat(c.shardLeader.ensureMachine(r.Machine), r, true)
		}
		for i := range rapid.IntRange(1, 12).Draw(t, "jobs") {
			j := c.addWaitingJob(fmt.Sprintf("job-%02d", i), rapid.SampledFrom([]string{"foo", "foo2", "bar", "baz", "x"}).Draw(t, "workload"),
				rapid.IntRange(1, 6).Draw(t, "tasks"), rapid.SampledFrom([]float64{1, 2, 4, 6, 16}).Draw(t, "cpu"))
			j.Urgency = model.Urgency(rapid.IntRange(0, 3).Draw(t, "urgency"))
			j.AllowSpot = rapid.Bool().Draw(t, "spot")
			c.shardLeader.workloads[j.Workload] = &workload{&j.JobSpec, c.now}
		}
		c.shardLeader.scheduler.placeAll()
		for _, m := range c.shardLeader.machinesByID {
			for k := range m.attempts {
				placed := c.shardLeader.jobs[k.job]
				m.used = m.used.AddScaled(placed.Need, -1)
				c.shardLeader.usedByTeam["ops"] = c.shardLeader.usedByTeam["ops"].AddScaled(placed.Need, -1)
				r := c.shardLeader.scheduler.newPlacementRound()
				for _, waiting := range c.shardLeader.jobs {
					if c.ranking.rankOf(waiting) >= c.ranking.rankOf(placed) || c.shardLeader.scheduler.placeableTasks(waiting) == 0 || !c.shardLeader.scheduler.withinQuotaLimit(waiting) {
						continue
					}
					for _, s := range r.candidates {
						if s.machine != m {
							continue
						}
						if _, suits := c.shardLeader.scheduler.candidateGroupFor(r, waiting).rate(&c.shardLeader.scheduler, waiting, s); suits {
							t.Fatalf("got %s of %s, rank %d, on %s while %s of %s, rank %d, waits; want the other one there", placed.ID, placed.Workload, c.ranking.rankOf(placed), m.id, waiting.ID, waiting.Workload, c.ranking.rankOf(waiting))
						}
					}
				}
				m.used = m.used.AddScaled(placed.Need, 1)
				c.shardLeader.usedByTeam["ops"] = c.shardLeader.usedByTeam["ops"].AddScaled(placed.Need, 1)
			}
		}
	})
}

// TestOverloadRefusesLowestRankFirst: the last of the queue for the store is kept for the jobs
// that are ranked first.
func TestOverloadRefusesLowestRankFirst(t *testing.T) {
	c := newRankedController(1, fooFirst)
	c.frontend.waitingRequests = maxWaitingRequests * 3 / 4
	first, last := model.JobSpec{Workload: "foo", Urgency: model.Normal}, model.JobSpec{Workload: "x", Urgency: model.BestEffort}
	if c.ranking.overloadRefuses(&first) || !c.ranking.overloadRefuses(&last) {
		t.Errorf("got first refused %v, last refused %v; want false, true", c.ranking.overloadRefuses(&first), c.ranking.overloadRefuses(&last))
	}
	if c.settings.Capabilities.Ranking = false; c.ranking.overloadRefuses(&last) {
		t.Error("got the last refused without a ranking, want it accepted")
	}
}

// TestExplainRank: a line says what is ranked before a job and what would let it start.
func TestExplainRank(t *testing.T) {
	c := newRankedController(1, fooFirst)
	first := c.addWaitingJob("job-1", "foo", 2, 20)
	c.shardLeader.scheduler.placeAll()
	c.addWaitingJob("job-2", "bar", 3, 20)
	c.addWaitingJob("job-3", "bar", 1, 99)
	for id, j := range c.shardLeader.jobs {
		c.frontend.watchCache.openJobs[id] = openJob{rec: record.NewOpenJob(&j.JobSpec, c.now)}
	}
	c.shardLeader.usedByTeam["ops"] = first.Need
	c.settings.Teams = []model.Team{{Name: "ops", QuotaLimit: model.Resources{CPU: 110}}}
	c.frontend.finalStatuses["job-9"] = model.Done
	for id, want := range map[string]string{
		"job-1": "job-1: class foo, place 1 of 6; 1 of 2 tasks wait; number 1 of its class; 1 tasks have a place and wait for their record; 1 machines suit it and are full: it goes when tasks there end, or one more is rented",
		"job-2": "job-2: class bar, place 2 of 6; 3 of 3 tasks wait; number 1 of its class; before it foo with 1 jobs, 1 tasks; 1 machines suit it and are full: it goes when tasks there end, or one more is rented",
		"job-3": "job-3: class bar, place 2 of 6; 1 of 1 tasks wait; number 2 of its class; before it foo with 1 jobs, 1 tasks; before it bar with 1 jobs, 3 tasks; its team ops is at its limit: it goes on when tasks of the team end",
		"job-8": "job-8 is not open, as far as a has read",
		"job-9": "job-9 is done",
	} {
		if got := c.ranking.explainRank(id); got != want {
			t.Errorf("%s:\n got %s\nwant %s", id, got, want)
		}
	}
}
