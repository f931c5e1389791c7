package migration

import (
	"fmt"
	"slices"
	"time"

	"github.com/micahill/micahill/internal/resource"
	"pgregory.net/rapid"
)

// leaderModel models a shard leader with a few hosts and replicas. It implements ShardState. Reports of
// replicas arrive late, writes may be lost or applied late, hosts may be lost, and a successor that
// has only the record may take over at any moment.
type leaderModel struct {
	now      time.Time
	tracker  *Tracker
	hosts    map[string]*fakeHost
	replicas map[replicaKey]*fakeReplica
	// jobs are the numbers of replicas, by job; 0 for a job that is over.
	jobs map[string]int
	// waiting are the numbers of pending tasks, by waiting job.
	waiting map[string]int
	// record is the stored record, and modRevision its revision in the store.
	record        []byte
	modRevision   int
	pendingWrites []pendingWrite
	// heard is false after a failover until heartbeats have arrived.
	heard bool
}

// fakeHost is a host of the model.
type fakeHost struct {
	// size is the amount of CPU, of GPUs and of memory.
	size   float64
	usable bool
}

// fakeReplica is a replica of the model: its actual state and the state known to the shard leader.
type fakeReplica struct {
	need float64
	// The actual state: the host on which the replica is, "" if it has ended, whether it runs
	// there, and whether it has been told to stop.
	runsOn           string
	isUp, stopIssued bool
	// The state known to the shard leader, as in Task.
	host              string
	attempt           uint64
	running, stopping bool
	// isMoving is true if a migration has stopped the replica and it has not run since.
	isMoving bool
}

// pendingWrite is a write in flight.
type pendingWrite struct {
	value   []byte
	version uint64
	// modRevision is the revision of the record that the write expects.
	modRevision int
	// abandoned is true if the model no longer waits for the response.
	abandoned bool
}

// maxModelRecordBytes bounds the model's record, in bytes.
const maxModelRecordBytes = 3000

// uniform returns resources with the same amount of CPU, GPU and memory.
func uniform(x float64) resource.Resources { return resource.Resources{CPU: x, GPU: x, Memory: x} }

// Task returns the state of a replica as the shard leader knows it.
func (model *leaderModel) Task(job string, index int) Task {
	replica := model.replicas[replicaKey{job, index}]
	if replica == nil || model.jobs[job] == 0 {
		return Task{}
	}
	return Task{Known: true, Host: replica.host, Attempt: replica.attempt, Running: replica.running, Stopping: replica.stopping}
}

// RunningReplicas counts the running replicas of a job that are not being stopped, and all its replicas.
func (model *leaderModel) RunningReplicas(job string) (int, int) {
	running := 0
	for key, replica := range model.replicas {
		if key.job == job && replica.running && !replica.stopping {
			running++
		}
	}
	return running, model.jobs[job]
}

// WaitingTasks counts the pending tasks of a job.
func (model *leaderModel) WaitingTasks(job string) int { return model.waiting[job] }

// freeCPU returns how much CPU of a host no replica uses, as the shard leader knows it. GPUs and memory
// are used in the same amounts.
func (model *leaderModel) freeCPU(id string) float64 {
	free := model.hosts[id].size
	for _, replica := range model.replicas {
		if replica.host == id {
			free -= replica.need
		}
	}
	return free
}

// FreeCapacity returns the capacity of a host that no replica uses, and whether replicas may be placed
// on the host.
func (model *leaderModel) FreeCapacity(id string) (resource.Resources, bool) {
	return uniform(model.freeCPU(id)), model.hosts[id].usable && model.heard
}

// AwaitsHeartbeat reports whether a usable host has sent no heartbeat since a failover.
func (model *leaderModel) AwaitsHeartbeat(id string) bool {
	return model.hosts[id].usable && !model.heard
}

// Downtime returns the same downtime for all moves.
func (model *leaderModel) Downtime(string, string) time.Duration { return 5 * time.Second }

// YieldsTo reports whether a job yields to another: every job except "never" yields to "large".
func (model *leaderModel) YieldsTo(job, other string) bool { return other == "large" && job != "never" }

