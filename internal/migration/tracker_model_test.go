package migration

import (
	"fmt"
	"slices"
	"time"

	"github.com/micahill/micahill/internal/resource"
	"pgregory.net/rapid"
)

// leaderModel is a shard leader with a few hosts and replicas. It learns late what its workers
// do, a write may be lost or applied late, hosts are lost, and a successor may take over at
// any moment, which has the records and no more.
type leaderModel struct {
	now           time.Time
	tracker       *Tracker
	hosts         map[string]*fakeHost
	replicas      map[replicaKey]*fakeReplica
	jobs          map[string]int
	waiting       map[string]int
	record        []byte
	modRevision   int
	pendingWrites []pendingWrite
	// heard is false after a takeover, until heartbeats have arrived.
	heard bool
}

type fakeHost struct {
	size   float64
	usable bool
}

type fakeReplica struct {
	need float64
	// What is true: where it is, that it runs there, and that it was told to stop.
	runsOn           string
	isUp, stopIssued bool
	// What the leader knows.
	host              string
	attempt           uint64
	running, stopping bool
	// isMoving: it was stopped by a migration and has not run since.
	isMoving bool
}

// pendingWrite is a write in flight.
type pendingWrite struct {
	value       []byte
	version     uint64
	modRevision int
	// abandoned: its answer is not waited for any more.
	abandoned bool
}

// maxModelRecordBytes bounds the model's record.
const maxModelRecordBytes = 3000

func uniform(x float64) resource.Resources { return resource.Resources{CPU: x, GPU: x, Memory: x} }

// Task, RunningReplicas, WaitingTasks, FreeCapacity, Unheard, Downtime and YieldsTo are what
// the tracker asks a shard leader.
func (m *leaderModel) Task(job string, index int) Task {
	r := m.replicas[replicaKey{job, index}]
	if r == nil || m.jobs[job] == 0 {
		return Task{}
	}
	return Task{Known: true, Host: r.host, Attempt: r.attempt, Running: r.running, Stopping: r.stopping}
}

func (m *leaderModel) RunningReplicas(job string) (int, int) {
	running := 0
	for k, r := range m.replicas {
		if k.job == job && r.running && !r.stopping {
			running++
		}
	}
	return running, m.jobs[job]
}

func (m *leaderModel) WaitingTasks(job string) int { return m.waiting[job] }

func (m *leaderModel) freeCPU(id string) float64 {
	free := m.hosts[id].size
	for _, r := range m.replicas {
		if r.host == id {
			free -= r.need
		}
	}
	return free
}

func (m *leaderModel) FreeCapacity(id string) (resource.Resources, bool) {
	return uniform(m.freeCPU(id)), m.hosts[id].usable && m.heard
}

func (m *leaderModel) Unheard(id string) bool                { return m.hosts[id].usable && !m.heard }
func (m *leaderModel) Downtime(string, string) time.Duration { return 5 * time.Second }
func (m *leaderModel) YieldsTo(job, other string) bool       { return other == "large" && job != "never" }

func newLeaderModel() *leaderModel {
	m := &leaderModel{
		now: time.Unix(1_750_000_000, 0), tracker: NewTracker(5 * time.Minute), heard: true,
		hosts: map[string]*fakeHost{}, replicas: map[replicaKey]*fakeReplica{},
		jobs: map[string]int{"one": 1, "never": 1, "two": 2, "three": 3}, waiting: map[string]int{"large": 1, "next": 2},
	}
	for i := range 5 {
		m.hosts[fmt.Sprint("h", i)] = &fakeHost{8, true}
	}
	i := 0
	for _, job := range []string{"one", "two", "three", "never"} {
		for k := range m.jobs[job] {
			host := fmt.Sprint("h", i%5)
			m.replicas[replicaKey{job, k}] = &fakeReplica{need: 2, runsOn: host, isUp: true, host: host, attempt: 1, running: true}
			i++
		}
	}
	return m
}

func (m *leaderModel) replicaKeys() []replicaKey {
	var out []replicaKey
	for k := range m.replicas {
		out = append(out, k)
	}
	slices.SortFunc(out, func(a, b replicaKey) int { return slices.Compare([]byte(fmt.Sprint(a)), []byte(fmt.Sprint(b))) })
	return out
}

// isRecorded says that the stored record has a replica's migration.
func (m *leaderModel) isRecorded(job string, index int, attempt uint64) bool {
	r, err := decodeRecord(m.record)
	for _, p := range r.Plans {
		for _, s := range p.Steps {
			if err == nil && s.Job == job && s.Index == index && s.Attempt == attempt {
				return true
			}
		}
	}
	return false
}

