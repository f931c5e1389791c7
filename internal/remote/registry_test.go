package remote

import (
	"fmt"
	"slices"
	"testing"
	"time"

	_ "github.com/micahill/micahill/internal/testseed"
	"pgregory.net/rapid"
)

// ownerModel is one machine, whose owner changes between the owner of a job (a) and
// another (b), and the attempts of that job on it. Orders and messages are lost, late
// and doubled. Whatever a believes to be gone must be nowhere, for ever.
type ownerModel struct {
	now   time.Time
	epoch uint64
	// mine: the machine is a's. The worker has seen an epoch and has attempts.
	machineIsOwn bool
	seenEpoch    uint64
	present      map[AttemptID]State
	alive        bool
	// commands are starts on their way, with the epoch they were sent under.
	commands []startCommand
	// live are a's attempts that it takes for living, gone those it has proof of.
	live       map[AttemptID]bool
	gone       map[AttemptID]bool
	lastNumber uint64
	registry   *Registry
	requests   []Request
	statuses   []MachineStatus
	// disabled takes one condition out, to show that the model notices.
	disabled string
}

type startCommand struct {
	attempt AttemptID
	epoch   uint64
}

func newOwnerModel() *ownerModel {
	return &ownerModel{
		now: time.Unix(1_750_000_000, 0), epoch: 1, machineIsOwn: true, alive: true,
		present: map[AttemptID]State{}, live: map[AttemptID]bool{}, gone: map[AttemptID]bool{}, registry: &Registry{},
	}
}

func (m *ownerModel) liveAttempts() []AttemptID {
	var out []AttemptID
	for a := range m.live {
		out = append(out, a)
	}
	slices.SortFunc(out, AttemptID.compare)
	return out
}

func (m *ownerModel) isPresent(a AttemptID) bool { s, ok := m.present[a]; return ok && s != Ended }

// believeGone takes it that an attempt is gone.
func (m *ownerModel) believeGone(t *rapid.T, a AttemptID) {
	delete(m.live, a)
	m.gone[a] = true
	m.check(t)
}

func (m *ownerModel) check(t *rapid.T) {
	for a := range m.gone {
		if m.isPresent(a) {
			t.Fatalf("%v is gone for its owner, and on the machine", a)
		}
	}
}

// report is what the machine would say now, to whoever owns it.
func (m *ownerModel) report(t *rapid.T) {
	if !m.alive {
		return
	}
	m.seenEpoch = max(m.seenEpoch, m.epoch)
	var reported []ReportedAttempt
	for a, s := range m.present {
		reported = append(reported, ReportedAttempt{AttemptID: a, State: s, Cause: "done"})
	}
	conclusive := !slices.ContainsFunc(m.commands, func(o startCommand) bool { return o.epoch >= m.epoch })
	if m.disabled == "quiet" {
		conclusive = true
	}
	if m.machineIsOwn {
		for _, a := range m.liveAttempts() {
			if s, ok := m.present[a]; ok && s == Ended || !ok && conclusive {
				m.believeGone(t, a)
			}
		}
		return
	}
	m.registry.ObserveHeartbeat(m.now, "vm", reported, func(string) bool { return m.disabled == "own" }, conclusive)
}

func (m *ownerModel) receiveStatus(t *rapid.T, x MachineStatus) {
	if m.machineIsOwn || x.Epoch != m.epoch && m.disabled != "epoch" {
		return
	}
	for _, w := range x.Attempts {
		if m.live[w.AttemptID] && (w.State == Ended || w.State == Gone) {
			m.believeGone(t, w.AttemptID)
		}
	}
}