// newLeaderModel returns a model with five hosts, seven running replicas of four jobs, and two waiting
// jobs.
func newLeaderModel() *leaderModel {
	model := &leaderModel{
		now: time.Unix(1_750_000_000, 0), tracker: NewTracker(5 * time.Minute), heard: true,
		hosts: map[string]*fakeHost{}, replicas: map[replicaKey]*fakeReplica{},
		jobs: map[string]int{"one": 1, "never": 1, "two": 2, "three": 3}, waiting: map[string]int{"large": 1, "next": 2},
	}
	for hostIndex := range 5 {
		model.hosts[fmt.Sprint("h", hostIndex)] = &fakeHost{8, true}
	}
	replicaCount := 0
	for _, job := range []string{"one", "two", "three", "never"} {
		for index := range model.jobs[job] {
			host := fmt.Sprint("h", replicaCount%5)
			model.replicas[replicaKey{job, index}] = &fakeReplica{need: 2, runsOn: host, isUp: true, host: host, attempt: 1, running: true}
			replicaCount++
		}
	}
	return model
}

// replicaKeys returns the keys of all replicas in a fixed order.
func (model *leaderModel) replicaKeys() []replicaKey {
	var out []replicaKey
	for key := range model.replicas {
		out = append(out, key)
	}
	slices.SortFunc(out, func(a, b replicaKey) int { return slices.Compare([]byte(fmt.Sprint(a)), []byte(fmt.Sprint(b))) })
	return out
}

// isRecorded reports whether the stored record contains the move of an attempt of a replica.
func (model *leaderModel) isRecorded(job string, index int, attempt uint64) bool {
	rec, err := decodeRecord(model.record)
	for _, plan := range rec.Plans {
		for _, step := range plan.Steps {
			if err == nil && step.Job == job && step.Index == index && step.Attempt == attempt {
				return true
			}
		}
	}
	return false
}

// update stops the replicas that the tracker requests to stop, and checks the invariants.
func (model *leaderModel) update(t *rapid.T) {
	for _, stop := range model.tracker.Update(model.now, model) {
		model.stop(t, stop)
	}
	model.checkDowntime(t)
	model.checkHolds(t)
}

// stop stops a replica for its migration. It fails the test unless the plan is durable and the replica
// fits on capacity held for it.
func (model *leaderModel) stop(t *rapid.T, request StopRequest) {
	key := replicaKey{request.Job, request.Index}
	replica := model.replicas[key]
	if !model.isRecorded(request.Job, request.Index, request.Attempt) {
		t.Fatalf("got %s/%d stopped without a record of its move, want the plan durable", request.Job, request.Index)
	}
	if replica.attempt != request.Attempt || replica.host == "" || !replica.running {
		t.Fatalf("got %s/%d stopped in state %+v, want attempt %d running", request.Job, request.Index, replica, request.Attempt)
	}
	replica.stopIssued, replica.stopping, replica.isMoving = true, true, true
	hasCapacity := false
	for _, hold := range model.tracker.Holds() {
		if hold.Job == request.Job && hold.Index == request.Index {
			hasCapacity = model.hosts[hold.Host].usable && model.freeCPU(hold.Host)-model.heldFor(hold.Host, key) >= replica.need
		}
	}
	if !hasCapacity {
		t.Fatalf("got %s/%d stopped although it does not fit on held capacity, want enough held", request.Job, request.Index)
	}
}

// checkDowntime checks that at most half of a job's replicas are down for migrations, and that the only
// replica of a job is down only if the job yields.
func (model *leaderModel) checkDowntime(t *rapid.T) {
	for job, replicas := range model.jobs {
		down := 0
		for key, replica := range model.replicas {
			if key.job == job && replica.isMoving {
				down++
			}
		}
		if replicas > 1 && 2*(replicas-down) < replicas {
			t.Fatalf("%s: got %d of %d replicas down for migrations, want at most half", job, down, replicas)
		}
		if replicas > 0 && job == "never" && down > 0 {
			t.Fatalf("%s: got its only replica down for a migration, want it running, as the job does not yield", job)
		}
	}
}

