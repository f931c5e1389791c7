package message

import (
	"time"

	"github.com/micahill/micahill/internal/model"
)

// A loan lets a job of one cluster, its home, run in another cluster, which borrows the job. The
// other cluster is a peer. Package overflow decides about loans from a LoanView; a LoanCommand makes
// a decision durable.

// LoanCommandKind is the transaction that a LoanCommand asks for.
type LoanCommandKind int

// The kinds of loan commands. The first four concern a job of this cluster, and only the leader
// executes them. The others concern a peer's job, and only the shard leader of the team in which
// borrowed jobs run executes them.
const (
	// LoanLend records that the job is lent to the peer.
	LoanLend LoanCommandKind = iota
	// LoanTakeBack records that the job runs in this cluster again.
	LoanTakeBack
	// LoanSettle records that the peer has completed the job.
	LoanSettle
	// LoanEndCancelled records that the job has ended because its user cancelled it.
	LoanEndCancelled
	// LoanAccept accepts the peer's job.
	LoanAccept
	// LoanGiveUp stops the peer's job for the reason in Cause.
	LoanGiveUp
	// LoanDrop removes the records of a loan that has ended in both clusters.
	LoanDrop
)

// LoanCommand requests a transaction about a loan. A LoanReply reports the outcome.
type LoanCommand struct {
	Reply uint64
	Kind  LoanCommandKind
	// Job is the ID of a job of this cluster, or the ID that a borrowed job has in this cluster.
	Job string
	// Loan is the name of the loan of a borrowed job.
	Loan string
	// LendCount distinguishes the loans of the same job of this cluster.
	LendCount uint64
	// Peer and StopBound belong to LoanLend. StopBound is the longest time that the peer takes to
	// stop the job's tasks when the loan ends.
	Peer      string
	StopBound time.Duration
	// Spec and Age belong to LoanAccept. Age is the time since the job's submission.
	Spec model.JobSpec
	Age  time.Duration
	// Cause belongs to LoanGiveUp.
	Cause string
}

// LoanStatus is the outcome of a LoanCommand or a DrainCommand.
type LoanStatus int

// The outcomes of loan commands.
const (
	// LoanDurable means that the transaction was applied.
	LoanDurable LoanStatus = iota
	// LoanNotApplied means that the transaction was not applied and never will be: one of its
	// compares does not hold, or this controller is not allowed to make it.
	LoanNotApplied
	// LoanUncertain means that the transaction may have been applied or may still be applied.
	LoanUncertain
)

// LoanReply answers a LoanCommand or a DrainCommand.
type LoanReply struct {
	Reply  uint64
	Status LoanStatus
}

// QueryLoans requests a LoanView.
type QueryLoans struct {
	Reply uint64
	// StartableUntil is the latest time at which tasks of a borrowed job may be started, by the
	// job's ID in this cluster. Tasks of a borrowed job without an entry may not be started.
	StartableUntil map[string]time.Time
	// Progress is the progress that peers report of jobs of this cluster, shown to users.
	Progress []Progress
	// WithSimulation requests the results of a simulation of the queue: all fields of LoanView
	// from Waiting on. The simulation takes time.
	WithSimulation bool
	// GuestTeam is the team in which borrowed jobs run.
	GuestTeam string
}

