// Package remote tracks attempts whose job and whose machine have different owners, and
// defines what the two controllers exchange about them. This happens after a team or a machine
// has moved: what runs goes on where it is.
//
// Only the machine's owner sends commands to the machine; only the job's owner decides about
// the attempt. The job's owner repeats a Request for each of its remote attempts: keep it,
// stop it, or its end is durable. The machine's owner answers with what it knows. Nothing is
// started this way, since an attempt is only started by a controller that owns both job and
// machine. So the state of an attempt changes in one direction, from running to gone, and
// messages may be lost, late or duplicated without harm. A MachineStatus carries the epoch
// under which its sender owns the machine: one from before the machine came back to a
// controller that may start the attempt there is ignored.
package remote

import (
	"slices"
	"strings"
	"time"
)

const (
	// requestTTL is how long a request is kept that is not repeated: its sender may have died,
	// and a successor repeats it only when it has recovered all records.
	requestTTL = time.Minute
	// resendEvery is how often an unchanged status is sent again.
	resendEvery = time.Second
	// maxAttemptsPerMessage bounds the attempts in one message to a controller.
	maxAttemptsPerMessage = 2000
)

// AttemptID identifies one attempt of a task. An attempt is sent to one machine only.
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

// Keep: let it run. Stop: stop it. Settled: its end is durable, so the machine may clear it.
const (
	Keep Intent = iota
	Stop
	Settled
)

// State is what the machine's owner knows of an attempt.
type State uint8

// Unknown: the machine has sent no heartbeat, or its heartbeat proves nothing. Gone: the
// attempt is proven to be neither on the machine nor on its way there.
const (
	Unknown State = iota
	Fetching
	Running
	Checkpointing
	Ended
	Gone
)

// AttemptRequest is an attempt and what its job's owner wants of it.
type AttemptRequest struct {
	AttemptID
	Intent Intent
	// WindDown, for Stop, is how long the attempt may take to write a checkpoint.
	WindDown time.Duration
}

// Request is what a job's owner wants of its attempts on another owner's machine.
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

// MachineStatus is what a machine's owner publishes about attempts there, under the epoch by
// which it owns the machine.
type MachineStatus struct {
	Machine  string
	Epoch    uint64
	Zone     string
	Attempts []AttemptStatus
}

// ReportedAttempt is one attempt in a machine's newest heartbeat.
type ReportedAttempt struct {
	AttemptID
	State State
	Cause string
}

// Registry holds, for a machine owner, the attempts on its machines whose jobs belong to other
// controllers. The zero value is empty and ready. It is not safe for concurrent use.
type Registry struct {
	machines map[string]*machineState
}

