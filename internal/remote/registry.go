// Package remote tracks attempts whose job and machine have different owners, and defines
// the messages that the two controllers exchange about them. Such attempts arise when a team
// or a machine moves to another controller: running attempts stay on their machines.
//
// Only the machine's owner sends commands to the machine, and only the job's owner decides
// about the attempt. The job's owner repeats a Request for each of its remote attempts: keep
// the attempt, stop it, or note that its end is durable. The machine's owner answers with
// the state that it knows. No attempt is started this way: only a controller that owns both
// the job and the machine starts one. So the state of an attempt changes in one direction
// only, from running to gone, and messages may be lost, late or duplicated without harm. A
// MachineStatus carries the epoch under which its sender owns the machine. A receiver
// ignores a status from an earlier epoch: since then the machine may have come back to a
// controller that may have started the attempt on it.
package remote

import (
	"slices"
	"strings"
	"time"
)

const (
	// requestTTL is how long a request is kept without being repeated. Its sender may have
	// died, and a successor repeats the request only after it has recovered all records.
	requestTTL = time.Minute
	// resendInterval is how often an unchanged status is sent again.
	resendInterval = time.Second
	// maxAttemptsPerMessage bounds the attempts in one message to a controller.
	maxAttemptsPerMessage = 2000
)

// AttemptID identifies one attempt of a task. An attempt is sent to one machine only.
type AttemptID struct {
	Job     string
	Index   int
	Attempt uint64
}

// compare orders attempts by job, index and attempt number.
func (a AttemptID) compare(b AttemptID) int {
	if c := strings.Compare(a.Job, b.Job); c != 0 {
		return c
	}
	if a.Index != b.Index {
		return a.Index - b.Index
	}
	return int(a.Attempt) - int(b.Attempt)
}

// Intent is what a job's owner requests for an attempt.
type Intent uint8

// Keep requests that the attempt continues, and Stop that it stops. Settled says that the
// end of the attempt is durable, so that the machine may clear it.
const (
	Keep Intent = iota
	Stop
	Settled
)

// State is what the machine's owner knows of an attempt.
type State uint8

// Unknown means that the machine has sent no heartbeat, or that its heartbeat proves
// nothing. Gone means that the attempt is proven to be neither on the machine nor in flight
// to it.
const (
	Unknown State = iota
	Fetching
	Running
	Checkpointing
	Ended
	Gone
)

// isLive reports whether the attempt is on the machine and has not ended.
func (state State) isLive() bool {
	return state == Fetching || state == Running || state == Checkpointing
}

// AttemptRequest is an attempt and what its job's owner requests for it.
type AttemptRequest struct {
	AttemptID
	Intent Intent
	// WindDown is how long the attempt may take to write a checkpoint before a Stop takes
	// effect.
	WindDown time.Duration
}

// Request contains what a job's owner requests for its attempts on another owner's machine.
type Request struct {
	Machine  string
	Attempts []AttemptRequest
}

// AttemptStatus is the known state of an attempt. Cause says why an ended attempt ended.
type AttemptStatus struct {
	AttemptID
	State State
	Cause string
}

// MachineStatus is what a machine's owner publishes about attempts on the machine. Epoch is
// the epoch under which the sender owns the machine.
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

// Registry holds, for a machine owner, the attempts on its machines whose jobs belong to
// other controllers. The zero value is empty and ready. It is not safe for concurrent use.
type Registry struct {
	machines map[string]*machineState
}

// machineState is what a Registry knows of one machine.
type machineState struct {
	// requested holds the newest request for each attempt.
	requested map[AttemptID]*requested
	// reported holds the attempts of the newest heartbeat.
	reported map[AttemptID]*observation
	// gone holds the time at which each attempt was proven gone.
	gone map[AttemptID]time.Time
	// publishedAt is when a status was last sent; changed means that the status has changed
	// since.
	publishedAt time.Time
	changed     bool
}

// requested is the newest request for an attempt, with its sender and its arrival time.
type requested struct {
	AttemptRequest
	requester   string
	requestedAt time.Time
}

// observation is a reported attempt and the time at which it was first reported.
type observation struct {
	ReportedAttempt
	since time.Time
}

