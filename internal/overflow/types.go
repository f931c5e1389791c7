// Package overflow decides how clusters lend each other free capacity: which jobs
// are offloaded to which peer, when a peer's job is accepted, and which cluster may
// run a job's tasks at any moment. The decisions stay safe when messages are lost or
// delayed and when processes restart.
//
// The package does no I/O and reads no clock: every function takes the time and the
// durable state, and returns the changes to make. The caller keeps in the state
// service whatever must survive a restart. The package's own state may be lost at any
// moment; the loss only delays decisions.
//
// The lender is the job's home cluster; the borrower runs the job on its own
// capacity. They use the protocol between a machine's owner and a worker: the
// borrower sends heartbeats, the lender replies with commands, and a lease runs from
// the sending time of the last heartbeat that was answered. docs/overflow.md explains
// why this is safe.
package overflow

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/micahill/micahill/internal/model"
)

// Loan identifies one hand-over of a job to a borrower. Home is the cluster that
// accepted the job from a user, Job is the job's ID there, and LendCount is how many
// times the job has been lent, this loan included. No Loan value is used twice.
type Loan struct {
	Home      string
	Job       string
	LendCount uint64
}

// String returns the loan's name, HOME/JOB/COUNT, for operators and for stored keys.
func (loan Loan) String() string { return fmt.Sprintf("%s/%s/%d", loan.Home, loan.Job, loan.LendCount) }

// errInvalidLoanName means that a string is not the name of a loan.
var errInvalidLoanName = errors.New("overflow: invalid loan name")

// ParseLoan parses a loan's name as String writes it. Its errors wrap errInvalidLoanName.
func ParseLoan(name string) (Loan, error) {
	parts := strings.Split(name, "/")
	if len(parts) != 3 {
		return Loan{}, fmt.Errorf("%w: %q: got %d parts, want 3", errInvalidLoanName, name, len(parts))
	}
	lendCount, err := strconv.ParseUint(parts[2], 10, 64)
	if err != nil {
		return Loan{}, fmt.Errorf("%w: %q: %w", errInvalidLoanName, name, err)
	}
	return Loan{Home: parts[0], Job: parts[1], LendCount: lendCount}, nil
}

// OffloadedJobID returns the job's ID at the borrower. The ID differs for every loan
// of a job, so that records and tasks left over from one loan are never mistaken for
// those of the next loan.
func (loan Loan) OffloadedJobID() string {
	return fmt.Sprintf("job-lent-%s-%d-%s", loan.Home, loan.LendCount, strings.TrimPrefix(loan.Job, "job-"))
}

// LoanState is the state of a loan as its borrower reports it.
type LoanState int

const (
	// Held loans are accepted, being accepted or being stopped. Their tasks may run.
	Held LoanState = iota
	// Finished loans have completed all tasks. This state is final.
	Finished
	// Gone loans run no task and never will. This state is final.
	Gone
)

// String returns the state's name for operators.
func (state LoanState) String() string { return [...]string{"held", "finished", "gone"}[state] }

// Cause is the reason why a loan was refused or ended, as metrics, logs and messages
// to the peer name it. The empty cause means that there is no reason.
type Cause string

