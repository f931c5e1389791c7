package controller

import (
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/remote"
)

// remote_attempts.go applies internal/remote: attempts of this shard leader's jobs on the
// machines of others, and of others' jobs on the machines here. Both arise only when a
// team or a machine moves while something runs; nothing is started across shards.

const (
	// remoteRequestInterval is how often the owners of remote machines get a request.
	remoteRequestInterval = time.Second
	// maxRemoteAttempts bounds the attempts in the requests of one round.
	maxRemoteAttempts = 2000
)

// remoteAttempts exchanges with other shard leaders what becomes of attempts that run on a
// machine of one shard for a job of another.
//
// It is part of a shardLeader and its methods are called only while that one leads: in every
// tick, with each heartbeat, and with the updates of peers. A successor starts empty: the job's
// shard leader requests the attempts that its records name again, and heartbeats show the rest.
//
// Invariant: an attempt on a remote machine counts as gone only when the shard map's present
// owner of the machine says so under its present epoch.
type remoteAttempts struct {
	component

	// machines are the remote machines on which attempts of this shard leader's jobs are.
	machines map[string]*machine
	// registry has the attempts of others on the machines here.
	registry remote.Registry

	// requestedAt is when the owners of remote machines last got requests; due: they get them
	// in this step. nextAfter is the machine after which the next round begins, if not all
	// fit into the last.
	requestedAt time.Time
	due         bool
	nextAfter   string
}

// remoteAttempt names a task's attempt.
func remoteAttempt(k taskKey, attempt uint64) remote.AttemptID {
	return remote.AttemptID{Job: k.job, Index: k.index, Attempt: attempt}
}

// requestRemoteAttempts sends the owners of remote machines requests for the attempts of this
// shard leader's jobs there, with what has to become of them.
func (r *remoteAttempts) requestRemoteAttempts() {
	s := r.controller.shardLeader
	if len(r.machines) == 0 || !r.due && r.now.Sub(r.requestedAt) < remoteRequestInterval {
		return
	}
	r.due, r.requestedAt = false, r.now
	requests := map[string][]remote.Request{}
	count := 0
	ids := sortedKeys(r.machines)
	// If not all fit, the round goes on where the last one ended.
	start := 0
	for start < len(ids) && ids[start] <= r.nextAfter {
		start++
	}
	r.nextAfter = ""
	for _, id := range append(ids[start:], ids[:start]...) {
		m := r.machines[id]
		owner, ok := r.controller.membership.shardMap.Owner(id)
		if !ok || owner.Host == r.settings.Host {
			continue
		}
		request := remote.Request{Machine: id}
		for _, key := range sortedAttempts(m) {
			t := m.attempts[key]
			attempt := remote.AttemptRequest{AttemptID: remoteAttempt(key, t.attempt)}
			if t.stopReason != stopNone {
				attempt.Intent, attempt.WindDown = remote.Stop, s.dispatcher.gracePeriod(m, s.jobs[key.job], t)
			}
			request.Attempts = append(request.Attempts, attempt)
		}
		requests[owner.Host] = append(requests[owner.Host], request)
		if count += len(request.Attempts); count >= maxRemoteAttempts {
			r.nextAfter = id
			break
		}
	}
	for _, host := range sortedKeys(requests) {
		r.emit(message.SendPeerUpdate{To: host, Update: message.PeerUpdate{From: r.settings.Host, RemoteAttempts: requests[host]}})
	}
}

