// Package broker runs the lending of jobs between clusters on one controller. It asks
// the controller for the durable state, lets package overflow decide, has the controller
// make the decisions durable, and exchanges heartbeats with the peers. The leading
// controller answers the peers' heartbeats about the jobs that this cluster lends. The
// controller that runs the offloaded jobs' team sends the cluster's own heartbeats about
// the jobs that it borrows.
package broker

import (
	"context"
	"maps"
	"math/rand/v2"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/overflow"
	"github.com/micahill/micahill/internal/overflow/link"
)

const (
	// pollInterval is the interval at which the broker asks the controller for the
	// durable state. A peer's heartbeat causes an additional poll at once.
	pollInterval = time.Second
	// idlePollInterval replaces pollInterval if no peers are configured.
	idlePollInterval = 10 * time.Second
	// simulationInterval is the interval at which the controller simulates the
	// placement of its queue, from which offers are chosen.
	simulationInterval = 2 * time.Second
	// renewalInterval is the interval at which the times of answered heartbeats are
	// stored.
	renewalInterval = 5 * time.Second
	// heartbeatTimeout bounds a heartbeat to a peer, and controllerTimeout a request
	// to the controller.
	heartbeatTimeout  = 4 * time.Second
	controllerTimeout = 3 * time.Second
	// uncertainRetryPause is the pause between attempts of a transaction whose outcome
	// is not known.
	uncertainRetryPause = 500 * time.Millisecond
	// minWait is the shortest time for which the event loop waits until the next poll.
	minWait = 10 * time.Millisecond
	// queueLen bounds the number of events that wait for the event loop.
	queueLen = 256
	// giveBackCooldown is how long a job that was taken back is not lent again.
	giveBackCooldown = 30 * time.Second
	// workerLeaseCount and stopMargin bound how long tasks may go on running after a
	// loan's end: workerLeaseCount leases of the workers, plus stopMargin. A shard
	// leader that has lost the state service answers its workers for one lease, the
	// workers' own lease runs for a second one, and a successor waits for a third.
	workerLeaseCount = 3
	stopMargin       = 10 * time.Second
)

// Controller is the interface by which the broker sends commands to its controller.
type Controller interface {
	// Ask sends the command that makeCommand returns and waits for the effect that
	// replies to it.
	Ask(ctx context.Context, makeCommand func(reply uint64) message.Command) (message.Effect, error)
	// Post sends a command that has no reply.
	Post(message.Command)
}

// HeartbeatSender sends a heartbeat to one controller of a peer and returns the reply;
// link.Client implements it. An error that wraps link.ErrNotLeader means that another
// controller of the peer answers heartbeats.
type HeartbeatSender interface {
	SendHeartbeat(ctx context.Context, peer, addr string, heartbeat overflow.Heartbeat) (overflow.HeartbeatReply, error)
}

// Settings are the broker's settings, converted from deploy/overflow.toml.
type Settings struct {
	// Cluster is this cluster's name.
	Cluster string
	// GuestTeam is the team under which the peers' offloaded jobs run.
	GuestTeam     string
	LendEnabled   bool
	BorrowEnabled bool
	// HeartbeatInterval is the interval of heartbeats to each peer.
	HeartbeatInterval time.Duration
	// LoanLease is how long a borrower may go on running loans without a reply.
	LoanLease time.Duration
	// WorkerLease is the lease of this cluster's workers.
	WorkerLease time.Duration
	// ClockBound bounds the error of a controller's wall clock.
	ClockBound time.Duration
	Limits     overflow.Limits
	// Peers holds the addresses of each peer's controllers, by the peer's cluster name.
	Peers map[string][]string
}

// Broker runs lending on one controller. Its event loop, Run, owns its state. All other
// exported methods may be called from any goroutine.
type Broker struct {
	// ctx ends the event loop and the goroutines that the loop has started.
	ctx            context.Context
	settings       Settings
	controller     Controller
	sender         HeartbeatSender
	metrics        *Metrics
	rng            *rand.Rand
	events         chan func()
	statusRequests chan chan Status

	// isLeader and runsGuestTeam are this controller's roles. lender was created for
	// the leader's epoch, and borrower for the guest team's term.
	isLeader, runsGuestTeam bool
	epoch                   uint64
	term                    int
	lender                  *overflow.Lender
	borrower                *overflow.Borrower
	peers                   map[string]*overflow.PeerTracker
	view                    message.LoanView
	polledAt                time.Time
	simulatedAt             time.Time
	renewedAt               time.Time
	pendingHeartbeats       []pendingHeartbeat
	// inFlight holds the loans with a transaction in flight.
	inFlight map[overflow.Loan]bool
	// returnedAt is when a lent job was taken back, for recently returned jobs.
	// progress is the progress of lent jobs that peers have reported since the last
	// query. Both are keyed by job ID.
	returnedAt map[string]time.Time
	progress   map[string]message.Progress
	// lateSince is when this cluster's own jobs became late; zero if they are not.
	lateSince time.Time
	// admission is the state by which admit accepts peers' jobs.
	admission overflow.AdmissionState
}

