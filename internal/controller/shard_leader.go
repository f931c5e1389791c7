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
func newShardLeader(c *Controller) *shardLeader {
	o := &shardLeader{
		since: c.now, generation: int(c.nextID()),
		teams: map[string]*heldTeam{}, shards: map[string]bool{},
		jobs: map[string]*job{}, machines: map[string]*machine{}, usedByTeam: map[string]model.Resources{},
		workloads: map[string]*workload{},
	}
	o.remoteAttempts.machines = map[string]*machine{}
	o.failover.higherEpochSeen = map[string]time.Time{}
	o.fleet.arrivals = map[workloadKey][]arrival{}
	o.persistence.prewarmedImages = map[string]map[string]float64{}
	o.connectComponents(component{environment: c.environment, controller: c})
	return o
}

// connectComponents gives each part of a shard leader the environment and the way to the others.
func (s *shardLeader) connectComponents(shared component) {
	s.component = shared
	s.scheduler.component = shared
	s.fleet.component = shared
	s.persistence.component = shared
	s.failover.component = shared
	s.dispatcher.component = shared
	s.dependencies.component = shared
	s.remoteAttempts.component = shared
	s.heartbeats.component = shared
	s.migration.component = shared
}

type workload struct {
	spec     *model.JobSpec
	lastSeen time.Time
}

// grace is H: how long an owner goes on answering its workers after its grant
// may have ended. A full lease, so that a long outage of the state service
// costs no work; a successor that reaches the workers needs not wait for it,
// because the higher epoch reaches them at once.
func (r *leaseRenewer) grace() time.Duration { return r.settings.WorkerLease }

func (c *Controller) dropShardLeader(reason string) {
	if c.shardLeader == nil {
		return
	}
	c.info("owner no more", "why", reason)
	c.shardLeader.fleet.endPlanningPass()
	if c.shardLeader.scheduler.packingProfile != nil {
		c.emit(message.GPUFreeCapacityReport{})
	}
	c.shardLeader = nil
}

// observeOwnWrite tells the owner at once of a change this node wrote itself, unless the
// picture is newer: its answer may come after the job was cancelled and over.
func (c *Controller) observeOwnWrite(it message.KeyValue) {
	if c.shardLeader != nil && it.ModRevision > c.frontend.watchCache.revision {
		c.shardLeader.applyOpenJob(it)
	}
}

func (s *shardLeader) applyOpenJob(it message.KeyValue) {
	id := record.JobIDFromKey(it.Key, record.OpenJobPrefix)
	j := s.jobs[id]
	if it.Deleted {
		if j != nil && j.elsewhere() {
			// Settled by the leader, who has heard from the peer.
			delete(s.jobs, id)
		}
		return
	}
	if j != nil && it.ModRevision <= j.modRevision {
		return
	}
	if _, ended := s.controller.frontend.finalStatuses[id]; ended && j == nil && s.controller.frontend.finalStatuses[id] == model.Done {
		return
	}
	var r record.OpenJob
	if !record.Decode(it.Value, &r) {
		s.rejectInput("record", it.Key, "it can't be read")
		return
	}
	if problem := r.Validate(); problem != "" {
		// Its job stays queued until somebody mends the record or cancels it.
		s.rejectInput("record", it.Key, problem)
		return
	}
	if j == nil {
		// An earlier form kept nothing of a cancelled job but that it is one.
		held := s.teams[r.Team]
		if (!r.Cancelled || r.Team != "") && (held == nil || !held.ready) || !s.ready {
			// Another's, or it comes when the team's records have been read.
			return
		}
		spec := r.JobSpec(id)
		if r.Cancelled {
			spec.Tasks = r.Tasks
		}
		// It has just come, and this clock is the one that its waits are judged by
		// here; another controller's may be a second off.
		j = s.addJob(spec, s.now, it.ModRevision)
		if !r.Cancelled {
			s.fleet.recordArrival(j)
		}
		j.setLoanFrom(&r)
		s.controller.promises.noteBaseQuote(j)
	}
	s.applyJobRecord(j, it.ModRevision, &r)
	s.scheduler.requestPlacement()
}

// addJob takes a job into the owner's books.
func (s *shardLeader) addJob(spec model.JobSpec, at time.Time, stamp uint64) *job {
	j := newJob(spec, at, stamp, s.settings.currentMaxValueBytes())
	j.segmentFormat = s.controller.membership.formats.currentFormat()
	s.jobs[j.ID] = j
	if j.Workload != "" {
		s.debug("job", "job", j.ID, "workload", j.Workload, "tasks", j.Tasks, "due", j.Deadline, "image", j.Image, "age", s.now.Sub(j.submittedAt))
		s.workloads[j.Workload] = &workload{&j.JobSpec, s.now}
		s.scheduler.hurryPlacement(j.Workload)
	}
	s.controller.awaitDependencies(j)
	return j
}