// receiveRemoteRequests takes in the requests of a peer for attempts of its jobs on the machines
// here.
func (r *remoteAttempts) receiveRemoteRequests(from string, requests []remote.Request) {
	s := r.controller.shardLeader
	for _, request := range requests {
		if _, mine := r.controller.membership.ownedMachine(request.Machine); !mine || !s.ready {
			continue
		}
		changed := r.registry.Request(r.now, from, request)
		m := s.machines[request.Machine]
		if m == nil {
			if r.registry.LiveCount(request.Machine) == 0 {
				// All requested attempts are known to be gone.
				continue
			}
			// It is treated like a machine with attempts of this shard leader's own: it may
			// never have sent a heartbeat here, and only the end of its lease may tell.
			m = s.ensureMachine(request.Machine)
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

// publishRemoteAttempts publishes to the others what is known of the attempts of their jobs here.
func (r *remoteAttempts) publishRemoteAttempts() {
	s := r.controller.shardLeader
	updates := r.registry.DueStatuses(r.now, func(id string) (remote.MachineInfo, bool) {
		segment, mine := r.controller.membership.ownedMachine(id)
		info := remote.MachineInfo{Epoch: segment.Epoch, JobOwner: func(job string) string {
			if cached, open := r.controller.frontend.watchCache.openJobs[job]; open {
				if shard := r.controller.membership.shardMap.Team(cached.rec.Team); shard != nil && shard.Host != r.settings.Host {
					return shard.Host
				}
			}
			return ""
		}}
		if m := s.machines[id]; m != nil {
			info.Zone = m.zone
		}
		return info, mine
	})
	for _, host := range sortedKeys(updates) {
		if host != r.settings.Host {
			r.emit(message.SendPeerUpdate{To: host, Update: message.PeerUpdate{From: r.settings.Host, RemoteStatuses: updates[host]}})
		}
	}
}

// receiveRemoteAttempts takes in what a machine's owner has published of attempts of this shard
// leader's jobs. It counts only from the owner that the shard map names now, under the
// present epoch: since an earlier one the machine may have been this controller's again, and
// the attempt may have been started.
func (r *remoteAttempts) receiveRemoteAttempts(from string, updates []remote.MachineStatus) {
	s := r.controller.shardLeader
	for _, update := range updates {
		owner, ok := r.controller.membership.shardMap.Owner(update.Machine)
		if !ok || owner.Host != from || owner.Epoch != update.Epoch || !s.ready {
			continue
		}
		m := r.machines[update.Machine]
		var reply remote.Request
		for _, status := range update.Attempts {
			j := s.jobs[status.Job]
			if j == nil || status.Index < 0 || status.Index >= len(j.tasks) {
				continue
			}
			t := &j.tasks[status.Index]
			if m != nil && t.machine == m && t.attempt == status.Attempt {
				r.applyRemoteAttempt(j, m, status)
			} else if status.State == remote.Ended && j.durable(status.Index) {
				reply.Attempts = append(reply.Attempts, remote.AttemptRequest{AttemptID: status.AttemptID, Intent: remote.Settled})
			} else if status.State == remote.Fetching || status.State == remote.Running || status.State == remote.Checkpointing {
				reply.Attempts = append(reply.Attempts, remote.AttemptRequest{AttemptID: status.AttemptID, Intent: remote.Stop})
			}
		}
		if m != nil && m.zone == "" && update.Zone != "" {
			s.setMachineZone(m, update.Zone)
		}
		if len(reply.Attempts) > 0 {
			reply.Machine = update.Machine
			r.emit(message.SendPeerUpdate{To: from, Update: message.PeerUpdate{From: r.settings.Host, RemoteAttempts: []remote.Request{reply}}})
		}
	}
}

// applyRemoteAttempt takes in the state of one live attempt on a remote machine.
func (r *remoteAttempts) applyRemoteAttempt(j *job, m *machine, status remote.AttemptStatus) {
	k := taskKey{j.ID, status.Index}
	p := model.TaskReport{Job: j.ID, Index: status.Index, Attempt: status.Attempt, Cause: status.Cause}
	switch status.State {
	case remote.Fetching:
		p.Status = model.Fetching
	case remote.Running:
		p.Status = model.Running
	case remote.Checkpointing:
		p.Status = model.Checkpointing
	case remote.Ended:
		p.Status = model.Ended
	case remote.Gone:
		r.controller.shardLeader.endAttempt(j, status.Index, false)
		return
	default:
		return
	}
	r.controller.shardLeader.heartbeats.applyTaskReport(m, k, p)
}

// toRemoteTask is a task report in the terms of internal/remote.
func toRemoteTask(p model.TaskReport) remote.ReportedAttempt {
	state := [...]remote.State{
		model.Fetching:      remote.Fetching,
		model.Running:       remote.Running,
		model.Checkpointing: remote.Checkpointing,
		model.Ended:         remote.Ended,
	}[p.Status]
	return remote.ReportedAttempt{AttemptID: remote.AttemptID{Job: p.Job, Index: p.Index, Attempt: p.Attempt}, State: state, Cause: p.Cause}
}

// updateRegistry passes the newest task reports of a machine to the registry.
func (r *remoteAttempts) updateRegistry(m *machine) {
	s := r.controller.shardLeader
	var tasks []remote.ReportedAttempt
	for _, p := range m.taskReports {
		tasks = append(tasks, toRemoteTask(p))
	}
	// Nothing under an older epoch than the machine has shown can take effect any more. But a
	// start of this shard leader's own may be in flight, from before the job's team moved.
	r.registry.ObserveHeartbeat(r.now, m.id, tasks, func(job string) bool { return s.jobs[job] != nil }, s.dispatcher.noStartInFlight(m))
	r.recountOthersUsed(m)
}

// recountOthersUsed sums up the resources that others' attempts use on a machine.
func (r *remoteAttempts) recountOthersUsed(m *machine) {
	s := r.controller.shardLeader
	hadOthersAttempts := m.hasOthersAttempts
	m.othersUsed, m.hasOthersAttempts, m.hasUnknownTasks = model.Resources{}, false, false
	for _, attempt := range r.registry.LiveAttempts(m.id) {
		if s.jobs[attempt.Job] != nil {
			continue
		}
		m.hasOthersAttempts = true
		if cached, open := r.controller.frontend.watchCache.openJobs[attempt.Job]; open {
			m.othersUsed = m.othersUsed.AddScaled(model.Resources{CPU: cached.rec.CPU, GPU: cached.rec.GPU, Memory: cached.rec.Memory}, 1)
		} else {
			// What it uses is not known.
			m.hasUnknownTasks = true
		}
	}
	for k, p := range m.taskReports {
		m.hasUnknownTasks = m.hasUnknownTasks || p.Status != model.Ended && m.attempts[k] == nil && s.jobs[k.job] != nil
	}
	if hadOthersAttempts && !m.hasOthersAttempts {
		s.scheduler.requestPlacement()
		if len(m.attempts) == 0 {
			m.idleSince = r.now
		}
	}
}

// rePoll applies once more what a machine last reported, after attempts on it have become this
// shard leader's.
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

// commandForOthers is what has to happen to a reported task of none of this shard leader's jobs,
// and false for nothing. Another controller leads its job and requests that, or the job is
// over and the task is cleared.
func (r *remoteAttempts) commandForOthers(m *machine, p model.TaskReport, noStartInFlight bool) (model.TaskCommand, bool) {
	attempt := remote.AttemptID{Job: p.Job, Index: p.Index, Attempt: p.Attempt}
	since, request, requested := r.registry.Find(m.id, attempt)
	stop, over := requested && request.Intent == remote.Stop, requested && request.Intent == remote.Settled
	_, final := r.controller.frontend.finalStatuses[p.Job]
	switch cached, open := r.controller.frontend.watchCache.openJobs[p.Job]; {
	case final:
		stop, over, request.WindDown = true, true, 0
	case open:
		// Cancelled: it is stopped even if its job's shard leader can't be reached, and also
		// while it writes a checkpoint because that one had it stopped before.
		if cached.rec.Cancelled {
			stop, request.WindDown = true, 0
		}
	case r.controller.frontend.watchCache.asOf.After(since) && !since.IsZero():
		// Not open, as of a moment after the attempt was first seen: the job is over.
		stop, over = true, true
	default:
		r.refreshFor(m)
		return model.TaskCommand{}, false
	}
	cmd := model.TaskCommand{Job: p.Job, Index: p.Index, Attempt: p.Attempt}
	switch {
	case p.Status == model.Ended && over && noStartInFlight:
		cmd.Kind = model.ClearTask
	case p.Status != model.Ended && stop && !(p.Status == model.Checkpointing && request.WindDown > 0):
		cmd.Kind, cmd.GracePeriod = model.StopTask, request.WindDown
	default:
		return model.TaskCommand{}, false
	}
	return cmd, true
}

// refreshFor refreshes the watch cache and has the machine dispatched to after that.
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
