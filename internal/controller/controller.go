package controller

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/micahill/micahill/internal/boottime"
	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/selfmonitor"
	"github.com/micahill/micahill/internal/sizelimit"
	"github.com/micahill/micahill/internal/throttle"
	"github.com/micahill/micahill/internal/validate"
)

// Controller is one controller. All of its state belongs to the goroutine that
// calls Step.
type Controller struct {
	settings Settings
	rng      *rand.Rand
	now      time.Time
	effects  []message.Effect
	lastID   uint64

	storeCallbacks  map[uint64]func(message.StoreResponse)
	cloudCallbacks  map[uint64]func(message.CloudResponse)
	workerCallbacks map[uint64]func(message.WorkerResponse)
	timers          []timer

	membership    membership
	frontend      frontend
	ranking       rankingState
	shardLeader   *shardLeader
	leader        *leader
	machineTypes  map[string]model.MachineType
	progressByJob map[string]message.Progress
	// accuracy of the workloads' estimates outlives a loss of the owner role.
	estimators map[string]*estimator
	role       message.Role
	// raising: machines are being named once more for a higher epoch.
	bumpingEpoch bool
	// released remembers machines whose return was asked for: neither an old
	// list nor a late report may bring them back.
	released map[string]bool
	// inheritedLoads is what the owner before told of the workloads.
	inheritedLoads map[workloadKey]message.WorkloadLoad
	// predecessorMachines is what other owners last told of their machines.
	predecessorMachines  map[string]predecessorMachine
	predecessorsPrunedAt time.Time
	// storeUnavailable is when each of the others last said that the state service does
	// not answer there.
	storeUnavailable            map[string]time.Time
	storeUnavailablePublishedAt time.Time
	// selfMonitor and strays are what this node hears of workers, and which it sent on;
	// see partition.go.
	selfMonitor         selfmonitor.Monitor
	reroutedMachines    selfmonitor.ReroutedMachines
	reroutedPublishedAt time.Time
	// reroutedPollsInFlight counts the questions under way to machines that came back.
	reroutedPollsInFlight int
	// reroutedHeartbeats are reports of others' machines that these are to be told of.
	reroutedHeartbeats map[string][]message.ReroutedHeartbeat
	// reachabilityRequestedAt is when a worker was last asked whether it hears this node again.
	reachabilityRequestedAt time.Time
	// provisioningTimes is what was learnt of how long machines of each kind take to come up.
	provisioningTimes map[machineKind]*boottime.Estimator
	// throttle divides planning into slices, and sliced is the work of the last one.
	throttle      throttle.SliceBudget
	lastSliceWork int
	// placed: the last step had a round of placing in it.
	placementRan bool
	rateLimits   rateLimits
	// internalErrors counts requests that were malformed, and malformed has those that the
	// state service said so of: none is sent again as it is.
	internalErrors int
	malformedTxns  map[uint64]bool
	// rejectedInputs counts what made no sense, and complaints are what was told of it.
	rejectedInputs int
	rejections     validate.LogLimiter
	// lending are the loans this cluster has taken, as far as this node has read.
	lending lending
	// cancellations are the cancellations that peers are told of; see cancellation_gossip.go.
	cancellations cancellationGossip
	// promises is what is known of promised dates beside the jobs.
	promises promiseState
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
	n := &Controller{}
	n.settings, n.rng = set, rng
	n.storeCallbacks = map[uint64]func(message.StoreResponse){}
	n.cloudCallbacks = map[uint64]func(message.CloudResponse){}
	n.workerCallbacks = map[uint64]func(message.WorkerResponse){}
	n.progressByJob = map[string]message.Progress{}
	n.estimators = map[string]*estimator{}
	n.released = map[string]bool{}
	n.inheritedLoads = map[workloadKey]message.WorkloadLoad{}
	n.predecessorMachines = map[string]predecessorMachine{}
	n.storeUnavailable = map[string]time.Time{}
	n.malformedTxns = map[uint64]bool{}
	n.cancellations.unacked = map[string]*unackedCancellation{}
	n.provisioningTimes = map[machineKind]*boottime.Estimator{}
	n.rateLimits.peers = map[string]peerRates{}
	n.frontend.init()
	return n
}