func (m *ownerModel) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"": m.check,
		"start": func(t *rapid.T) {
			if m.machineIsOwn && len(m.live) < 4 {
				m.lastNumber++
				a := AttemptID{"job", 0, m.lastNumber}
				m.live[a] = true
				m.commands = append(m.commands, startCommand{a, m.epoch})
			}
		},
		"again": func(t *rapid.T) {
			// What is live and not there is ordered again, under the epoch of now.
			for _, a := range m.liveAttempts() {
				if _, ok := m.present[a]; m.machineIsOwn && !ok {
					m.commands = append(m.commands, startCommand{a, m.epoch})
				}
			}
		},
		"deliver": func(t *rapid.T) {
			if len(m.commands) == 0 {
				return
			}
			i := rapid.IntRange(0, len(m.commands)-1).Draw(t, "order")
			o := m.commands[i]
			if !rapid.Bool().Draw(t, "doubled") || o.epoch < m.seenEpoch {
				m.commands = slices.Delete(m.commands, i, i+1)
			}
			if _, there := m.present[o.attempt]; m.alive && o.epoch >= m.seenEpoch && !there {
				m.seenEpoch = o.epoch
				m.present[o.attempt] = Running
			}
		},
		"end": func(t *rapid.T) {
			for _, a := range m.liveAttempts() {
				if m.isPresent(a) {
					m.present[a] = Ended
					return
				}
			}
		},
		"report": m.report,
		"move": func(t *rapid.T) {
			m.epoch++
			m.machineIsOwn = !m.machineIsOwn
			m.registry.ForgetMachine("vm")
		},
		"die": func(t *rapid.T) {
			if rapid.IntRange(0, 9).Draw(t, "seldom") == 0 && !m.machineIsOwn {
				// Its return is answered: nothing there comes back.
				m.alive = false
				clear(m.present)
				m.registry.MarkMachineGone(m.now, "vm", func(AttemptID) bool { return false })
			}
		},
		"ask": func(t *rapid.T) {
			x := Request{Machine: "vm"}
			for _, a := range m.liveAttempts() {
				x.Attempts = append(x.Attempts, AttemptRequest{AttemptID: a, Intent: Intent(rapid.IntRange(0, 1).Draw(t, "want"))})
			}
			m.requests = append(m.requests, x)
		},
		"asked": func(t *rapid.T) {
			if len(m.requests) > 0 && !m.machineIsOwn {
				m.registry.Request(m.now, "a", m.requests[rapid.IntRange(0, len(m.requests)-1).Draw(t, "ask")])
			}
		},
		"tell": func(t *rapid.T) {
			m.now = m.now.Add(2 * time.Second)
			if m.machineIsOwn {
				return
			}
			out := m.registry.DueStatuses(m.now, func(string) (MachineInfo, bool) {
				return MachineInfo{Epoch: m.epoch, JobOwner: func(string) string { return "a" }}, true
			})
			m.statuses = append(m.statuses, out["a"]...)
		},
		"told": func(t *rapid.T) {
			// One of all that were ever sent: late, doubled, out of turn.
			if len(m.statuses) > 0 {
				m.receiveStatus(t, m.statuses[rapid.IntRange(0, len(m.statuses)-1).Draw(t, "tell")])
			}
		},
	}
}

// TestNoLiveAttemptIsBelievedGone: no word, however late, makes a job's owner believe an attempt gone
// that is on the machine or may yet begin there.
func TestNoLiveAttemptIsBelievedGone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { t.Repeat(newOwnerModel().actions()) })
}

