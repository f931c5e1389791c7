package message

import (
	"time"

	"github.com/micahill/micahill/internal/model"
)

// A loan is a job of one cluster, its home, that runs in another one. Package overflow decides
// about loans, from a LoanView; a LoanCommand makes one of its decisions durable.

// LoanCommandKind is the transaction that a LoanCommand asks for.
type LoanCommandKind int

// The kinds of loan commands. The first four concern a job of this cluster and need the leader,
// the others a job of a peer's and need the shard leader of the team that borrowed jobs run in.
const (
	// LoanLend: the peer has the job.
	LoanLend LoanCommandKind = iota
	// LoanTakeBack: the job runs here again.
	LoanTakeBack
	// LoanSettle: the peer has done the job.
	LoanSettle
	// LoanEndCancelled: the job has ended as its user wanted.
	LoanEndCancelled
	// LoanAccept: the peer's job is accepted.
	LoanAccept
	// LoanGiveUp: the peer's job is stopped, for Cause.
	LoanGiveUp
	// LoanDrop: the loan is over on both sides, and its records are removed.
	LoanDrop
)

// LoanCommand asks for a transaction about a loan, whose end a LoanReply reports.
type LoanCommand struct {
	Reply uint64
	Kind  LoanCommandKind
	// Job is the own job, or the name that a borrowed one has in this cluster.
	Job string
	// Loan names the loan of a borrowed job.
	Loan string
	// LendCount tells the loans of an own job apart.
	LendCount uint64
	// Peer and StopBound belong to LoanLend. StopBound is within how long the peer stops the
	// job's tasks when the loan ends.
	Peer      string
	StopBound time.Duration
	// Spec and Age, the time since the submission, belong to LoanAccept.
	Spec model.JobSpec
	Age  time.Duration
	// Cause belongs to LoanGiveUp.
	Cause string
}

// LoanStatus is how a LoanCommand, or a DrainCommand, ended.
type LoanStatus int

// The outcomes of loan commands.
const (
	// LoanDurable: the transaction was applied.
	LoanDurable LoanStatus = iota
	// LoanNotApplied: the transaction's compares do not hold, or this controller may not make
	// it. It never will be applied.
	LoanNotApplied
	// LoanUncertain: the transaction may have been applied, or may still be.
	LoanUncertain
)

// LoanReply answers a LoanCommand or a DrainCommand.
type LoanReply struct {
	Reply  uint64
	Status LoanStatus
}

// QueryLoans asks for a LoanView.
type QueryLoans struct {
	Reply uint64
	// StartableUntil is until when tasks of a borrowed job may be started, by the job's name
	// in this cluster. Those of a job that it lacks may not.
	StartableUntil map[string]time.Time
	// Progress is what peers report of own jobs, for users to see.
	Progress []Progress
	// WithSimulation asks for what a simulation of the queue shows, which takes time: all of
	// LoanView from Waiting on.
	WithSimulation bool
	// GuestTeam is the team that borrowed jobs run in.
	GuestTeam string
}

// LoanView answers a QueryLoans, as of a moment after the query.
type LoanView struct {
	Reply uint64
	// OK is false while nothing can be read; the rest is then empty.
	OK bool
	// IsLeader says that this controller leads, and so answers peers. Leader is the host
	// that does.
	IsLeader bool
	Leader   string
	// Epoch is the leadership's.
	Epoch uint64
	// LeaseValidUntil is when this controller's membership lease ends.
	LeaseValidUntil time.Time
	// RunsGuestTeam says that this controller leads the shard with the guest team, and so
	// speaks for the cluster as a borrower.
	RunsGuestTeam bool
	// GuestTeamEpoch is the mod revision since which the shard has had the guest team;
	// GuestTeamTerm changes whenever this controller takes the team up anew.
	GuestTeamEpoch uint64
	GuestTeamTerm  int
	// Draining says that the cluster is being emptied of borrowed jobs, and DrainDeadline by
	// when.
	Draining      bool
	DrainDeadline time.Time
	Lent          []LentJob
	Borrowed      []BorrowedJob
	// RenewedAt is, by home, when the newest heartbeat known to have been answered was sent, in
	// wall-clock time.
	RenewedAt map[string]time.Time

	// Waiting are the own jobs that could be lent.
	Waiting []WaitingJob
	// FreeCapacity is what could be offered to peers, and CachedImages which images its
	// machines have.
	FreeCapacity []FreeCapacity
	CachedImages []string
	// OwnWorkLate says that own jobs will miss their objectives, and LateUrgency the highest
	// urgency among them.
	OwnWorkLate bool
	LateUrgency model.Urgency
	// CheapestCPUHour is the least that a CPU costs here per hour.
	CheapestCPUHour float64
}

// LentJob is an own job that a peer runs.
type LentJob struct {
	Spec        model.JobSpec
	SubmittedAt time.Time
	Peer        string
	// LendCount tells the job's loans apart.
	LendCount uint64
	// StopBound is within how long the peer stops the job's tasks when the loan ends.
	StopBound time.Duration
	// CancelRequested says that the job's user wants it cancelled.
	CancelRequested bool
}

// BorrowedJob is a peer's job that runs here.
type BorrowedJob struct {
	Loan string
	// Job is the job's name in this cluster.
	Job  string
	Spec model.JobSpec
	// Status is queued, done or cancelled. StatusKnown is false while it has to be read.
	Status      model.JobStatus
	StatusKnown bool
	// Ending says that the job is cancelled here, but not known to have stopped.
	Ending bool
	// Cause is why the loan was given up, "" while it stands.
	Cause string
	// Started says that a task was started, or may have been.
	Started      bool
	DoneTasks    int
	RunningTasks int
}

// WaitingJob is an own job of which nothing was ever started.
type WaitingJob struct {
	Spec model.JobSpec
	// SLODue is in how long the job has to be done for its objective, and HomeFinish in how
	// long it would be here.
	SLODue     time.Duration
	HomeFinish time.Duration
	// RunTime is how long a task is expected to run.
	RunTime   time.Duration
	LendCount uint64
}

// FreeCapacity are machines alike that own work will not need for a while.
type FreeCapacity struct {
	MachineType string
	Zone        string
	Spot        bool
	PerMachine  model.Resources
	Machines    int
	// AvailableIn is in how long there are such machines, for those that have to be rented
	// first; 0 for those that are there.
	AvailableIn time.Duration
	// CostPerCPUHour is what a CPU costs per hour.
	CostPerCPUHour float64
	// FetchRate is how fast a machine fetches images, in GB per second.
	FetchRate float64
}

// DrainCommand begins or ends the draining of borrowed jobs from the cluster. A LoanReply
// answers it.
type DrainCommand struct {
	Reply   uint64
	Enabled bool
	// Deadline is when all borrowed jobs are to be gone.
	Deadline time.Time
}

// RenewCommand stores, by home, when the newest answered heartbeat was sent, for a successor.
// A time that is too early is safe, and so is the loss of the command: a loan then ends
// sooner.
type RenewCommand struct{ RenewedAt map[string]time.Time }

func (LoanCommand) command() {}

func (QueryLoans) command() {}

func (DrainCommand) command() {}

func (RenewCommand) command() {}

func (LoanReply) effect() {}

func (LoanView) effect() {}
