package migration

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/micahill/micahill/internal/resource"
	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"
)

// ownerModel is an owner with a few hosts and replicas. What its workers do reaches the books
// late, a write may be lost or applied late, hosts are lost, and another owner may take
// over at any moment, who has the records and no more.
type ownerModel struct {
	now           time.Time
	tracker       *Tracker
	hosts         map[string]*fakeHost
	replicas      map[replicaKey]*fakeReplica
	jobs          map[string]int
	waiting       map[string]int
	record        []byte
	modRevision   int
	pendingWrites []pendingWrite
	// heard is false after a takeover, until reports came.
	heard bool
}

type fakeHost struct {
	size   float64
	usable bool
}

type fakeReplica struct {
	need float64
	// What is so: on is where it runs, up that it does, and halted that it was told to end.
	runsOn         string
	isUp, isHalted bool
	// What the books say.
	host              string
	attempt           uint64
	running, stopping bool
	// moving: it was stopped by a move and has not run since.
	isMoving bool
}

// pendingWrite is a write on its way.
type pendingWrite struct {
	value       []byte
	version     uint64
	modRevision int
	// stray: its answer is not waited for any more.
	abandoned bool
}

func uniform(x float64) resource.Resources { return resource.Resources{CPU: x, GPU: x, Memory: x} }

func (m *ownerModel) Task(job string, index int) Task {
	r := m.replicas[replicaKey{job, index}]
	if r == nil || m.jobs[job] == 0 {
		return Task{}
	}
	return Task{Known: true, Host: r.host, Attempt: r.attempt, Running: r.running, Stopping: r.stopping}
}

func (m *ownerModel) RunningReplicas(job string) (int, int) {
	up := 0
	for k, r := range m.replicas {
		if k.job == job && r.running && !r.stopping {
			up++
		}
	}
	return up, m.jobs[job]
}

func (m *ownerModel) WaitingTasks(job string) int { return m.waiting[job] }

func (m *ownerModel) freeCPU(id string) float64 {
	left := m.hosts[id].size
	for _, r := range m.replicas {
		if r.host == id {
			left -= r.need
		}
	}
	return left
}

func (m *ownerModel) FreeCapacity(id string) (resource.Resources, bool) {
	return uniform(m.freeCPU(id)), m.hosts[id].usable && m.heard
}

func (m *ownerModel) Unheard(id string) bool                { return m.hosts[id].usable && !m.heard }
func (m *ownerModel) Downtime(string, string) time.Duration { return 5 * time.Second }
func (m *ownerModel) YieldsTo(job, other string) bool       { return other == "large" && job != "never" }

func newOwnerModel() *ownerModel {
	m := &ownerModel{
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
			at := fmt.Sprint("h", i%5)
			m.replicas[replicaKey{job, k}] = &fakeReplica{need: 2, runsOn: at, isUp: true, host: at, attempt: 1, running: true}
			i++
		}
	}
	return m
}

func (m *ownerModel) replicaKeys() []replicaKey {
	var out []replicaKey
	for k := range m.replicas {
		out = append(out, k)
	}
	slices.SortFunc(out, func(a, b replicaKey) int { return slices.Compare([]byte(fmt.Sprint(a)), []byte(fmt.Sprint(b))) })
	return out
}

// isRecorded says that the record as it stands has a replica's move.
func (m *ownerModel) isRecorded(job string, index int, try uint64) bool {
	r, err := decodeRecord(m.record)
	for _, p := range r.Plans {
		for _, s := range p.Steps {
			if err == nil && s.Job == job && s.Index == index && s.Attempt == try {
				return true
			}
		}
	}
	return false
}

func (m *ownerModel) update(t *rapid.T) {
	for _, s := range m.tracker.Update(m.now, m) {
		r := m.replicas[replicaKey{s.Job, s.Index}]
		if !m.isRecorded(s.Job, s.Index, s.Attempt) {
			t.Fatalf("%s/%d is stopped without a record", s.Job, s.Index)
		}
		if r.attempt != s.Attempt || r.host == "" || !r.running {
			t.Fatalf("%s/%d is stopped, which is %+v", s.Job, s.Index, r)
		}
		r.isHalted, r.stopping, r.isMoving = true, true, true
		place := false
		for _, h := range m.tracker.Holds() {
			if h.Job == s.Job && h.Index == s.Index {
				place = m.hosts[h.Host].usable && m.freeCPU(h.Host)-m.heldFor(h.Host, replicaKey{s.Job, s.Index}) >= r.need
			}
		}
		if !place {
			t.Fatalf("%s/%d is stopped without a place", s.Job, s.Index)
		}
	}
	for job, of := range m.jobs {
		down := 0
		for k, r := range m.replicas {
			if k.job == job && r.isMoving {
				down++
			}
		}
		if of > 1 && 2*(of-down) < of {
			t.Fatalf("%d of %d replicas of %s are down for moves", down, of, job)
		}
		if of > 0 && job == "never" && down > 0 {
			t.Fatal("an only replica that does not yield is down for a move")
		}
	}
	seen := map[replicaKey]bool{}
	for _, h := range m.tracker.Holds() {
		if !h.Until.After(m.now) && m.heard || h.Until.Sub(m.now) > maxHold {
			t.Fatalf("a place is held until %v from now", h.Until.Sub(m.now))
		}
		if k := (replicaKey{h.Job, h.Index}); h.Index >= 0 {
			if seen[k] {
				t.Fatalf("%v has two places", k)
			}
			seen[k] = true
		}
	}
}