// machineStateOf returns the state of a machine, and adds it if it is missing.
func (registry *Registry) machineStateOf(machine string) *machineState {
	if registry.machines == nil {
		registry.machines = map[string]*machineState{}
	}
	state := registry.machines[machine]
	if state == nil {
		state = &machineState{requested: map[AttemptID]*requested{}, reported: map[AttemptID]*observation{}, gone: map[AttemptID]time.Time{}}
		registry.machines[machine] = state
	}
	return state
}

// Request records a request of a job's owner, whose host is from. It reports whether an
// attempt must newly be stopped or cleared.
func (registry *Registry) Request(now time.Time, from string, request Request) bool {
	state := registry.machineStateOf(request.Machine)
	changed := false
	for _, attempt := range request.Attempts {
		known := state.requested[attempt.AttemptID]
		if known == nil {
			known = &requested{}
			state.requested[attempt.AttemptID] = known
			state.changed = true
		}
		if known.Intent != Keep && attempt.Intent == Keep {
			// A stop is final: a later Keep was sent before the stop, or its sender has
			// forgotten the stop. A settled attempt never runs again.
			attempt.Intent, attempt.WindDown = known.Intent, known.WindDown
		}
		changed = changed || attempt.Intent != known.Intent
		*known = requested{attempt, from, now}
	}
	return changed
}

// ObserveHeartbeat records all attempts of a machine's newest heartbeat. isOwn reports
// whether the machine's owner considers a job its own. Requested attempts are tracked even
// if isOwn is true, since the machine's owner may not have read yet that the job has moved
// to another controller. conclusive means that the machine can't execute commands of an
// earlier epoch and that no start under the current epoch is in flight: then the attempts
// that the heartbeat doesn't list are gone.
func (registry *Registry) ObserveHeartbeat(now time.Time, machine string, reported []ReportedAttempt, isOwn func(job string) bool, conclusive bool) {
	state := registry.machines[machine]
	if state == nil {
		if !slices.ContainsFunc(reported, func(report ReportedAttempt) bool { return !isOwn(report.Job) }) {
			return
		}
		state = registry.machineStateOf(machine)
	}
	seen := make(map[AttemptID]*observation, len(reported))
	for _, report := range reported {
		if isOwn(report.Job) && state.requested[report.AttemptID] == nil {
			continue
		}
		known := state.reported[report.AttemptID]
		if known == nil {
			known = &observation{since: now}
			state.changed = true
		}
		state.changed = state.changed || known.State != report.State
		known.ReportedAttempt = report
		seen[report.AttemptID] = known
	}
	state.reported = seen
	if !conclusive {
		return
	}
	for attempt := range state.requested {
		if seen[attempt] == nil && state.gone[attempt].IsZero() {
			state.gone[attempt], state.changed = now, true
		}
	}
}

// MarkGone records that one attempt is proven gone.
func (registry *Registry) MarkGone(now time.Time, machine string, attempt AttemptID) {
	if state := registry.machines[machine]; state != nil && state.requested[attempt] != nil && state.gone[attempt].IsZero() {
		state.gone[attempt], state.changed = now, true
	}
}

// MarkMachineGone records that all attempts on the machine are proven gone, except the
// attempts for which startedSince returns true.
func (registry *Registry) MarkMachineGone(now time.Time, machine string, startedSince func(AttemptID) bool) {
	state := registry.machines[machine]
	if state == nil {
		return
	}
	for attempt := range state.requested {
		if state.gone[attempt].IsZero() && !startedSince(attempt) {
			state.gone[attempt], state.changed = now, true
		}
	}
	clear(state.reported)
}

// LiveCount returns the number of LiveAttempts of a machine.
func (registry *Registry) LiveCount(machine string) int { return len(registry.LiveAttempts(machine)) }

// ForgetObservations drops the observations of a machine from an earlier epoch: since then
// another owner may have started an attempt there that was absent before. Requests are kept.
func (registry *Registry) ForgetObservations(machine string) {
	if state := registry.machines[machine]; state != nil {
		clear(state.gone)
		clear(state.reported)
	}
}

// ForgetMachine drops a machine that has moved to another owner.
func (registry *Registry) ForgetMachine(machine string) { delete(registry.machines, machine) }

