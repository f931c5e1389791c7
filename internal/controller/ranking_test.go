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

// newRankedNode is an owner that follows a ranking, known as of now.
func newRankedNode(machines int, text string) *Controller {
	n := largePool(machines)
	n.settings.Capabilities.Ranking = true
	n.settings.Objectives = nil
	n.frontend.watchCache.loaded, n.frontend.watchCache.openJobs = true, map[string]openJob{}
	n.setRanking(text, 7)
	return n
}

// setRanking has a ranking come with a read that began now.
func (c *Controller) setRanking(text string, stamp uint64) {
	rec, err := ranking.Parse([]byte(text))
	if err != nil {
		panic(err)
	}
	rec.Revision = stamp
	c.membership.applyControlUpdates(message.StoreResponse{Status: message.StoreOK, SentAt: c.now, Revision: stamp, KeyValues: []message.KeyValue{{Key: record.RankingKey, Value: rec.Encode(), ModRevision: stamp}}})
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

func comparedRevision(op *message.StoreRequest, key string) (uint64, bool) {
	i := slices.IndexFunc(op.Compares, func(c message.Compare) bool { return c.Key == key })
	if i < 0 {
		return 0, false
	}
	return op.Compares[i].ModRevision, true
}

// TestStartsNameTheRanking: the record of a start fails when another ranking has come, and
// what it was to begin is decided anew when that has been read, not before.
func TestStartsNameTheRanking(t *testing.T) {
	n := newRankedNode(1, barFirst)
	foo, bar := n.addWaitingJob("job-1", "foo", 1, 20), n.addWaitingJob("job-2", "bar", 1, 20)
	n.effects = nil
	n.shardLeader.scheduler.placeAll()
	n.shardLeader.persistence.writeSegments()
	ops := sentStoreRequests(n)
	if foo.liveTasks != 0 || bar.liveTasks != 1 || len(ops) != 1 {
		t.Fatalf("foo has %d, bar %d places, %d writes", foo.liveTasks, bar.liveTasks, len(ops))
	}
	if stamp, ok := comparedRevision(&ops[0], record.RankingKey); !ok || stamp != 7 {
		t.Fatalf("the start names %v", ops[0].Compares)
	}
	n.effects = nil
	n.handleCommand(message.StoreResponse{ID: ops[0].ID, Status: message.StoreConflict, FailedKeys: []string{record.RankingKey}})
	n.shardLeader.scheduler.placeAll()
	n.shardLeader.persistence.writeSegments()
	for _, op := range emittedEffects[message.StoreRequest](n) {
		if op.Kind == message.OpTxn {
			t.Fatal("a start is written though the ranking is not known")
		}
	}
	// Also one that another write of the same transaction made fail; meanwhile time goes on.
	n.now = n.now.Add(100 * time.Millisecond)
	n.setRanking(fooFirst, 9)
	n.effects = nil
	n.shardLeader.scheduler.placeAll()
	n.shardLeader.persistence.writeSegments()
	some := false
	for _, op := range emittedEffects[message.StoreRequest](n) {
		if op.Kind == message.OpTxn {
			stamp, _ := comparedRevision(&op, record.RankingKey)
			some = some || stamp == 9
		}
	}
	if foo.liveTasks != 1 || bar.liveTasks != 0 || !some {
		t.Errorf("under the new ranking foo has %d, bar %d places, written %v", foo.liveTasks, bar.liveTasks, some)
	}
}

// nodeWithUnsentStart is a node with a durable start that was not sent yet.
func nodeWithUnsentStart() (*Controller, *machine, *job) {
	n := newRankedNode(1, fooFirst)
	m := n.shardLeader.machinesByID[0]
	j := n.addWaitingJob("job-1", "foo", 1, 1)
	n.shardLeader.scheduler.placeAll()
	j.segmentOf(0).persistedVersion = j.segmentOf(0).version
	n.effects = nil
	return n, m, j
}

func countStarts(os []model.TaskCommand) int {
	k := 0
	for _, o := range os {
		k += int(boolToFloat(o.Kind == model.StartTask))
	}
	return k
}

// TestUnsentStartsAreJudgedAtDeparture: a start that is durable leaves while the ranking is
// known as of two seconds ago, else after it was read, and none that is held in a queue.
func TestUnsentStartsAreJudgedAtDeparture(t *testing.T) {
	n, m, j := nodeWithUnsentStart()
	n.now = n.now.Add(3 * time.Second)
	n.shardLeader.dispatcher.dispatch(m)
	if len(n.requests.workerCallbacks) != 0 || j.tasks[0].startSent {
		t.Fatal("a start leaves three seconds after the ranking was known")
	}
	op := sentStoreRequests(n)[0]
	if op.Kind != message.OpWatch || op.Key != record.ControlPrefix || op.WatchTimeout != 0 {
		t.Fatalf("it waits for %+v", op)
	}
	n.handleCommand(message.StoreResponse{ID: op.ID, Status: message.StoreOK, SentAt: n.now, Revision: 8})
	n.effects = nil
	n.shardLeader.dispatcher.dispatchAll()
	if len(n.requests.workerCallbacks) != 1 {
		t.Fatal("the start does not leave though the ranking is known")
	}
	w := n.effects[0].(message.WorkerRequest)
	if _, _, late := CheckDeadline(w, n.now.Add(maxRankingStaleness+time.Millisecond)); !late {
		t.Error("it may leave later than the ranking is known")
	}
	// In the answer to a report it is left out, and the lease goes on.
	n, m, _ = nodeWithUnsentStart()
	n.now = n.now.Add(time.Second)
	r := n.poolHeartbeat(0)
	r.Sequence, r.Epoch = 5, m.epoch
	n.handleHeartbeat(message.WorkerHeartbeat{Reply: 1, Heartbeat: *r})
	a := n.effects[len(n.effects)-1].(message.HeartbeatReply)
	if countStarts(a.Commands) != 1 {
		t.Fatalf("answered %+v", a)
	}
	_, instead, late := CheckDeadline(a, n.now.Add(maxRankingStaleness))
	if b, ok := instead.(message.HeartbeatReply); !late || !ok || b.Status != 200 || countStarts(b.Commands) != 0 {
		t.Errorf("late it becomes %+v", instead)
	}
	// It never arrived; when the machine says so, it counts as one that never left.
	n.setRanking(barFirst, 9)
	r.Sequence = 6
	n.effects = nil
	n.handleHeartbeat(message.WorkerHeartbeat{Reply: 2, Heartbeat: *r})
	for _, a := range emittedEffects[message.HeartbeatReply](n) {
		if countStarts(a.Commands) != 0 {
			t.Error("a start that is proven nowhere leaves under the old ranking")
		}
	}
}

// TestHeldOfAFormerTime: a start that waited for the ranking when the owner lost its share is
// no business of the time after: its job may not even be in the books then.
func TestHeldOfAFormerTime(t *testing.T) {
	n, m, j := nodeWithUnsentStart()
	n.now = n.now.Add(3 * time.Second)
	n.shardLeader.dispatcher.dispatch(m)
	op := sentStoreRequests(n)[0]
	again := n.shardLeader.ensureMachine("vm-again")
	delete(n.shardLeader.machines, m.id)
	n.shardLeader.machinesByID = []*machine{again}
	delete(n.shardLeader.jobs, j.ID)
	n.handleCommand(message.StoreResponse{ID: op.ID, Status: message.StoreOK, SentAt: n.now, Revision: 8})
	n.shardLeader.dispatcher.dispatchAll()
	if len(n.requests.workerCallbacks) != 0 {
		t.Error("something is ordered for a machine of a former time")
	}
}

// TestSuccessorReplansStarts: a successor orders what its ranking decided, and places anew what is
// proven nowhere and was decided under another one. What had no answer is repeated, and
// what perhaps never left waits for the proof.
func TestSuccessorReplansStarts(t *testing.T) {
	for _, c := range []struct {
		rank        uint64
		quiet, left bool
		want        int
		anew        bool
	}{{7, true, false, 1, false}, {6, true, false, 0, true}, {6, false, false, 0, false}, {6, false, true, 1, false}, {6, true, true, 0, true}, {7, false, false, 1, false}} {
		n := newRankedNode(1, fooFirst)
		m := n.shardLeader.machinesByID[0]
		j := n.addWaitingJob("job-1", "foo", 1, 1)
		rec := record.TaskSegment{RankingRevision: c.rank, Rows: []record.TaskEntry{{Index: 0, Try: 3, Machine: m.id, Group: n.now.UnixMilli()}}}
		n.shardLeader.failover.recoverSegment(j, message.KeyValue{Key: record.TaskSegmentPrefix + "job-1/0", ModRevision: 2}, &rec)
		if !c.quiet {
			m.unackedStartEpoch = m.epoch
		}
		j.tasks[0].startUnanswered = c.left
		if got := countStarts(n.shardLeader.dispatcher.reconcile(m)); got != c.want {
			t.Errorf("%+v: %d starts", c, got)
		}
		if anew := len(j.requeued) == 1; anew != c.anew {
			t.Errorf("%+v: placed anew %v", c, anew)
		}
		if proof := m.waitsForStartProof(&n.shardLeader.remoteAttempts.registry); proof != (c.want == 0 && !c.anew) {
			t.Errorf("%+v: a higher epoch is asked for: %v", c, proof)
		}
		if got := j.segmentRecord(j.segmentOf(0)).RankingRevision; got != c.rank {
			t.Errorf("the record says %d, read as %d", got, c.rank)
		}
	}
}

// TestWritersOfTheRanking: whoever sets one names the record that he saw, a leader that
// derives one its lead and that there is none.
func TestWritersOfTheRanking(t *testing.T) {
	n := newRankedNode(1, fooFirst)
	set := func(rev uint64) (*message.StoreRequest, *message.RankingReply) {
		n.effects = nil
		rec, _ := ranking.Parse([]byte(barFirst))
		n.handleCommand(message.SetRanking{Reply: 1, Record: rec, Revision: rev, Deadline: n.now.Add(time.Second)})
		n.handleCommand(message.StoreResponse{ID: sentStoreRequests(n)[0].ID, Status: message.StoreOK, SentAt: n.now, Revision: 8})
		for _, r := range emittedEffects[message.RankingReply](n) {
			return nil, &r
		}
		all := sentStoreRequests(n)
		return &all[len(all)-1], nil
	}
	if _, r := set(6); r == nil || r.Status != 409 {
		t.Fatalf("over another revision: %+v", r)
	}
	op, _ := set(7)
	if stamp, ok := comparedRevision(op, record.RankingKey); !ok || stamp != 7 || len(op.Writes) != 2 || op.Writes[1].Key != "ranking/8" {
		t.Fatalf("set with %+v", op)
	}
	n.handleCommand(message.StoreResponse{ID: op.ID, Status: message.StoreConflict, FailedKeys: []string{record.RankingKey}})
	if r := n.effects[len(n.effects)-1].(message.RankingReply); r.Status != 409 {
		t.Errorf("the second of two is told %+v", r)
	}
	n.ranking.applyRecord(message.KeyValue{Key: record.RankingKey, Deleted: true})
	n.leader = newLeader(n)
	n.leader.modRevision = 5
	n.effects = nil
	n.ranking.derive()
	n.ranking.derive()
	all := sentStoreRequests(n)
	lead, a := comparedRevision(&all[0], record.LeaderKey)
	none, b := comparedRevision(&all[0], record.RankingKey)
	if !a || !b || lead != 5 || none != 0 || len(all) != 1 {
		t.Errorf("%d derived with %+v", len(all), all[0].Compares)
	}
}

// TestDamagedRanking: the last good one goes on to count, it is told, and writes name the
// record that stands; without one of its own a controller looks into the history.
func TestDamagedRanking(t *testing.T) {
	n := newRankedNode(1, barFirst)
	foo, bar := n.addWaitingJob("job-1", "foo", 1, 1), n.addWaitingJob("job-2", "bar", 1, 1)
	good := n.ranking.lastValid.Encode()
	later := record.Encode(map[string]any{"v": 9, "rev": 30})
	for i, b := range [][]byte{{0x81}, later, record.Encode(map[string]any{"v": 1, "rev": 3, "c": []any{}}), nil} {
		n.now = n.now.Add(2 * time.Minute)
		n.effects = nil
		n.membership.applyControlUpdates(message.StoreResponse{Status: message.StoreOK, SentAt: n.now, Revision: uint64(20 + i), KeyValues: []message.KeyValue{{Key: record.RankingKey, Value: b, ModRevision: uint64(20 + i)}}})
		if n.ranking.rankOf(bar) >= n.ranking.rankOf(foo) || n.ranking.modRevision != uint64(20+i) || n.ranking.invalidReason == "" || len(n.effects) == 0 {
			t.Errorf("damaged by %v: %d and %d, stamp %d, %d lines", b, n.ranking.rankOf(bar), n.ranking.rankOf(foo), n.ranking.modRevision, len(n.effects))
		}
	}
	if n.ranking.highestRevision != 30 {
		t.Error("the next revision would not be above that of a later form")
	}
	n.ranking = rankingState{component: n.ranking.component}
	n.effects = nil
	n.membership.applyControlUpdates(message.StoreResponse{Status: message.StoreOK, SentAt: n.now, Revision: 40, KeyValues: []message.KeyValue{{Key: record.RankingKey, Value: later, ModRevision: 40}}})
	all := sentStoreRequests(n)
	if len(all) != 1 || all[0].Kind != message.OpList || all[0].Key != record.RankingHistoryPrefix {
		t.Fatalf("asked %+v", all)
	}
	n.handleCommand(message.StoreResponse{ID: all[0].ID, Status: message.StoreOK, KeyValues: []message.KeyValue{{Key: "ranking/1", Value: later}, {Key: "ranking/7", Value: good}}})
	if n.ranking.lastValid.Revision != 7 || n.ranking.rankOf(bar) >= n.ranking.rankOf(foo) {
		t.Errorf("revision %d counts", n.ranking.lastValid.Revision)
	}
}

// TestRankedWorkIsNotStopped: the protocol lets urgent work take the place of lower, but
// not of what stands before it.
func TestRankedWorkIsNotStopped(t *testing.T) {
	for _, text := range []string{fooFirst, barFirst} {
		n := newRankedNode(1, text)
		m := n.shardLeader.machinesByID[0]
		low := n.addWaitingJob("job-1", "foo", 1, 32)
		n.shardLeader.scheduler.placeAll()
		high := n.addWaitingJob("job-2", "bar", 1, 32)
		high.Urgency = model.Urgent
		ts, _, ok := n.shardLeader.scheduler.preemptionVictimsOn(high, m, m.free())
		if ok != (text == barFirst) || low.liveTasks != 1 {
			t.Errorf("%d victims, %v", len(ts), ok)
		}
	}
}

// TestNoLaterRankedFirst: in no round does a job get a place that would have suited one
// that stands before it and goes on waiting.
func TestNoLaterRankedFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.SampledFrom([]string{fooFirst, barFirst, "[[class]]\nname=\"u\"\nurgency=\"urgent\"\n[[class]]\nname=\"b\"\nworkloads=[\"ba*\"]\n"}).Draw(t, "ranking")
		n := newRankedNode(0, text)
		n.settings.Teams = []model.Team{{Name: "ops", QuotaLimit: model.Resources{CPU: rapid.Float64Range(10, 200).Draw(t, "limit")}}}
		for i := range rapid.IntRange(1, 12).Draw(t, "machines") {
			r := n.poolHeartbeat(i * rapid.IntRange(1, 8).Draw(t, "kind"))
			r.Machine = fmt.Sprintf("vm-%02d", i)
			n.shardLeader.heartbeats.applyHeartbeat(n.shardLeader.ensureMachine(r.Machine), r, true)
		}
		for i := range rapid.IntRange(1, 12).Draw(t, "jobs") {
			j := n.addWaitingJob(fmt.Sprintf("job-%02d", i), rapid.SampledFrom([]string{"foo", "foo2", "bar", "baz", "x"}).Draw(t, "workload"),
				rapid.IntRange(1, 6).Draw(t, "tasks"), rapid.SampledFrom([]float64{1, 2, 4, 6, 16}).Draw(t, "cpu"))
			j.Urgency = model.Urgency(rapid.IntRange(0, 3).Draw(t, "urgency"))
			j.AllowSpot = rapid.Bool().Draw(t, "spot")
			n.shardLeader.workloads[j.Workload] = &workload{&j.JobSpec, n.now}
		}
		n.shardLeader.scheduler.placeAll()
		for _, m := range n.shardLeader.machinesByID {
			for k := range m.attempts {
				l := n.shardLeader.jobs[k.job]
				m.used = m.used.AddScaled(l.Need, -1)
				n.shardLeader.usedByTeam["ops"] = n.shardLeader.usedByTeam["ops"].AddScaled(l.Need, -1)
				r := n.shardLeader.scheduler.newPlacementRound()
				for _, h := range n.shardLeader.jobs {
					if n.ranking.rankOf(h) >= n.ranking.rankOf(l) || n.shardLeader.scheduler.placeableTasks(h) == 0 || !n.shardLeader.scheduler.withinQuotaLimit(h) {
						continue
					}
					for _, s := range r.candidates {
						if s.machine != m {
							continue
						}
						if _, suits := n.shardLeader.scheduler.candidateGroupFor(r, h).rate(&n.shardLeader.scheduler, h, s); suits {
							t.Fatalf("%s of %s, place %d, is on %s; %s of %s, place %d, waits", l.ID, l.Workload, n.ranking.rankOf(l), m.id, h.ID, h.Workload, n.ranking.rankOf(h))
						}
					}
				}
				m.used = m.used.AddScaled(l.Need, 1)
				n.shardLeader.usedByTeam["ops"] = n.shardLeader.usedByTeam["ops"].AddScaled(l.Need, 1)
			}
		}
	})
}