// Step takes a batch of commands at one moment and returns what is to be done.
func (n *Controller) Step(now time.Time, cmds []message.Command) []message.Effect {
	n.now = now
	n.effects = nil
	n.selfMonitor.Ran(now)
	if !n.membership.started {
		n.startMembership()
	}
	for _, c := range cmds {
		n.handleCommand(c)
	}
	n.runTimers()
	n.publishStoreUnavailable()
	n.flushSubmissions()
	if n.shardLeader != nil {
		n.shardLeaderTick()
	}
	if n.leader != nil {
		n.leaderTick()
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
		n.submitJob(c)
	case message.QueryJob:
		n.queryJob(c)
	case message.CancelJob:
		n.cancelJob(c)
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
		if fn := n.storeCallbacks[c.ID]; fn != nil {
			delete(n.storeCallbacks, c.ID)
			fn(c)
		}
	case message.CloudResponse:
		if fn := n.cloudCallbacks[c.ID]; fn != nil {
			delete(n.cloudCallbacks, c.ID)
			fn(c)
		}
	case message.WorkerResponse:
		if fn := n.workerCallbacks[c.ID]; fn != nil {
			delete(n.workerCallbacks, c.ID)
			fn(c)
		}
	case message.QueryStatus:
		n.replyStatus(c)
	case message.LoanCommand:
		runLoanCommand(n, c)
	case message.QueryLoans:
		queryLoans(n, c)
	case message.RenewCommand:
		runRenewCommand(n, c)
	case message.SetRanking:
		setRanking(n, c)
	case message.QueryRanking:
		queryRanking(n, c)
	case message.DrainCommand:
		runDrainCommand(n, c)
	case message.QueryPromises:
		queryPromises(n, c)
	case message.PeerUpdate:
		if bad := c.Validate(); bad != "" {
			n.rejectInput("news", c.From, bad)
			break
		}
		if c.StoreUnavailable {
			n.storeUnavailable[c.From] = n.now
		}
		if c.Rates != nil {
			n.rateLimits.peers[c.From] = peerRates{n.now, *c.Rates}
		}
		if !n.fromCurrentIncarnation(&c) {
			break
		}
		if len(c.Cancellations) > 0 {
			receiveCancellations(n, c.From, c.Cancellations)
		}
		acknowledgeCancellations(n, c.From, c.CancellationAcks)
		for _, p := range c.Progress {
			n.progressByJob[p.ID] = p
		}
		n.inheritLoads(c.WorkloadLoads)
		for _, q := range c.Quotes {
			if n.promisesEnabled() {
				acceptQuotes(n, c.From, q.Value, true)
			}
		}
		if n.shardLeader != nil {
			receiveRemoteRequests(n, c.From, c.RemoteAttempts)
			receiveRemoteAttempts(n, c.From, c.RemoteStatuses)
			applyReroutedHeartbeats(n, c.Rerouted)
		}
		for _, h := range c.MachineUpdates {
			n.predecessorMachines[h.ID] = predecessorMachine{MachineUpdate: h, receivedAt: n.now}
		}
		if len(c.MachineUpdates) > 0 && n.now.Sub(n.predecessorsPrunedAt) > machineUpdateTTL {
			// What nobody names any more is gone. The memory is judged again
			// when it is used, from when the last news came.
			n.predecessorsPrunedAt = n.now
			for id, h := range n.predecessorMachines {
				if n.now.Sub(h.receivedAt) > machineUpdateTTL {
					delete(n.predecessorMachines, id)
				}
			}
		}
		if c.IsCapacityRequest && n.leader != nil {
			n.leader.receiveUpdate(n.now, c)
		}
		if c.IsLeaderUpdate && n.shardLeader != nil && n.leader == nil && c.Incarnation == n.membership.leader.Incarnation {
			n.receiveLeaderUpdate(c)
		}
	}
}

// Deadline is when Step wants to be called at the latest, if nothing comes.
func (n *Controller) Deadline() time.Time {
	var t time.Time
	earliest := func(o time.Time) {
		if !o.IsZero() && (t.IsZero() || o.Before(t)) {
			t = o
		}
	}
	for _, tm := range n.timers {
		earliest(tm.at)
	}
	if n.shardLeader != nil {
		earliest(n.shardLeader.wakeAt)
		if n.shardLeader.planningPass != nil {
			earliest(n.shardLeader.planningPassAt)
		}
	}
	if n.leader != nil {
		earliest(n.leader.wakeAt)
	}
	return t
}

