package controller

import (
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/remote"
)

// remote_attempts.go applies internal/remote to two kinds of attempts: those of this shard
// leader's jobs on machines of other shards, and those of other shards' jobs on the machines
// of this shard. Both kinds arise only when a team or a machine moves to another shard while
// a task runs; no attempt is started across shards.

const (
	// remoteRequestInterval is how often requests are sent to the owners of remote machines.
	remoteRequestInterval = time.Second
	// maxRemoteAttempts bounds the attempts in the requests of one round.
	maxRemoteAttempts = 2000
	// remoteStatusTTL is how long a remote machine counts as responsive after its owner published
	// that an attempt runs there. Owners publish it every second while the machine responds; some
	// of these messages may be lost.
	remoteStatusTTL = 5 * time.Second
)

// remoteAttempts exchanges the states of cross-shard attempts with other shard leaders:
// attempts that run on a machine of one shard for a job of another.
//
// It is part of a shardLeader. Its methods are called only while that shard leader leads: in
// every tick, with each heartbeat, and with the updates of peers. A successor starts empty:
// the job's shard leader repeats its requests for the attempts in its records, and
// heartbeats show the other attempts.
//
// Invariant: an attempt on a remote machine counts as gone only when the machine's current
// owner in the shard map says so under its current epoch.
type remoteAttempts struct {
	component

	// machines holds the remote machines that have attempts of this shard leader's jobs.
	machines map[string]*machine
	// registry holds the attempts of other shards' jobs on this shard's machines.
	registry remote.Registry

	// requestedAt is when the last round of requests was sent. due means that a round is to
	// be sent in this step. nextAfter is the machine after which the next round begins if
	// the last round couldn't include all machines.
	requestedAt time.Time
	due         bool
	nextAfter   string
}

// remoteAttempt returns the identity of a task's attempt in the terms of internal/remote.
func remoteAttempt(k taskKey, attempt uint64) remote.AttemptID {
	return remote.AttemptID{Job: k.job, Index: k.index, Attempt: attempt}
}

// requestRemoteAttempts sends requests to the owners of remote machines. They name the
// attempts of this shard leader's jobs on these machines, and whether each attempt shall
// continue or stop.
func (attempts *remoteAttempts) requestRemoteAttempts() {
	leader := attempts.controller.shardLeader
	if len(attempts.machines) == 0 || !attempts.due && attempts.now.Sub(attempts.requestedAt) < remoteRequestInterval {
		return
	}
	attempts.due, attempts.requestedAt = false, attempts.now
	requests := map[string][]remote.Request{}
	count := 0
	ids := sortedKeys(attempts.machines)
	// If the last round couldn't include all machines, continue after its last machine.
	start := 0
	for start < len(ids) && ids[start] <= attempts.nextAfter {
		start++
	}
	attempts.nextAfter = ""
	for _, id := range append(ids[start:], ids[:start]...) {
		m := attempts.machines[id]
		owner, known := attempts.controller.membership.shardMap.Owner(id)
		if !known || owner.Host == attempts.settings.Host {
			continue
		}
		request := remote.Request{Machine: id}
		for _, key := range sortedAttempts(m) {
			t := m.attempts[key]
			attempt := remote.AttemptRequest{AttemptID: remoteAttempt(key, t.attempt)}
			if t.stopReason != stopNone {
				attempt.Intent, attempt.WindDown = remote.Stop, leader.dispatcher.gracePeriod(m, leader.jobs[key.job], t)
			}
			request.Attempts = append(request.Attempts, attempt)
		}
		requests[owner.Host] = append(requests[owner.Host], request)
		if count += len(request.Attempts); count >= maxRemoteAttempts {
			attempts.nextAfter = id
			break
		}
	}
	for _, host := range sortedKeys(requests) {
		attempts.emit(message.SendPeerUpdate{To: host, Update: message.PeerUpdate{From: attempts.settings.Host, RemoteAttempts: requests[host]}})
	}
}

// receiveRemoteRequests applies a peer's requests for attempts of its jobs on this shard's
// machines.
func (attempts *remoteAttempts) receiveRemoteRequests(from string, requests []remote.Request) {
	leader := attempts.controller.shardLeader
	for _, request := range requests {
		if _, owned := attempts.controller.membership.ownedMachine(request.Machine); !owned || !leader.ready {
			continue
		}
		changed := attempts.registry.Request(attempts.now, from, request)
		m := leader.machines[request.Machine]
		if m == nil {
			if attempts.registry.LiveCount(request.Machine) == 0 {
				// All requested attempts are known to be gone.
				continue
			}
			// The machine is treated like a machine with attempts of this shard leader's own
			// jobs: it may never have sent a heartbeat here, and then only the end of its
			// lease proves the attempts gone.
			m = leader.ensureMachine(request.Machine)
		}
		if !m.heard {
			m.leaseEnd = later(m.leaseEnd, attempts.controller.renewal.leaseEndAfter(m.formerOwnerUntil))
		}
		if changed {
			attempts.controller.markDispatchPending(m)
		}
		if m.heard {
			attempts.updateRegistry(m)
		}
		attempts.recountOtherShardsUsed(m)
	}
}