// TestModelNotices: without a condition the model finds a task that is gone for its
// owner and on its machine; otherwise the model is worth nothing.
func TestModelNotices(t *testing.T) {
	attempt := func(n uint64) AttemptID { return AttemptID{"job", 0, n} }
	detects := func(disabled string, steps func(m *ownerModel, rt *rapid.T)) (noticed bool) {
		// The steps are known; rapid only lends its T.
		rapid.Check(t, func(rt *rapid.T) {
			m := newOwnerModel()
			m.disabled = disabled
			defer func() {
				if r := recover(); r != nil {
					noticed = true
				}
			}()
			steps(m, rt)
			for a := range m.gone {
				noticed = noticed || m.isPresent(a)
			}
		})
		return noticed
	}
	// A word from before the machine came back to the job's owner, who has started
	// the attempt meanwhile.
	lateStatus := func(m *ownerModel, rt *rapid.T) {
		m.live[attempt(1)] = true
		m.epoch, m.machineIsOwn = 2, false
		m.registry.Request(m.now, "a", Request{Machine: "vm", Attempts: []AttemptRequest{{AttemptID: attempt(1)}}})
		m.report(rt)
		old := m.registry.DueStatuses(m.now, func(string) (MachineInfo, bool) {
			return MachineInfo{Epoch: 2, JobOwner: func(string) string { return "" }}, true
		})["a"]
		m.epoch, m.machineIsOwn = 4, false
		m.present[attempt(1)] = Running // started under epoch 3, when the machine was a's
		for _, x := range old {
			if x.Epoch == m.epoch || m.disabled == "epoch" {
				for _, w := range x.Attempts {
					if w.State == Gone {
						m.gone[w.AttemptID] = true
					}
				}
			}
		}
	}
	if !detects("epoch", lateStatus) || detects("", lateStatus) {
		t.Error("a late word under an older epoch goes unnoticed")
	}
	// The machine's owner still takes the job for its own and hides the attempt.
	hiddenAttempt := func(m *ownerModel, rt *rapid.T) {
		m.machineIsOwn = false
		m.present[attempt(1)] = Running
		m.registry.Request(m.now, "a", Request{Machine: "vm", Attempts: []AttemptRequest{{AttemptID: attempt(1)}}})
		m.registry.ObserveHeartbeat(m.now, "vm", []ReportedAttempt{{AttemptID: attempt(1), State: Running}}, func(string) bool { return true }, true)
		for _, x := range m.registry.DueStatuses(m.now, func(string) (MachineInfo, bool) { return MachineInfo{Epoch: m.epoch}, true })["a"] {
			for _, w := range x.Attempts {
				if w.State == Gone {
					m.gone[w.AttemptID] = true
				}
			}
		}
	}
	if detects("", hiddenAttempt) {
		t.Error("an attempt that is on the machine is told to be gone, since its job was thought to be the owner's own")
	}
}

// TestRegistry: what is asked for is stopped once and for all, counts as room, and is
// told again until its owner has heard.
func TestRegistry(t *testing.T) {
	now := time.Unix(1_750_000_000, 0)
	a, b := AttemptID{"j", 0, 1}, AttemptID{"j", 1, 1}
	d := &Registry{}
	about := func(string) (MachineInfo, bool) {
		return MachineInfo{Epoch: 7, Zone: "z", JobOwner: func(string) string { return "c" }}, true
	}
	own := func(string) bool { return false }
	if !d.Request(now, "a", Request{"vm", []AttemptRequest{{AttemptID: a, Intent: Stop}}}) {
		t.Error("a stop is no news")
	}
	if d.Request(now, "a", Request{"vm", []AttemptRequest{{AttemptID: a}}}); len(d.LiveAttempts("vm")) != 1 {
		t.Errorf("%v take room, want what may yet begin", d.LiveAttempts("vm"))
	}
	d.ObserveHeartbeat(now, "vm", []ReportedAttempt{{AttemptID: a, State: Running}, {AttemptID: b, State: Running}}, own, true)
	if _, w, ok := d.Find("vm", a); !ok || w.Intent != Stop {
		t.Errorf("a later word that keeps it has undone a stop: %v", w)
	}
	statuses := d.DueStatuses(now, about)
	if len(statuses["a"]) != 1 || len(statuses["c"]) != 1 || statuses["a"][0].Epoch != 7 || statuses["c"][0].Attempts[0].AttemptID != b {
		t.Errorf("told %v, want one to who asked and one to the owner of what nobody asked for", statuses)
	}
	if again := d.DueStatuses(now.Add(time.Millisecond), about); len(again) != 0 {
		t.Errorf("told at once again: %v", again)
	}
	d.ObserveHeartbeat(now, "vm", []ReportedAttempt{{AttemptID: b, State: Running}}, own, false)
	if got := d.DueStatuses(now.Add(resendEvery), about)["a"][0].Attempts[0].State; got != Unknown {
		t.Errorf("absent without proof is told as %v", got)
	}
	d.ObserveHeartbeat(now, "vm", []ReportedAttempt{{AttemptID: b, State: Running}}, own, true)
	if got := d.DueStatuses(now.Add(resendEvery), about)["a"][0].Attempts[0].State; got != Gone {
		t.Errorf("absent with proof is told as %v", got)
	}
	if len(d.LiveAttempts("vm")) != 1 || d.HasUnreported("vm") {
		t.Errorf("%v take room", d.LiveAttempts("vm"))
	}
	// Nobody asks any more, and nothing is there: it is forgotten.
	d.ObserveHeartbeat(now, "vm", nil, own, true)
	d.DueStatuses(now.Add(2*requestTTL), about)
	if len(d.Machines()) != 0 {
		t.Errorf("%v is kept in mind", d.Machines())
	}
}