// checkHolds checks that each hold ends in the future and within maxHold, and that no replica has two
// holds.
func (model *leaderModel) checkHolds(t *rapid.T) {
	seen := map[replicaKey]bool{}
	for _, hold := range model.tracker.Holds() {
		if !hold.Until.After(model.now) && model.heard || hold.Until.Sub(model.now) > maxHold {
			t.Fatalf("got a hold that ends in %v, want it to end in the future, in at most %v", hold.Until.Sub(model.now), maxHold)
		}
		if key := (replicaKey{hold.Job, hold.Index}); hold.Index >= 0 {
			if seen[key] {
				t.Fatalf("%v: got two holds, want one", key)
			}
			seen[key] = true
		}
	}
}

// heldFor returns how much CPU is held on a host for other tasks than the given one.
func (model *leaderModel) heldFor(id string, key replicaKey) float64 {
	sum := 0.0
	for _, hold := range model.tracker.Holds() {
		if hold.Host == id && (hold.Job != key.job || hold.Index != key.index) {
			sum += hold.Need.CPU
		}
	}
	return sum
}

// placeWaiting places the pending tasks: first those for which capacity is held, then the other
// replicas where they fit.
func (model *leaderModel) placeWaiting(t *rapid.T) {
	model.update(t)
	holds := model.tracker.Holds()
	model.checkHeldCapacity(t, holds)
	for _, hold := range holds {
		if model.fitsHold(hold) {
			model.startHeld(hold)
		}
	}
	model.update(t)
	for _, key := range model.replicaKeys() {
		replica := model.replicas[key]
		if replica.host != "" || model.jobs[key.job] == 0 || slices.ContainsFunc(model.tracker.Holds(), func(hold Hold) bool { return hold.Job == key.job && hold.Index == key.index }) {
			continue
		}
		for i := range 5 {
			if id := fmt.Sprint("h", i); model.hosts[id].usable && model.freeCPU(id)-model.heldFor(id, key) >= replica.need {
				replica.start(id)
				break
			}
		}
	}
	for id := range model.hosts {
		if free := model.freeCPU(id); free < 0 {
			t.Fatalf("%s: got %v CPUs free, want at least 0", id, free)
		}
	}
}

// fitsHold reports whether the task of a hold fits on its host in addition to the other holds.
func (model *leaderModel) fitsHold(hold Hold) bool {
	return model.hosts[hold.Host].usable && model.freeCPU(hold.Host)-model.heldFor(hold.Host, replicaKey{hold.Job, hold.Index}) >= hold.Need.CPU
}

// checkHeldCapacity checks that each replica that is down fits on the capacity held for it.
func (model *leaderModel) checkHeldCapacity(t *rapid.T, holds []Hold) {
	for _, hold := range holds {
		if key := (replicaKey{hold.Job, hold.Index}); hold.Index >= 0 && model.heard && model.jobs[hold.Job] > 0 && model.replicas[key].host == "" && !model.fitsHold(hold) {
			t.Fatalf("%v: got a hold on %s, where it does not fit, want one where it fits or no hold", key, hold.Host)
		}
	}
}

// startHeld starts the replica, or a task of the waiting job, for which capacity is held.
func (model *leaderModel) startHeld(hold Hold) {
	if hold.Index >= 0 {
		if replica := model.replicas[replicaKey{hold.Job, hold.Index}]; replica.host == "" && model.jobs[hold.Job] > 0 {
			replica.start(hold.Host)
		}
		return
	}
	if model.waiting[hold.Job] > 0 {
		model.waiting[hold.Job]--
		model.replicas[replicaKey{hold.Job + "!", model.waiting[hold.Job]}] = &fakeReplica{need: hold.Need.CPU, host: hold.Host, runsOn: hold.Host, isUp: true, running: true, attempt: 1}
		model.tracker.MarkServed(hold.Plan)
	}
}

// start starts a new attempt of the replica on a host.
func (replica *fakeReplica) start(host string) {
	replica.host, replica.attempt, replica.runsOn, replica.isUp, replica.stopIssued, replica.running, replica.stopping = host, replica.attempt+1, host, false, false, false, false
}

