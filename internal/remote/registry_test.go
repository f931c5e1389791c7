package remote

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	_ "github.com/micahill/micahill/internal/testseed"
	"pgregory.net/rapid"
)

// ownerModel models one machine, whose owner alternates between a job's owner (a) and
// another controller (b), and the attempts of that job on the machine. Commands and messages
// may be lost, late and duplicated. Invariant: an attempt that a believes gone is never on
// the machine again.
type ownerModel struct {
	now   time.Time
	epoch uint64
	// machineIsOwn means that a owns the machine. seenEpoch, present and alive are the state
	// of the machine's worker.
	machineIsOwn bool
	seenEpoch    uint64
	present      map[AttemptID]State
	alive        bool
	// commands holds the starts in flight, with the epochs under which they were sent.
	commands []startCommand
	// live holds the attempts that a believes live, and gone the attempts that a believes
	// gone.
	live       map[AttemptID]bool
	gone       map[AttemptID]bool
	lastNumber uint64
	registry   *Registry
	requests   []Request
	statuses   []MachineStatus
	// disabled names a condition that is removed, to show that the model detects its
	// absence.
	disabled string
}

// startCommand is a start command in flight.
type startCommand struct {
	attempt AttemptID
	epoch   uint64
}

// newOwnerModel returns a model in which a owns the machine under epoch 1.
func newOwnerModel() *ownerModel {
	return &ownerModel{
		now: time.Unix(1_750_000_000, 0), epoch: 1, machineIsOwn: true, alive: true,
		present: map[AttemptID]State{}, live: map[AttemptID]bool{}, gone: map[AttemptID]bool{}, registry: &Registry{},
	}
}

// liveAttempts returns the attempts that a believes live, sorted.
func (model *ownerModel) liveAttempts() []AttemptID {
	var attempts []AttemptID
	for attempt := range model.live {
		attempts = append(attempts, attempt)
	}
	slices.SortFunc(attempts, AttemptID.compare)
	return attempts
}

// isPresent reports whether the attempt runs on the machine.
func (model *ownerModel) isPresent(attempt AttemptID) bool {
	state, ok := model.present[attempt]
	return ok && state != Ended
}

// believeGone makes a believe that an attempt is gone.
func (model *ownerModel) believeGone(t *rapid.T, attempt AttemptID) {
	delete(model.live, attempt)
	model.gone[attempt] = true
	model.check(t)
}

// check fails the test if an attempt that a believes gone is on the machine.
func (model *ownerModel) check(t *rapid.T) {
	for attempt := range model.gone {
		if model.isPresent(attempt) {
			t.Fatalf("attempt %v: its job's owner believes it gone, but it is on the machine", attempt)
		}
	}
}

// sendHeartbeat delivers a heartbeat of the machine to its current owner.
func (model *ownerModel) sendHeartbeat(t *rapid.T) {
	if !model.alive {
		return
	}
	model.seenEpoch = max(model.seenEpoch, model.epoch)
	var reported []ReportedAttempt
	for attempt, state := range model.present {
		reported = append(reported, ReportedAttempt{AttemptID: attempt, State: state, Cause: "done"})
	}
	conclusive := !slices.ContainsFunc(model.commands, func(command startCommand) bool { return command.epoch >= model.epoch })
	if model.disabled == "quiet" {
		conclusive = true
	}
	if model.machineIsOwn {
		for _, attempt := range model.liveAttempts() {
			if state, ok := model.present[attempt]; ok && state == Ended || !ok && conclusive {
				model.believeGone(t, attempt)
			}
		}
		return
	}
	model.registry.ObserveHeartbeat(model.now, "vm", reported, func(string) bool { return model.disabled == "own" }, conclusive)
}

// receiveStatus delivers a status of the machine's owner to a.
func (model *ownerModel) receiveStatus(t *rapid.T, status MachineStatus) {
	if model.machineIsOwn || status.Epoch != model.epoch && model.disabled != "epoch" {
		return
	}
	for _, attempt := range status.Attempts {
		if model.live[attempt.AttemptID] && (attempt.State == Ended || attempt.State == Gone) {
			model.believeGone(t, attempt.AttemptID)
		}
	}
}

