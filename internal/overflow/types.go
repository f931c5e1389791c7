// Package overflow decides how clusters lend each other free capacity: which jobs
// are offloaded to which peer, when a peer's job is accepted, and who may run a
// job's tasks at any moment, whatever is lost, delayed or restarted.
//
// It is pure: every function takes the time and the durable state, and returns what
// is to be done. The caller keeps what must survive in the state service; what is
// kept here may be lost at any moment, which costs no more than time.
//
// A borrower is to the lender, the job's home cluster, what a worker is to its
// machine's owner: it sends heartbeats, the lender replies with commands, and a
// lease runs from the sending of the last heartbeat that was answered.
// docs/overflow.md has the argument.
package overflow

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/micahill/micahill/internal/model"
)

// Loan identifies one hand-over of a job: its home cluster, which accepted the job
// from a user, the job, and how many times the job has been lent. No loan is ever
// used twice.
type Loan struct {
	Home      string
	Job       string
	LendCount uint64
}

// String is the loan as operators see it and as keys hold it.
func (l Loan) String() string { return fmt.Sprintf("%s/%s/%d", l.Home, l.Job, l.LendCount) }

// errLoanName says that a text isn't the name of a loan.
var errLoanName = errors.New("overflow: invalid loan name")

// ParseLoan reads a loan as String writes it.
func ParseLoan(name string) (Loan, error) {
	parts := strings.Split(name, "/")
	if len(parts) != 3 {
		return Loan{}, fmt.Errorf("%w: %q: got %d parts, want 3", errLoanName, name, len(parts))
	}
	lendCount, err := strconv.ParseUint(parts[2], 10, 64)
	if err != nil {
		return Loan{}, fmt.Errorf("%w: %q: %w", errLoanName, name, err)
	}
	return Loan{Home: parts[0], Job: parts[1], LendCount: lendCount}, nil
}

// OffloadedJobID is the job's ID at the borrower. It differs for every loan of a
// job, so that what one loan left behind can't be taken for the next one's.
func (l Loan) OffloadedJobID() string {
	return fmt.Sprintf("job-lent-%s-%d-%s", l.Home, l.LendCount, strings.TrimPrefix(l.Job, "job-"))
}

// LoanState is the state of a loan as its borrower reports it.
type LoanState int

const (
	// Held loans are taken, being taken or being stopped: their tasks may run.
	Held LoanState = iota
	// Finished loans have all tasks done. This state is final.
	Finished
	// Gone loans run nothing and never will. This state is final.
	Gone
)

func (s LoanState) String() string { return [...]string{"held", "finished", "gone"}[s] }

// Cause is why a loan is gone, as metrics and logs name it. The empty cause means
// that there is none.
type Cause string

const (
	// Refused loans were not taken by the borrower, for no cause named below.
	Refused Cause = "refused"
	// Draining borrowers take no loans and give up those they hold.
	Draining Cause = "draining"
	// NoRoom means that the borrower had no free capacity for the job.
	NoRoom Cause = "no_room"
	// GivenBack loans made way for the borrower's own jobs.
	GivenBack Cause = "given_back"
	// LeaseExpired loans were not renewed in time.
	LeaseExpired Cause = "lease_over"
	// Stopped loans were ended by the lender.
	Stopped Cause = "stopped"
)

// LoanReport is the state of one loan in a borrower's heartbeat.
type LoanReport struct {
	Loan         Loan
	State        LoanState
	Cause        Cause
	DoneTasks    int
	RunningTasks int
}

// Heartbeat is a borrower's state as sent to one lender. Heartbeats are ordered by
// Epoch, then Sequence.
type Heartbeat struct {
	From string
	// Epoch is that of the borrower's leader; a later leader's is higher.
	Epoch    uint64
	Sequence uint64
	// HomeEpoch is the lender's highest epoch that the borrower has seen. A loan's
	// absence proves something only under the lender's present epoch, since a
	// heartbeat may arrive minutes late.
	HomeEpoch uint64
	Draining  bool
	// LendsItself is set by a cluster that lends jobs itself, or would like to.
	LendsItself bool
	// StopBound is how long tasks may go on after a loan's lease has ended, until
	// shard leader and workers, cut off from everything, stop them by themselves.
	StopBound    time.Duration
	FreeCapacity []FreeCapacity
	// CachedImages are the images that some machine of the borrower holds.
	CachedImages []string
	Loans        []LoanReport
}