// update stops the replicas that the tracker wants stopped, and checks what must always hold.
func (m *leaderModel) update(t *rapid.T) {
	for _, s := range m.tracker.Update(m.now, m) {
		m.stop(t, s)
	}
	m.checkDowntime(t)
	m.checkHolds(t)
}

// stop stops a replica for its migration, which must be durable and have a place.
func (m *leaderModel) stop(t *rapid.T, s StopRequest) {
	k := replicaKey{s.Job, s.Index}
	r := m.replicas[k]
	if !m.isRecorded(s.Job, s.Index, s.Attempt) {
		t.Fatalf("got %s/%d stopped without a record, want its migration durable", s.Job, s.Index)
	}
	if r.attempt != s.Attempt || r.host == "" || !r.running {
		t.Fatalf("got %s/%d stopped, which is %+v, want attempt %d running", s.Job, s.Index, r, s.Attempt)
	}
	r.stopIssued, r.stopping, r.isMoving = true, true, true
	hasPlace := false
	for _, h := range m.tracker.Holds() {
		if h.Job == s.Job && h.Index == s.Index {
			hasPlace = m.hosts[h.Host].usable && m.freeCPU(h.Host)-m.heldFor(h.Host, k) >= r.need
		}
	}
	if !hasPlace {
		t.Fatalf("got %s/%d stopped without a place, want one held", s.Job, s.Index)
	}
}

// checkDowntime: at most half of a job's replicas are down for migrations, and an only one
// just where it yields.
func (m *leaderModel) checkDowntime(t *rapid.T) {
	for job, replicas := range m.jobs {
		down := 0
		for k, r := range m.replicas {
			if k.job == job && r.isMoving {
				down++
			}
		}
		if replicas > 1 && 2*(replicas-down) < replicas {
			t.Fatalf("%s: got %d of %d replicas down for migrations, want at most half", job, down, replicas)
		}
		if replicas > 0 && job == "never" && down > 0 {
			t.Fatalf("%s: got its only replica down for a migration, want it running, as it does not yield", job)
		}
	}
}

// checkHolds: no place is held for ever, and no replica has two.
func (m *leaderModel) checkHolds(t *rapid.T) {
	seen := map[replicaKey]bool{}
	for _, h := range m.tracker.Holds() {
		if !h.Until.After(m.now) && m.heard || h.Until.Sub(m.now) > maxHold {
			t.Fatalf("got a place held until %v from now, want at most %v, and not in the past", h.Until.Sub(m.now), maxHold)
		}
		if k := (replicaKey{h.Job, h.Index}); h.Index >= 0 {
			if seen[k] {
				t.Fatalf("%v: got two places held, want one", k)
			}
			seen[k] = true
		}
	}
}

// heldFor is what is held on a host for others.
func (m *leaderModel) heldFor(id string, k replicaKey) float64 {
	sum := 0.0
	for _, h := range m.tracker.Holds() {
		if h.Host == id && (h.Job != k.job || h.Index != k.index) {
			sum += h.Need.CPU
		}
	}
	return sum
}

// placeWaiting starts what waits: first what has a place held, then the rest where it fits.
func (m *leaderModel) placeWaiting(t *rapid.T) {
	m.update(t)
	holds := m.tracker.Holds()
	m.checkPlaces(t, holds)
	for _, h := range holds {
		if m.fitsHold(h) {
			m.startHeld(h)
		}
	}
	m.update(t)
	for _, k := range m.replicaKeys() {
		r := m.replicas[k]
		if r.host != "" || m.jobs[k.job] == 0 || slices.ContainsFunc(m.tracker.Holds(), func(h Hold) bool { return h.Job == k.job && h.Index == k.index }) {
			continue
		}
		for i := range 5 {
			if id := fmt.Sprint("h", i); m.hosts[id].usable && m.freeCPU(id)-m.heldFor(id, k) >= r.need {
				r.start(id)
				break
			}
		}
	}
	for id := range m.hosts {
		if free := m.freeCPU(id); free < 0 {
			t.Fatalf("%s: got %v CPUs free, want at least 0", id, free)
		}
	}
}

// fitsHold says whether a hold's place is there, beside the other holds.
func (m *leaderModel) fitsHold(h Hold) bool {
	return m.hosts[h.Host].usable && m.freeCPU(h.Host)-m.heldFor(h.Host, replicaKey{h.Job, h.Index}) >= h.Need.CPU
}

// checkPlaces: a replica that is down waits only for a place that is there.
func (m *leaderModel) checkPlaces(t *rapid.T, holds []Hold) {
	for _, h := range holds {
		if k := (replicaKey{h.Job, h.Index}); h.Index >= 0 && m.heard && m.jobs[h.Job] > 0 && m.replicas[k].host == "" && !m.fitsHold(h) {
			t.Fatalf("%v: got a hold on %s where it does not fit, want a place or none", k, h.Host)
		}
	}
}