// heldFor is what is held on a host for others.
func (m *ownerModel) heldFor(id string, k replicaKey) float64 {
	sum := 0.0
	for _, h := range m.tracker.Holds() {
		if h.Host == id && (h.Job != k.job || h.Index != k.index) {
			sum += h.Need.CPU
		}
	}
	return sum
}

// placeWaiting starts what waits: what has a place held there, the rest where room is left.
func (m *ownerModel) placeWaiting(t *rapid.T) {
	m.update(t)
	holds := m.tracker.Holds()
	for _, h := range holds {
		if k := (replicaKey{h.Job, h.Index}); h.Index >= 0 && m.heard && m.jobs[h.Job] > 0 && m.replicas[k].host == "" && (!m.hosts[h.Host].usable || m.freeCPU(h.Host)-m.heldFor(h.Host, k) < h.Need.CPU) {
			t.Fatalf("%v is down and waits for a place on %s that is not there", k, h.Host)
		}
	}
	start := func(k replicaKey, at string) {
		r := m.replicas[k]
		r.host, r.attempt, r.runsOn, r.isUp, r.isHalted, r.running, r.stopping = at, r.attempt+1, at, false, false, false, false
	}
	for _, h := range holds {
		if !m.hosts[h.Host].usable || m.freeCPU(h.Host)-m.heldFor(h.Host, replicaKey{h.Job, h.Index}) < h.Need.CPU {
			continue
		}
		if h.Index >= 0 {
			if k := (replicaKey{h.Job, h.Index}); m.replicas[k].host == "" && m.jobs[h.Job] > 0 {
				start(k, h.Host)
			}
		} else if m.waiting[h.Job] > 0 {
			m.waiting[h.Job]--
			m.replicas[replicaKey{h.Job + "!", m.waiting[h.Job]}] = &fakeReplica{need: h.Need.CPU, host: h.Host, runsOn: h.Host, isUp: true, running: true, attempt: 1}
			m.tracker.MarkServed(h.Plan)
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
				start(k, id)
				break
			}
		}
	}
	for id := range m.hosts {
		if m.freeCPU(id) < 0 {
			t.Fatalf("%s has more than it holds", id)
		}
	}
}

func (m *ownerModel) startPlan(t *rapid.T) {
	w := WaitingTask{Job: rapid.SampledFrom([]string{"large", "next"}).Draw(t, "for"), Need: uniform(6)}
	p := Plan{Host: fmt.Sprint("h", rapid.IntRange(0, 4).Draw(t, "host"))}
	var tries []uint64
	for _, k := range rapid.SliceOfNDistinct(rapid.SampledFrom(m.replicaKeys()), 1, MaxMoves, rapid.ID[replicaKey]).Draw(t, "moved") {
		r := m.replicas[k]
		to := fmt.Sprint("h", rapid.IntRange(0, 4).Draw(t, "to"))
		if r.host == "" || r.host == to || m.jobs[k.job] == 0 {
			return
		}
		p.Moves = append(p.Moves, Move{Job: k.job, Index: k.index, From: r.host, To: to, Need: uniform(r.need), Downtime: 5 * time.Second})
		tries = append(tries, r.attempt)
	}
	m.tracker.Start(m.now, "team", &w, p, time.Minute, tries, Limits{MaxRecordBytes: 3000, MaxMovingFraction: 0.5, KindOf: func(string) (string, int) { return "k", len(m.hosts) }})
}

// applyWrite has the state service carry out a write.
func (m *ownerModel) applyWrite(s pendingWrite) bool {
	if s.modRevision != m.modRevision {
		return false
	}
	m.record, m.modRevision = s.value, m.modRevision+1
	return true
}

