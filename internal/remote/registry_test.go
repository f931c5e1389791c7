package remote

import (
	"fmt"
	"slices"
	"testing"
	"time"

	_ "github.com/micahill/micahill/internal/testseed"
	"pgregory.net/rapid"
)

// ownerModel is one machine, whose owner alternates between a job's owner (a) and another
// controller (b), and the attempts of that job on it. Commands and messages are lost, late and
// duplicated. Whatever a believes to be gone must be absent for ever.
type ownerModel struct {
	now   time.Time
	epoch uint64
	// machineIsOwn: a owns the machine. seenEpoch and present are the worker's.
	machineIsOwn bool
	seenEpoch    uint64
	present      map[AttemptID]State
	alive        bool
	// commands are starts in flight, with the epoch they were sent under.
	commands []startCommand
	// live are the attempts that a believes to be live; gone those it has proof of.
	live       map[AttemptID]bool
	gone       map[AttemptID]bool
	lastNumber uint64
	registry   *Registry
	requests   []Request
	statuses   []MachineStatus
	// disabled removes one condition, to show that the model detects that.
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

// believeGone makes a believe that an attempt is gone.
func (m *ownerModel) believeGone(t *rapid.T, a AttemptID) {
	delete(m.live, a)
	m.gone[a] = true
	m.check(t)
}

func (m *ownerModel) check(t *rapid.T) {
	for a := range m.gone {
		if m.isPresent(a) {
			t.Fatalf("attempt %v: its owner believes it gone, and it is on the machine", a)
		}
	}
}

// sendHeartbeat sends a heartbeat to whoever owns the machine.
func (m *ownerModel) sendHeartbeat(t *rapid.T) {
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
		"add duplicate start": func(t *rapid.T) {
			// A live but absent attempt is started again, under the present epoch.
			for _, a := range m.liveAttempts() {
				if _, ok := m.present[a]; m.machineIsOwn && !ok {
					m.commands = append(m.commands, startCommand{a, m.epoch})
				}
			}
		},
		"deliver command": func(t *rapid.T) {
			if len(m.commands) == 0 {
				return
			}
			i := rapid.IntRange(0, len(m.commands)-1).Draw(t, "command")
			o := m.commands[i]
			if !rapid.Bool().Draw(t, "duplicated") || o.epoch < m.seenEpoch {
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
		"receive heartbeat": m.sendHeartbeat,
		"move machine": func(t *rapid.T) {
			m.epoch++
			m.machineIsOwn = !m.machineIsOwn
			m.registry.ForgetMachine("vm")
		},
		"die": func(t *rapid.T) {
			if rapid.IntRange(0, 9).Draw(t, "rarely") == 0 && !m.machineIsOwn {
				// The cloud has confirmed its release: nothing there comes back.
				m.alive = false
				clear(m.present)
				m.registry.MarkMachineGone(m.now, "vm", func(AttemptID) bool { return false })
			}
		},
		"add request": func(t *rapid.T) {
			x := Request{Machine: "vm"}
			for _, a := range m.liveAttempts() {
				x.Attempts = append(x.Attempts, AttemptRequest{AttemptID: a, Intent: Intent(rapid.IntRange(0, 1).Draw(t, "intent"))})
			}
			m.requests = append(m.requests, x)
		},
		"apply request": func(t *rapid.T) {
			if len(m.requests) > 0 && !m.machineIsOwn {
				m.registry.Request(m.now, "a", m.requests[rapid.IntRange(0, len(m.requests)-1).Draw(t, "request")])
			}
		},
		"transmit statuses": func(t *rapid.T) {
			m.now = m.now.Add(2 * time.Second)
			if m.machineIsOwn {
				return
			}
			out := m.registry.DueStatuses(m.now, func(string) (MachineInfo, bool) {
				return MachineInfo{Epoch: m.epoch, JobOwner: func(string) string { return "a" }}, true
			})
			m.statuses = append(m.statuses, out["a"]...)
		},
		"transmitted status arrives": func(t *rapid.T) {
			// Any message that was ever sent: late, duplicated, out of order.
			if len(m.statuses) > 0 {
				m.receiveStatus(t, m.statuses[rapid.IntRange(0, len(m.statuses)-1).Draw(t, "status")])
			}
		},
	}
}

// TestNoLiveAttemptIsBelievedGone: no message, however late, makes a job's owner believe an
// attempt gone that is on the machine or may yet start there.
func TestNoLiveAttemptIsBelievedGone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { t.Repeat(newOwnerModel().actions()) })
}

