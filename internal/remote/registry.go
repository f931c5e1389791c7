// Package remote is what two controllers tell each other when a job's owner and
// the owner of the machine that an attempt of it runs on are not the same: after a
// team or a machine has moved, what runs goes on where it is.
//
// Only the machine's owner speaks with the machine; only the job's owner decides
// about the attempt. The job's owner asks, again and again, for each of its attempts
// elsewhere, and says whether it wants it kept or stopped, or has settled it. The
// machine's owner tells what it knows. Nothing begins by this: an attempt is started
// by whoever owns both, so what is told of it only ever goes one way, from running to
// gone, and words that are lost, late or doubled do no harm. A word is tied to the
// epoch under which the machine is owned: one from before the machine came back to
// whoever may start there is not heeded.
package remote

import (
	"slices"
	"strings"
	"time"
)

const (
	// requestTTL is how long an attempt is kept in mind that nobody asks for any more:
	// its owner may have ended, and a successor asks only when it has read all.
	requestTTL = time.Minute
	// resendEvery is how often the same is told once more.
	resendEvery = time.Second
	// maxAttemptsPerMessage bounds the attempts in one message to a controller.
	maxAttemptsPerMessage = 2000
)

// AttemptID names one attempt of a task. An attempt goes to one machine, once.
type AttemptID struct {
	Job     string
	Index   int
	Attempt uint64
}

func (a AttemptID) compare(b AttemptID) int {
	if c := strings.Compare(a.Job, b.Job); c != 0 {
		return c
	}
	if a.Index != b.Index {
		return a.Index - b.Index
	}
	return int(a.Attempt) - int(b.Attempt)
}

// Intent is what a job's owner wants of an attempt.
type Intent uint8

// Keep it as it is; stop it; its end is durable, so that it may be cleared away.
const (
	Keep Intent = iota
	Stop
	Settled
)

// State is what is known of an attempt.
type State uint8

// Unknown: the machine has not been heard of, or what it said is no proof. Gone:
// proven to be nowhere.
const (
	Unknown State = iota
	Fetching
	Running
	Checkpointing
	Ended
	Gone
)

// AttemptRequest is an attempt and what its owner wants.
type AttemptRequest struct {
	AttemptID
	Intent Intent
	// WindDown goes with Stop: how long it may take to save.
	WindDown time.Duration
}

// Request is what a job's owner says of its attempts on a machine of another's.
type Request struct {
	Machine  string
	Attempts []AttemptRequest
}

// AttemptStatus is what is known of an attempt. Cause says how it ended.
type AttemptStatus struct {
	AttemptID
	State State
	Cause string
}

// MachineStatus is what a machine's owner says, under the epoch by which it owns it.
type MachineStatus struct {
	Machine  string
	Epoch    uint64
	Zone     string
	Attempts []AttemptStatus
}

// ReportedAttempt is one attempt in the machine's newest report.
type ReportedAttempt struct {
	AttemptID
	State State
	Cause string
}

// Registry is a machine owner's account of the attempts on its machines whose jobs
// belong to others. The zero value is empty and ready.
type Registry struct {
	machines map[string]*machineState
}

type machineState struct {
	requested map[AttemptID]*requested
	// reported are those of the newest report, and since when each is known.
	reported map[AttemptID]*sighting
	// gone are attempts that are proven to be nowhere.
	gone map[AttemptID]time.Time
	// publishedAt is when this was last told, and news that something has changed since.
	publishedAt time.Time
	changed     bool
}

type requested struct {
	AttemptRequest
	requester   string
	requestedAt time.Time
}

type sighting struct {
	ReportedAttempt
	since time.Time
}

func (d *Registry) machineStateOf(machine string) *machineState {
	if d.machines == nil {
		d.machines = map[string]*machineState{}
	}
	h := d.machines[machine]
	if h == nil {
		h = &machineState{requested: map[AttemptID]*requested{}, reported: map[AttemptID]*sighting{}, gone: map[AttemptID]time.Time{}}
		d.machines[machine] = h
	}
	return h
}

// Request takes in what a job's owner asks. It says whether anything is to be stopped
// or cleared that was not before.
func (d *Registry) Request(now time.Time, from string, a Request) bool {
	h := d.machineStateOf(a.Machine)
	changed := false
	for _, x := range a.Attempts {
		old := h.requested[x.AttemptID]
		if old == nil {
			old = &requested{}
			h.requested[x.AttemptID] = old
			h.changed = true
		}
		if old.Intent != Keep && x.Intent == Keep {
			// A stop stands: what comes later was sent earlier, or its sender has
			// forgotten. A settled attempt never lives again.
			x.Intent, x.WindDown = old.Intent, old.WindDown
		}
		changed = changed || x.Intent != old.Intent
		*old = requested{x, from, now}
	}
	return changed
}

// ObserveHeartbeat takes in the newest report of a machine, all of it; own says which jobs the
// machine's owner takes for its own. What is asked for counts as there though the
// owner believes that it is its own: it may not have read yet that the job has gone to
// another. proof: nothing that was sent under an earlier epoch can be executed there
// any more, and no start under the current one is on its way, so that what is not
// listed is nowhere.
func (d *Registry) ObserveHeartbeat(now time.Time, machine string, reported []ReportedAttempt, isOwn func(job string) bool, conclusive bool) {
	h := d.machines[machine]
	if h == nil {
		if !slices.ContainsFunc(reported, func(p ReportedAttempt) bool { return !isOwn(p.Job) }) {
			return
		}
		h = d.machineStateOf(machine)
	}
	seen := make(map[AttemptID]*sighting, len(reported))
	for _, p := range reported {
		if isOwn(p.Job) && h.requested[p.AttemptID] == nil {
			continue
		}
		x := h.reported[p.AttemptID]
		if x == nil {
			x = &sighting{since: now}
			h.changed = true
		}
		h.changed = h.changed || x.State != p.State
		x.ReportedAttempt = p
		seen[p.AttemptID] = x
	}
	h.reported = seen
	if !conclusive {
		return
	}
	for a := range h.requested {
		if seen[a] == nil && h.gone[a].IsZero() {
			h.gone[a], h.changed = now, true
		}
	}
}