// actions returns the random actions of the model by name; the action "" checks the invariant.
func (model *ownerModel) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"": model.check,
		"start": func(t *rapid.T) {
			if model.machineIsOwn && len(model.live) < 4 {
				model.lastNumber++
				attempt := AttemptID{"job", 0, model.lastNumber}
				model.live[attempt] = true
				model.commands = append(model.commands, startCommand{attempt, model.epoch})
			}
		},
		"add duplicate start": func(t *rapid.T) {
			// A live but absent attempt is started again, under the current epoch.
			for _, attempt := range model.liveAttempts() {
				if _, ok := model.present[attempt]; model.machineIsOwn && !ok {
					model.commands = append(model.commands, startCommand{attempt, model.epoch})
				}
			}
		},
		"deliver command": func(t *rapid.T) {
			if len(model.commands) == 0 {
				return
			}
			i := rapid.IntRange(0, len(model.commands)-1).Draw(t, "command")
			command := model.commands[i]
			if !rapid.Bool().Draw(t, "duplicated") || command.epoch < model.seenEpoch {
				model.commands = slices.Delete(model.commands, i, i+1)
			}
			if _, present := model.present[command.attempt]; model.alive && command.epoch >= model.seenEpoch && !present {
				model.seenEpoch = command.epoch
				model.present[command.attempt] = Running
			}
		},
		"end": func(t *rapid.T) {
			for _, attempt := range model.liveAttempts() {
				if model.isPresent(attempt) {
					model.present[attempt] = Ended
					return
				}
			}
		},
		"receive heartbeat": model.sendHeartbeat,
		"move machine": func(t *rapid.T) {
			model.epoch++
			model.machineIsOwn = !model.machineIsOwn
			model.registry.ForgetMachine("vm")
		},
		"die": func(t *rapid.T) {
			if rapid.IntRange(0, 9).Draw(t, "rarely") == 0 && !model.machineIsOwn {
				// The cloud has confirmed the release: no attempt on the machine can come
				// back.
				model.alive = false
				clear(model.present)
				model.registry.MarkMachineGone(model.now, "vm", func(AttemptID) bool { return false })
			}
		},
		"add request": func(t *rapid.T) {
			request := Request{Machine: "vm"}
			for _, attempt := range model.liveAttempts() {
				request.Attempts = append(request.Attempts, AttemptRequest{AttemptID: attempt, Intent: Intent(rapid.IntRange(0, 1).Draw(t, "intent"))})
			}
			model.requests = append(model.requests, request)
		},
		"apply request": func(t *rapid.T) {
			if len(model.requests) > 0 && !model.machineIsOwn {
				model.registry.Request(model.now, "a", model.requests[rapid.IntRange(0, len(model.requests)-1).Draw(t, "request")])
			}
		},
		"transmit statuses": func(t *rapid.T) {
			model.now = model.now.Add(2 * time.Second)
			if model.machineIsOwn {
				return
			}
			out := model.registry.DueStatuses(model.now, func(string) (MachineInfo, bool) {
				return MachineInfo{Epoch: model.epoch, JobOwner: func(string) string { return "a" }}, true
			})
			model.statuses = append(model.statuses, out["a"]...)
		},
		"transmitted status arrives": func(t *rapid.T) {
			// Any status that was ever sent may arrive: late, duplicated or out of order.
			if len(model.statuses) > 0 {
				model.receiveStatus(t, model.statuses[rapid.IntRange(0, len(model.statuses)-1).Draw(t, "status")])
			}
		},
	}
}

// TestNoLiveAttemptIsBelievedGone checks that no message, however late, makes a job's owner
// believe an attempt gone that is on the machine or may still start there.
func TestNoLiveAttemptIsBelievedGone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { t.Repeat(newOwnerModel().actions()) })
}

// TestModelDetectsMissingCondition checks that the model detects a missing condition: without the condition,
// a job's owner believes an attempt gone that is on the machine. A model that misses this
// would prove nothing.
func TestModelDetectsMissingCondition(t *testing.T) {
	attempt := func(n uint64) AttemptID { return AttemptID{"job", 0, n} }
	detects := func(disabled string, steps func(model *ownerModel, rt *rapid.T)) (noticed bool) {
		// The steps are fixed; rapid.Check only supplies a *rapid.T.
		rapid.Check(t, func(rt *rapid.T) {
			model := newOwnerModel()
			model.disabled = disabled
			defer func() {
				if r := recover(); r != nil {
					noticed = true
				}
			}()
			steps(model, rt)
			for a := range model.gone {
				noticed = noticed || model.isPresent(a)
			}
		})
		return noticed
	}
	// A status arrives that was sent before the machine came back to the job's owner, which
	// has started the attempt since.
	lateStatus := func(model *ownerModel, rt *rapid.T) {
		model.live[attempt(1)] = true
		model.epoch, model.machineIsOwn = 2, false
		model.registry.Request(model.now, "a", Request{Machine: "vm", Attempts: []AttemptRequest{{AttemptID: attempt(1)}}})
		model.sendHeartbeat(rt)
		statuses := model.registry.DueStatuses(model.now, func(string) (MachineInfo, bool) {
			return MachineInfo{Epoch: 2, JobOwner: func(string) string { return "" }}, true
		})["a"]
		model.epoch, model.machineIsOwn = 4, false
		model.present[attempt(1)] = Running // started under epoch 3, when a owned the machine
		for _, status := range statuses {
			if status.Epoch == model.epoch || model.disabled == "epoch" {
				for _, reported := range status.Attempts {
					if reported.State == Gone {
						model.gone[reported.AttemptID] = true
					}
				}
			}
		}
	}
	if !detects("epoch", lateStatus) || detects("", lateStatus) {
		t.Error("late status of an older epoch: got no detection without the condition, or a detection with it")
	}
	// The machine's owner still considers the job its own and hides the attempt.
	hiddenAttempt := func(model *ownerModel, rt *rapid.T) {
		model.machineIsOwn = false
		model.present[attempt(1)] = Running
		model.registry.Request(model.now, "a", Request{Machine: "vm", Attempts: []AttemptRequest{{AttemptID: attempt(1)}}})
		model.registry.ObserveHeartbeat(model.now, "vm", []ReportedAttempt{{AttemptID: attempt(1), State: Running}}, func(string) bool { return true }, true)
		for _, status := range model.registry.DueStatuses(model.now, func(string) (MachineInfo, bool) { return MachineInfo{Epoch: model.epoch}, true })["a"] {
			for _, reported := range status.Attempts {
				if reported.State == Gone {
					model.gone[reported.AttemptID] = true
				}
			}
		}
	}
	if detects("", hiddenAttempt) {
		t.Error("got an attempt on the machine published as gone because the owner considers its job its own, want it tracked")
	}
}

