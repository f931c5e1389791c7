// Package broker runs lending on one controller. It asks the controller for the
// durable state, lets package overflow decide, has the controller make the decisions
// durable, and exchanges heartbeats with the peers. The leading controller answers
// the peers' heartbeats, for what the cluster lends; the one that runs the offloaded
// jobs' team sends the cluster's own heartbeats, for what it borrows.
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
	// pollInterval is how often the controller is asked for the durable state. A
	// peer's heartbeat causes a poll of its own at once.
	pollInterval = time.Second
	// idlePollInterval is how often it is asked where no peers are configured.
	idlePollInterval = 10 * time.Second
	// simulationInterval is how often the queue's placement is simulated to choose
	// offers.
	simulationInterval = 2 * time.Second
	// renewalInterval is how often the times of answered heartbeats are stored.
	renewalInterval = 5 * time.Second
	// heartbeatTimeout bounds a heartbeat to a peer, and controllerTimeout a request
	// to the controller.
	heartbeatTimeout  = 4 * time.Second
	controllerTimeout = 3 * time.Second
	// uncertainRetryPause separates attempts of a transaction whose outcome is not
	// known.
	uncertainRetryPause = 500 * time.Millisecond
	// minWait is the shortest wait between two rounds of the event loop.
	minWait = 10 * time.Millisecond
	// queueLen bounds the events that wait for the event loop.
	queueLen = 256
	// giveBackCooldown is how long a job that came back stays at home.
	giveBackCooldown = 30 * time.Second
	// workerLeaseCount and stopMargin make the bound on how long tasks may go on
	// after a loan's end: a shard leader that has lost the state service answers its
	// workers for one lease, the workers' lease runs one more, and a successor waits
	// for a third.
	workerLeaseCount = 3
	stopMargin       = 10 * time.Second
)

// Controller is what the broker needs of the controller's server.
type Controller interface {
	// Ask sends the command that makeCommand returns and waits for the effect that
	// replies to it.
	Ask(ctx context.Context, makeCommand func(reply uint64) message.Command) (message.Effect, error)
	// Post sends a command that has no reply.
	Post(message.Command)
}

// HeartbeatSender sends a heartbeat to one controller of a peer and returns its
// reply; link.Client is one. An error that wraps link.ErrNotLeader says that another
// controller of the peer replies.
type HeartbeatSender interface {
	SendHeartbeat(ctx context.Context, peer, addr string, heartbeat overflow.Heartbeat) (overflow.HeartbeatReply, error)
}

// Settings are the broker's, converted from the file under deploy/.
type Settings struct {
	// Cluster is this cluster's name.
	Cluster string
	// GuestTeam is the team that runs the peers' offloaded jobs.
	GuestTeam     string
	LendEnabled   bool
	BorrowEnabled bool
	// HeartbeatInterval is that of heartbeats to each peer.
	HeartbeatInterval time.Duration
	// LoanLease is how long a borrower may go on without a reply.
	LoanLease time.Duration
	// WorkerLease is the lease of this cluster's workers.
	WorkerLease time.Duration
	// ClockBound is how far a controller's time of day may be from the true one.
	ClockBound time.Duration
	Limits     overflow.Limits
	// Peers holds the addresses of the controllers of each peer, by its name.
	Peers map[string][]string
}

// Broker is the lending of one controller. Its event loop, Run, owns all of its
// state; the exported methods may be called from any goroutine.
type Broker struct {
	// ctx is the broker's life time: it ends the loop and what the loop has started.
	ctx            context.Context
	settings       Settings
	controller     Controller
	sender         HeartbeatSender
	metrics        *Metrics
	rng            *rand.Rand
	events         chan func()
	statusRequests chan chan Status

	// isLeader and runsGuestTeam are this controller's roles, and epoch and term
	// those under which lender and borrower were made.
	isLeader, runsGuestTeam bool
	epoch                   uint64
	term                    int
	lender                  *overflow.Lender
	borrower                *overflow.Borrower
	peers                   map[string]*overflow.PeerTracker
	view                    message.LoanView
	viewedAt                time.Time
	simulatedAt             time.Time
	renewedAt               time.Time
	pendingHeartbeats       []pendingHeartbeat
	// inFlight holds the loans with a transaction in flight.
	inFlight map[overflow.Loan]bool
	// returnedAt holds jobs that came back lately, and progress, by job, what peers
	// report of lent jobs.
	returnedAt map[string]time.Time
	progress   map[string]message.Progress
	// lateSince is since when own jobs have been late; zero if they are not.
	lateSince time.Time
	admission overflow.AdmissionState
}

