package controller

import (
	"time"

	"github.com/micahill/micahill/internal/faultattribution"
	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/sharding"
)

const (
	// shardLeaderTickInterval is the time between two sweeps, in which a shard leader checks its
	// whole state without an event.
	shardLeaderTickInterval = 500 * time.Millisecond
	// placementInterval is the least time between two rounds of placement. In a large pool
	// dozens of tasks end and arrive in a second. Each round looks at every machine, and the
	// tasks that it places share a store write.
	placementInterval = 150 * time.Millisecond
	// epochBumpInterval is the least time between two epoch bumps of a shard leader.
	epochBumpInterval = 3 * time.Second
	// persistInterval is the least time between two scans of all jobs for changes to write,
	// because hundreds of heartbeats arrive in a second. A round of placement is followed by a
	// scan at once.
	persistInterval = 20 * time.Millisecond
)

// shardLeader runs the teams and machines of the shards that this controller holds, with the
// components that exist only for that.
//
// A controller has a shard leader while the shard map, as read under the current membership
// lease, gives it a shard; see syncShardLeader. The methods of a shard leader may be called only
// while Controller.shardLeader points to it. A shard leader may be dropped and replaced while a
// request is in flight, so a callback compares Controller.shardLeader or the generation before
// it uses the shard leader. All its state is lost when it is dropped: the next shard leader
// loads the teams' records and learns of the machines from their heartbeats.
//
// A task's attempt is counted in its job, its machine and its team alike. Only attachAttempt,
// endAttempt and the handover of teams and machines change these counts.
type shardLeader struct {
	component

	// generation differs for each shard leader of a process. since is when this shard leader was
	// created.
	generation int
	since      time.Time
	// ready is set at readyAt, when the records of the first teams have been read.
	ready   bool
	readyAt time.Time
	// wakeAt is when tick has to run next. sweptAt is the time of the last sweep.
	wakeAt  time.Time
	sweptAt time.Time

	// teams are the held teams by name, and shards the names of the held shards; see
	// shard_sync.go.
	teams  map[string]*heldTeam
	shards map[string]bool
	// catchAllSince is when this controller got the catch-all shard, which has the machines that
	// no segment names. It is zero while another controller holds that shard.
	catchAllSince time.Time
	// loadingTeams is set while the records of teams are being read.
	loadingTeams bool

	jobs     map[string]*job
	machines map[string]*machine
	// machinesByID has the same machines, sorted by ID.
	machinesByID []*machine
	// usedByTeam is what the live attempts of each team's jobs use.
	usedByTeam map[string]model.Resources
	// workloads has the newest job of each workload.
	workloads map[string]*workload
	// faultAttribution tells faulty machines apart from jobs that fail on every machine.
	faultAttribution faultattribution.Tracker
	promiseDates     shardLeaderDates

	// publishedAt is when this shard leader last published an update to the peers, and
	// loadsPublishedAt when an update last included the loads of the workloads and the quotes;
	// see publish.go.
	publishedAt      time.Time
	loadsPublishedAt time.Time
	// publishPart is the part of the machines that the last update published, from 0 to
	// machineUpdateParts-1.
	publishPart int
	// teamRelease is the team that the leader last asked to move, received at teamReleaseAt.
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

// newShardLeader returns a shard leader that has no teams and no machines yet.
func (controller *Controller) newShardLeader() *shardLeader {
	shardLeader := &shardLeader{
		since: controller.now, generation: int(controller.nextID()),
		teams: map[string]*heldTeam{}, shards: map[string]bool{},
		jobs: map[string]*job{}, machines: map[string]*machine{}, usedByTeam: map[string]model.Resources{},
		workloads:      map[string]*workload{},
		remoteAttempts: remoteAttempts{machines: map[string]*machine{}},
		failover:       failover{higherEpochSeen: map[string]time.Time{}},
		fleet:          fleetPlanner{arrivals: map[workloadKey][]arrival{}},
		persistence:    persistence{prewarmedImages: map[string]map[string]float64{}},
	}
	shardLeader.connectComponents(component{environment: controller.environment, controller: controller})
	return shardLeader
}

// connectComponents gives each component of a shard leader the environment and the controller,
// through which it reaches the other components.
func (shardLeader *shardLeader) connectComponents(shared component) {
	shardLeader.component = shared
	shardLeader.scheduler.component = shared
	shardLeader.fleet.component = shared
	shardLeader.persistence.component = shared
	shardLeader.failover.component = shared
	shardLeader.dispatcher.component = shared
	shardLeader.dependencies.component = shared
	shardLeader.remoteAttempts.component = shared
	shardLeader.heartbeats.component = shared
	shardLeader.migration.component = shared
	shardLeader.transfers.component = shared
}

// dropShardLeader ends this controller's shard leadership and discards its state. Without a
// shard leader it does nothing.
func (controller *Controller) dropShardLeader(reason string) {
	if controller.shardLeader == nil {
		return
	}
	controller.info("shard leadership lost", "reason", reason)
	controller.shardLeader.fleet.endPlanningPass()
	if controller.shardLeader.scheduler.packingProfile != nil {
		controller.emit(message.GPUFreeCapacityReport{})
	}
	controller.shardLeader = nil
}

// tick runs at the end of each Step: it does everything that is due and sets wakeAt.
func (shardLeader *shardLeader) tick() {
	if !shardLeader.ready {
		shardLeader.wakeAt = shardLeader.now.Add(shardLeaderTickInterval)
		return
	}
	if shardLeader.now.Sub(shardLeader.sweptAt) >= shardLeaderTickInterval {
		shardLeader.sweptAt = shardLeader.now
		if shardLeader.sweep(); shardLeader.controller.shardLeader != shardLeader {
			return
		}
	}
	if shardLeader.fleet.planningPass != nil {
		shardLeader.fleet.planFleet(false)
	}
	if shardLeader.scheduler.placementRoundDue() {
		shardLeader.controller.planning.notePlacementRound()
		shardLeader.scheduler.runPlacementRound()
		shardLeader.persistence.writeSoon()
	}
	shardLeader.persistence.writeIfDue()
	shardLeader.dispatcher.dispatchAll()
	shardLeader.remoteAttempts.publishRemoteAttempts()
	if shardLeader.remoteAttempts.due {
		shardLeader.remoteAttempts.requestRemoteAttempts()
	}
	shardLeader.wakeAt = shardLeader.sweptAt.Add(shardLeaderTickInterval)
	if next := shardLeader.persistence.persistedAt.Add(persistInterval); shardLeader.persistence.persistedAt != shardLeader.now && next.Before(shardLeader.wakeAt) {
		shardLeader.wakeAt = next
	}
	if next := shardLeader.scheduler.nextRoundAt(); shardLeader.scheduler.placementDue && next.Before(shardLeader.wakeAt) {
		shardLeader.wakeAt = next
	}
}

// sweep runs the periodic checks, once each shardLeaderTickInterval. In a partition it may drop
// the shard leader.
func (shardLeader *shardLeader) sweep() {
	shardLeader.failover.sweep()
	shardLeader.controller.ranking.retryRefresh()
	shardLeader.heartbeats.quarantineNonStarting()
	if shardLeader.controller.partition.checkPartition(); shardLeader.controller.shardLeader != shardLeader {
		return
	}
	shardLeader.scheduler.relaunch()
	shardLeader.failover.maybeBumpEpoch()
	shardLeader.migration.tick()
	shardLeader.fleet.planFleet(true)
	shardLeader.transfers.update()
	shardLeader.publishToPeers()
	shardLeader.remoteAttempts.requestRemoteAttempts()
	shardLeader.dependencies.updateCriticalPaths()
	shardLeader.controller.promises.tick()
	shardLeader.persistence.writePrewarmed()
	shardLeader.scheduler.reportGPUFreeCapacity()
	shardLeader.scheduler.reportWaits()
	shardLeader.scheduler.requestPlacement()
}