func TestMigrationsSurvive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newOwnerModel()
		drawn := func() *fakeReplica { return m.replicas[rapid.SampledFrom(m.replicaKeys()).Draw(t, "replica")] }
		report := func(r *fakeReplica) {
			switch {
			case r.host == "" || r.attempt == 0:
			case r.runsOn == "":
				r.host, r.running, r.stopping = "", false, false
			default:
				r.running = r.isUp
				r.isMoving = r.isMoving && !r.isUp
			}
		}
		answer := func(s *pendingWrite, ok bool) {
			if s.abandoned {
				return
			}
			if ok {
				m.tracker.MarkPersisted("team", s.version)
			} else {
				m.tracker.WriteRefused("team", m.now)
			}
		}
		actions := map[string]func(*rapid.T){
			"":      m.update,
			"plan":  m.startPlan,
			"place": m.placeWaiting,
			"write": func(t *rapid.T) {
				if _, _, due := m.tracker.WriteDue("team"); !due || slices.ContainsFunc(m.pendingWrites, func(s pendingWrite) bool { return !s.abandoned }) {
					return
				}
				v, ver := m.tracker.EncodeRecord("team")
				if len(v) > 3000 {
					t.Fatalf("a record of %d bytes", len(v))
				}
				m.pendingWrites = append(m.pendingWrites, pendingWrite{value: v, version: ver, modRevision: m.modRevision})
			},
			"answer": func(t *rapid.T) {
				if len(m.pendingWrites) == 0 {
					return
				}
				i := rapid.IntRange(0, len(m.pendingWrites)-1).Draw(t, "which")
				s := m.pendingWrites[i]
				switch rapid.IntRange(0, 3).Draw(t, "how") {
				case 0, 1:
					m.pendingWrites = slices.Delete(m.pendingWrites, i, i+1)
					answer(&s, m.applyWrite(s))
				case 2:
					m.pendingWrites = slices.Delete(m.pendingWrites, i, i+1)
					answer(&s, false)
				case 3:
					// No answer; it may be applied later.
					if !s.abandoned {
						m.pendingWrites[i].abandoned = true
						m.tracker.WriteUncertain("team", m.now)
					}
				}
			},
			"ends": func(t *rapid.T) {
				if r := drawn(); r.isHalted {
					r.runsOn, r.isUp, r.isHalted = "", false, false
				}
			},
			"comesUp": func(t *rapid.T) { r := drawn(); r.isUp = r.runsOn != "" },
			"report":  func(t *rapid.T) { report(drawn()) },
			"takeover": func(t *rapid.T) {
				m.tracker, m.heard = NewTracker(5*time.Minute), false
				for i := range m.pendingWrites {
					m.pendingWrites[i].abandoned = true
				}
				// The new owner's share is another: what was on its way fails.
				m.pendingWrites, m.modRevision = nil, m.modRevision+1
				if m.record != nil {
					if err := m.tracker.Recover(m.now, "team", m.record); err != nil {
						t.Fatal(err)
					}
				}
				for _, r := range m.replicas {
					r.running, r.stopping = false, false
				}
			},
			"heard": func(t *rapid.T) { m.heard = true },
			"lost": func(t *rapid.T) {
				id := fmt.Sprint("h", rapid.IntRange(0, 4).Draw(t, "host"))
				m.hosts[id].usable = rapid.Bool().Draw(t, "back")
				for _, r := range m.replicas {
					if r.runsOn == id && !m.hosts[id].usable {
						r.runsOn, r.isUp, r.host, r.running, r.stopping, r.isMoving = "", false, "", false, false, false
					}
				}
			},
			"fails": func(t *rapid.T) {
				r := drawn()
				r.runsOn, r.isUp, r.isMoving = "", false, false
			},
			"over": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "rarely") == 0 {
					job := rapid.SampledFrom([]string{"one", "two", "three"}).Draw(t, "job")
					m.jobs[job] = 0
					for k, r := range m.replicas {
						if k.job == job {
							*r = fakeReplica{need: r.need, attempt: r.attempt}
						}
					}
				} else {
					m.waiting[rapid.SampledFrom([]string{"large", "next"}).Draw(t, "job")] = rapid.IntRange(0, 2).Draw(t, "waiting")
				}
			},
			"later": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 90).Draw(t, "s")) * time.Second)
				m.update(t)
			},
		}
		// Mostly all goes well: of many troubles at once little would ever be moved.
		recoverAll := func(t *rapid.T) {
			m.heard = true
			for _, r := range m.replicas {
				if r.isHalted {
					r.runsOn, r.isUp, r.isHalted = "", false, false
				}
				r.isUp = r.runsOn != ""
				report(r)
			}
			m.placeWaiting(t)
		}
		startAndWrite := func(t *rapid.T) {
			m.waiting["large"] = max(1, m.waiting["large"])
			m.startPlan(t)
			actions["write"](t)
			if len(m.pendingWrites) > 0 {
				s := m.pendingWrites[len(m.pendingWrites)-1]
				m.pendingWrites = m.pendingWrites[:len(m.pendingWrites)-1]
				answer(&s, m.applyWrite(s))
			}
			m.update(t)
		}
		for i := range 5 {
			actions[fmt.Sprint("goes", i)], actions[fmt.Sprint("well", i)] = startAndWrite, recoverAll
		}
		t.Repeat(actions)
		// All troubles are over: nothing is held for ever, and nothing waits for it.
		m.heard = true
		for _, h := range m.hosts {
			h.usable = true
		}
		for range 8 {
			m.now = m.now.Add(time.Minute)
			for _, r := range m.replicas {
				if r.isHalted {
					r.runsOn, r.isUp, r.isHalted = "", false, false
				}
				r.isUp = r.runsOn != ""
				report(r)
			}
			m.placeWaiting(t)
		}
		if len(m.tracker.Plans()) > 0 || len(m.tracker.Holds()) > 0 {
			t.Fatalf("still under way: %+v", m.tracker.Plans()[0])
		}
	})
}