// pendingHeartbeat is a peer's heartbeat that waits for its reply.
type pendingHeartbeat struct {
	heartbeat overflow.Heartbeat
	result    chan heartbeatResult
}

type heartbeatResult struct {
	reply overflow.HeartbeatReply
	err   error
}

// New returns a broker whose life ends with the context. Run has to be called to
// start it.
func New(ctx context.Context, settings Settings, controller Controller, sender HeartbeatSender, metrics *Metrics, rng *rand.Rand) *Broker {
	now := time.Now()
	b := &Broker{
		ctx: ctx, settings: settings, controller: controller, sender: sender, metrics: metrics, rng: rng,
		events: make(chan func(), queueLen), statusRequests: make(chan chan Status),
		peers: map[string]*overflow.PeerTracker{}, inFlight: map[overflow.Loan]bool{}, returnedAt: map[string]time.Time{}, progress: map[string]message.Progress{},
	}
	b.resetLender(now)
	b.resetBorrower()
	for name, addrs := range settings.Peers {
		b.peers[name] = overflow.NewPeerTracker(name, addrs, settings.HeartbeatInterval, now)
	}
	return b
}

// resetLender forgets what holds for one epoch of the leader only.
func (b *Broker) resetLender(now time.Time) {
	b.lender = overflow.NewLender(b.settings.Cluster, now, b.settings.LoanLease)
	b.dropInFlight(func(l overflow.Loan) bool { return l.Home == b.settings.Cluster })
}

// resetBorrower forgets what holds for one term of the offloaded jobs' team only.
func (b *Broker) resetBorrower() {
	b.borrower = overflow.NewBorrower()
	b.dropInFlight(func(l overflow.Loan) bool { return l.Home != b.settings.Cluster })
}

// dropInFlight forgets transactions in flight whose Lender or Borrower is replaced.
func (b *Broker) dropInFlight(matches func(overflow.Loan) bool) {
	maps.DeleteFunc(b.inFlight, func(l overflow.Loan, _ bool) bool { return matches(l) })
}

// HandleHeartbeat replies to a peer's heartbeat; it is the link server's handler. It
// fails with link.ErrNotLeader on a controller that doesn't lead, and with
// link.ErrStale if the heartbeat can't be answered now.
func (b *Broker) HandleHeartbeat(ctx context.Context, heartbeat overflow.Heartbeat) (overflow.HeartbeatReply, error) {
	pending := pendingHeartbeat{heartbeat, make(chan heartbeatResult, 1)}
	select {
	case b.events <- func() { b.pendingHeartbeats = append(b.pendingHeartbeats, pending) }:
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

// Run is the event loop. It returns the error of the broker's context when that
// ends.
func (b *Broker) Run() error {
	ctx := b.ctx
	interval := pollInterval
	if len(b.settings.Peers) == 0 {
		// Nobody to lend to: only earlier loans need attention.
		interval = idlePollInterval
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case event := <-b.events:
			event()
		case out := <-b.statusRequests:
			out <- b.status(time.Now())
			continue
		case <-timer.C:
		}
		b.drainEvents()
		if len(b.pendingHeartbeats) > 0 || time.Since(b.viewedAt) >= interval {
			b.poll(ctx)
		}
		timer.Reset(max(minWait, time.Until(b.viewedAt.Add(interval))))
	}
}

// drainEvents handles all events that wait.
func (b *Broker) drainEvents() {
	for {
		select {
		case event := <-b.events:
			event()
		default:
			return
		}
	}
}

// enqueue hands an event to the event loop, unless the broker's life ends.
func (b *Broker) enqueue(event func()) {
	select {
	case b.events <- event:
	case <-b.ctx.Done():
	}
}