// CommandKind is the kind of a Command.
type CommandKind int

const (
	// Take offers the job to the borrower.
	Take CommandKind = iota
	// Keep confirms that the borrower still holds the loan.
	Keep
	// Stop makes the borrower give the loan up.
	Stop
	// Forget acknowledges a final state: the borrower may drop its record.
	Forget
)

func (k CommandKind) String() string { return [...]string{"take", "keep", "stop", "forget"}[k] }

// Command is the lender's command about one loan. Spec and Age, the time since the
// job's submission, are set for Take only.
type Command struct {
	Kind CommandKind
	Loan Loan
	Spec model.JobSpec
	Age  time.Duration
}

// HeartbeatReply is a lender's reply to a heartbeat.
type HeartbeatReply struct {
	// Epoch is that of the lender's leader.
	Epoch uint64
	// Lease is how long the borrower may go on without another reply, counted
	// from when it sent the heartbeat.
	Lease    time.Duration
	Commands []Command
}

// LentLoan is a job that this cluster has lent, as stored in the state service.
type LentLoan struct {
	Loan        Loan
	Peer        string
	Spec        model.JobSpec
	SubmittedAt time.Time
	// StopBound is the borrower's, as reported when the job was lent.
	StopBound time.Duration
	// CancelRequested says that the user has asked to cancel the job.
	CancelRequested bool
}

// LenderTransition is a change of a loan that the lender has to make durable. Each
// is a transaction that requires the job's record to be as it was when the decision
// was taken.
type LenderTransition struct {
	Kind LenderTransitionKind
	Loan Loan
	// Peer and StopBound are set for Lend only.
	Peer      string
	StopBound time.Duration
	Cause     Cause
}

// LenderTransitionKind is the kind of a LenderTransition.
type LenderTransitionKind int

const (
	// Lend hands the job over to the peer.
	Lend LenderTransitionKind = iota
	// TakeBack returns the job to its home cluster, on proof that the borrower
	// doesn't run it and never will.
	TakeBack
	// Settle ends a job that the borrower has finished.
	Settle
	// EndCancelled ends a job of which nothing runs and that its user cancelled.
	EndCancelled
)

func (k LenderTransitionKind) String() string {
	return [...]string{"lend", "take_back", "settle", "end_cancelled"}[k]
}

// BorrowedLoan is a loan that this cluster has taken, as stored in the state
// service.
type BorrowedLoan struct {
	Loan Loan
	Spec model.JobSpec
	// State and Cause are what may be reported: Gone only when no task is left.
	State LoanState
	Cause Cause
	// Ending loans have been given up, and are Held until their tasks have stopped.
	Ending       bool
	DoneTasks    int
	RunningTasks int
	// Started says that some task was started at some time.
	Started bool
}

// isActive says whether the loan is held and not being given up.
func (b BorrowedLoan) isActive() bool { return b.State == Held && !b.Ending }

// BorrowerTransition is a change of a loan that the borrower has to make durable.
type BorrowerTransition struct {
	Kind  BorrowerTransitionKind
	Loan  Loan
	Spec  model.JobSpec
	Age   time.Duration
	Cause Cause
}

// BorrowerTransitionKind is the kind of a BorrowerTransition.
type BorrowerTransitionKind int

const (
	// Accept records the job, of which nothing is started yet.
	Accept BorrowerTransitionKind = iota
	// GiveUp stops the job's tasks for good.
	GiveUp
	// Drop deletes the job's record.
	Drop
)

func (k BorrowerTransitionKind) String() string { return [...]string{"accept", "give_up", "drop"}[k] }