// startPlan starts a plan of up to MaxMoves drawn moves, which need not fit.
func (model *leaderModel) startPlan(t *rapid.T) {
	waitingTask := WaitingTask{Job: rapid.SampledFrom([]string{"large", "next"}).Draw(t, "for"), Need: uniform(6)}
	plan := Plan{Host: fmt.Sprint("h", rapid.IntRange(0, 4).Draw(t, "host"))}
	var attempts []uint64
	for _, key := range rapid.SliceOfNDistinct(rapid.SampledFrom(model.replicaKeys()), 1, MaxMoves, rapid.ID[replicaKey]).Draw(t, "moved") {
		replica := model.replicas[key]
		to := fmt.Sprint("h", rapid.IntRange(0, 4).Draw(t, "to"))
		if replica.host == "" || replica.host == to || model.jobs[key.job] == 0 {
			return
		}
		plan.Moves = append(plan.Moves, Move{Job: key.job, Index: key.index, From: replica.host, To: to, Need: uniform(replica.need), Downtime: 5 * time.Second})
		attempts = append(attempts, replica.attempt)
	}
	model.tracker.Start(model.now, "team", &waitingTask, plan, time.Minute, attempts, Limits{MaxRecordBytes: maxModelRecordBytes, MaxMovingFraction: 0.5, KindOf: func(string) (string, int) { return "k", len(model.hosts) }})
}

// applyWrite applies a write to the store and reports whether it was applied. The store refuses the
// write if the record's revision has changed.
func (model *leaderModel) applyWrite(write pendingWrite) bool {
	if write.modRevision != model.modRevision {
		return false
	}
	model.record, model.modRevision = write.value, model.modRevision+1
	return true
}

// report updates the state known to the shard leader from the replica's actual state.
func (replica *fakeReplica) report() {
	switch {
	case replica.host == "" || replica.attempt == 0:
	case replica.runsOn == "":
		replica.host, replica.running, replica.stopping = "", false, false
	default:
		replica.running = replica.isUp
		replica.isMoving = replica.isMoving && !replica.isUp
	}
}

// end ends a replica that has been told to stop.
func (replica *fakeReplica) end() {
	if replica.stopIssued {
		replica.runsOn, replica.isUp, replica.stopIssued = "", false, false
	}
}

// settle lets all replicas end or run as requested, and reports their state to the shard leader.
func (model *leaderModel) settle() {
	for _, replica := range model.replicas {
		replica.end()
		replica.isUp = replica.runsOn != ""
		replica.report()
	}
}

// drawReplica draws one of the replicas.
func (model *leaderModel) drawReplica(t *rapid.T) *fakeReplica {
	return model.replicas[rapid.SampledFrom(model.replicaKeys()).Draw(t, "replica")]
}

// startWrite sends the record if a write is due and none is in flight.
func (model *leaderModel) startWrite(t *rapid.T) {
	if _, _, due := model.tracker.WriteDue("team"); !due || slices.ContainsFunc(model.pendingWrites, func(write pendingWrite) bool { return !write.abandoned }) {
		return
	}
	value, version := model.tracker.EncodeRecord("team")
	if len(value) > maxModelRecordBytes {
		t.Fatalf("got a record of %d bytes, want at most %d", len(value), maxModelRecordBytes)
	}
	model.pendingWrites = append(model.pendingWrites, pendingWrite{value: value, version: version, modRevision: model.modRevision})
}

// answerWrite applies one of the writes in flight, refuses it, or abandons it without a response.
func (model *leaderModel) answerWrite(t *rapid.T) {
	if len(model.pendingWrites) == 0 {
		return
	}
	i := rapid.IntRange(0, len(model.pendingWrites)-1).Draw(t, "which")
	write := model.pendingWrites[i]
	switch rapid.IntRange(0, 3).Draw(t, "how") {
	case 0, 1:
		model.pendingWrites = slices.Delete(model.pendingWrites, i, i+1)
		model.receiveAnswer(write, model.applyWrite(write))
	case 2:
		model.pendingWrites = slices.Delete(model.pendingWrites, i, i+1)
		model.receiveAnswer(write, false)
	case 3:
		// The write gets no response and may be applied later.
		if !write.abandoned {
			model.pendingWrites[i].abandoned = true
			model.tracker.WriteUncertain("team", model.now)
		}
	}
}

// receiveAnswer passes the response to a write to the tracker unless the write has been abandoned.
func (model *leaderModel) receiveAnswer(write pendingWrite, ok bool) {
	switch {
	case write.abandoned:
	case ok:
		model.tracker.MarkPersisted("team", write.version)
	default:
		model.tracker.WriteRefused("team", model.now)
	}
}