// MarkGone notes that one attempt is proven to be nowhere.
func (d *Registry) MarkGone(now time.Time, machine string, a AttemptID) {
	if h := d.machines[machine]; h != nil && h.requested[a] != nil && h.gone[a].IsZero() {
		h.gone[a], h.changed = now, true
	}
}

// MarkMachineGone notes that everything on the machine is proven gone, but for what it has begun
// since.
func (d *Registry) MarkMachineGone(now time.Time, machine string, since func(AttemptID) bool) {
	h := d.machines[machine]
	if h == nil {
		return
	}
	for a := range h.requested {
		if h.gone[a].IsZero() && !since(a) {
			h.gone[a], h.changed = now, true
		}
	}
	clear(h.reported)
}

// LiveCount is how many attempts of others are, or may yet begin, on a machine.
func (d *Registry) LiveCount(machine string) int { return len(d.LiveAttempts(machine)) }

// ForgetObservations forgets what was seen of a machine under an epoch that has passed: it may have
// been another's in between, who has started there what was not there before. What is
// asked for stands.
func (d *Registry) ForgetObservations(machine string) {
	if h := d.machines[machine]; h != nil {
		clear(h.gone)
		clear(h.reported)
	}
}

// ForgetMachine forgets a machine that now belongs to another.
func (d *Registry) ForgetMachine(machine string) { delete(d.machines, machine) }

// Machines names the machines with anything of others on them or asked for there.
func (d *Registry) Machines() []string {
	out := make([]string, 0, len(d.machines))
	for id := range d.machines {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

// HasUnreported says that something is asked for on a machine that has not been reported and
// is not known to be gone.
func (d *Registry) HasUnreported(machine string) bool {
	h := d.machines[machine]
	if h == nil {
		return false
	}
	for a := range h.requested {
		if h.reported[a] == nil && h.gone[a].IsZero() {
			return true
		}
	}
	return false
}

// LiveAttempts are the attempts that take room on a machine, in order: those reported and
// not ended, and those asked for that may yet begin there.
func (d *Registry) LiveAttempts(machine string) []AttemptID {
	h := d.machines[machine]
	if h == nil {
		return nil
	}
	var out []AttemptID
	for a, p := range h.reported {
		if p.State != Ended {
			out = append(out, a)
		}
	}
	for a, x := range h.requested {
		if h.reported[a] == nil && h.gone[a].IsZero() && x.Intent != Settled {
			out = append(out, a)
		}
	}
	slices.SortFunc(out, AttemptID.compare)
	return out
}

// Find is when a piece was first reported, and what its job's owner wants of it; ok
// is false when nobody has asked for it.
func (d *Registry) Find(machine string, a AttemptID) (since time.Time, request AttemptRequest, ok bool) {
	h := d.machines[machine]
	if h == nil {
		return time.Time{}, AttemptRequest{}, false
	}
	if p := h.reported[a]; p != nil {
		since = p.since
	}
	if x := h.requested[a]; x != nil {
		return since, x.AttemptRequest, true
	}
	return since, AttemptRequest{}, false
}

// MachineInfo tells of a machine whatever its owner adds to it: epoch and zone, and who
// owns the job of an attempt that nobody asks for; "" for nobody else.
type MachineInfo struct {
	Epoch    uint64
	Zone     string
	JobOwner func(job string) string
}

// DueStatuses are the messages due, by controller. What has changed is told at once, the
// rest again every second, so that a lost word is said once more.
func (d *Registry) DueStatuses(now time.Time, infoOf func(machine string) (MachineInfo, bool)) map[string][]MachineStatus {
	var out map[string][]MachineStatus
	counts := map[string]int{}
	for _, id := range d.Machines() {
		h := d.machines[id]
		for a, x := range h.requested {
			if now.Sub(x.requestedAt) > requestTTL {
				delete(h.requested, a)
				delete(h.gone, a)
			}
		}
		if len(h.requested) == 0 && len(h.reported) == 0 {
			delete(d.machines, id)
			continue
		}
		if !h.changed && now.Sub(h.publishedAt) < resendEvery {
			continue
		}
		info, ok := infoOf(id)
		if !ok {
			continue
		}
		h.changed, h.publishedAt = false, now
		byController := map[string][]AttemptStatus{}
		for a, x := range h.requested {
			t := AttemptStatus{AttemptID: a}
			if p := h.reported[a]; p != nil {
				t.State, t.Cause = p.State, p.Cause
			} else if !h.gone[a].IsZero() {
				t.State = Gone
			}
			byController[x.requester] = append(byController[x.requester], t)
		}
		for a, p := range h.reported {
			if h.requested[a] == nil {
				if controller := info.JobOwner(a.Job); controller != "" {
					byController[controller] = append(byController[controller], AttemptStatus{a, p.State, p.Cause})
				}
			}
		}
		for controller, statuses := range byController {
			if counts[controller] += len(statuses); counts[controller] > maxAttemptsPerMessage && counts[controller] > len(statuses) {
				// The rest of it in the next round.
				h.changed = true
				continue
			}
			slices.SortFunc(statuses, func(a, b AttemptStatus) int { return a.compare(b.AttemptID) })
			if out == nil {
				out = map[string][]MachineStatus{}
			}
			out[controller] = append(out[controller], MachineStatus{id, info.Epoch, info.Zone, statuses})
		}
	}
	return out
}
