package controller

import (
	"time"

	"github.com/micahill/micahill/internal/faultattribution"
	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/record"
	"github.com/micahill/micahill/internal/sharding"
)

const (
	// shardLeaderTickInterval is how often the owner looks round without being asked.
	shardLeaderTickInterval = 500 * time.Millisecond
	// placementInterval separates two rounds of placing. Ends and arrivals come by
	// the dozen a second in a large pool; a round looks at every machine, and
	// what it places shares a write.
	placementInterval = 150 * time.Millisecond
	// epochBumpInterval bounds how often an owner raises its epoch by itself.
	epochBumpInterval = 3 * time.Second
	// persistInterval separates two looks at what is to be written, which go through all
	// jobs, but after a round of placing: hundreds of reports come in a second.
	persistInterval = 20 * time.Millisecond
)

// shardLeader runs the teams and machines of the shares that this controller holds.
type shardLeader struct {
	component

	since      time.Time
	ready      bool
	readyAt    time.Time
	generation int
	// teams are those of the shares that are held; see shard_sync.go.
	teams  map[string]*heldTeam
	shards map[string]bool
	// catchAllSince is since when one of the shares has the machines that no lot names.
	catchAllSince time.Time
	// loading: records of teams are being read.
	loadingTeams   bool
	jobs           map[string]*job
	machines       map[string]*machine
	remoteAttempts remoteAttempts
	promiseDates   shardLeaderDates
	// machinesByID are the machines in the order of their names, and dirty those for
	// which orders may be due.
	machinesByID []*machine
	usedByTeam   map[string]model.Resources
	// faultAttribution tells faulty machines from jobs that fail everywhere.
	faultAttribution faultattribution.Tracker
	wakeAt           time.Time
	sweptAt          time.Time
	// teamRelease is a team that the leader wants to move, and when it last said so.
	teamRelease   sharding.MoveRequest
	teamReleaseAt time.Time
	// workloads holds the newest job of each workload.
	workloads        map[string]*workload
	publishedAt      time.Time
	loadsPublishedAt time.Time
	// publishTurn says which machines the others are told of next.
	publishTurn  int
	dependencies dependencyTracker
	dispatcher   dispatcher
	failover     failover
	fleet        fleetPlanner
	heartbeats   heartbeatTracker
	migration    migrationManager
	persistence  persistence
	scheduler    scheduler
}

// newShardLeader makes a shard leader that leads nothing yet.
func newShardLeader(n *Controller) *shardLeader {
	o := &shardLeader{
		since: n.now, generation: int(n.nextID()),
		teams: map[string]*heldTeam{}, shards: map[string]bool{},
		jobs: map[string]*job{}, machines: map[string]*machine{}, usedByTeam: map[string]model.Resources{},
		workloads: map[string]*workload{},
	}
	o.remoteAttempts.machines = map[string]*machine{}
	o.failover.higherEpochSeen = map[string]time.Time{}
	o.fleet.arrivals = map[workloadKey][]arrival{}
	o.persistence.prewarmedImages = map[string]map[string]float64{}
	o.connectComponents(component{environment: n.environment, controller: n})
	return o
}

// connectComponents gives each part of a shard leader the environment and the way to the others.
func (o *shardLeader) connectComponents(shared component) {
	o.component = shared
	o.scheduler.component = shared
	o.fleet.component = shared
	o.persistence.component = shared
	o.failover.component = shared
	o.dispatcher.component = shared
	o.dependencies.component = shared
	o.remoteAttempts.component = shared
	o.heartbeats.component = shared
	o.migration.component = shared
}

type workload struct {
	spec     *model.JobSpec
	lastSeen time.Time
}

type arrival struct {
	arrivedAt time.Time
	tasks     int
	need      model.Resources
	spec      *model.JobSpec
}

// grace is H: how long an owner goes on answering its workers after its grant
// may have ended. A full lease, so that a long outage of the state service
// costs no work; a successor that reaches the workers needs not wait for it,
// because the higher epoch reaches them at once.
func (r *leaseRenewer) grace() time.Duration { return r.settings.WorkerLease }

func (n *Controller) dropShardLeader(reason string) {
	if n.shardLeader == nil {
		return
	}
	n.info("owner no more", "why", reason)
	n.shardLeader.endPlanningPass()
	if n.shardLeader.scheduler.packingProfile != nil {
		n.emit(message.GPUFreeCapacityReport{})
	}
	n.shardLeader = nil
}

