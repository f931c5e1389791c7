package controller

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/sizelimit"
)

// Controller is one controller. All of its state belongs to the goroutine that
// calls Step.
type Controller struct {
	*environment

	membership  membership
	frontend    frontend
	ranking     rankingState
	shardLeader *shardLeader
	leader      *leader
	role        message.Role
	rateLimits  rateLimits
	// lending are the loans this cluster has taken, as far as this node has read.
	lending lending
	// cancellations are the cancellations that peers are told of; see cancellation_gossip.go.
	cancellations cancellationGossip
	// promises is what is known of promised dates beside the jobs.
	promises  promiseState
	knowledge fleetKnowledge
	renewal   leaseRenewer
	partition partitionDetector
	planning  planningThrottle
	requests  requestTracker
}

// predecessorMachine is what another shard leader last published of one of its machines, and
// when it was received.
type predecessorMachine struct {
	message.MachineUpdate
	receivedAt time.Time
}

type timer struct {
	at time.Time
	fn func()
}

// New makes a controller that knows nothing yet. Step starts it.
func New(set Settings, rng *rand.Rand) *Controller {
	n := &Controller{environment: &environment{settings: set, rng: rng}}
	n.connectComponents()
	n.requests.storeCallbacks = map[uint64]func(message.StoreResponse){}
	n.requests.cloudCallbacks = map[uint64]func(message.CloudResponse){}
	n.requests.workerCallbacks = map[uint64]func(message.WorkerResponse){}
	n.frontend.progressByJob = map[string]message.Progress{}
	n.knowledge.init()
	n.membership.peersWithoutStore = map[string]time.Time{}
	n.requests.malformedTxns = map[uint64]bool{}
	n.cancellations.unacked = map[string]*unackedCancellation{}
	n.rateLimits.peers = map[string]peerRates{}
	n.frontend.init()
	return n
}

// connectComponents gives each component the environment and the way to the others.
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

// Step takes a batch of commands at one moment and returns what is to be done.
func (n *Controller) Step(now time.Time, cmds []message.Command) []message.Effect {
	n.now = now
	n.effects = nil
	n.partition.monitor.Ran(now)
	if !n.membership.started {
		n.membership.start()
	}
	for _, c := range cmds {
		n.handleCommand(c)
	}
	n.runTimers()
	n.membership.publishStoreUnavailable()
	n.frontend.flushSubmissions()
	if n.shardLeader != nil {
		n.shardLeader.tick()
	}
	if n.leader != nil {
		n.leader.tick()
	}
	if r := (message.Role{Leader: n.leader != nil, ShardLeader: n.shardLeader != nil}); r != n.role {
		n.role = r
		n.emit(r)
	}
	return n.effects
}

func (n *Controller) handleCommand(c message.Command) {
	switch c := c.(type) {
	case message.SubmitJob:
		n.frontend.submitJob(c)
	case message.QueryJob:
		n.frontend.queryJob(c)
	case message.CancelJob:
		n.frontend.cancelJob(c)
	case message.WorkerHeartbeat:
		if !handleStaleHeartbeat(n, &c) {
			n.handleHeartbeat(c)
		}
	case message.StoreResponse:
		if c.Status != message.StoreUnknown && c.Status != message.StoreRefused {
			n.membership.storeFailingSince = time.Time{}
		} else if n.membership.storeFailingSince.IsZero() {
			n.membership.storeFailingSince = n.now
		}
		if fn := n.requests.storeCallbacks[c.ID]; fn != nil {
			delete(n.requests.storeCallbacks, c.ID)
			fn(c)
		}
	case message.CloudResponse:
		if fn := n.requests.cloudCallbacks[c.ID]; fn != nil {
			delete(n.requests.cloudCallbacks, c.ID)
			fn(c)
		}
	case message.WorkerResponse:
		if fn := n.requests.workerCallbacks[c.ID]; fn != nil {
			delete(n.requests.workerCallbacks, c.ID)
			fn(c)
		}
	case message.QueryStatus:
		n.replyStatus(c)
	case message.LoanCommand:
		n.lending.runCommand(c)
	case message.QueryLoans:
		n.lending.queryLoans(c)
	case message.RenewCommand:
		n.lending.runRenewCommand(c)
	case message.SetRanking:
		n.ranking.set(c)
	case message.QueryRanking:
		n.ranking.query(c)
	case message.DrainCommand:
		n.lending.runDrainCommand(c)
	case message.QueryPromises:
		n.promises.query(c)
	case message.PeerUpdate:
		if bad := c.Validate(); bad != "" {
			n.rejectInput("news", c.From, bad)
			break
		}
		if c.StoreUnavailable {
			n.membership.peersWithoutStore[c.From] = n.now
		}
		if c.Rates != nil {
			n.rateLimits.peers[c.From] = peerRates{n.now, *c.Rates}
		}
		if !n.membership.fromCurrentIncarnation(&c) {
			break
		}
		if len(c.Cancellations) > 0 {
			n.cancellations.receive(c.From, c.Cancellations)
		}
		n.cancellations.acknowledge(c.From, c.CancellationAcks)
		for _, p := range c.Progress {
			n.frontend.progressByJob[p.ID] = p
		}
		n.inheritLoads(c.WorkloadLoads)
		for _, q := range c.Quotes {
			if n.promises.enabled() {
				n.promises.acceptQuotes(c.From, q.Value, true)
			}
		}
		if n.shardLeader != nil {
			n.shardLeader.remoteAttempts.receiveRemoteRequests(c.From, c.RemoteAttempts)
			n.shardLeader.remoteAttempts.receiveRemoteAttempts(c.From, c.RemoteStatuses)
			n.partition.applyReroutedHeartbeats(c.Rerouted)
		}
		n.knowledge.recordMachineUpdates(c.MachineUpdates)
		if c.IsCapacityRequest && n.leader != nil {
			n.leader.receiveUpdate(n.now, c)
		}
		if c.IsLeaderUpdate && n.shardLeader != nil && n.leader == nil && c.Incarnation == n.membership.leader.Incarnation {
			n.receiveLeaderUpdate(c)
		}
	}
}

