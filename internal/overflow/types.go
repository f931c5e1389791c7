// Package overflow decides how clusters lend each other spare room: which jobs
// go to which peer, when a peer's work is taken in, and who may run a job's
// tasks at any moment, whatever is lost, late or restarted.
//
// It is pure: every function takes the time and what is durable, and says what
// is to be done. What must survive is kept by the caller in the state service;
// what is kept here may be lost at any moment and costs no more than time.
//
// A guest is to its home what a worker is to its owner: it reports, the home
// answers with orders, and a lease runs from the sending of the last answered
// report. docs/overflow.md has the argument.
package overflow

import (
	"fmt"
	"strings"
	"time"

	"github.com/micahill/micahill/internal/model"
)

// Loan names one hand-over of a job: the cluster that accepted the job, the job,
// and how many times it has been lent before. A loan is never used again.
type Loan struct {
	Home      string
	Job       string
	LendCount uint64
}

// String is the loan as operators see it and as keys hold it.
func (l Loan) String() string { return fmt.Sprintf("%s/%s/%d", l.Home, l.Job, l.LendCount) }

// OffloadedJobID is the job's name in the guest's own books. It differs for every loan
// of a job: what one loan left behind can't be taken for the next one's.
func (l Loan) OffloadedJobID() string {
	return fmt.Sprintf("job-lent-%s-%d-%s", l.Home, l.LendCount, strings.TrimPrefix(l.Job, "job-"))
}

// LoanState is what a guest says of a loan.
type LoanState int

// The states. Held: taken, being taken, or being stopped; its tasks may run.
// Finished: all tasks are done. Gone: nothing of it runs or ever will. The last
// two never change again.
const (
	Held LoanState = iota
	Finished
	Gone
)

func (s LoanState) String() string { return [...]string{"held", "finished", "gone"}[s] }

// Cause is why a loan is gone.
type Cause string

// The causes, as metrics and logs name them.
const (
	Refused      Cause = "refused"
	Draining     Cause = "draining"
	NoRoom       Cause = "no_room"
	GivenBack    Cause = "given_back"
	LeaseExpired Cause = "lease_over"
	Stopped      Cause = "stopped"
)

// LoanReport is a loan in a guest's report.
type LoanReport struct {
	Loan         Loan
	State        LoanState
	Cause        Cause
	DoneTasks    int
	RunningTasks int
}

// Heartbeat is a guest's account of itself to one home. Reports are ordered by
// (Epoch, Tick).
type Heartbeat struct {
	From string
	// Epoch is the stamp of the guest's leader: a later leader's is higher.
	Epoch    uint64
	Sequence uint64
	// HomeEpoch is the highest epoch of the home that the guest has seen. That a
	// loan is not listed proves something only under the home's present epoch: a
	// report may arrive minutes late.
	HomeEpoch uint64
	Draining  bool
	// Lender: it lends work itself, or would like to.
	LendsItself bool
	// StopBound bounds how long tasks may go on after a loan's lease has ended here:
	// until owner and workers, cut off from everything, give up by themselves.
	StopBound    time.Duration
	FreeCapacity []FreeCapacity
	// CachedImages are those that some machine here holds.
	CachedImages []string
	Loans        []LoanReport
}

// CommandKind is what a home tells its guest of a loan.
type CommandKind int

// The verbs. Take: run this job. Keep: it is still yours. Stop: give it up.
// Forget: what you report of it has been taken in.
const (
	Take CommandKind = iota
	Keep
	Stop
	Forget
)

func (v CommandKind) String() string { return [...]string{"take", "keep", "stop", "forget"}[v] }

// Command is one verb for one loan. Spec and Age (since the job's submission) go
// with Take.
type Command struct {
	Kind CommandKind
	Loan Loan
	Spec model.JobSpec
	Age  time.Duration
}

// HeartbeatReply is a home's answer to a report.
type HeartbeatReply struct {
	// Epoch is the stamp of the home's leader.
	Epoch uint64
	// Lease is how long the guest may go on without another answer, counted
	// from when it sent the report.
	Lease    time.Duration
	Commands []Command
}

// LentLoan is a job that the home has lent, as it stands in the state service.
type LentLoan struct {
	Loan        Loan
	Peer        string
	Spec        model.JobSpec
	SubmittedAt time.Time
	// StopBound is the guest's bound, as it was told when the job was lent.
	StopBound time.Duration
	// Cancel: its user wants it cancelled.
	CancelRequested bool
}

// LenderTransition is what the home has to make durable of a loan. Each is a transaction
// that needs the job's record to be as it was when the decision was taken.
type LenderTransition struct {
	Kind LenderTransitionKind
	Loan Loan
	// Peer, Stop and At go with Lend.
	Peer      string
	StopBound time.Duration
	Cause     Cause
}

// LenderTransitionKind is the kind of a LenderTransition.
type LenderTransitionKind int

// Lend: the job is the peer's from now on. TakeBack: on proof that the guest
// does not run it and never will, the job is the home's own again. Settle: the
// guest has done it. EndCancelled: nothing of it runs, and its user wanted that.
const (
	Lend LenderTransitionKind = iota
	TakeBack
	Settle
	EndCancelled
)

func (k LenderTransitionKind) String() string {
	return [...]string{"lend", "take_back", "settle", "end_cancelled"}[k]
}

// BorrowedLoan is a loan that this cluster has taken, as it stands in the state
// service.
type BorrowedLoan struct {
	Loan Loan
	Spec model.JobSpec
	// State and Cause are what can be reported: Gone only when no task is left.
	State LoanState
	Cause Cause
	// Ending: it has been given up, and is Held until its tasks are gone.
	Ending       bool
	DoneTasks    int
	RunningTasks int
	// Began: some task was ever started.
	Started bool
}

// BorrowerTransition is what the guest has to make durable of a loan.
type BorrowerTransition struct {
	Kind  BorrowerTransitionKind
	Loan  Loan
	Spec  model.JobSpec
	Age   time.Duration
	Cause Cause
}

// BorrowerTransitionKind is the kind of a BorrowerTransition.
type BorrowerTransitionKind int

// Accept: the job is taken into the books, and not begun yet. GiveUp: its tasks
// are stopped for good. Drop: the books forget it.
const (
	Accept BorrowerTransitionKind = iota
	GiveUp
	Drop
)

func (k BorrowerTransitionKind) String() string { return [...]string{"accept", "give_up", "drop"}[k] }