// publishRemoteAttempts sends the states of other shards' attempts on this shard's machines
// to the owners of their jobs.
func (attempts *remoteAttempts) publishRemoteAttempts() {
	leader := attempts.controller.shardLeader
	updates := attempts.registry.DueStatuses(attempts.now, func(id string) (remote.MachineInfo, bool) {
		segment, owned := attempts.controller.membership.ownedMachine(id)
		info := remote.MachineInfo{Epoch: segment.Epoch, JobOwner: func(job string) string {
			if cached, open := attempts.controller.frontend.watchCache.openJobs[job]; open {
				if shard := attempts.controller.membership.shardMap.Team(cached.rec.Team); shard != nil && shard.Host != attempts.settings.Host {
					return shard.Host
				}
			}
			return ""
		}}
		if m := leader.machines[id]; m != nil {
			info.Zone, info.Unresponsive = m.zone, leader.heartbeats.unresponsive(m)
		}
		return info, owned
	})
	for _, host := range sortedKeys(updates) {
		if host != attempts.settings.Host {
			attempts.emit(message.SendPeerUpdate{To: host, Update: message.PeerUpdate{From: attempts.settings.Host, RemoteStatuses: updates[host]}})
		}
	}
}

// receiveRemoteAttempts applies the states that a machine's owner has published of attempts
// of this shard leader's jobs. It accepts them only from the owner that the shard map names
// now, under its current epoch: since an earlier epoch the machine may have belonged
// to this controller again, which may have started the attempt.
func (attempts *remoteAttempts) receiveRemoteAttempts(from string, updates []remote.MachineStatus) {
	leader := attempts.controller.shardLeader
	for _, update := range updates {
		owner, ok := attempts.controller.membership.shardMap.Owner(update.Machine)
		if !ok || owner.Host != from || owner.Epoch != update.Epoch || !leader.ready {
			continue
		}
		m := attempts.machines[update.Machine]
		var reply remote.Request
		for _, status := range update.Attempts {
			j := leader.jobs[status.Job]
			if j == nil || status.Index < 0 || status.Index >= len(j.tasks) {
				continue
			}
			t := &j.tasks[status.Index]
			if m != nil && t.machine == m && t.attempt == status.Attempt {
				if status.State == remote.Running {
					m.lastHeard = attempts.now
				}
				attempts.applyRemoteAttempt(j, m, status)
			} else if status.State == remote.Ended && j.durable(status.Index) {
				reply.Attempts = append(reply.Attempts, remote.AttemptRequest{AttemptID: status.AttemptID, Intent: remote.Settled})
			} else if status.State == remote.Fetching || status.State == remote.Running || status.State == remote.Checkpointing {
				reply.Attempts = append(reply.Attempts, remote.AttemptRequest{AttemptID: status.AttemptID, Intent: remote.Stop})
			}
		}
		if m != nil && m.zone == "" && update.Zone != "" {
			leader.setMachineZone(m, update.Zone)
		}
		if len(reply.Attempts) > 0 {
			reply.Machine = update.Machine
			attempts.emit(message.SendPeerUpdate{To: from, Update: message.PeerUpdate{From: attempts.settings.Host, RemoteAttempts: []remote.Request{reply}}})
		}
	}
}

// applyRemoteAttempt applies the published state of one live attempt on a remote machine.
func (attempts *remoteAttempts) applyRemoteAttempt(j *job, m *machine, status remote.AttemptStatus) {
	key := taskKey{j.ID, status.Index}
	report := model.TaskReport{Job: j.ID, Index: status.Index, Attempt: status.Attempt, Cause: status.Cause}
	switch status.State {
	case remote.Fetching:
		report.Status = model.Fetching
	case remote.Running:
		report.Status = model.Running
	case remote.Checkpointing:
		report.Status = model.Checkpointing
	case remote.Ended:
		report.Status = model.Ended
	case remote.Gone:
		attempts.controller.shardLeader.endAttempt(j, status.Index, false)
		return
	default:
		return
	}
	attempts.controller.shardLeader.heartbeats.applyTaskReport(m, key, report)
}

// toRemoteTask converts a task report to the types of internal/remote.
func toRemoteTask(report model.TaskReport) remote.ReportedAttempt {
	state := [...]remote.State{
		model.Fetching:      remote.Fetching,
		model.Running:       remote.Running,
		model.Checkpointing: remote.Checkpointing,
		model.Ended:         remote.Ended,
	}[report.Status]
	return remote.ReportedAttempt{AttemptID: remote.AttemptID{Job: report.Job, Index: report.Index, Attempt: report.Attempt}, State: state, Cause: report.Cause}
}