// TestForgetObservations: what a machine's owner saw under an epoch that has passed is not told
// under the next. Behind with its reading it may have taken the machine for its own
// while another started there what it then did not see.
func TestForgetObservations(t *testing.T) {
	now := time.Unix(1_750_000_000, 0)
	d := &Registry{}
	a := AttemptID{"j", 0, 1}
	own := func(string) bool { return false }
	d.Request(now, "a", Request{"vm", []AttemptRequest{{AttemptID: a, Intent: Stop}}})
	d.ObserveHeartbeat(now, "vm", nil, own, true)
	d.ForgetObservations("vm")
	told := d.DueStatuses(now, func(string) (MachineInfo, bool) {
		return MachineInfo{Epoch: 9, JobOwner: func(string) string { return "" }}, true
	})["a"][0]
	if got := told.Attempts[0].State; got != Unknown {
		t.Errorf("told as %v under epoch %d, though it was seen under an earlier one", got, told.Epoch)
	}
	if _, w, ok := d.Find("vm", a); !ok || w.Intent != Stop {
		t.Error("what was asked for is forgotten as well")
	}
}

// TestMessagesAreBounded: of more attempts than a message may hold the rest is told in
// the next round, and none is left out for ever.
func TestMessagesAreBounded(t *testing.T) {
	now := time.Unix(1_750_000_000, 0)
	d := &Registry{}
	const machines, each = 900, 10
	for i := range machines {
		x := Request{Machine: fmt.Sprintf("vm-%04d", i)}
		for k := range each {
			x.Attempts = append(x.Attempts, AttemptRequest{AttemptID: AttemptID{fmt.Sprintf("job-%04d", i), k, 1}})
		}
		d.Request(now, "a", x)
	}
	reportedMachines := map[string]bool{}
	for range 10 {
		n := 0
		for _, x := range d.DueStatuses(now, func(string) (MachineInfo, bool) {
			return MachineInfo{Epoch: 1, JobOwner: func(string) string { return "" }}, true
		})["a"] {
			n += len(x.Attempts)
			reportedMachines[x.Machine] = true
		}
		if n > maxAttemptsPerMessage {
			t.Fatalf("%d attempts in a message", n)
		}
	}
	if len(reportedMachines) != machines {
		t.Errorf("%d of %d machines are told of", len(reportedMachines), machines)
	}
}

// TestLost: what is asked for is gone with its machine, but for what began since.
func TestLost(t *testing.T) {
	now := time.Unix(1_750_000_000, 0)
	a, b := AttemptID{"j", 0, 1}, AttemptID{"j", 1, 1}
	d := &Registry{}
	d.Request(now, "a", Request{"vm", []AttemptRequest{{AttemptID: a}, {AttemptID: b}}})
	d.MarkMachineGone(now, "vm", func(x AttemptID) bool { return x == b })
	if got := d.LiveAttempts("vm"); len(got) != 1 || got[0] != b {
		t.Errorf("%v may still live, want %v alone", got, b)
	}
}
