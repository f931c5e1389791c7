package controller

import (
	"time"

	"github.com/micahill/micahill/internal/faultattribution"
	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/pipeline"
	"github.com/micahill/micahill/internal/record"
	"github.com/micahill/micahill/internal/remote"
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
	loadingTeams bool
	jobs         map[string]*job
	machines     map[string]*machine
	// remoteMachines are machines of other owners on which attempts of these jobs are, and
	// registry the account of others' attempts on the machines here; see remote_attempts.go.
	remoteMachines map[string]*machine
	registry       remote.Registry
	remoteAttempts remoteAttempts
	promiseDates   shardLeaderDates
	// higherEpochSeen are machines that have seen an epoch above the one they are owned
	// under, and raises counts the lots written to raise epochs.
	higherEpochSeen map[string]time.Time
	epochBumps      int
	// machinesReservedAt is when machines were last gathered; see aging.go.
	machinesReservedAt time.Time
	// machinesByID are the machines in the order of their names, and dirty those for
	// which orders may be due.
	machinesByID []*machine
	// lastHeartbeats is the newest that was heard of machines that were dropped; see stale_heartbeat.go.
	lastHeartbeats map[string]lastHeartbeat
	dirtyMachines  []*machine
	// unreachableReleasedAt is when a machine that hears nothing was last given back.
	unreachableReleasedAt time.Time
	// inheritedMachines are machines of a former owner that are still to be contacted, and
	// contacts counts the questions under way.
	inheritedMachines []*machine
	contactsInFlight  int
	usedByTeam        map[string]model.Resources
	// faultAttribution tells faulty machines from jobs that fail everywhere.
	faultAttribution faultattribution.Tracker
	// txnsInFlight counts the writes under way, and ahead their changes.
	txnsInFlight, writesInFlight int
	// startsFirst: of what is to be written starts went before ends last time.
	startsFirst bool
	// lazyTxnsInFlight counts the writes under way for which no start waits.
	lazyTxnsInFlight int
	wakeAt           time.Time
	sweptAt          time.Time
	// place: something has changed that may let tasks be placed, and hurry:
	// for one whose wait is bounded. placed is when that was last done.
	placementDue, placementUrgent bool
	placedAt                      time.Time
	// roundDuration is how long the step with the last round of placing took.
	roundDuration time.Duration
	// persistedAt is when what is to be written was last looked at.
	persistedAt time.Time
	// preemptionVictims is where urgent work may take the place of other work.
	preemptionVictims map[preemptionVictimsKey]*preemptionVictims
	// fleetView is the leader's knowledge of this owner's machines; wants and gone
	// are what is asked of it.
	fleetView      *fleetView
	fleetPlannedAt time.Time
	// planningPass is a look at the fleet that is under way, to be carried on at planningPassAt,
	// and leaderUpdateSeq the leader's news that it rests on.
	planningPass    *planningPass
	planningPassAt  time.Time
	leaderUpdateSeq uint64
	// decommissionedAt is when dear machines were last chosen to be retired.
	decommissionedAt time.Time
	// neverReadyKinds are the kinds of which machines have stopped coming up, and neverReadyCount
	// counts the machines that were given up for it, and what they cost.
	neverReadyKinds   map[machineKind]bool
	neverReadyCount   int
	neverReadyCost    float64
	capacityRequests  map[machineKind]int
	machinesToRelease []string
	// surplusMachines are idle machines that neither what waits nor what is expected needs, the
	// dearest first: others may have them.
	surplusMachines []string
	// teamRelease is a team that the leader wants to move, and when it last said so.
	teamRelease   sharding.MoveRequest
	teamReleaseAt time.Time
	epochBumpedAt time.Time
	// correlatedFailureLoggedAt is when the log last told of machines that are silent together.
	correlatedFailureLoggedAt time.Time
	// orphanedRecords are task/ records whose job is over.
	orphanedRecords []string
	// arrivals remember when work of each team and workload came, for warm room.
	arrivals map[workloadKey][]arrival
	// packingProfile is what is usual on machines with GPUs, while models are on.
	packingProfile         *packingProfile
	freeCapacityReportedAt time.Time
	// workloads holds the newest job of each workload.
	workloads map[string]*workload
	// startDeadlines is, for each workload with tasks that wait for a place, when the
	// first of them should start at the latest.
	startDeadlines   map[string]time.Time
	publishedAt      time.Time
	loadsPublishedAt time.Time
	// prewarmedImages is what machines held under a former owner; warmed is when a record
	// of that was last written, warming that one is under way, and prewarmedNextMachine
	// and prewarmedNextKey where the next begins.
	prewarmedImages                        map[string]map[string]float64
	prewarmedWrittenAt                     time.Time
	writingPrewarmed                       bool
	prewarmedNextMachine, prewarmedNextKey int
	// pathsScannedAt is when the paths of pipelines were last looked at.
	pathsScannedAt time.Time
	paths          map[string]pipeline.CriticalPath
	// publishTurn says which machines the others are told of next.
	publishTurn int
	// migrations are replicas on the move; see migration.go.
	migrations *migrations
}

