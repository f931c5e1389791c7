// Package controller is the deterministic state machine of a controller, one replica of
// the control plane: membership, leadership, shards, jobs, attempts, machines, placement
// and fleet sizing. It has no clocks, sockets or goroutines: its driver calls Step with
// batches of commands and the time, and carries out the effects that Step returns.
package controller

import (
	"math/rand/v2"
	"time"

	"github.com/micahill/micahill/internal/message"
)

// Controller is one replica of the control plane. All of its state belongs to the goroutine that
// calls Step; nothing in this package locks.
//
// Each component owns its fields. Other components call its methods and never write its fields.
// The components that are stored by value live as long as the process. shardLeader and leader
// exist only while this controller has these roles. They are dropped with the membership lease
// at the latest, and a new one starts from the records in the store.
type Controller struct {
	*environment

	// Membership, and the roles that this controller has.
	membership  membership
	partition   partitionDetector
	renewal     leaseRenewer
	shardLeader *shardLeader // nil unless this controller holds a shard
	leader      *leader      // nil unless this controller is the leader
	// role is the role that Step emitted last.
	role message.Role

	// Requests of users and operators.
	frontend frontend
	ranking  rankingState
	lending  lending
	promises promiseState
	// cancellations passes cancellations of jobs on to peers; see cancellation_gossip.go.
	cancellations cancellationGossip

	// Shared by both roles.
	requests   requestTracker
	rateLimits rateLimits
	planning   planningThrottle
	// knowledge is what this controller has learnt about machines and workloads. It survives the
	// loss of a role.
	knowledge fleetKnowledge
}

// New returns a controller without any state. The first Step starts it.
func New(settings Settings, rng *rand.Rand) *Controller {
	controller := &Controller{
		environment:   &environment{settings: settings, rng: rng},
		requests:      newRequestTracker(),
		membership:    membership{peersWithoutStore: map[string]time.Time{}},
		frontend:      frontend{progressByJob: map[string]message.Progress{}},
		cancellations: cancellationGossip{unacked: map[string]*unackedCancellation{}},
		rateLimits:    rateLimits{peers: map[string]peerRates{}},
	}
	controller.connectComponents()
	controller.knowledge.init()
	controller.frontend.init()
	return controller
}

// connectComponents gives each component the shared environment and a reference to the
// controller.
func (controller *Controller) connectComponents() {
	shared := component{environment: controller.environment, controller: controller}
	controller.requests.component = shared
	controller.membership.component = shared
	controller.membership.formats.component = shared
	controller.frontend.component = shared
	controller.frontend.watchCache.component = shared
	controller.ranking.component = shared
	controller.rateLimits.component = shared
	controller.lending.component = shared
	controller.cancellations.component = shared
	controller.promises.component = shared
	controller.knowledge.component = shared
	controller.renewal.component = shared
	controller.partition.component = shared
	controller.planning.component = shared
}

// Step handles a batch of commands at the time now and returns the effects to carry out.
func (controller *Controller) Step(now time.Time, commands []message.Command) []message.Effect {
	controller.now = now
	controller.effects = nil
	controller.partition.recordStep()
	if !controller.membership.started {
		controller.membership.start()
	}
	for _, command := range commands {
		controller.handleCommand(command)
	}
	controller.runTimers()
	controller.membership.publishStoreUnavailable()
	controller.frontend.flushSubmissions()
	if controller.shardLeader != nil {
		controller.shardLeader.tick()
	}
	if controller.leader != nil {
		controller.leader.tick()
	}
	if role := (message.Role{Leader: controller.leader != nil, ShardLeader: controller.shardLeader != nil}); role != controller.role {
		controller.role = role
		controller.emit(role)
	}
	return controller.effects
}

// handleCommand dispatches a command to the component that handles it.
func (controller *Controller) handleCommand(command message.Command) {
	switch cmd := command.(type) {
	case message.SubmitJob:
		controller.frontend.submitJob(cmd)
	case message.QueryJob:
		controller.frontend.queryJob(cmd)
	case message.CancelJob:
		controller.frontend.cancelJob(cmd)
	case message.WorkerHeartbeat:
		controller.receiveHeartbeat(cmd)
	case message.StoreResponse:
		controller.requests.receiveStoreResponse(cmd)
	case message.CloudResponse:
		controller.requests.receiveCloudResponse(cmd)
	case message.WorkerResponse:
		controller.requests.receiveWorkerResponse(cmd)
	case message.QueryStatus:
		controller.replyStatus(cmd)
	case message.LoanCommand:
		controller.lending.runCommand(cmd)
	case message.QueryLoans:
		controller.lending.queryLoans(cmd)
	case message.RenewCommand:
		controller.lending.runRenewCommand(cmd)
	case message.SetRanking:
		controller.ranking.set(cmd)
	case message.QueryRanking:
		controller.ranking.query(cmd)
	case message.DrainCommand:
		controller.lending.runDrainCommand(cmd)
	case message.QueryPromises:
		controller.promises.query(cmd)
	case message.PeerUpdate:
		controller.receivePeerUpdate(cmd)
	}
}

// receiveHeartbeat handles a worker's heartbeat. A late copy of an earlier heartbeat goes to
// handleStaleHeartbeat instead.
func (controller *Controller) receiveHeartbeat(command message.WorkerHeartbeat) {
	if !controller.handleStaleHeartbeat(&command) {
		controller.handleHeartbeat(command)
	}
}

// Deadline returns the latest time at which Step must be called if no command arrives earlier,
// or the zero time if there is none.
func (controller *Controller) Deadline() time.Time {
	var deadline time.Time
	earliest := func(candidate time.Time) {
		if !candidate.IsZero() && (deadline.IsZero() || candidate.Before(deadline)) {
			deadline = candidate
		}
	}
	for _, timer := range controller.timers {
		earliest(timer.at)
	}
	if controller.shardLeader != nil {
		earliest(controller.shardLeader.wakeAt)
		if controller.shardLeader.fleet.planningPass != nil {
			earliest(controller.shardLeader.fleet.planningPassAt)
		}
	}
	if controller.leader != nil {
		earliest(controller.leader.wakeAt)
	}
	return deadline
}

// StepTook records how long the last Step took, including the execution of its effects. Planning
// is divided into slices accordingly, so that steps stay short and planning leaves time for
// other commands.
func (controller *Controller) StepTook(d time.Duration) { controller.planning.recordStep(d) }

// Healthy reports whether this controller can take users' requests.
func (controller *Controller) Healthy(now time.Time) bool {
	return controller.membership.ready && (!controller.membership.storeDown(now) || controller.membership.storeDownEverywhere(now))
}

// IsShardLeader reports whether this controller runs the jobs of at least one team.
func (controller *Controller) IsShardLeader() bool {
	return controller.shardLeader != nil && controller.shardLeader.ready && len(controller.shardLeader.teams) > 0
}
