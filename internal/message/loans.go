package message

import (
	"time"

	"github.com/micahill/micahill/internal/model"
)

// LoanCommandKind is what is to be made durable.
type LoanCommandKind int

// The kinds: of our own jobs, that a peer has one, that it is ours again, that
// the peer has done it, and that it ended as its user wanted; of a peer's, that it
// is taken in, given up, and forgotten.
const (
	LoanLend LoanCommandKind = iota
	LoanTakeBack
	LoanSettle
	LoanEndCancelled
	LoanAccept
	LoanGiveUp
	LoanDrop
)

// LoanCommand asks for one transaction. Job is our own job, or the guest id of a
// borrowed one, and Loan the loan's name.
type LoanCommand struct {
	Reply     uint64
	Kind      LoanCommandKind
	Job       string
	Loan      string
	LendCount uint64
	// Peer and Stop go with LoanLend; Spec, Age and Team with LoanAccept.
	Peer      string
	StopBound time.Duration
	Spec      model.JobSpec
	Age       time.Duration
	Cause     string
}

// LoanStatus is how a LoanCommand ended.
type LoanStatus int

// Done: durable. Not: its conditions do not hold, and it never will be applied.
// Unsure: perhaps applied, perhaps later; ask again.
const (
	LoanDurable LoanStatus = iota
	LoanNotApplied
	LoanUncertain
)

// LoanReply answers a LoanCommand.
type LoanReply struct {
	Reply  uint64
	Status LoanStatus
}

// QueryLoans asks for what lending needs to know. Startable says, for borrowed jobs
// by guest id, until when they may be started; what it does not name may not.
type QueryLoans struct {
	Reply          uint64
	StartableUntil map[string]time.Time
	// Progress is what peers say of our jobs, for display.
	Progress []Progress
	// WithSimulation asks for Waiting and Room as well, which cost a look ahead.
	WithSimulation bool
	// GuestTeam is the guests' team.
	GuestTeam string
}

// LoanView answers a QueryLoans, as of a moment after it was asked. OK is false while
// nothing can be read. Leads: this controller leads, and answers peers; Leader says
// which one does. Guests: it runs the guests' team, and speaks for the cluster as a
// borrower.
type LoanView struct {
	Reply           uint64
	OK              bool
	IsLeader        bool
	Leader          string
	Epoch           uint64
	LeaseValidUntil time.Time
	RunsGuestTeam   bool
	// GuestTeamEpoch is the stamp of the share with the guests' team, and GuestTeamTerm
	// changes whenever the team is taken up anew.
	GuestTeamEpoch uint64
	GuestTeamTerm  int
	Draining       bool
	DrainDeadline  time.Time
	Lent           []LentJob
	Borrowed       []BorrowedJob
	// RenewedAt is, for each home, when a report was sent that is known to have been
	// answered, in the time of day.
	RenewedAt       map[string]time.Time
	Waiting         []WaitingJob
	FreeCapacity    []FreeCapacity
	CachedImages    []string
	OwnWorkLate     bool
	LateUrgency     model.Urgency
	CheapestCPUHour float64
}

// LentJob is a job of ours that a peer has.
type LentJob struct {
	Spec            model.JobSpec
	SubmittedAt     time.Time
	Peer            string
	LendCount       uint64
	StopBound       time.Duration
	CancelRequested bool
}

// BorrowedJob is a job of a peer's. Status is queued, done or cancelled; Known is
// false while that has to be read first.
type BorrowedJob struct {
	Loan         string
	Job          string
	Spec         model.JobSpec
	Status       model.JobStatus
	StatusKnown  bool
	Ending       bool
	Cause        string
	Started      bool
	DoneTasks    int
	RunningTasks int
}

// WaitingJob is a job of ours of which nothing was ever started.
type WaitingJob struct {
	Spec       model.JobSpec
	SLODue     time.Duration
	HomeFinish time.Duration
	RunTime    time.Duration
	LendCount  uint64
}

// FreeCapacity is room that own work will not want for a while.
type FreeCapacity struct {
	MachineType string
	Zone        string
	Spot        bool
	PerMachine  model.Resources
	Machines    int
	// AvailableIn is how long until it is there: of machines that are to be rented first.
	AvailableIn time.Duration
	// CostPerCPUHour is for one CPU, an hour.
	CostPerCPUHour float64
	FetchRate      float64
}

// DrainCommand begins or ends the emptying of the cluster of borrowed work.
type DrainCommand struct {
	Reply   uint64
	Enabled bool
	// Deadline is when all borrowed work is to be gone.
	Deadline time.Time
}

func (LoanCommand) command() {}

func (QueryLoans) command() {}

func (DrainCommand) command() {}

func (LoanReply) effect() {}

func (LoanView) effect() {}

// RenewCommand writes down when the homes' answered reports were sent, for a successor:
// earlier than true is safe, and so is a loss.
type RenewCommand struct{ RenewedAt map[string]time.Time }

func (RenewCommand) command() {}
