package controller

import (
	"time"

	"github.com/micahill/micahill/internal/faultattribution"
	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/sharding"
)

const (
	// shardLeaderTickInterval is how often a shard leader looks at everything unasked.
	shardLeaderTickInterval = 500 * time.Millisecond
	// placementInterval separates two rounds of placement. In a large pool tasks end and
	// arrive by the dozen a second; a round looks at every machine, and what it places
	// shares a write.
	placementInterval = 150 * time.Millisecond
	// epochBumpInterval is the least time between two epoch bumps of a shard leader.
	epochBumpInterval = 3 * time.Second
	// persistInterval separates two scans of all jobs for what is to be written, except
	// after a round of placement: hundreds of heartbeats come in a second.
	persistInterval = 20 * time.Millisecond
)

// shardLeader runs the teams and machines of the shards that this controller holds, with the
// components that exist only for that.
//
// There is one while the shard map, as read under the present membership lease, gives this
// controller a shard; see syncShardLeader. Its methods may be called only while
// Controller.shardLeader is it. It may be dropped and made anew while a request is under
// way, so a callback compares Controller.shardLeader or the generation before it uses it.
// All of its state is lost with it: the next one loads the teams' records and learns of
// the machines by their heartbeats.
//
// A task's attempt is counted in its job, its machine and its team alike: only
// attachAttempt, endAttempt and the hand-over of teams and machines change these.
type shardLeader struct {
	component

	// generation differs for each shard leader of a process.
	generation int
	since      time.Time
	// ready: the records of the first teams have been read, at readyAt.
	ready   bool
	readyAt time.Time
	// wakeAt is when tick wants to run next, sweptAt when it last looked at everything.
	wakeAt  time.Time
	sweptAt time.Time

	// What it holds; see shard_sync.go.
	teams  map[string]*heldTeam
	shards map[string]bool
	// catchAllSince is since when one of the shards has the machines that no segment names.
	catchAllSince time.Time
	// loadingTeams: records of teams are being read.
	loadingTeams bool

	jobs     map[string]*job
	machines map[string]*machine
	// machinesByID are the same machines in the order of their ids.
	machinesByID []*machine
	usedByTeam   map[string]model.Resources
	// workloads has the newest job of each workload.
	workloads map[string]*workload
	// faultAttribution tells faulty machines from jobs that fail everywhere.
	faultAttribution faultattribution.Tracker
	promiseDates     shardLeaderDates

	// What is published to the peers; see publish.go.
	publishedAt      time.Time
	loadsPublishedAt time.Time
	// publishTurn says which part of the machines is published next.
	publishTurn int
	// teamRelease is a team that the leader wants to move, as of teamReleaseAt.
	teamRelease   sharding.MoveRequest
	teamReleaseAt time.Time

	dependencies   dependencyTracker
	dispatcher     dispatcher
	failover       failover
	fleet          fleetPlanner
	heartbeats     heartbeatTracker
	migration      migrationManager
	persistence    persistence
	remoteAttempts remoteAttempts
	scheduler      scheduler
	transfers      machineTransfers
}

// newShardLeader makes a shard leader that leads nothing yet.
func (c *Controller) newShardLeader() *shardLeader {
	s := &shardLeader{
		since: c.now, generation: int(c.nextID()),
		teams: map[string]*heldTeam{}, shards: map[string]bool{},
		jobs: map[string]*job{}, machines: map[string]*machine{}, usedByTeam: map[string]model.Resources{},
		workloads:      map[string]*workload{},
		remoteAttempts: remoteAttempts{machines: map[string]*machine{}},
		failover:       failover{higherEpochSeen: map[string]time.Time{}},
		fleet:          fleetPlanner{arrivals: map[workloadKey][]arrival{}},
		persistence:    persistence{prewarmedImages: map[string]map[string]float64{}},
	}
	s.connectComponents(component{environment: c.environment, controller: c})
	return s
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
	s.transfers.component = shared
}

// dropShardLeader ends the shard leadership with all of its state.
func (c *Controller) dropShardLeader(reason string) {
	if c.shardLeader == nil {
		return
	}
	c.info("shard leadership lost", "reason", reason)
	c.shardLeader.fleet.endPlanningPass()
	if c.shardLeader.scheduler.packingProfile != nil {
		c.emit(message.GPUFreeCapacityReport{})
	}
	c.shardLeader = nil
}

// tick ends each Step: it does what is due and sets wakeAt.
func (s *shardLeader) tick() {
	if !s.ready {
		s.wakeAt = s.now.Add(shardLeaderTickInterval)
		return
	}
	if s.now.Sub(s.sweptAt) >= shardLeaderTickInterval {
		s.sweptAt = s.now
		if s.sweep(); s.controller.shardLeader != s {
			return
		}
	}
	if s.fleet.planningPass != nil {
		s.fleet.planFleet(false)
	}
	if s.scheduler.placementRoundDue() {
		s.controller.planning.notePlacementRound()
		s.scheduler.runPlacementRound()
		s.persistence.writeSoon()
	}
	s.persistence.writeIfDue()
	s.dispatcher.dispatchAll()
	s.remoteAttempts.publishRemoteAttempts()
	if s.remoteAttempts.due {
		s.remoteAttempts.requestRemoteAttempts()
	}
	s.wakeAt = s.sweptAt.Add(shardLeaderTickInterval)
	if next := s.persistence.persistedAt.Add(persistInterval); s.persistence.persistedAt != s.now && next.Before(s.wakeAt) {
		s.wakeAt = next
	}
	if next := s.scheduler.nextRoundAt(); s.scheduler.placementDue && next.Before(s.wakeAt) {
		s.wakeAt = next
	}
}

// sweep does what is done every shardLeaderTickInterval. In a partition the shard leader
// may be dropped by it.
func (s *shardLeader) sweep() {
	s.failover.sweep()
	s.controller.ranking.retryRefresh()
	s.heartbeats.quarantineNonStarting()
	if s.controller.partition.checkPartition(); s.controller.shardLeader != s {
		return
	}
	s.scheduler.relaunch()
	s.failover.maybeBumpEpoch()
	s.migration.tick()
	s.fleet.planFleet(true)
	s.transfers.update()
	s.publishToPeers()
	s.remoteAttempts.requestRemoteAttempts()
	s.dependencies.updateCriticalPaths()
	s.controller.promises.tick()
	s.persistence.writePrewarmed()
	s.scheduler.reportGPUFreeCapacity()
	s.scheduler.reportWaits()
	s.scheduler.requestPlacement()
}