// LoanView answers a QueryLoans with the state at some time after the query.
type LoanView struct {
	Reply uint64
	// OK is false while the controller can read nothing; the other fields are then empty.
	OK bool
	// IsLeader is true if this controller is the leader, which answers peers. Leader is the
	// leader's host.
	IsLeader bool
	Leader   string
	// Epoch is the mod revision of the leader's record, 0 unless IsLeader is true.
	Epoch uint64
	// LeaseValidUntil is the time when this controller's membership lease ends.
	LeaseValidUntil time.Time
	// RunsGuestTeam is true if this controller leads the shard that has the guest team. That
	// controller acts for the cluster towards the homes of borrowed jobs.
	RunsGuestTeam bool
	// GuestTeamEpoch is the mod revision at which the shard got the guest team. GuestTeamTerm
	// changes whenever this controller takes over the team.
	GuestTeamEpoch uint64
	GuestTeamTerm  int
	// Draining is true while the cluster is being emptied of borrowed jobs. DrainDeadline is the
	// time by which all of them must be gone.
	Draining      bool
	DrainDeadline time.Time
	Lent          []LentJob
	Borrowed      []BorrowedJob
	// RenewedAt is, by home, the wall-clock time at which this cluster sent the newest heartbeat
	// that the home is known to have answered.
	RenewedAt map[string]time.Time

	// Waiting are the jobs of this cluster that could be lent.
	Waiting []WaitingJob
	// FreeCapacity is the capacity that could be offered to peers, and CachedImages are the
	// images that its machines have.
	FreeCapacity []FreeCapacity
	CachedImages []string
	// OwnJobsLate is true if jobs of this cluster will miss their objectives. LateUrgency is the
	// highest urgency among those jobs.
	OwnJobsLate bool
	LateUrgency model.Urgency
	// CheapestCPUHour is the lowest cost of a CPU per hour in this cluster.
	CheapestCPUHour float64
}

// LentJob is a job of this cluster that a peer runs.
type LentJob struct {
	Spec        model.JobSpec
	SubmittedAt time.Time
	Peer        string
	// LendCount distinguishes the loans of the same job.
	LendCount uint64
	// StopBound is the longest time that the peer takes to stop the job's tasks when the loan
	// ends.
	StopBound time.Duration
	// CancelRequested is true if the user has requested that the job be cancelled.
	CancelRequested bool
}

// BorrowedJob is a peer's job that runs in this cluster.
type BorrowedJob struct {
	Loan string
	// Job is the job's ID in this cluster.
	Job  string
	Spec model.JobSpec
	// Status is queued, done or cancelled. StatusKnown is false while Status has yet to be read
	// from the state service.
	Status      model.JobStatus
	StatusKnown bool
	// Ending is true if the job is cancelled in this cluster but its tasks are not known to have
	// stopped.
	Ending bool
	// Cause is the reason why the loan was given up, "" while the loan is valid.
	Cause string
	// Started is true if a task was started or may have been started.
	Started      bool
	DoneTasks    int
	RunningTasks int
}

// WaitingJob is a job of this cluster none of whose tasks was ever started.
type WaitingJob struct {
	Spec model.JobSpec
	// SLODue is the time left to complete the job within its objective. HomeFinish is the
	// expected time until the job would be done in this cluster.
	SLODue     time.Duration
	HomeFinish time.Duration
	// RunTime is the expected run time of a task.
	RunTime   time.Duration
	LendCount uint64
}

// FreeCapacity is a group of machines of one kind that this cluster's jobs will not need for a
// while.
type FreeCapacity struct {
	MachineType string
	Zone        string
	Spot        bool
	PerMachine  model.Resources
	Machines    int
	// AvailableIn is the time until machines that have to be rented first are available; 0 for
	// machines that the cluster has.
	AvailableIn time.Duration
	// CostPerCPUHour is the cost of a CPU per hour.
	CostPerCPUHour float64
	// FetchRate is the rate at which a machine fetches images, in GB per second.
	FetchRate float64
}

// DrainCommand starts or ends the draining of borrowed jobs from the cluster. A LoanReply answers
// it.
type DrainCommand struct {
	Reply   uint64
	Enabled bool
	// Deadline is the time by which all borrowed jobs must be gone.
	Deadline time.Time
}

// RenewCommand stores RenewedAt for a successor of this controller. A time that is too early is
// safe, and so is the loss of the command: a loan then ends sooner.
type RenewCommand struct {
	// RenewedAt is, by home, the time at which the newest heartbeat that the home answered was
	// sent.
	RenewedAt map[string]time.Time
}

func (LoanCommand) command() {}

func (QueryLoans) command() {}

func (DrainCommand) command() {}

func (RenewCommand) command() {}

func (LoanReply) effect() {}

func (LoanView) effect() {}