// TestModelNotices: without a condition the model finds a task that its owner believes gone
// and that is on its machine; otherwise the model would be worthless.
func TestModelNotices(t *testing.T) {
	attempt := func(n uint64) AttemptID { return AttemptID{"job", 0, n} }
	detects := func(disabled string, steps func(m *ownerModel, rt *rapid.T)) (noticed bool) {
		// The steps are fixed; only rapid's T is needed.
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
	// A status from before the machine came back to the job's owner, which has started the
	// attempt meanwhile.
	lateStatus := func(m *ownerModel, rt *rapid.T) {
		m.live[attempt(1)] = true
		m.epoch, m.machineIsOwn = 2, false
		m.registry.Request(m.now, "a", Request{Machine: "vm", Attempts: []AttemptRequest{{AttemptID: attempt(1)}}})
		m.sendHeartbeat(rt)
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
		t.Error("late status of an older epoch: got undetected without the condition, or detected with it")
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
		t.Error("attempt on the machine is published as gone while its job is taken for the owner's own")
	}
}

// TestRegistry: a requested stop is final, a requested attempt takes capacity, and a status is
// sent again until its owner has received it.
func TestRegistry(t *testing.T) {
	now := time.Unix(1_750_000_000, 0)
	a, b := AttemptID{"j", 0, 1}, AttemptID{"j", 1, 1}
	d := &Registry{}
	infoOf := func(string) (MachineInfo, bool) {
		return MachineInfo{Epoch: 7, Zone: "z", JobOwner: func(string) string { return "c" }}, true
	}
	own := func(string) bool { return false }
	if !d.Request(now, "a", Request{"vm", []AttemptRequest{{AttemptID: a, Intent: Stop}}}) {
		t.Error("Request: got no change for a stop, want one")
	}
	if d.Request(now, "a", Request{"vm", []AttemptRequest{{AttemptID: a}}}); len(d.LiveAttempts("vm")) != 1 {
		t.Errorf("LiveAttempts: got %v, want the attempt that may yet start", d.LiveAttempts("vm"))
	}
	d.ObserveHeartbeat(now, "vm", []ReportedAttempt{{AttemptID: a, State: Running}, {AttemptID: b, State: Running}}, own, true)
	if _, w, ok := d.Find("vm", a); !ok || w.Intent != Stop {
		t.Errorf("Find after a late Keep: got %v, want Stop", w)
	}
	statuses := d.DueStatuses(now, infoOf)
	if len(statuses["a"]) != 1 || len(statuses["c"]) != 1 || statuses["a"][0].Epoch != 7 || statuses["c"][0].Attempts[0].AttemptID != b {
		t.Errorf("DueStatuses: got %v, want one for the requester and one for the job's owner", statuses)
	}
	if again := d.DueStatuses(now.Add(time.Millisecond), infoOf); len(again) != 0 {
		t.Errorf("DueStatuses without a change: got %v, want none", again)
	}
	d.ObserveHeartbeat(now, "vm", []ReportedAttempt{{AttemptID: b, State: Running}}, own, false)
	if got := d.DueStatuses(now.Add(resendEvery), infoOf)["a"][0].Attempts[0].State; got != Unknown {
		t.Errorf("absent without proof: got state %v, want Unknown", got)
	}
	d.ObserveHeartbeat(now, "vm", []ReportedAttempt{{AttemptID: b, State: Running}}, own, true)
	if got := d.DueStatuses(now.Add(resendEvery), infoOf)["a"][0].Attempts[0].State; got != Gone {
		t.Errorf("absent with proof: got state %v, want Gone", got)
	}
	if len(d.LiveAttempts("vm")) != 1 || d.HasUnreported("vm") {
		t.Errorf("LiveAttempts: got %v, want one, and none unreported", d.LiveAttempts("vm"))
	}
	// No more requests, and nothing there: it is forgotten.
	d.ObserveHeartbeat(now, "vm", nil, own, true)
	d.DueStatuses(now.Add(2*requestTTL), infoOf)
	if len(d.Machines()) != 0 {
		t.Errorf("Machines: got %v, want none", d.Machines())
	}
}

// TestForgetObservations: what a machine's owner observed under an earlier epoch is not
// published under the next. While its reads lagged behind it may have taken the machine for
// its own, and another owner may have started there what it then did not see.
func TestForgetObservations(t *testing.T) {
	now := time.Unix(1_750_000_000, 0)
	d := &Registry{}
	a := AttemptID{"j", 0, 1}
	own := func(string) bool { return false }
	d.Request(now, "a", Request{"vm", []AttemptRequest{{AttemptID: a, Intent: Stop}}})
	d.ObserveHeartbeat(now, "vm", nil, own, true)
	d.ForgetObservations("vm")
	status := d.DueStatuses(now, func(string) (MachineInfo, bool) {
		return MachineInfo{Epoch: 9, JobOwner: func(string) string { return "" }}, true
	})["a"][0]
	if got := status.Attempts[0].State; got != Unknown {
		t.Errorf("got state %v under epoch %d, want Unknown: it was observed under an earlier epoch", got, status.Epoch)
	}
	if _, w, ok := d.Find("vm", a); !ok || w.Intent != Stop {
		t.Error("request is forgotten as well")
	}
}

// TestMessagesAreBounded: of more attempts than a message may hold the rest is sent in the
// next round, and none is left out for ever.
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
			t.Fatalf("got %d attempts in a message, want fewer", n)
		}
	}
	if len(reportedMachines) != machines {
		t.Errorf("got statuses of %d of %d machines, want all", len(reportedMachines), machines)
	}
}

// TestLost: requested attempts are gone with their machine, except those started since.
func TestLost(t *testing.T) {
	now := time.Unix(1_750_000_000, 0)
	a, b := AttemptID{"j", 0, 1}, AttemptID{"j", 1, 1}
	d := &Registry{}
	d.Request(now, "a", Request{"vm", []AttemptRequest{{AttemptID: a}, {AttemptID: b}}})
	d.MarkMachineGone(now, "vm", func(x AttemptID) bool { return x == b })
	if got := d.LiveAttempts("vm"); len(got) != 1 || got[0] != b {
		t.Errorf("LiveAttempts: got %v, want %v alone", got, b)
	}
}
