package controller

import (
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/remote"
)

// remote_attempts.go joins the core to internal/remote: attempts of this owner's jobs on the
// machines of others, and of others' jobs on the machines here. Both arise only when
// a team or a machine moves while something runs; nothing is started across owners.

const (
	// remoteRequestInterval is how often the owners of other machines are asked again.
	remoteRequestInterval = time.Second
	// maxRemoteAttempts bounds the attempts in one message.
	maxRemoteAttempts = 2000
)

// remoteAttempts is when others were last asked, and whether to ask before it is time.
type remoteAttempts struct {
	requested time.Time
	due       bool
	// from is the machine with which the next question begins, if not all fit.
	from string
}

// remoteAttempt names a task's attempt.
func remoteAttempt(k taskKey, attempt uint64) remote.AttemptID {
	return remote.AttemptID{Job: k.job, Index: k.index, Attempt: attempt}
}

// requestRemoteAttempts asks the owners of other machines for the attempts of this owner's jobs
// there, and says what is wanted of them.
func requestRemoteAttempts(n *Controller) {
	o := n.shardLeader
	if len(o.remoteMachines) == 0 || !o.remoteAttempts.due && n.now.Sub(o.remoteAttempts.requested) < remoteRequestInterval {
		return
	}
	o.remoteAttempts.due, o.remoteAttempts.requested = false, n.now
	requests := map[string][]remote.Request{}
	count := 0
	ids := sortedKeys(o.remoteMachines)
	// Of more than fit, those after the last that were asked for come next.
	start := 0
	for start < len(ids) && ids[start] <= o.remoteAttempts.from {
		start++
	}
	o.remoteAttempts.from = ""
	for _, id := range append(ids[start:], ids[:start]...) {
		a := o.remoteMachines[id]
		x, ok := n.membership.shardMap.Owner(id)
		if !ok || x.Host == n.settings.Host {
			continue
		}
		request := remote.Request{Machine: id}
		for _, key := range sortedAttempts(a) {
			t := a.attempts[key]
			w := remote.AttemptRequest{AttemptID: remoteAttempt(key, t.attempt)}
			if t.stopReason != stopNone {
				w.Intent, w.WindDown = remote.Stop, n.gracePeriod(a, o.jobs[key.job], t)
			}
			request.Attempts = append(request.Attempts, w)
		}
		requests[x.Host] = append(requests[x.Host], request)
		if count += len(request.Attempts); count >= maxRemoteAttempts {
			o.remoteAttempts.from = id
			break
		}
	}
	for _, host := range sortedKeys(requests) {
		n.emit(message.SendPeerUpdate{To: host, Update: message.PeerUpdate{From: n.settings.Host, RemoteAttempts: requests[host]}})
	}
}

// receiveRemoteRequests takes in what a jobs' owner asks about machines of this one.
func receiveRemoteRequests(n *Controller, from string, requests []remote.Request) {
	o := n.shardLeader
	for _, a := range requests {
		if _, mine := n.ownedMachine(a.Machine); !mine || !o.ready {
			continue
		}
		changed := o.registry.Request(n.now, from, a)
		m := o.machines[a.Machine]
		if m == nil {
			if o.registry.LiveCount(a.Machine) == 0 {
				// All that was asked for is known to be gone.
				continue
			}
			// It is looked after like one with work of this owner's own: it may never
			// have been heard of here, and only its lease's end may tell.
			m = n.ensureMachine(a.Machine)
		}
		if !m.heard {
			m.leaseEnd = later(m.leaseEnd, n.leaseEndAfter(m.formerOwnerUntil))
		}
		if changed {
			n.markDispatchPending(m)
		}
		if m.heard {
			updateRegistry(n, m)
		}
		n.recountOthersUsed(m)
	}
}