// updateRegistry passes the newest task reports of a machine to the registry.
func (attempts *remoteAttempts) updateRegistry(m *machine) {
	leader := attempts.controller.shardLeader
	var tasks []remote.ReportedAttempt
	for _, report := range m.taskReports {
		tasks = append(tasks, toRemoteTask(report))
	}
	// No command under an epoch older than the machine has shown can take effect. But a
	// start of this shard leader itself may be in flight, sent before the job's team moved.
	attempts.registry.ObserveHeartbeat(attempts.now, m.id, tasks, func(job string) bool { return leader.jobs[job] != nil }, leader.dispatcher.noStartInFlight(m))
	attempts.recountOtherShardsUsed(m)
}

// recountOtherShardsUsed sums up the capacity that attempts of other shards' jobs use on a
// machine.
func (attempts *remoteAttempts) recountOtherShardsUsed(m *machine) {
	leader := attempts.controller.shardLeader
	hadOthersAttempts := m.hasOtherShardsAttempts
	m.otherShardsUsed, m.hasOtherShardsAttempts, m.hasUnknownTasks = model.Resources{}, false, false
	for _, attempt := range attempts.registry.LiveAttempts(m.id) {
		if leader.jobs[attempt.Job] != nil {
			continue
		}
		m.hasOtherShardsAttempts = true
		if cached, open := attempts.controller.frontend.watchCache.openJobs[attempt.Job]; open {
			m.otherShardsUsed = m.otherShardsUsed.AddScaled(model.Resources{CPU: cached.rec.CPU, GPU: cached.rec.GPU, Memory: cached.rec.Memory}, 1)
		} else {
			// The attempt's resource use is unknown.
			m.hasUnknownTasks = true
		}
	}
	for key, report := range m.taskReports {
		m.hasUnknownTasks = m.hasUnknownTasks || report.Status != model.Ended && m.attempts[key] == nil && leader.jobs[key.job] != nil
	}
	if hadOthersAttempts && !m.hasOtherShardsAttempts {
		leader.scheduler.requestPlacement()
		if len(m.attempts) == 0 {
			m.idleSince = attempts.now
		}
	}
}

// reapplyTaskReports applies the newest task reports of a machine again, after attempts on the machine
// have become attempts of this shard leader's jobs.
func (attempts *remoteAttempts) reapplyTaskReports(m *machine) {
	for _, key := range sortedTasks(m.taskReports) {
		attempts.controller.shardLeader.heartbeats.applyTaskReport(m, key, m.taskReports[key])
	}
	if m.heard {
		m.lastTaskReports = nil
		attempts.updateRegistry(m)
	}
	attempts.controller.markDispatchPending(m)
}

// commandForOtherShardsTask returns the command for a reported task that belongs to no job of this
// shard leader, and false if none is needed. Either the job's shard leader has requested the
// command, or the job is over and the task is cleared.
func (attempts *remoteAttempts) commandForOtherShardsTask(m *machine, report model.TaskReport, noStartInFlight bool) (model.TaskCommand, bool) {
	attempt := remote.AttemptID{Job: report.Job, Index: report.Index, Attempt: report.Attempt}
	since, request, requested := attempts.registry.Find(m.id, attempt)
	stop, jobOver := requested && request.Intent == remote.Stop, requested && request.Intent == remote.Settled
	_, final := attempts.controller.frontend.finalStatuses[report.Job]
	switch cached, open := attempts.controller.frontend.watchCache.openJobs[report.Job]; {
	case final:
		stop, jobOver, request.WindDown = true, true, 0
	case open:
		// Cancelled: the task is stopped even if the job's shard leader can't be reached,
		// and also while the task writes a checkpoint because that shard leader stopped it
		// earlier.
		if cached.rec.Cancelled {
			stop, request.WindDown = true, 0
		}
	case attempts.controller.frontend.watchCache.asOf.After(since) && !since.IsZero():
		// The job was not open at a moment after the attempt was first seen, so the job is
		// over.
		stop, jobOver = true, true
	default:
		attempts.refreshOpenJobsFor(m)
		return model.TaskCommand{}, false
	}
	command := model.TaskCommand{Job: report.Job, Index: report.Index, Attempt: report.Attempt}
	dispatcher := &attempts.controller.shardLeader.dispatcher
	switch {
	case report.Status == model.Ended && jobOver && dispatcher.canFenceStarts(m) && noStartInFlight:
		dispatcher.fenceStarts(m)
		command.Kind = model.ClearTask
	case report.Status != model.Ended && stop && !(report.Status == model.Checkpointing && request.WindDown > 0):
		command.Kind, command.GracePeriod = model.StopTask, request.WindDown
	default:
		return model.TaskCommand{}, false
	}
	return command, true
}

// refreshOpenJobsFor refreshes the watch cache, and afterwards has commands dispatched to the
// machine.
func (attempts *remoteAttempts) refreshOpenJobsFor(m *machine) {
	if m.readingOpenJobs {
		return
	}
	m.readingOpenJobs = true
	attempts.controller.frontend.watchCache.refresh(func(bool) {
		m.readingOpenJobs = false
		if attempts.controller.shardLeader != nil && !m.removed {
			attempts.controller.markDispatchPending(m)
		}
	})
}