// applyJobRecord takes in a job's record in open/ as it stands now.
func (s *shardLeader) applyJobRecord(j *job, stamp uint64, r *record.OpenJob) {
	id := j.ID
	j.modRevision = stamp
	j.setLoanFrom(r)
	s.controller.promises.notePromiseRecord(j, r)
	if r.Cancelled {
		// Whoever wrote that has written job/ with it.
		j.cancelDerived = false
	}
	if r.Cancelled && !j.cancelled {
		j.cancelled = true
		s.controller.frontend.cacheFinalStatus(id, model.Cancelled)
		for i := range j.tasks[:j.nextFresh] {
			if t := &j.tasks[i]; t.machine != nil {
				t.stopReason = stopCancel
				s.controller.markDispatchPending(t.machine)
			}
		}
	}
}

// attachAttempt makes the attempt of task i live on m.
func (s *shardLeader) attachAttempt(j *job, i int, m *machine) {
	t := &j.tasks[i]
	t.machine = m
	j.liveTasks++
	j.liveByZone[m.zone]++
	m.attempts[taskKey{j.ID, i}] = t
	m.used = m.used.AddScaled(j.Need, 1)
	u := s.usedByTeam[j.Team]
	s.usedByTeam[j.Team] = u.AddScaled(j.Need, 1)
}

// endAttempt takes note of the proof that a live attempt is over.
func (s *shardLeader) endAttempt(j *job, i int, done bool) {
	t := &j.tasks[i]
	m := t.machine
	if m == nil {
		return
	}
	delete(m.attempts, taskKey{j.ID, i})
	m.used = m.used.AddScaled(j.Need, -1)
	s.usedByTeam[j.Team] = s.usedByTeam[j.Team].AddScaled(j.Need, -1)
	j.liveTasks--
	j.liveByZone[m.zone]--
	if len(m.attempts) == 0 {
		m.idleSince = s.now
		m.used = model.Resources{}
		if m.remote {
			s.dropRemoteMachine(m)
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
	j.markChanged(i, s.now, done && j.doneTasks == len(j.tasks))
	s.scheduler.requestPlacement()
}

// tick does what is due: sweep the machines, relaunch, place, write, and
// send orders.
func (s *shardLeader) tick() {
	if !s.ready {
		s.wakeAt = s.now.Add(shardLeaderTickInterval)
		return
	}
	if s.now.Sub(s.sweptAt) >= shardLeaderTickInterval {
		s.sweptAt = s.now
		s.controller.shardLeader.failover.sweep()
		s.controller.ranking.retryRefresh()
		s.controller.shardLeader.heartbeats.quarantineNonStarting()
		if s.controller.partition.checkPartition(); s.controller.shardLeader != s {
			return
		}
		s.controller.shardLeader.scheduler.relaunch()
		s.controller.shardLeader.failover.maybeBumpEpoch()
		s.controller.shardLeader.migration.tick()
		s.controller.shardLeader.fleet.planFleet(true)
		s.publishToPeers()
		s.controller.shardLeader.remoteAttempts.requestRemoteAttempts()
		s.controller.shardLeader.dependencies.updateCriticalPaths()
		s.controller.promises.tick()
		s.controller.shardLeader.persistence.writePrewarmed()
		s.controller.shardLeader.scheduler.reportGPUFreeCapacity()
		s.scheduler.requestPlacement()
	}
	if s.fleet.planningPass != nil {
		s.controller.shardLeader.fleet.planFleet(false)
	}
	if s.scheduler.placementRoundDue() {
		s.controller.planning.notePlacementRound()
		s.scheduler.runPlacementRound()
		s.persistence.persistedAt = time.Time{}
	}
	if s.now.Sub(s.persistence.persistedAt) >= persistInterval {
		s.persistence.persistedAt = s.now
		s.controller.shardLeader.persistence.writeShardLeaderRecords()
	}
	s.controller.shardLeader.dispatcher.dispatchAll()
	s.controller.shardLeader.remoteAttempts.publishRemoteAttempts()
	if s.remoteAttempts.due {
		s.controller.shardLeader.remoteAttempts.requestRemoteAttempts()
	}
	s.wakeAt = s.sweptAt.Add(shardLeaderTickInterval)
	if next := s.persistence.persistedAt.Add(persistInterval); s.persistence.persistedAt != s.now && next.Before(s.wakeAt) {
		s.wakeAt = next
	}
	if next := s.scheduler.nextRoundAt(); s.scheduler.placementDue && next.Before(s.wakeAt) {
		s.wakeAt = next
	}
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