// publishRemoteAttempts tells the others what is known of the attempts of their jobs here.
func publishRemoteAttempts(n *Controller) {
	o := n.shardLeader
	updates := o.registry.DueStatuses(n.now, func(id string) (remote.MachineInfo, bool) {
		x, mine := n.ownedMachine(id)
		about := remote.MachineInfo{Epoch: x.Epoch, JobOwner: func(job string) string {
			if l, open := n.frontend.watchCache.openJobs[job]; open {
				if s := n.membership.shardMap.Team(l.rec.Team); s != nil && s.Host != n.settings.Host {
					return s.Host
				}
			}
			return ""
		}}
		if m := o.machines[id]; m != nil {
			about.Zone = m.zone
		}
		return about, mine
	})
	for _, host := range sortedKeys(updates) {
		if host != n.settings.Host {
			n.emit(message.SendPeerUpdate{To: host, Update: message.PeerUpdate{From: n.settings.Host, RemoteStatuses: updates[host]}})
		}
	}
}

// receiveRemoteAttempts takes in what a machine's owner tells of attempts of this owner's jobs. It
// counts only from whom the division names as the machine's owner now, under the
// epoch of now: since an earlier one the machine may have been this owner's again,
// and the attempt may have been started.
func receiveRemoteAttempts(n *Controller, from string, updates []remote.MachineStatus) {
	o := n.shardLeader
	for _, update := range updates {
		x, ok := n.membership.shardMap.Owner(update.Machine)
		if !ok || x.Host != from || x.Epoch != update.Epoch || !o.ready {
			continue
		}
		a := o.remoteMachines[update.Machine]
		var back remote.Request
		for _, w := range update.Attempts {
			j := o.jobs[w.Job]
			if j == nil || w.Index < 0 || w.Index >= len(j.tasks) {
				continue
			}
			t := &j.tasks[w.Index]
			if a != nil && t.machine == a && t.attempt == w.Attempt {
				applyRemoteAttempt(n, j, a, w)
			} else if w.State == remote.Ended && j.durable(w.Index) {
				back.Attempts = append(back.Attempts, remote.AttemptRequest{AttemptID: w.AttemptID, Intent: remote.Settled})
			} else if w.State == remote.Fetching || w.State == remote.Running || w.State == remote.Checkpointing {
				back.Attempts = append(back.Attempts, remote.AttemptRequest{AttemptID: w.AttemptID, Intent: remote.Stop})
			}
		}
		if a != nil && a.zone == "" && update.Zone != "" {
			n.setMachineZone(a, update.Zone)
		}
		if len(back.Attempts) > 0 {
			back.Machine = update.Machine
			n.emit(message.SendPeerUpdate{To: from, Update: message.PeerUpdate{From: n.settings.Host, RemoteAttempts: []remote.Request{back}}})
		}
	}
}

// applyRemoteAttempt takes in the state of one live attempt on another's machine.
func applyRemoteAttempt(n *Controller, j *job, a *machine, w remote.AttemptStatus) {
	k := taskKey{j.ID, w.Index}
	p := model.TaskReport{Job: j.ID, Index: w.Index, Attempt: w.Attempt, Cause: w.Cause}
	switch w.State {
	case remote.Fetching:
		p.Status = model.Fetching
	case remote.Running:
		p.Status = model.Running
	case remote.Checkpointing:
		p.Status = model.Checkpointing
	case remote.Ended:
		p.Status = model.Ended
	case remote.Gone:
		n.endAttempt(j, w.Index, false)
		return
	default:
		return
	}
	n.applyTaskReport(a, k, p)
}

// toRemoteTask is a reported state in the ownership package's terms.
func toRemoteTask(p model.TaskReport) remote.ReportedAttempt {
	s := [...]remote.State{model.Fetching: remote.Fetching, model.Running: remote.Running, model.Checkpointing: remote.Checkpointing, model.Ended: remote.Ended}[p.Status]
	return remote.ReportedAttempt{AttemptID: remote.AttemptID{Job: p.Job, Index: p.Index, Attempt: p.Attempt}, State: s, Cause: p.Cause}
}

