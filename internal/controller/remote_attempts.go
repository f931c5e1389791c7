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
	component

	requested time.Time
	due       bool
	// from is the machine with which the next question begins, if not all fit.
	from     string
	registry remote.Registry
	// remoteMachines are machines of other owners on which attempts of these jobs are, and
	// registry the account of others' attempts on the machines here; see remote_attempts.go.
	machines map[string]*machine
}

// remoteAttempt names a task's attempt.
func remoteAttempt(k taskKey, attempt uint64) remote.AttemptID {
	return remote.AttemptID{Job: k.job, Index: k.index, Attempt: attempt}
}

// requestRemoteAttempts asks the owners of other machines for the attempts of this owner's jobs
// there, and says what is wanted of them.
func (r *remoteAttempts) requestRemoteAttempts() {
	o := r.controller.shardLeader
	if len(o.remoteAttempts.machines) == 0 || !o.remoteAttempts.due && r.now.Sub(o.remoteAttempts.requested) < remoteRequestInterval {
		return
	}
	o.remoteAttempts.due, o.remoteAttempts.requested = false, r.now
	requests := map[string][]remote.Request{}
	count := 0
	ids := sortedKeys(o.remoteAttempts.machines)
	// Of more than fit, those after the last that were asked for come next.
	start := 0
	for start < len(ids) && ids[start] <= o.remoteAttempts.from {
		start++
	}
	o.remoteAttempts.from = ""
	for _, id := range append(ids[start:], ids[:start]...) {
		a := o.remoteAttempts.machines[id]
		x, ok := r.controller.membership.shardMap.Owner(id)
		if !ok || x.Host == r.settings.Host {
			continue
		}
		request := remote.Request{Machine: id}
		for _, key := range sortedAttempts(a) {
			t := a.attempts[key]
			w := remote.AttemptRequest{AttemptID: remoteAttempt(key, t.attempt)}
			if t.stopReason != stopNone {
				w.Intent, w.WindDown = remote.Stop, r.controller.shardLeader.dispatcher.gracePeriod(a, o.jobs[key.job], t)
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
		r.emit(message.SendPeerUpdate{To: host, Update: message.PeerUpdate{From: r.settings.Host, RemoteAttempts: requests[host]}})
	}
}

// receiveRemoteRequests takes in what a jobs' owner asks about machines of this one.
func (r *remoteAttempts) receiveRemoteRequests(from string, requests []remote.Request) {
	o := r.controller.shardLeader
	for _, a := range requests {
		if _, mine := r.controller.membership.ownedMachine(a.Machine); !mine || !o.ready {
			continue
		}
		changed := o.remoteAttempts.registry.Request(r.now, from, a)
		m := o.machines[a.Machine]
		if m == nil {
			if o.remoteAttempts.registry.LiveCount(a.Machine) == 0 {
				// All that was asked for is known to be gone.
				continue
			}
			// It is looked after like one with work of this owner's own: it may never
			// have been heard of here, and only its lease's end may tell.
			m = r.controller.shardLeader.ensureMachine(a.Machine)
		}
		if !m.heard {
			m.leaseEnd = later(m.leaseEnd, r.controller.renewal.leaseEndAfter(m.formerOwnerUntil))
		}
		if changed {
			r.controller.markDispatchPending(m)
		}
		if m.heard {
			r.updateRegistry(m)
		}
		r.recountOthersUsed(m)
	}
}

// publishRemoteAttempts tells the others what is known of the attempts of their jobs here.
func (r *remoteAttempts) publishRemoteAttempts() {
	o := r.controller.shardLeader
	updates := o.remoteAttempts.registry.DueStatuses(r.now, func(id string) (remote.MachineInfo, bool) {
		x, mine := r.controller.membership.ownedMachine(id)
		about := remote.MachineInfo{Epoch: x.Epoch, JobOwner: func(job string) string {
			if l, open := r.controller.frontend.watchCache.openJobs[job]; open {
				if s := r.controller.membership.shardMap.Team(l.rec.Team); s != nil && s.Host != r.settings.Host {
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
		if host != r.settings.Host {
			r.emit(message.SendPeerUpdate{To: host, Update: message.PeerUpdate{From: r.settings.Host, RemoteStatuses: updates[host]}})
		}
	}
}

// receiveRemoteAttempts takes in what a machine's owner tells of attempts of this owner's jobs. It
// counts only from whom the division names as the machine's owner now, under the
// epoch of now: since an earlier one the machine may have been this owner's again,
// and the attempt may have been started.
func (r *remoteAttempts) receiveRemoteAttempts(from string, updates []remote.MachineStatus) {
	o := r.controller.shardLeader
	for _, update := range updates {
		x, ok := r.controller.membership.shardMap.Owner(update.Machine)
		if !ok || x.Host != from || x.Epoch != update.Epoch || !o.ready {
			continue
		}
		a := o.remoteAttempts.machines[update.Machine]
		var back remote.Request
		for _, w := range update.Attempts {
			j := o.jobs[w.Job]
			if j == nil || w.Index < 0 || w.Index >= len(j.tasks) {
				continue
			}
			t := &j.tasks[w.Index]
			if a != nil && t.machine == a && t.attempt == w.Attempt {
				r.applyRemoteAttempt(j, a, w)
			} else if w.State == remote.Ended && j.durable(w.Index) {
				back.Attempts = append(back.Attempts, remote.AttemptRequest{AttemptID: w.AttemptID, Intent: remote.Settled})
			} else if w.State == remote.Fetching || w.State == remote.Running || w.State == remote.Checkpointing {
				back.Attempts = append(back.Attempts, remote.AttemptRequest{AttemptID: w.AttemptID, Intent: remote.Stop})
			}
		}
		if a != nil && a.zone == "" && update.Zone != "" {
			r.controller.shardLeader.setMachineZone(a, update.Zone)
		}
		if len(back.Attempts) > 0 {
			back.Machine = update.Machine
			r.emit(message.SendPeerUpdate{To: from, Update: message.PeerUpdate{From: r.settings.Host, RemoteAttempts: []remote.Request{back}}})
		}
	}
}

// applyRemoteAttempt takes in the state of one live attempt on another's machine.
func (r *remoteAttempts) applyRemoteAttempt(j *job, a *machine, w remote.AttemptStatus) {
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
		r.controller.shardLeader.endAttempt(j, w.Index, false)
		return
	default:
		return
	}
	r.controller.shardLeader.heartbeats.applyTaskReport(a, k, p)
}

// toRemoteTask is a reported state in the ownership package's terms.
func toRemoteTask(p model.TaskReport) remote.ReportedAttempt {
	s := [...]remote.State{model.Fetching: remote.Fetching, model.Running: remote.Running, model.Checkpointing: remote.Checkpointing, model.Ended: remote.Ended}[p.Status]
	return remote.ReportedAttempt{AttemptID: remote.AttemptID{Job: p.Job, Index: p.Index, Attempt: p.Attempt}, State: s, Cause: p.Cause}
}

// updateRegistry hands the newest report of a machine to the registry.
func (r *remoteAttempts) updateRegistry(m *machine) {
	o := r.controller.shardLeader
	var tasks []remote.ReportedAttempt
	for _, p := range m.taskReports {
		tasks = append(tasks, toRemoteTask(p))
	}
	// Under the epoch that it has shown nothing older can be executed any more; and a
	// start of this owner's own may be on its way, from before the job went to another.
	o.remoteAttempts.registry.ObserveHeartbeat(r.now, m.id, tasks, func(job string) bool { return o.jobs[job] != nil }, r.controller.shardLeader.dispatcher.noStartInFlight(m))
	r.recountOthersUsed(m)
}

// recountOthersUsed reckons the room that others' attempts take on a machine.
func (r *remoteAttempts) recountOthersUsed(m *machine) {
	o := r.controller.shardLeader
	hadOthersAttempts := m.hasOthersAttempts
	m.othersUsed, m.hasOthersAttempts, m.hasUnknownTasks = model.Resources{}, false, false
	for _, a := range o.remoteAttempts.registry.LiveAttempts(m.id) {
		if o.jobs[a.Job] != nil {
			continue
		}
		m.hasOthersAttempts = true
		if l, open := r.controller.frontend.watchCache.openJobs[a.Job]; open {
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
		o.scheduler.requestPlacement()
		if len(m.attempts) == 0 {
			m.idleSince = r.now
		}
	}
}

// rePoll looks once more at what a machine last reported, after attempts on it have
// become this owner's.
func (r *remoteAttempts) rePoll(m *machine) {
	for _, k := range sortedTasks(m.taskReports) {
		r.controller.shardLeader.heartbeats.applyTaskReport(m, k, m.taskReports[k])
	}
	if m.heard {
		m.lastTaskReports = nil
		r.updateRegistry(m)
	}
	r.controller.markDispatchPending(m)
}

// commandForOthers says what is to become of a piece that belongs to none of this owner's jobs:
// nothing, or an order. Another controller owns its job and says so, or the job is
// over and it is cleared away.
func (r *remoteAttempts) commandForOthers(m *machine, p model.TaskReport, quiet bool) (model.TaskCommand, bool) {
	o := r.controller.shardLeader
	a := remote.AttemptID{Job: p.Job, Index: p.Index, Attempt: p.Attempt}
	since, w, requested := o.remoteAttempts.registry.Find(m.id, a)
	stop, over := requested && w.Intent == remote.Stop, requested && w.Intent == remote.Settled
	_, final := r.controller.frontend.finalStatuses[p.Job]
	switch l, open := r.controller.frontend.watchCache.openJobs[p.Job]; {
	case final:
		stop, over, w.WindDown = true, true, 0
	case open:
		// Cancelled: it is stopped whether or not its job's owner can be heard, also while
		// it saves because that owner had it stopped before.
		if l.rec.Cancelled {
			stop, w.WindDown = true, 0
		}
	case r.controller.frontend.watchCache.asOf.After(since) && !since.IsZero():
		// Not open, as of a moment after it was first seen: the job is over.
		stop, over = true, true
	default:
		r.refreshFor(m)
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
func (r *remoteAttempts) refreshFor(m *machine) {
	if m.readingOpenJobs {
		return
	}
	m.readingOpenJobs = true
	r.controller.frontend.watchCache.refresh(func(bool) {
		m.readingOpenJobs = false
		if r.controller.shardLeader != nil && !m.removed {
			r.controller.markDispatchPending(m)
		}
	})
}
