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
func New(set Settings, rng *rand.Rand) *Controller {
	c := &Controller{
		environment:   &environment{settings: set, rng: rng},
		requests:      newRequestTracker(),
		membership:    membership{peersWithoutStore: map[string]time.Time{}},
		frontend:      frontend{progressByJob: map[string]message.Progress{}},
		cancellations: cancellationGossip{unacked: map[string]*unackedCancellation{}},
		rateLimits:    rateLimits{peers: map[string]peerRates{}},
	}
	c.connectComponents()
	c.knowledge.init()
	c.frontend.init()
	return c
}

// connectComponents gives each component the shared environment and a reference to the
// controller.
func (c *Controller) connectComponents() {
	shared := component{environment: c.environment, controller: c}
	c.requests.component = shared
	c.membership.component = shared
	c.membership.formats.component = shared
	c.frontend.component = shared
	c.frontend.watchCache.component = shared
	c.ranking.component = shared
	c.rateLimits.component = shared
	c.lending.component = shared
	c.cancellations.component = shared
	c.promises.component = shared
	c.knowledge.component = shared
	c.renewal.component = shared
	c.partition.component = shared
	c.planning.component = shared
}

// Step handles a batch of commands at the time now and returns the effects to carry out.
func (c *Controller) Step(now time.Time, cmds []message.Command) []message.Effect {
	c.now = now
	c.effects = nil
	c.partition.stepBegan()
	if !c.membership.started {
		c.membership.start()
	}
	for _, cmd := range cmds {
		c.handleCommand(cmd)
	}
	c.runTimers()
	c.membership.publishStoreUnavailable()
	c.frontend.flushSubmissions()
	if c.shardLeader != nil {
		c.shardLeader.tick()
	}
	if c.leader != nil {
		c.leader.tick()
	}
	if r := (message.Role{Leader: c.leader != nil, ShardLeader: c.shardLeader != nil}); r != c.role {
		c.role = r
		c.emit(r)
	}
	return c.effects
}

// handleCommand dispatches a command to the component that handles it.
func (c *Controller) handleCommand(cmd message.Command) {
	switch cmd := cmd.(type) {
	case message.SubmitJob:
		c.frontend.submitJob(cmd)
	case message.QueryJob:
		c.frontend.queryJob(cmd)
	case message.CancelJob:
		c.frontend.cancelJob(cmd)
	case message.WorkerHeartbeat:
		c.receiveHeartbeat(cmd)
	case message.StoreResponse:
		c.requests.receiveStoreResponse(cmd)
	case message.CloudResponse:
		c.requests.receiveCloudResponse(cmd)
	case message.WorkerResponse:
		c.requests.receiveWorkerResponse(cmd)
	case message.QueryStatus:
		c.replyStatus(cmd)
	case message.LoanCommand:
		c.lending.runCommand(cmd)
	case message.QueryLoans:
		c.lending.queryLoans(cmd)
	case message.RenewCommand:
		c.lending.runRenewCommand(cmd)
	case message.SetRanking:
		c.ranking.set(cmd)
	case message.QueryRanking:
		c.ranking.query(cmd)
	case message.DrainCommand:
		c.lending.runDrainCommand(cmd)
	case message.QueryPromises:
		c.promises.query(cmd)
	case message.PeerUpdate:
		c.receivePeerUpdate(cmd)
	}
}

// receiveHeartbeat handles a worker's heartbeat. A late copy of an earlier heartbeat goes to
// handleStaleHeartbeat instead.
func (c *Controller) receiveHeartbeat(cmd message.WorkerHeartbeat) {
	if !c.handleStaleHeartbeat(&cmd) {
		c.handleHeartbeat(cmd)
	}
}

// Deadline returns the latest time at which Step must be called if no command arrives earlier,
// or the zero time if there is none.
func (c *Controller) Deadline() time.Time {
	var t time.Time
	earliest := func(o time.Time) {
		if !o.IsZero() && (t.IsZero() || o.Before(t)) {
			t = o
		}
	}
	for _, tm := range c.timers {
		earliest(tm.at)
	}
	if c.shardLeader != nil {
		earliest(c.shardLeader.wakeAt)
		if c.shardLeader.fleet.planningPass != nil {
			earliest(c.shardLeader.fleet.planningPassAt)
		}
	}
	if c.leader != nil {
		earliest(c.leader.wakeAt)
	}
	return t
}

// StepTook records how long the last Step took, including the execution of its effects. Planning
// is divided into slices accordingly, so that steps stay short and planning leaves time for
// other commands.
func (c *Controller) StepTook(d time.Duration) { c.planning.recordStep(d) }

// Healthy reports whether this controller can take users' requests.
func (c *Controller) Healthy(now time.Time) bool {
	return c.membership.ready && (!c.membership.storeDown(now) || c.membership.storeDownEverywhere(now))
}

// IsShardLeader reports whether this controller runs the jobs of at least one team.
func (c *Controller) IsShardLeader() bool {
	return c.shardLeader != nil && c.shardLeader.ready && len(c.shardLeader.teams) > 0
}