// TestOverloadRefusesLowestRankFirst: what may wait for the state service is kept for those
// that stand in front.
func TestOverloadRefusesLowestRankFirst(t *testing.T) {
	n := newRankedNode(1, fooFirst)
	n.frontend.waitingRequests = maxWaitingRequests * 3 / 4
	first, last := model.JobSpec{Workload: "foo", Urgency: model.Normal}, model.JobSpec{Workload: "x", Urgency: model.BestEffort}
	if n.ranking.overloadRefuses(&first) || !n.ranking.overloadRefuses(&last) {
		t.Error("the first is refused, or the last is not")
	}
	if n.settings.Capabilities.Ranking = false; n.ranking.overloadRefuses(&last) {
		t.Error("refused without a ranking")
	}
}

// TestExplainRank: a line says what stands before a job and what would let it go.
func TestExplainRank(t *testing.T) {
	n := newRankedNode(1, fooFirst)
	first := n.addWaitingJob("job-1", "foo", 2, 20)
	n.shardLeader.scheduler.placeAll()
	n.addWaitingJob("job-2", "bar", 3, 20)
	n.addWaitingJob("job-3", "bar", 1, 99)
	for id, j := range n.shardLeader.jobs {
		n.frontend.watchCache.openJobs[id] = openJob{rec: record.NewOpenJob(&j.JobSpec, n.now)}
	}
	n.shardLeader.usedByTeam["ops"] = first.Need
	n.settings.Teams = []model.Team{{Name: "ops", QuotaLimit: model.Resources{CPU: 110}}}
	n.frontend.finalStatuses["job-9"] = model.Done
	for id, want := range map[string]string{
		"job-1": "job-1: class foo, place 1 of 6; 1 of 2 tasks wait; number 1 of its class; 1 tasks have a place and wait for their record; 1 machines suit it and are full: it goes when tasks there end, or one more is rented",
		"job-2": "job-2: class bar, place 2 of 6; 3 of 3 tasks wait; number 1 of its class; before it foo with 1 jobs, 1 tasks; 1 machines suit it and are full: it goes when tasks there end, or one more is rented",
		"job-3": "job-3: class bar, place 2 of 6; 1 of 1 tasks wait; number 2 of its class; before it foo with 1 jobs, 1 tasks; before it bar with 1 jobs, 3 tasks; its team ops is at its limit: it goes on when tasks of the team end",
		"job-8": "job-8 is not open, as far as a has read",
		"job-9": "job-9 is done",
	} {
		if got := n.ranking.explainRank(id); got != want {
			t.Errorf("%s:\n got %s\nwant %s", id, got, want)
		}
	}
}