func validRecord() record {
	return record{Version: formatVersion, Plans: []planRow{{
		ID: 7, HeldFor: "job-000001", Need: []float64{8, 8, 8}, Host: "vm-1", Until: 1_750_000_060_000, MaxCost: 60000,
		Steps: []stepRow{{"job-000002", 0, 3, "vm-1", "vm-2", []float64{1, 1, 1}, 9000}},
	}}, Recent: []recentRow{{"job-000003", 1, 1_750_000_060_000}}}
}

// TestRecordIsJudged: what makes no sense is refused with its place.
func TestRecordIsJudged(t *testing.T) {
	for name, damage := range map[string]func(*record){
		"v is 2":         func(r *record) { r.Version = 2 },
		"p[0].n":         func(r *record) { r.Plans[0].Need = nil },
		"p[0].h":         func(r *record) { r.Plans[0].Host = "" },
		"p[0].u":         func(r *record) { r.Plans[0].Until = 0 },
		"p[0].s:":        func(r *record) { r.Plans[0].Steps = nil },
		"p[0].s[0].t":    func(r *record) { r.Plans[0].Steps[0].Attempt = 0 },
		"p[0].s[0].f":    func(r *record) { r.Plans[0].Steps[0].To = "vm-1" },
		"p[0].s[0].j":    func(r *record) { r.Plans[0].Steps[0].Index = -1 },
		"p[0].s[1]: job": func(r *record) { p := &r.Plans[0]; p.Steps = append(p.Steps, p.Steps[0]) },
		"p[1].i: 7":      func(r *record) { r.Plans = append(r.Plans, r.Plans[0]) },
		"r[0]":           func(r *record) { r.Recent[0].Job = "" },
	} {
		r := validRecord()
		damage(&r)
		v, err := msgpack.Marshal(r)
		if err != nil {
			t.Fatal(err)
		}
		b := NewTracker(time.Minute)
		err = b.Recover(time.UnixMilli(1_750_000_000_000), "team", v)
		if !errors.Is(err, ErrRecord) || !slices.Contains([]bool{true}, len(err.Error()) > 0) || len(b.Plans()) > 0 {
			t.Errorf("%s: %v, %d plans", name, err, len(b.Plans()))
			continue
		}
		if got := err.Error(); len(got) < len(ErrRecord.Error())+2 || got[len(ErrRecord.Error())+2:][:len(name)] != name {
			t.Errorf("%q is told of as %q", name, got)
		}
	}
	v, _ := msgpack.Marshal(validRecord())
	b := NewTracker(time.Minute)
	now := time.UnixMilli(1_750_000_000_000)
	if err := b.Recover(now, "team", v); err != nil || len(b.Holds()) != 2 || b.MayMove(now, "job-000003", 1) || b.MayMove(now, "job-000002", 0) {
		t.Errorf("%v, %v", err, b.Holds())
	}
	// Another's clock, or a damaged time, holds no place for ever.
	r := validRecord()
	r.Plans[0].Until = now.Add(time.Hour).UnixMilli()
	v, _ = msgpack.Marshal(r)
	b = NewTracker(time.Minute)
	if err := b.Recover(now, "team", v); err != nil || b.Holds()[0].Until.Sub(now) > maxHold {
		t.Errorf("%v, held until %v", err, b.Holds()[0].Until)
	}
}

func FuzzRecord(f *testing.F) {
	v, _ := msgpack.Marshal(validRecord())
	f.Add(v)
	f.Fuzz(func(t *testing.T, b []byte) {
		tracker := NewTracker(time.Minute)
		if err := tracker.Recover(time.UnixMilli(1_750_000_000_000), "team", b); err == nil {
			tracker.EncodeRecord("team")
		}
	})
}