const (
	// Refused loans were not accepted by the borrower, for a reason not listed below.
	Refused Cause = "refused"
	// Draining means that the borrower is being drained: it accepts no loans and
	// gives up the loans that it holds.
	Draining Cause = "draining"
	// NoCapacity means that the borrower had no free capacity for the job.
	NoCapacity Cause = "no_room"
	// GivenBack loans were returned because the borrower's own jobs needed the
	// capacity.
	GivenBack Cause = "given_back"
	// LeaseExpired loans were not renewed in time.
	LeaseExpired Cause = "lease_over"
	// Stopped loans were ended on the lender's command.
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
	// From is the borrower's cluster name.
	From string
	// Epoch is the epoch of the shard leader of the borrower's team of offloaded jobs,
	// which sends the heartbeat. Each new shard leader of the team has a higher epoch.
	Epoch    uint64
	Sequence uint64
	// HomeEpoch is the lender's highest epoch that the borrower has seen. The absence
	// of a loan from Loans proves that the borrower doesn't hold the loan only if
	// HomeEpoch is the lender's current epoch, since a heartbeat may arrive minutes
	// late.
	HomeEpoch uint64
	Draining  bool
	// LendsItself means that the borrower has lent jobs of its own, or has late jobs
	// that it would lend.
	LendsItself bool
	// StopBound is the longest time for which tasks may go on running after a loan's
	// lease has ended. By then the shard leader and the workers stop the tasks
	// without any communication.
	StopBound    time.Duration
	FreeCapacity []FreeCapacity
	// CachedImages are the images that at least one machine of the borrower holds.
	CachedImages []string
	Loans        []LoanReport
}

// CommandKind is the kind of a Command.
type CommandKind int

const (
	// Take offers the job to the borrower.
	Take CommandKind = iota
	// Keep confirms that the lender still counts the loan as the borrower's. The
	// borrower may start tasks of confirmed loans only.
	Keep
	// Stop tells the borrower to give the loan up.
	Stop
	// Forget acknowledges a final state: the borrower may delete its record of the
	// loan.
	Forget
)

// String returns the kind's name for operators.
func (kind CommandKind) String() string { return [...]string{"take", "keep", "stop", "forget"}[kind] }

// Command is the lender's command about one loan. Spec and Age are set for Take only;
// Age is the time since the job's submission.
type Command struct {
	Kind CommandKind
	Loan Loan
	Spec model.JobSpec
	Age  time.Duration
}

// HeartbeatReply is a lender's reply to a heartbeat.
type HeartbeatReply struct {
	// Epoch is the epoch of the lender's leader.
	Epoch uint64
	// Lease is how long the borrower may go on running loans without another reply,
	// counted from when it sent the heartbeat.
	Lease    time.Duration
	Commands []Command
}

// LentLoan is a job that this cluster has lent, as stored in the state service.
type LentLoan struct {
	Loan Loan
	// Peer is the borrower's cluster name.
	Peer        string
	Spec        model.JobSpec
	SubmittedAt time.Time
	// StopBound is the borrower's stop bound, as reported when the job was lent.
	StopBound time.Duration
	// CancelRequested says that the user has asked to cancel the job.
	CancelRequested bool
}

// LenderTransition is a change of a loan that the lender has to make durable. The
// caller writes each transition in a transaction that requires the job's record to be
// unchanged since the decision.
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
	// Settle marks a job as done that the borrower has finished.
	Settle
	// EndCancelled ends a job that its user cancelled and that runs no task.
	EndCancelled
)

// String returns the kind's name for logs and metrics.
func (kind LenderTransitionKind) String() string {
	return [...]string{"lend", "take_back", "settle", "end_cancelled"}[kind]
}

// BorrowedLoan is a loan that this cluster has accepted, as stored in the state
// service.
type BorrowedLoan struct {
	Loan Loan
	Spec model.JobSpec
	// State and Cause are reported to the lender. State becomes Gone only when no
	// task of the loan runs.
	State LoanState
	Cause Cause
	// Ending means that the loan has been given up. It stays Held until all its tasks
	// have stopped.
	Ending       bool
	DoneTasks    int
	RunningTasks int
	// Started means that at least one task of the loan has ever been started.
	Started bool
}

// isActive reports whether the loan is held and not being given up.
func (borrowed BorrowedLoan) isActive() bool { return borrowed.State == Held && !borrowed.Ending }

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
	// Accept creates the job's record. No task is started yet.
	Accept BorrowerTransitionKind = iota
	// GiveUp stops the job's tasks permanently.
	GiveUp
	// Drop deletes the job's record.
	Drop
)

// String returns the kind's name for logs.
func (kind BorrowerTransitionKind) String() string {
	return [...]string{"accept", "give_up", "drop"}[kind]
}