// takeOver replaces the shard leader by a successor that recovers the record and has received no
// heartbeat yet.
func (model *leaderModel) takeOver(t *rapid.T) {
	model.tracker, model.heard = NewTracker(5*time.Minute), false
	// The takeover changes the shard's mod revision, so writes in flight fail.
	model.pendingWrites, model.modRevision = nil, model.modRevision+1
	if model.record != nil {
		if err := model.tracker.Recover(model.now, "team", model.record); err != nil {
			t.Fatalf("recovering the record: got error %v, want none", err)
		}
	}
	for _, replica := range model.replicas {
		replica.running, replica.stopping = false, false
	}
}

// loseHost makes a host unusable and ends its replicas, or makes the host usable again.
func (model *leaderModel) loseHost(t *rapid.T) {
	id := fmt.Sprint("h", rapid.IntRange(0, 4).Draw(t, "host"))
	model.hosts[id].usable = rapid.Bool().Draw(t, "back")
	for _, replica := range model.replicas {
		if replica.runsOn == id && !model.hosts[id].usable {
			replica.runsOn, replica.isUp, replica.host, replica.running, replica.stopping, replica.isMoving = "", false, "", false, false, false
		}
	}
}

// endJob ends a job in one of ten calls, and otherwise changes the number of pending tasks of a
// waiting job.
func (model *leaderModel) endJob(t *rapid.T) {
	if rapid.IntRange(0, 9).Draw(t, "rarely") > 0 {
		model.waiting[rapid.SampledFrom([]string{"large", "next"}).Draw(t, "job")] = rapid.IntRange(0, 2).Draw(t, "waiting")
		return
	}
	job := rapid.SampledFrom([]string{"one", "two", "three"}).Draw(t, "job")
	model.jobs[job] = 0
	for key, replica := range model.replicas {
		if key.job == job {
			*replica = fakeReplica{need: replica.need, attempt: replica.attempt}
		}
	}
}

// passTime advances the clock by up to 90 seconds.
func (model *leaderModel) passTime(t *rapid.T) {
	model.now = model.now.Add(time.Duration(rapid.IntRange(1, 90).Draw(t, "s")) * time.Second)
	model.update(t)
}

// startAndWrite starts a plan and makes it durable.
func (model *leaderModel) startAndWrite(t *rapid.T) {
	model.waiting["large"] = max(1, model.waiting["large"])
	model.startPlan(t)
	model.startWrite(t)
	if last := len(model.pendingWrites) - 1; last >= 0 {
		write := model.pendingWrites[last]
		model.pendingWrites = model.pendingWrites[:last]
		model.receiveAnswer(write, model.applyWrite(write))
	}
	model.update(t)
}

// recoverAll delivers all heartbeats, lets all replicas end or run as requested, and places the pending
// tasks.
func (model *leaderModel) recoverAll(t *rapid.T) {
	model.heard = true
	model.settle()
	model.placeWaiting(t)
}

// actions returns the actions of the model by name. Rapid sorts the names and draws from them.
func (model *leaderModel) actions() map[string]func(*rapid.T) {
	actions := map[string]func(*rapid.T){
		"":         model.update,
		"plan":     model.startPlan,
		"place":    model.placeWaiting,
		"write":    model.startWrite,
		"answer":   model.answerWrite,
		"ends":     func(t *rapid.T) { model.drawReplica(t).end() },
		"comesUp":  func(t *rapid.T) { replica := model.drawReplica(t); replica.isUp = replica.runsOn != "" },
		"report":   func(t *rapid.T) { model.drawReplica(t).report() },
		"takeover": model.takeOver,
		"heard":    func(*rapid.T) { model.heard = true },
		"lost":     model.loseHost,
		"fails": func(t *rapid.T) {
			replica := model.drawReplica(t)
			replica.runsOn, replica.isUp, replica.isMoving = "", false, false
		},
		"over":  model.endJob,
		"later": model.passTime,
	}
	// Ten of the actions are free of faults: with more faults hardly any move would be completed.
	for i := range 5 {
		actions[fmt.Sprint("goes", i)], actions[fmt.Sprint("well", i)] = model.startAndWrite, model.recoverAll
	}
	return actions
}