// observeOwnWrite tells the owner at once of a change this node wrote itself, unless the
// picture is newer: its answer may come after the job was cancelled and over.
func (n *Controller) observeOwnWrite(it message.KeyValue) {
	if n.shardLeader != nil && it.ModRevision > n.frontend.watchCache.revision {
		n.shardLeader.applyOpenJob(it)
	}
}

func (o *shardLeader) applyOpenJob(it message.KeyValue) {
	id := record.JobIDFromKey(it.Key, record.OpenJobPrefix)
	j := o.jobs[id]
	if it.Deleted {
		if j != nil && j.elsewhere() {
			// Settled by the leader, who has heard from the peer.
			delete(o.jobs, id)
		}
		return
	}
	if j != nil && it.ModRevision <= j.modRevision {
		return
	}
	if _, ended := o.controller.frontend.finalStatuses[id]; ended && j == nil && o.controller.frontend.finalStatuses[id] == model.Done {
		return
	}
	var r record.OpenJob
	if !record.Decode(it.Value, &r) {
		o.rejectInput("record", it.Key, "it can't be read")
		return
	}
	if problem := r.Validate(); problem != "" {
		// Its job stays queued until somebody mends the record or cancels it.
		o.rejectInput("record", it.Key, problem)
		return
	}
	if j == nil {
		// An earlier form kept nothing of a cancelled job but that it is one.
		held := o.teams[r.Team]
		if (!r.Cancelled || r.Team != "") && (held == nil || !held.ready) || !o.ready {
			// Another's, or it comes when the team's records have been read.
			return
		}
		spec := r.JobSpec(id)
		if r.Cancelled {
			spec.Tasks = r.Tasks
		}
		// It has just come, and this clock is the one that its waits are judged by
		// here; another controller's may be a second off.
		j = o.addJob(spec, o.now, it.ModRevision)
		if !r.Cancelled {
			k := workloadKey{j.Team, j.Workload}
			o.fleet.arrivals[k] = append(o.fleet.arrivals[k], arrival{o.now, j.Tasks, j.Need, &j.JobSpec})
		}
		j.setLoanFrom(&r)
		o.controller.promises.noteBaseQuote(j)
	}
	o.applyJobRecord(j, it.ModRevision, &r)
	o.scheduler.placementDue = true
}

// addJob takes a job into the owner's books.
func (o *shardLeader) addJob(spec model.JobSpec, at time.Time, stamp uint64) *job {
	j := newJob(spec, at, stamp, o.settings.currentMaxValueBytes())
	j.segmentFormat = o.controller.membership.formats.segmentFormat()
	o.jobs[j.ID] = j
	if j.Workload != "" {
		o.debug("job", "job", j.ID, "workload", j.Workload, "tasks", j.Tasks, "due", j.Deadline, "image", j.Image, "age", o.now.Sub(j.submittedAt))
		o.workloads[j.Workload] = &workload{&j.JobSpec, o.now}
		o.scheduler.placementUrgent = o.scheduler.placementUrgent || o.waitObjective(j.Workload) > 0
	}
	o.controller.awaitDependencies(j)
	return j
}

// applyJobRecord takes in a job's record in open/ as it stands now.
func (o *shardLeader) applyJobRecord(j *job, stamp uint64, r *record.OpenJob) {
	id := j.ID
	j.modRevision = stamp
	j.setLoanFrom(r)
	o.controller.promises.notePromiseRecord(j, r)
	if r.Cancelled {
		// Whoever wrote that has written job/ with it.
		j.cancelDerived = false
	}
	if r.Cancelled && !j.cancelled {
		j.cancelled = true
		o.controller.frontend.cacheFinalStatus(id, model.Cancelled)
		for i := range j.tasks[:j.nextFresh] {
			if t := &j.tasks[i]; t.machine != nil {
				t.stopReason = stopCancel
				o.controller.markDispatchPending(t.machine)
			}
		}
	}
}

// attachAttempt makes the attempt of task i live on m.
func (o *shardLeader) attachAttempt(j *job, i int, m *machine) {
	t := &j.tasks[i]
	t.machine = m
	j.liveTasks++
	j.liveByZone[m.zone]++
	m.attempts[taskKey{j.ID, i}] = t
	m.used = m.used.AddScaled(j.Need, 1)
	u := o.usedByTeam[j.Team]
	o.usedByTeam[j.Team] = u.AddScaled(j.Need, 1)
}