// startHeld starts the replica, or a task of the waiting job, that a place is held for.
func (m *leaderModel) startHeld(h Hold) {
	if h.Index >= 0 {
		if r := m.replicas[replicaKey{h.Job, h.Index}]; r.host == "" && m.jobs[h.Job] > 0 {
			r.start(h.Host)
		}
		return
	}
	if m.waiting[h.Job] > 0 {
		m.waiting[h.Job]--
		m.replicas[replicaKey{h.Job + "!", m.waiting[h.Job]}] = &fakeReplica{need: h.Need.CPU, host: h.Host, runsOn: h.Host, isUp: true, running: true, attempt: 1}
		m.tracker.MarkServed(h.Plan)
	}
}

func (r *fakeReplica) start(host string) {
	r.host, r.attempt, r.runsOn, r.isUp, r.stopIssued, r.running, r.stopping = host, r.attempt+1, host, false, false, false, false
}

// startPlan starts a plan of up to MaxMoves moves, drawn without regard to whether they fit.
func (m *leaderModel) startPlan(t *rapid.T) {
	w := WaitingTask{Job: rapid.SampledFrom([]string{"large", "next"}).Draw(t, "for"), Need: uniform(6)}
	p := Plan{Host: fmt.Sprint("h", rapid.IntRange(0, 4).Draw(t, "host"))}
	var attempts []uint64
	for _, k := range rapid.SliceOfNDistinct(rapid.SampledFrom(m.replicaKeys()), 1, MaxMoves, rapid.ID[replicaKey]).Draw(t, "moved") {
		r := m.replicas[k]
		to := fmt.Sprint("h", rapid.IntRange(0, 4).Draw(t, "to"))
		if r.host == "" || r.host == to || m.jobs[k.job] == 0 {
			return
		}
		p.Moves = append(p.Moves, Move{Job: k.job, Index: k.index, From: r.host, To: to, Need: uniform(r.need), Downtime: 5 * time.Second})
		attempts = append(attempts, r.attempt)
	}
	m.tracker.Start(m.now, "team", &w, p, time.Minute, attempts, Limits{MaxRecordBytes: maxModelRecordBytes, MaxMovingFraction: 0.5, KindOf: func(string) (string, int) { return "k", len(m.hosts) }})
}

// applyWrite has the store apply a write, or refuse it if the record has changed.
func (m *leaderModel) applyWrite(s pendingWrite) bool {
	if s.modRevision != m.modRevision {
		return false
	}
	m.record, m.modRevision = s.value, m.modRevision+1
	return true
}

// report has the leader learn what has become of a replica.
func (r *fakeReplica) report() {
	switch {
	case r.host == "" || r.attempt == 0:
	case r.runsOn == "":
		r.host, r.running, r.stopping = "", false, false
	default:
		r.running = r.isUp
		r.isMoving = r.isMoving && !r.isUp
	}
}

// end lets a replica that was told to stop end.
func (r *fakeReplica) end() {
	if r.stopIssued {
		r.runsOn, r.isUp, r.stopIssued = "", false, false
	}
}

// settle lets all replicas do as they were told, and the leader learn of it.
func (m *leaderModel) settle() {
	for _, r := range m.replicas {
		r.end()
		r.isUp = r.runsOn != ""
		r.report()
	}
}

func (m *leaderModel) drawReplica(t *rapid.T) *fakeReplica {
	return m.replicas[rapid.SampledFrom(m.replicaKeys()).Draw(t, "replica")]
}

// startWrite sends the record if a write is due and none is in flight.
func (m *leaderModel) startWrite(t *rapid.T) {
	if _, _, due := m.tracker.WriteDue("team"); !due || slices.ContainsFunc(m.pendingWrites, func(w pendingWrite) bool { return !w.abandoned }) {
		return
	}
	value, version := m.tracker.EncodeRecord("team")
	if len(value) > maxModelRecordBytes {
		t.Fatalf("got a record of %d bytes, want at most %d", len(value), maxModelRecordBytes)
	}
	m.pendingWrites = append(m.pendingWrites, pendingWrite{value: value, version: version, modRevision: m.modRevision})
}