// Machines returns the machines with reported or requested attempts of other owners, sorted.
func (registry *Registry) Machines() []string {
	ids := make([]string, 0, len(registry.machines))
	for id := range registry.machines {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// LiveAttempts returns the attempts that use capacity on a machine, sorted: the reported
// attempts that have not ended, and the requested attempts that may still start there.
func (registry *Registry) LiveAttempts(machine string) []AttemptID {
	state := registry.machines[machine]
	if state == nil {
		return nil
	}
	var live []AttemptID
	for attempt, report := range state.reported {
		if report.State != Ended {
			live = append(live, attempt)
		}
	}
	for attempt, request := range state.requested {
		if state.reported[attempt] == nil && state.gone[attempt].IsZero() && request.Intent != Settled {
			live = append(live, attempt)
		}
	}
	slices.SortFunc(live, AttemptID.compare)
	return live
}

// Find returns when an attempt was first reported, and what its job's owner requests for it.
// ok is false if the job's owner has requested nothing.
func (registry *Registry) Find(machine string, attempt AttemptID) (since time.Time, request AttemptRequest, ok bool) {
	state := registry.machines[machine]
	if state == nil {
		return time.Time{}, AttemptRequest{}, false
	}
	if report := state.reported[attempt]; report != nil {
		since = report.since
	}
	if known := state.requested[attempt]; known != nil {
		return since, known.AttemptRequest, true
	}
	return since, AttemptRequest{}, false
}

// MachineInfo is what a machine's owner adds to a status. JobOwner returns the host that
// owns the job of an attempt without a request, or "" if no other controller owns the job. While a
// machine is Unresponsive, its attempts are published only once they are proven to have ended, so that
// the owners of their jobs don't count them as running.
type MachineInfo struct {
	Epoch        uint64
	Zone         string
	Unresponsive bool
	JobOwner     func(job string) string
}

// DueStatuses returns the status messages that are due, by receiving host. A change is sent
// at once, and an unchanged status every resendInterval, which makes up for lost messages.
func (registry *Registry) DueStatuses(now time.Time, infoOf func(machine string) (MachineInfo, bool)) map[string][]MachineStatus {
	var due map[string][]MachineStatus
	counts := map[string]int{}
	for _, id := range registry.Machines() {
		state := registry.machines[id]
		state.expireRequests(now)
		if len(state.requested) == 0 && len(state.reported) == 0 {
			delete(registry.machines, id)
			continue
		}
		if !state.changed && now.Sub(state.publishedAt) < resendInterval {
			continue
		}
		info, ok := infoOf(id)
		if !ok {
			continue
		}
		state.changed, state.publishedAt = false, now
		for controller, statuses := range state.statusesByController(info) {
			if counts[controller] += len(statuses); counts[controller] > maxAttemptsPerMessage && counts[controller] > len(statuses) {
				// The remaining statuses are sent in the next round.
				state.changed = true
				continue
			}
			slices.SortFunc(statuses, func(a, b AttemptStatus) int { return a.compare(b.AttemptID) })
			if due == nil {
				due = map[string][]MachineStatus{}
			}
			due[controller] = append(due[controller], MachineStatus{id, info.Epoch, info.Zone, statuses})
		}
	}
	return due
}

// expireRequests drops the requests that were not repeated within requestTTL.
func (state *machineState) expireRequests(now time.Time) {
	for attempt, request := range state.requested {
		if now.Sub(request.requestedAt) > requestTTL {
			delete(state.requested, attempt)
			delete(state.gone, attempt)
		}
	}
}

// statusesByController returns the statuses to send to each controller: each requested
// attempt goes to its requester, and each other reported attempt to the controller that owns
// its job.
func (state *machineState) statusesByController(info MachineInfo) map[string][]AttemptStatus {
	statuses := map[string][]AttemptStatus{}
	for attempt, request := range state.requested {
		status := AttemptStatus{AttemptID: attempt}
		if report := state.reported[attempt]; report != nil {
			status.State, status.Cause = report.State, report.Cause
		} else if !state.gone[attempt].IsZero() {
			status.State = Gone
		}
		if info.Unresponsive && status.State.isLive() {
			continue
		}
		statuses[request.requester] = append(statuses[request.requester], status)
	}
	for attempt, report := range state.reported {
		if state.requested[attempt] != nil || info.Unresponsive && report.State.isLive() {
			continue
		}
		if controller := info.JobOwner(attempt.Job); controller != "" {
			statuses[controller] = append(statuses[controller], AttemptStatus{attempt, report.State, report.Cause})
		}
	}
	return statuses
}