// endAttempt takes note of the proof that a live attempt is over.
func (o *shardLeader) endAttempt(j *job, i int, done bool) {
	t := &j.tasks[i]
	m := t.machine
	if m == nil {
		return
	}
	delete(m.attempts, taskKey{j.ID, i})
	m.used = m.used.AddScaled(j.Need, -1)
	o.usedByTeam[j.Team] = o.usedByTeam[j.Team].AddScaled(j.Need, -1)
	j.liveTasks--
	j.liveByZone[m.zone]--
	if len(m.attempts) == 0 {
		m.idleSince = o.now
		m.used = model.Resources{}
		if m.remote {
			o.dropRemoteMachine(m)
		}
	}
	if t.isRunning() {
		j.runningTasks--
	}
	t.machine, t.reported, t.startedAt = nil, false, time.Time{}
	if t.stopReason == stopRelaunch {
		t.avoidMachine = m.id
	}
	t.stopReason = stopNone
	if done {
		t.done = true
		j.doneTasks++
	} else if !j.cancelled {
		j.requeued = append(j.requeued, i)
	}
	j.markChanged(i, o.now, done && j.doneTasks == len(j.tasks))
	o.scheduler.placementDue = true
}

// shardLeaderTick does what is due: sweep the machines, relaunch, place, write, and
// send orders.
func (o *shardLeader) shardLeaderTick() {
	if !o.ready {
		o.wakeAt = o.now.Add(shardLeaderTickInterval)
		return
	}
	if o.now.Sub(o.sweptAt) >= shardLeaderTickInterval {
		o.sweptAt = o.now
		o.controller.shardLeader.failover.sweep()
		o.controller.ranking.retryRankingRefresh()
		o.controller.shardLeader.heartbeats.quarantineNonStarting()
		if o.controller.partition.checkPartition(); o.controller.shardLeader != o {
			return
		}
		o.controller.shardLeader.scheduler.relaunch()
		o.controller.shardLeader.failover.maybeBumpEpoch()
		o.controller.shardLeader.migration.migrationTick()
		o.controller.shardLeader.fleet.planFleet(true)
		o.publishToPeers()
		o.controller.shardLeader.remoteAttempts.requestRemoteAttempts()
		o.controller.shardLeader.dependencies.updateCriticalPaths()
		o.controller.promises.promisesTick()
		o.controller.shardLeader.persistence.writePrewarmed()
		o.controller.shardLeader.scheduler.reportGPUFreeCapacity()
		o.scheduler.placementDue = true
	}
	if o.fleet.planningPass != nil {
		o.controller.shardLeader.fleet.planFleet(false)
	}
	if o.scheduler.placementDue && !o.now.Before(o.nextPlacementRound()) {
		o.scheduler.placementDue, o.scheduler.placementUrgent, o.scheduler.placedAt = false, false, o.now
		o.controller.planning.placementRan = true
		o.controller.shardLeader.scheduler.placeAll()
		o.persistence.persistedAt = time.Time{}
	}
	if o.now.Sub(o.persistence.persistedAt) >= persistInterval {
		o.persistence.persistedAt = o.now
		o.controller.shardLeader.persistence.writeShardLeaderRecords()
	}
	o.controller.shardLeader.dispatcher.dispatchAll()
	o.controller.shardLeader.remoteAttempts.publishRemoteAttempts()
	if o.remoteAttempts.due {
		o.controller.shardLeader.remoteAttempts.requestRemoteAttempts()
	}
	o.wakeAt = o.sweptAt.Add(shardLeaderTickInterval)
	if next := o.persistence.persistedAt.Add(persistInterval); o.persistence.persistedAt != o.now && next.Before(o.wakeAt) {
		o.wakeAt = next
	}
	if next := o.nextPlacementRound(); o.scheduler.placementDue && next.Before(o.wakeAt) {
		o.wakeAt = next
	}
}

// nextPlacementRound is when tasks may be placed again. A round that took long leaves as
// much time and half of it again to others, however much work waits.
func (o *shardLeader) nextPlacementRound() time.Time {
	gap := placementInterval
	if o.scheduler.placementUrgent {
		gap = 0
	}
	return o.scheduler.placedAt.Add(max(gap, o.scheduler.roundDuration*5/2))
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