// pendingHeartbeat is a peer's heartbeat that waits for the next view. result receives
// the reply.
type pendingHeartbeat struct {
	heartbeat overflow.Heartbeat
	result    chan heartbeatResult
}

// heartbeatResult is the reply to a heartbeat, or the error that refuses it.
type heartbeatResult struct {
	reply overflow.HeartbeatReply
	err   error
}

// New returns a broker that runs until the context ends. The caller starts it with Run.
func New(ctx context.Context, settings Settings, controller Controller, sender HeartbeatSender, metrics *Metrics, rng *rand.Rand) *Broker {
	now := time.Now()
	broker := &Broker{
		ctx: ctx, settings: settings, controller: controller, sender: sender, metrics: metrics, rng: rng,
		events: make(chan func(), queueLen), statusRequests: make(chan chan Status),
		peers: map[string]*overflow.PeerTracker{}, inFlight: map[overflow.Loan]bool{}, returnedAt: map[string]time.Time{}, progress: map[string]message.Progress{},
	}
	broker.resetLender(now)
	broker.resetBorrower()
	for name, addrs := range settings.Peers {
		broker.peers[name] = overflow.NewPeerTracker(name, addrs, settings.HeartbeatInterval, now)
	}
	return broker
}

// resetLender replaces the Lender, whose state is valid for one epoch of the leader
// only.
func (broker *Broker) resetLender(now time.Time) {
	broker.lender = overflow.NewLender(broker.settings.Cluster, now, broker.settings.LoanLease)
	broker.dropInFlight(func(loan overflow.Loan) bool { return loan.Home == broker.settings.Cluster })
}

// resetBorrower replaces the Borrower, whose state is valid for one term of the
// offloaded jobs' team only.
func (broker *Broker) resetBorrower() {
	broker.borrower = overflow.NewBorrower()
	broker.dropInFlight(func(loan overflow.Loan) bool { return loan.Home != broker.settings.Cluster })
}

// dropInFlight removes from inFlight the loans that match, when their Lender or
// Borrower is replaced.
func (broker *Broker) dropInFlight(matches func(overflow.Loan) bool) {
	maps.DeleteFunc(broker.inFlight, func(loan overflow.Loan, _ bool) bool { return matches(loan) })
}

// HandleHeartbeat returns the reply to a peer's heartbeat. It is the link.Server's
// handler. It fails with link.ErrNotLeader on a controller that isn't the leader, and
// with link.ErrStale if the heartbeat can't be answered now.
func (broker *Broker) HandleHeartbeat(ctx context.Context, heartbeat overflow.Heartbeat) (overflow.HeartbeatReply, error) {
	pending := pendingHeartbeat{heartbeat, make(chan heartbeatResult, 1)}
	select {
	case broker.events <- func() { broker.pendingHeartbeats = append(broker.pendingHeartbeats, pending) }:
	default:
		return overflow.HeartbeatReply{}, link.ErrStale
	}
	ctx, cancel := context.WithTimeout(ctx, controllerTimeout)
	defer cancel()
	select {
	case result := <-pending.result:
		return result.reply, result.err
	case <-ctx.Done():
		return overflow.HeartbeatReply{}, link.ErrStale
	}
}

// Run runs the event loop until the broker's context ends, and returns the context's
// error.
func (broker *Broker) Run() error {
	ctx := broker.ctx
	interval := pollInterval
	if len(broker.settings.Peers) == 0 {
		// There is no peer to lend to, but loans of earlier settings may still
		// have to be ended.
		interval = idlePollInterval
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case event := <-broker.events:
			event()
		case response := <-broker.statusRequests:
			response <- broker.status(time.Now())
			continue
		case <-timer.C:
		}
		broker.drainEvents()
		if len(broker.pendingHeartbeats) > 0 || time.Since(broker.polledAt) >= interval {
			broker.poll(ctx)
		}
		timer.Reset(max(minWait, time.Until(broker.polledAt.Add(interval))))
	}
}

// drainEvents runs all waiting events.
func (broker *Broker) drainEvents() {
	for {
		select {
		case event := <-broker.events:
			event()
		default:
			return
		}
	}
}

// enqueue passes an event to the event loop. It drops the event if the broker's context
// ends first.
func (broker *Broker) enqueue(event func()) {
	select {
	case broker.events <- event:
	case <-broker.ctx.Done():
	}
}