// TestRequestsAndStatuses checks that a requested stop is final, that a requested attempt uses
// capacity, and that a status is sent again periodically, which makes up for a lost message.
func TestRequestsAndStatuses(t *testing.T) {
	now := time.Unix(1_750_000_000, 0)
	a, b := AttemptID{"j", 0, 1}, AttemptID{"j", 1, 1}
	registry := &Registry{}
	infoOf := func(string) (MachineInfo, bool) {
		return MachineInfo{Epoch: 7, Zone: "z", JobOwner: func(string) string { return "c" }}, true
	}
	own := func(string) bool { return false }
	if !registry.Request(now, "a", Request{"vm", []AttemptRequest{{AttemptID: a, Intent: Stop}}}) {
		t.Error("Request: got no change after a stop, want one")
	}
	if registry.Request(now, "a", Request{"vm", []AttemptRequest{{AttemptID: a}}}); len(registry.LiveAttempts("vm")) != 1 {
		t.Errorf("LiveAttempts: got %v, want the attempt that may still start", registry.LiveAttempts("vm"))
	}
	registry.ObserveHeartbeat(now, "vm", []ReportedAttempt{{AttemptID: a, State: Running}, {AttemptID: b, State: Running}}, own, true)
	if _, request, ok := registry.Find("vm", a); !ok || request.Intent != Stop {
		t.Errorf("Find after a late Keep: got %v, want Stop", request)
	}
	statuses := registry.DueStatuses(now, infoOf)
	if len(statuses["a"]) != 1 || len(statuses["c"]) != 1 || statuses["a"][0].Epoch != 7 || statuses["c"][0].Attempts[0].AttemptID != b {
		t.Errorf("DueStatuses: got %v, want one for the requester and one for the job's owner", statuses)
	}
	if again := registry.DueStatuses(now.Add(time.Millisecond), infoOf); len(again) != 0 {
		t.Errorf("DueStatuses without a change: got %v, want none", again)
	}
	registry.ObserveHeartbeat(now, "vm", []ReportedAttempt{{AttemptID: b, State: Running}}, own, false)
	if got := registry.DueStatuses(now.Add(resendInterval), infoOf)["a"][0].Attempts[0].State; got != Unknown {
		t.Errorf("absent without proof: got state %v, want Unknown", got)
	}
	registry.ObserveHeartbeat(now, "vm", []ReportedAttempt{{AttemptID: b, State: Running}}, own, true)
	if got := registry.DueStatuses(now.Add(resendInterval), infoOf)["a"][0].Attempts[0].State; got != Gone {
		t.Errorf("absent with proof: got state %v, want Gone", got)
	}
	if got := registry.LiveAttempts("vm"); len(got) != 1 || got[0] != b {
		t.Errorf("LiveAttempts: got %v, want only the reported %v", got, b)
	}
	// The requests expire and the machine reports nothing, so the machine is forgotten.
	registry.ObserveHeartbeat(now, "vm", nil, own, true)
	registry.DueStatuses(now.Add(2*requestTTL), infoOf)
	if len(registry.Machines()) != 0 {
		t.Errorf("Machines: got %v, want none", registry.Machines())
	}
}