type machineState struct {
	requested map[AttemptID]*requested
	// reported are the attempts of the newest heartbeat.
	reported map[AttemptID]*sighting
	// gone has when each attempt was proven gone.
	gone map[AttemptID]time.Time
	// publishedAt is when a status was last sent; changed means that it has changed since.
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

func (r *Registry) machineStateOf(machine string) *machineState {
	if r.machines == nil {
		r.machines = map[string]*machineState{}
	}
	h := r.machines[machine]
	if h == nil {
		h = &machineState{requested: map[AttemptID]*requested{}, reported: map[AttemptID]*sighting{}, gone: map[AttemptID]time.Time{}}
		r.machines[machine] = h
	}
	return h
}

// Request records what a job's owner wants. It reports whether an attempt is newly to be
// stopped or cleared.
func (r *Registry) Request(now time.Time, from string, a Request) bool {
	h := r.machineStateOf(a.Machine)
	changed := false
	for _, x := range a.Attempts {
		old := h.requested[x.AttemptID]
		if old == nil {
			old = &requested{}
			h.requested[x.AttemptID] = old
			h.changed = true
		}
		if old.Intent != Keep && x.Intent == Keep {
			// A stop is final: a later Keep was sent earlier, or its sender has forgotten the
			// stop. A settled attempt never runs again.
			x.Intent, x.WindDown = old.Intent, old.WindDown
		}
		changed = changed || x.Intent != old.Intent
		*old = requested{x, from, now}
	}
	return changed
}

// ObserveHeartbeat records the attempts of a machine's newest heartbeat, all of them. isOwn
// says which jobs the machine's owner takes for its own; requested attempts are tracked all
// the same, since it may not have read yet that their job now belongs to another controller.
// conclusive means that no command of an earlier epoch can be executed there any more and no
// start under the current one is in flight: attempts that are not listed are gone.
func (r *Registry) ObserveHeartbeat(now time.Time, machine string, reported []ReportedAttempt, isOwn func(job string) bool, conclusive bool) {
	h := r.machines[machine]
	if h == nil {
		if !slices.ContainsFunc(reported, func(p ReportedAttempt) bool { return !isOwn(p.Job) }) {
			return
		}
		h = r.machineStateOf(machine)
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

// MarkGone records that one attempt is proven gone.
func (r *Registry) MarkGone(now time.Time, machine string, a AttemptID) {
	if h := r.machines[machine]; h != nil && h.requested[a] != nil && h.gone[a].IsZero() {
		h.gone[a], h.changed = now, true
	}
}

// MarkMachineGone records that all attempts on the machine are proven gone, except those
// started since.
func (r *Registry) MarkMachineGone(now time.Time, machine string, since func(AttemptID) bool) {
	h := r.machines[machine]
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

// LiveCount is the number of LiveAttempts of a machine.
func (r *Registry) LiveCount(machine string) int { return len(r.LiveAttempts(machine)) }

// ForgetObservations drops what was observed of a machine under an earlier epoch: in between,
// another owner may have started there what was absent before. Requests stay.
func (r *Registry) ForgetObservations(machine string) {
	if h := r.machines[machine]; h != nil {
		clear(h.gone)
		clear(h.reported)
	}
}

// ForgetMachine drops a machine that now belongs to another owner.
func (r *Registry) ForgetMachine(machine string) { delete(r.machines, machine) }

// Machines returns the machines with reported or requested attempts of other owners, sorted.
func (r *Registry) Machines() []string {
	out := make([]string, 0, len(r.machines))
	for id := range r.machines {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}

// HasUnreported reports whether an attempt is requested on the machine that is neither
// reported nor known to be gone.
func (r *Registry) HasUnreported(machine string) bool {
	h := r.machines[machine]
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

// LiveAttempts returns the attempts that take capacity on a machine, in order: those reported
// and not ended, and those requested that may yet start there.
func (r *Registry) LiveAttempts(machine string) []AttemptID {
	h := r.machines[machine]
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

// Find returns when an attempt was first reported, and what its job's owner wants of it; ok is
// false if nothing was requested.
func (r *Registry) Find(machine string, a AttemptID) (since time.Time, request AttemptRequest, ok bool) {
	h := r.machines[machine]
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

// MachineInfo is what a machine's owner adds to a status. JobOwner returns the host that owns
// the job of an attempt that nobody has requested; "" if no other controller does.
type MachineInfo struct {
	Epoch    uint64
	Zone     string
	JobOwner func(job string) string
}

// DueStatuses returns the messages that are due, by host. A change is sent at once, and an
// unchanged status every resendEvery, which makes up for lost messages.
func (r *Registry) DueStatuses(now time.Time, infoOf func(machine string) (MachineInfo, bool)) map[string][]MachineStatus {
	var out map[string][]MachineStatus
	counts := map[string]int{}
	for _, id := range r.Machines() {
		h := r.machines[id]
		h.expireRequests(now)
		if len(h.requested) == 0 && len(h.reported) == 0 {
			delete(r.machines, id)
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
		for controller, statuses := range h.statusesByController(info) {
			if counts[controller] += len(statuses); counts[controller] > maxAttemptsPerMessage && counts[controller] > len(statuses) {
				// The rest goes with the next round.
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

// expireRequests drops requests that are no longer repeated.
func (h *machineState) expireRequests(now time.Time) {
	for a, x := range h.requested {
		if now.Sub(x.requestedAt) > requestTTL {
			delete(h.requested, a)
			delete(h.gone, a)
		}
	}
}

// statusesByController returns the status of each requested attempt for its requester, and
// of each other reported attempt for the controller that owns its job.
func (h *machineState) statusesByController(info MachineInfo) map[string][]AttemptStatus {
	out := map[string][]AttemptStatus{}
	for a, x := range h.requested {
		status := AttemptStatus{AttemptID: a}
		if p := h.reported[a]; p != nil {
			status.State, status.Cause = p.State, p.Cause
		} else if !h.gone[a].IsZero() {
			status.State = Gone
		}
		out[x.requester] = append(out[x.requester], status)
	}
	for a, p := range h.reported {
		if h.requested[a] != nil {
			continue
		}
		if controller := info.JobOwner(a.Job); controller != "" {
			out[controller] = append(out[controller], AttemptStatus{a, p.State, p.Cause})
		}
	}
	return out
}