// newShardLeader makes a shard leader that leads nothing yet.
func newShardLeader(n *Controller) *shardLeader {
	o := &shardLeader{
		since: n.now, generation: int(n.nextID()),
		teams: map[string]*heldTeam{}, shards: map[string]bool{},
		jobs: map[string]*job{}, machines: map[string]*machine{}, usedByTeam: map[string]model.Resources{},
		workloads: map[string]*workload{},
	}
	o.remoteMachines = map[string]*machine{}
	o.higherEpochSeen = map[string]time.Time{}
	o.arrivals = map[workloadKey][]arrival{}
	o.prewarmedImages = map[string]map[string]float64{}
	return o
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
func (n *Controller) grace() time.Duration { return n.settings.WorkerLease }

func (n *Controller) dropShardLeader(reason string) {
	if n.shardLeader == nil {
		return
	}
	n.info("owner no more", "why", reason)
	n.shardLeader.endPlanningPass()
	if n.shardLeader.packingProfile != nil {
		n.emit(message.GPUFreeCapacityReport{})
	}
	n.shardLeader = nil
}

// observeOwnWrite tells the owner at once of a change this node wrote itself, unless the
// picture is newer: its answer may come after the job was cancelled and over.
func (n *Controller) observeOwnWrite(it message.KeyValue) {
	if n.shardLeader != nil && it.ModRevision > n.frontend.watchCache.revision {
		n.applyOpenJob(it)
	}
}

func (n *Controller) applyOpenJob(it message.KeyValue) {
	o := n.shardLeader
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
	if _, ended := n.frontend.finalStatuses[id]; ended && j == nil && n.frontend.finalStatuses[id] == model.Done {
		return
	}
	var r record.OpenJob
	if !record.Decode(it.Value, &r) {
		n.rejectInput("record", it.Key, "it can't be read")
		return
	}
	if problem := r.Validate(); problem != "" {
		// Its job stays queued until somebody mends the record or cancels it.
		n.rejectInput("record", it.Key, problem)
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
		j = n.addJob(spec, n.now, it.ModRevision)
		if !r.Cancelled {
			k := workloadKey{j.Team, j.Workload}
			o.arrivals[k] = append(o.arrivals[k], arrival{n.now, j.Tasks, j.Need, &j.JobSpec})
		}
		j.setLoanFrom(&r)
		noteBaseQuote(n, j)
	}
	n.applyJobRecord(j, it.ModRevision, &r)
	o.placementDue = true
}

// addJob takes a job into the owner's books.
func (n *Controller) addJob(spec model.JobSpec, at time.Time, stamp uint64) *job {
	o := n.shardLeader
	j := newJob(spec, at, stamp, n.settings.currentMaxValueBytes())
	j.segmentFormat = n.segmentFormat()
	o.jobs[j.ID] = j
	if j.Workload != "" {
		n.debug("job", "job", j.ID, "workload", j.Workload, "tasks", j.Tasks, "due", j.Deadline, "image", j.Image, "age", n.now.Sub(j.submittedAt))
		o.workloads[j.Workload] = &workload{&j.JobSpec, n.now}
		o.placementUrgent = o.placementUrgent || n.waitObjective(j.Workload) > 0
	}
	n.awaitDependencies(j)
	return j
}

// applyJobRecord takes in a job's record in open/ as it stands now.
func (n *Controller) applyJobRecord(j *job, stamp uint64, r *record.OpenJob) {
	id := j.ID
	j.modRevision = stamp
	j.setLoanFrom(r)
	notePromiseRecord(n, j, r)
	if r.Cancelled {
		// Whoever wrote that has written job/ with it.
		j.cancelDerived = false
	}
	if r.Cancelled && !j.cancelled {
		j.cancelled = true
		n.cacheFinalStatus(id, model.Cancelled)
		for i := range j.tasks[:j.nextFresh] {
			if t := &j.tasks[i]; t.machine != nil {
				t.stopReason = stopCancel
				n.markDispatchPending(t.machine)
			}
		}
	}
}

// attachAttempt makes the attempt of task i live on m.
func (n *Controller) attachAttempt(j *job, i int, m *machine) {
	t := &j.tasks[i]
	t.machine = m
	j.liveTasks++
	j.liveByZone[m.zone]++
	m.attempts[taskKey{j.ID, i}] = t
	m.used = m.used.AddScaled(j.Need, 1)
	u := n.shardLeader.usedByTeam[j.Team]
	n.shardLeader.usedByTeam[j.Team] = u.AddScaled(j.Need, 1)
}

// endAttempt takes note of the proof that a live attempt is over.
func (n *Controller) endAttempt(j *job, i int, done bool) {
	t := &j.tasks[i]
	m := t.machine
	if m == nil {
		return
	}
	o := n.shardLeader
	delete(m.attempts, taskKey{j.ID, i})
	m.used = m.used.AddScaled(j.Need, -1)
	o.usedByTeam[j.Team] = o.usedByTeam[j.Team].AddScaled(j.Need, -1)
	j.liveTasks--
	j.liveByZone[m.zone]--
	if len(m.attempts) == 0 {
		m.idleSince = n.now
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
	j.markChanged(i, n.now, done && j.doneTasks == len(j.tasks))
	o.placementDue = true
}

// shardLeaderTick does what is due: sweep the machines, relaunch, place, write, and
// send orders.
func (n *Controller) shardLeaderTick() {
	o := n.shardLeader
	if !o.ready {
		o.wakeAt = n.now.Add(shardLeaderTickInterval)
		return
	}
	if n.now.Sub(o.sweptAt) >= shardLeaderTickInterval {
		o.sweptAt = n.now
		n.sweep()
		retryRankingRefresh(n)
		quarantineNonStarting(n)
		if checkPartition(n); n.shardLeader != o {
			return
		}
		n.relaunch()
		n.maybeBumpEpoch()
		migrationTick(n)
		n.planFleet(true)
		n.publishToPeers()
		requestRemoteAttempts(n)
		n.updateCriticalPaths()
		promisesTick(n)
		n.writePrewarmed()
		n.reportGPUFreeCapacity()
		o.placementDue = true
	}
	if o.planningPass != nil {
		n.planFleet(false)
	}
	if o.placementDue && !n.now.Before(o.nextPlacementRound()) {
		o.placementDue, o.placementUrgent, o.placedAt = false, false, n.now
		n.placementRan = true
		n.placeAll()
		o.persistedAt = time.Time{}
	}
	if n.now.Sub(o.persistedAt) >= persistInterval {
		o.persistedAt = n.now
		n.writeShardLeaderRecords()
	}
	n.dispatchAll()
	publishRemoteAttempts(n)
	if o.remoteAttempts.due {
		requestRemoteAttempts(n)
	}
	o.wakeAt = o.sweptAt.Add(shardLeaderTickInterval)
	if next := o.persistedAt.Add(persistInterval); o.persistedAt != n.now && next.Before(o.wakeAt) {
		o.wakeAt = next
	}
	if next := o.nextPlacementRound(); o.placementDue && next.Before(o.wakeAt) {
		o.wakeAt = next
	}
}

// nextPlacementRound is when tasks may be placed again. A round that took long leaves as
// much time and half of it again to others, however much work waits.
func (o *shardLeader) nextPlacementRound() time.Time {
	gap := placementInterval
	if o.placementUrgent {
		gap = 0
	}
	return o.placedAt.Add(max(gap, o.roundDuration*5/2))
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