// Deadline is when Step wants to be called at the latest, if nothing comes.
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

// StepTook tells how long the last step took here, with all that it sent off: planning
// is divided so that steps stay short, and placing leaves time to the rest.
func (c *Controller) StepTook(d time.Duration) { c.planning.recordStep(d) }

// Healthy says whether this node can take requests now.
func (c *Controller) Healthy(now time.Time) bool {
	return c.membership.ready && (!c.membership.storeDown(now) || c.membership.storeDownEverywhere(now))
}

func (e *environment) after(d time.Duration, fn func()) {
	e.timers = append(e.timers, timer{e.now.Add(d), fn})
}

func (e *environment) runTimers() {
	var due []timer
	keep := e.timers[:0]
	for _, t := range e.timers {
		if t.at.After(e.now) {
			keep = append(keep, t)
		} else {
			due = append(due, t)
		}
	}
	e.timers = keep
	for _, t := range due {
		t.fn()
	}
}

func (ee *environment) emit(e message.Effect) {
	if p, ok := e.(message.SendPeerUpdate); ok {
		p.Update.Incarnation = ee.incarnation()
		e = p
	}
	ee.effects = append(ee.effects, e)
}

func (e *environment) nextID() uint64 { e.lastID++; return e.lastID }

// toStore sends a request to the state service. One that passes its limits does not
// leave: it would be refused as malformed, as often as it is sent, and count against
// the limit of requests. It is a defect, told of as an error, and answered as such.
func (r *requestTracker) toStore(op message.StoreRequest, fn func(message.StoreResponse)) {
	op.ID = r.nextID()
	if op.Kind == message.OpTxn {
		compares, writes := make([]string, len(op.Compares)), make([]sizelimit.Write, len(op.Writes))
		for i, c := range op.Compares {
			compares[i] = c.Key
		}
		for i, c := range op.Writes {
			writes[i] = sizelimit.Write{Key: c.Key, Value: c.Value}
		}
		if err := r.limitsOf(&op).CheckTxn(compares, writes); err != nil {
			r.internalError("a request passes the state service's limits", "err", err)
			r.after(0, func() { fn(message.StoreResponse{ID: op.ID, Status: message.StoreMalformed, SentAt: r.now}) })
			return
		}
		if len(r.malformedTxns) > 0 && r.malformedTxns[txnHash(&op)] {
			// Called malformed before, as it is.
			r.after(storeRetryDelay, func() { fn(message.StoreResponse{ID: op.ID, Status: message.StoreMalformed, SentAt: r.now}) })
			return
		}
		callback := fn
		fn = func(d message.StoreResponse) {
			if d.Status == message.StoreMalformed {
				r.internalError("the state service calls a transaction malformed", "changes", len(op.Writes), "first", firstWriteKey(&op))
				if len(r.malformedTxns) >= maxMalformedTxns {
					clear(r.malformedTxns)
				}
				r.malformedTxns[txnHash(&op)] = true
			}
			callback(d)
		}
	}
	r.controller.rateLimits.countRequest(&op)
	r.storeCallbacks[op.ID] = fn
	r.emit(op)
}

// maxMalformedTxns bounds how many malformed transactions are remembered.
const maxMalformedTxns = 256

// txnHash tells transactions apart by what they would do.
func txnHash(op *message.StoreRequest) uint64 {
	h := xxhash.New()
	for _, c := range op.Compares {
		fmt.Fprint(h, c.Key, c.ModRevision, ";")
	}
	for _, a := range op.Writes {
		fmt.Fprint(h, a.Key, a.LeaseID, len(a.Value), ":")
		h.Write(a.Value)
	}
	return h.Sum64()
}

func firstWriteKey(op *message.StoreRequest) string {
	if len(op.Writes) == 0 {
		return ""
	}
	return op.Writes[0].Key
}

// internalError tells of a mistake of this program's that it goes on with.
func (e *environment) internalError(text string, args ...any) {
	e.internalErrors++
	e.emit(message.Log{Error: true, Message: text, Args: args})
}

func (r *requestTracker) toCloud(op message.CloudRequest, fn func(message.CloudResponse)) {
	op.ID = r.nextID()
	r.cloudCallbacks[op.ID] = fn
	r.emit(op)
}

func (r *requestTracker) toWorker(op message.WorkerRequest, fn func(message.WorkerResponse)) {
	op.ID = r.nextID()
	r.workerCallbacks[op.ID] = fn
	r.emit(op)
}

func (e *environment) info(text string, args ...any) { e.emit(message.Log{Message: text, Args: args}) }
func (e *environment) debug(text string, args ...any) {
	e.emit(message.Log{Debug: true, Message: text, Args: args})
}

// jitter spreads d by a quarter either way, so that controllers that fell
// over together do not come back in step.
func (e *environment) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.75 + e.rng.Float64()/2))
}

// spread is d, give or take a half.
func (e *environment) spread(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.5 + e.rng.Float64()))
}