// Healthy says whether this node can take requests now.
func (n *Controller) Healthy(now time.Time) bool {
	return n.membership.ready && (!n.storeDown(now) || n.storeDownEverywhere(now))
}

func (n *Controller) after(d time.Duration, fn func()) {
	n.timers = append(n.timers, timer{n.now.Add(d), fn})
}

func (n *Controller) runTimers() {
	var due []timer
	keep := n.timers[:0]
	for _, t := range n.timers {
		if t.at.After(n.now) {
			keep = append(keep, t)
		} else {
			due = append(due, t)
		}
	}
	n.timers = keep
	for _, t := range due {
		t.fn()
	}
}

func (n *Controller) emit(e message.Effect) {
	if p, ok := e.(message.SendPeerUpdate); ok {
		p.Update.Incarnation = n.incarnation()
		e = p
	}
	n.effects = append(n.effects, e)
}

func (n *Controller) nextID() uint64 { n.lastID++; return n.lastID }

// requestStore sends a request to the state service. One that passes its limits does not
// leave: it would be refused as malformed, as often as it is sent, and count against
// the limit of requests. It is a defect, told of as an error, and answered as such.
func (n *Controller) requestStore(op message.StoreRequest, fn func(message.StoreResponse)) {
	op.ID = n.nextID()
	if op.Kind == message.OpTxn {
		compares, writes := make([]string, len(op.Compares)), make([]sizelimit.Write, len(op.Writes))
		for i, c := range op.Compares {
			compares[i] = c.Key
		}
		for i, c := range op.Writes {
			writes[i] = sizelimit.Write{Key: c.Key, Value: c.Value}
		}
		if err := n.requestLimits(&op).CheckTxn(compares, writes); err != nil {
			n.internalError("a request passes the state service's limits", "err", err)
			n.after(0, func() { fn(message.StoreResponse{ID: op.ID, Status: message.StoreMalformed, SentAt: n.now}) })
			return
		}
		if len(n.malformedTxns) > 0 && n.malformedTxns[txnHash(&op)] {
			// Called malformed before, as it is.
			n.after(storeRetryDelay, func() { fn(message.StoreResponse{ID: op.ID, Status: message.StoreMalformed, SentAt: n.now}) })
			return
		}
		callback := fn
		fn = func(d message.StoreResponse) {
			if d.Status == message.StoreMalformed {
				n.internalError("the state service calls a transaction malformed", "changes", len(op.Writes), "first", firstWriteKey(&op))
				if len(n.malformedTxns) >= maxMalformedTxns {
					clear(n.malformedTxns)
				}
				n.malformedTxns[txnHash(&op)] = true
			}
			callback(d)
		}
	}
	n.rateLimits.countRequest(&op)
	n.storeCallbacks[op.ID] = fn
	n.emit(op)
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
func (n *Controller) internalError(text string, args ...any) {
	n.internalErrors++
	n.emit(message.Log{Error: true, Message: text, Args: args})
}

func (n *Controller) requestCloud(op message.CloudRequest, fn func(message.CloudResponse)) {
	op.ID = n.nextID()
	n.cloudCallbacks[op.ID] = fn
	n.emit(op)
}

func (n *Controller) requestWorker(op message.WorkerRequest, fn func(message.WorkerResponse)) {
	op.ID = n.nextID()
	n.workerCallbacks[op.ID] = fn
	n.emit(op)
}

func (n *Controller) info(text string, args ...any) { n.emit(message.Log{Message: text, Args: args}) }
func (n *Controller) debug(text string, args ...any) {
	n.emit(message.Log{Debug: true, Message: text, Args: args})
}

// jitter spreads d by a quarter either way, so that controllers that fell
// over together do not come back in step.
func (n *Controller) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.75 + n.rng.Float64()/2))
}

// spread is d, give or take a half.
func (n *Controller) spread(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.5 + n.rng.Float64()))
}