// answerWrite applies, refuses or leaves without an answer one of the writes in flight.
func (m *leaderModel) answerWrite(t *rapid.T) {
	if len(m.pendingWrites) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.pendingWrites)-1).Draw(t, "which")
	w := m.pendingWrites[i]
	switch rapid.IntRange(0, 3).Draw(t, "how") {
	case 0, 1:
		m.pendingWrites = slices.Delete(m.pendingWrites, i, i+1)
		m.receiveAnswer(w, m.applyWrite(w))
	case 2:
		m.pendingWrites = slices.Delete(m.pendingWrites, i, i+1)
		m.receiveAnswer(w, false)
	case 3:
		// No answer; it may be applied later.
		if !w.abandoned {
			m.pendingWrites[i].abandoned = true
			m.tracker.WriteUncertain("team", m.now)
		}
	}
}

func (m *leaderModel) receiveAnswer(w pendingWrite, ok bool) {
	switch {
	case w.abandoned:
	case ok:
		m.tracker.MarkPersisted("team", w.version)
	default:
		m.tracker.WriteRefused("team", m.now)
	}
}

// takeOver has a successor recover the record, which has heard of no host yet.
func (m *leaderModel) takeOver(t *rapid.T) {
	m.tracker, m.heard = NewTracker(5*time.Minute), false
	// The successor's shard has another mod revision: writes in flight fail.
	m.pendingWrites, m.modRevision = nil, m.modRevision+1
	if m.record != nil {
		if err := m.tracker.Recover(m.now, "team", m.record); err != nil {
			t.Fatalf("recovering the record: got error %v, want none", err)
		}
	}
	for _, r := range m.replicas {
		r.running, r.stopping = false, false
	}
}

// loseHost loses a host with all that runs on it, or gets it back.
func (m *leaderModel) loseHost(t *rapid.T) {
	id := fmt.Sprint("h", rapid.IntRange(0, 4).Draw(t, "host"))
	m.hosts[id].usable = rapid.Bool().Draw(t, "back")
	for _, r := range m.replicas {
		if r.runsOn == id && !m.hosts[id].usable {
			r.runsOn, r.isUp, r.host, r.running, r.stopping, r.isMoving = "", false, "", false, false, false
		}
	}
}

// endJob rarely ends a job, and otherwise changes what waits.
func (m *leaderModel) endJob(t *rapid.T) {
	if rapid.IntRange(0, 9).Draw(t, "rarely") > 0 {
		m.waiting[rapid.SampledFrom([]string{"large", "next"}).Draw(t, "job")] = rapid.IntRange(0, 2).Draw(t, "waiting")
		return
	}
	job := rapid.SampledFrom([]string{"one", "two", "three"}).Draw(t, "job")
	m.jobs[job] = 0
	for k, r := range m.replicas {
		if k.job == job {
			*r = fakeReplica{need: r.need, attempt: r.attempt}
		}
	}
}

func (m *leaderModel) passTime(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 90).Draw(t, "s")) * time.Second)
	m.update(t)
}

// startAndWrite starts a plan and makes it durable.
func (m *leaderModel) startAndWrite(t *rapid.T) {
	m.waiting["large"] = max(1, m.waiting["large"])
	m.startPlan(t)
	m.startWrite(t)
	if last := len(m.pendingWrites) - 1; last >= 0 {
		w := m.pendingWrites[last]
		m.pendingWrites = m.pendingWrites[:last]
		m.receiveAnswer(w, m.applyWrite(w))
	}
	m.update(t)
}

// recoverAll lets all that was told happen, and places what waits.
func (m *leaderModel) recoverAll(t *rapid.T) {
	m.heard = true
	m.settle()
	m.placeWaiting(t)
}

// actions are those of the model by name; rapid draws them in the order of their names.
func (m *leaderModel) actions() map[string]func(*rapid.T) {
	actions := map[string]func(*rapid.T){
		"":         m.update,
		"plan":     m.startPlan,
		"place":    m.placeWaiting,
		"write":    m.startWrite,
		"answer":   m.answerWrite,
		"ends":     func(t *rapid.T) { m.drawReplica(t).end() },
		"comesUp":  func(t *rapid.T) { r := m.drawReplica(t); r.isUp = r.runsOn != "" },
		"report":   func(t *rapid.T) { m.drawReplica(t).report() },
		"takeover": m.takeOver,
		"heard":    func(*rapid.T) { m.heard = true },
		"lost":     m.loseHost,
		"fails": func(t *rapid.T) {
			r := m.drawReplica(t)
			r.runsOn, r.isUp, r.isMoving = "", false, false
		},
		"over":  m.endJob,
		"later": m.passTime,
	}
	// Mostly all goes well: with many faults at once little would ever be moved.
	for i := range 5 {
		actions[fmt.Sprint("goes", i)], actions[fmt.Sprint("well", i)] = m.startAndWrite, m.recoverAll
	}
	return actions
}