// updateRegistry hands the newest report of a machine to the registry.
func updateRegistry(n *Controller, m *machine) {
	o := n.shardLeader
	var tasks []remote.ReportedAttempt
	for _, p := range m.taskReports {
		tasks = append(tasks, toRemoteTask(p))
	}
	// Under the epoch that it has shown nothing older can be executed any more; and a
	// start of this owner's own may be on its way, from before the job went to another.
	o.registry.ObserveHeartbeat(n.now, m.id, tasks, func(job string) bool { return o.jobs[job] != nil }, n.noStartInFlight(m))
	n.recountOthersUsed(m)
}

// recountOthersUsed reckons the room that others' attempts take on a machine.
func (n *Controller) recountOthersUsed(m *machine) {
	o := n.shardLeader
	hadOthersAttempts := m.hasOthersAttempts
	m.othersUsed, m.hasOthersAttempts, m.hasUnknownTasks = model.Resources{}, false, false
	for _, a := range o.registry.LiveAttempts(m.id) {
		if o.jobs[a.Job] != nil {
			continue
		}
		m.hasOthersAttempts = true
		if l, open := n.frontend.watchCache.openJobs[a.Job]; open {
			m.othersUsed = m.othersUsed.AddScaled(model.Resources{CPU: l.rec.CPU, GPU: l.rec.GPU, Memory: l.rec.Memory}, 1)
		} else {
			// Its size is not known.
			m.hasUnknownTasks = true
		}
	}
	for k, p := range m.taskReports {
		m.hasUnknownTasks = m.hasUnknownTasks || p.Status != model.Ended && m.attempts[k] == nil && o.jobs[k.job] != nil
	}
	if hadOthersAttempts && !m.hasOthersAttempts {
		o.placementDue = true
		if len(m.attempts) == 0 {
			m.idleSince = n.now
		}
	}
}

// rePoll looks once more at what a machine last reported, after attempts on it have
// become this owner's.
func (n *Controller) rePoll(m *machine) {
	for _, k := range sortedTasks(m.taskReports) {
		n.applyTaskReport(m, k, m.taskReports[k])
	}
	if m.heard {
		m.lastTaskReports = nil
		updateRegistry(n, m)
	}
	n.markDispatchPending(m)
}

// commandForOthers says what is to become of a piece that belongs to none of this owner's jobs:
// nothing, or an order. Another controller owns its job and says so, or the job is
// over and it is cleared away.
func (n *Controller) commandForOthers(m *machine, p model.TaskReport, quiet bool) (model.TaskCommand, bool) {
	o := n.shardLeader
	a := remote.AttemptID{Job: p.Job, Index: p.Index, Attempt: p.Attempt}
	since, w, requested := o.registry.Find(m.id, a)
	stop, over := requested && w.Intent == remote.Stop, requested && w.Intent == remote.Settled
	_, final := n.frontend.finalStatuses[p.Job]
	switch l, open := n.frontend.watchCache.openJobs[p.Job]; {
	case final:
		stop, over, w.WindDown = true, true, 0
	case open:
		// Cancelled: it is stopped whether or not its job's owner can be heard, also while
		// it saves because that owner had it stopped before.
		if l.rec.Cancelled {
			stop, w.WindDown = true, 0
		}
	case n.frontend.watchCache.asOf.After(since) && !since.IsZero():
		// Not open, as of a moment after it was first seen: the job is over.
		stop, over = true, true
	default:
		n.refreshFor(m)
		return model.TaskCommand{}, false
	}
	x := model.TaskCommand{Job: p.Job, Index: p.Index, Attempt: p.Attempt}
	switch {
	case p.Status == model.Ended && over && quiet:
		x.Kind = model.ClearTask
	case p.Status != model.Ended && stop && !(p.Status == model.Checkpointing && w.WindDown > 0):
		x.Kind, x.GracePeriod = model.StopTask, w.WindDown
	default:
		return model.TaskCommand{}, false
	}
	return x, true
}

// refreshFor reads open/ anew and looks at a machine again then.
func (n *Controller) refreshFor(m *machine) {
	if m.readingOpenJobs {
		return
	}
	m.readingOpenJobs = true
	n.refresh(func(bool) {
		m.readingOpenJobs = false
		if n.shardLeader != nil && !m.removed {
			n.markDispatchPending(m)
		}
	})
}