// TestUnresponsiveMachine checks that the attempts on an unresponsive machine are not published as live, so that
// the owners of their jobs don't count them as running, and that proofs of their end still are.
func TestUnresponsiveMachine(t *testing.T) {
	now := time.Unix(1_750_000_000, 0)
	running, ended, gone := AttemptID{"j", 0, 1}, AttemptID{"j", 1, 1}, AttemptID{"j", 2, 1}
	registry := &Registry{}
	registry.Request(now, "a", Request{"vm", []AttemptRequest{{AttemptID: running}, {AttemptID: gone}}})
	registry.ObserveHeartbeat(now, "vm", []ReportedAttempt{{AttemptID: running, State: Running}, {AttemptID: ended, State: Ended}}, func(string) bool { return false }, true)
	for _, tc := range []struct {
		unresponsive bool
		want         map[AttemptID]State
	}{
		{false, map[AttemptID]State{running: Running, ended: Ended, gone: Gone}},
		{true, map[AttemptID]State{ended: Ended, gone: Gone}},
	} {
		now = now.Add(resendInterval)
		got := map[AttemptID]State{}
		for _, machine := range registry.DueStatuses(now, func(string) (MachineInfo, bool) {
			return MachineInfo{Epoch: 1, Unresponsive: tc.unresponsive, JobOwner: func(string) string { return "a" }}, true
		})["a"] {
			for _, status := range machine.Attempts {
				got[status.AttemptID] = status.State
			}
		}
		if !maps.Equal(got, tc.want) {
			t.Errorf("unresponsive %v: got statuses %v, want %v", tc.unresponsive, got, tc.want)
		}
	}
}

// TestForgetObservations guards against publishing observations of an earlier epoch under
// the next epoch. While the reads of the machine's owner lagged, it may have considered the
// machine its own although another owner had started an attempt there that it had not seen.
func TestForgetObservations(t *testing.T) {
	now := time.Unix(1_750_000_000, 0)
	registry := &Registry{}
	a := AttemptID{"j", 0, 1}
	own := func(string) bool { return false }
	registry.Request(now, "a", Request{"vm", []AttemptRequest{{AttemptID: a, Intent: Stop}}})
	registry.ObserveHeartbeat(now, "vm", nil, own, true)
	registry.ForgetObservations("vm")
	status := registry.DueStatuses(now, func(string) (MachineInfo, bool) {
		return MachineInfo{Epoch: 9, JobOwner: func(string) string { return "" }}, true
	})["a"][0]
	if got := status.Attempts[0].State; got != Unknown {
		t.Errorf("got state %v under epoch %d, want Unknown because it was observed under an earlier epoch", got, status.Epoch)
	}
	if _, request, ok := registry.Find("vm", a); !ok || request.Intent != Stop {
		t.Error("got the request forgotten with the observations, want it kept")
	}
}

// TestMessagesAreBounded checks that attempts beyond the limit of a message are sent in a
// later round and that none is left out forever.
func TestMessagesAreBounded(t *testing.T) {
	now := time.Unix(1_750_000_000, 0)
	registry := &Registry{}
	const machines, each = 900, 10
	for i := range machines {
		message := Request{Machine: fmt.Sprintf("vm-%04d", i)}
		for k := range each {
			message.Attempts = append(message.Attempts, AttemptRequest{AttemptID: AttemptID{fmt.Sprintf("job-%04d", i), k, 1}})
		}
		registry.Request(now, "a", message)
	}
	reportedMachines := map[string]bool{}
	for range 10 {
		attempts := 0
		for _, message := range registry.DueStatuses(now, func(string) (MachineInfo, bool) {
			return MachineInfo{Epoch: 1, JobOwner: func(string) string { return "" }}, true
		})["a"] {
			attempts += len(message.Attempts)
			reportedMachines[message.Machine] = true
		}
		if attempts > maxAttemptsPerMessage {
			t.Fatalf("got %d attempts in a message, want at most maxAttemptsPerMessage", attempts)
		}
	}
	if len(reportedMachines) != machines {
		t.Errorf("got statuses of %d of %d machines, want all", len(reportedMachines), machines)
	}
}

// TestMarkMachineGone checks that requested attempts are gone with their machine, except the attempts
// started since.
func TestMarkMachineGone(t *testing.T) {
	now := time.Unix(1_750_000_000, 0)
	a, b := AttemptID{"j", 0, 1}, AttemptID{"j", 1, 1}
	registry := &Registry{}
	registry.Request(now, "a", Request{"vm", []AttemptRequest{{AttemptID: a}, {AttemptID: b}}})
	registry.MarkMachineGone(now, "vm", func(x AttemptID) bool { return x == b })
	if got := registry.LiveAttempts("vm"); len(got) != 1 || got[0] != b {
		t.Errorf("LiveAttempts: got %v, want only %v", got, b)
	}
}
