package core

import (
	"time"

	"github.com/micahill/micahill/internal/division"
	"github.com/micahill/micahill/internal/ownership"
)

// Command is an input to the core. Effect is an output.
type (
	Command interface{ command() }
	Effect  interface{ effect() }
)

// Submit, Query and Abort come from users; Reply names the waiting request.
type Submit struct {
	Reply uint64
	Spec  Spec
	// Bad is the reason for a 400, when the body was malformed but its id
	// could be read.
	Bad string
}

// Query asks for the state of a job.
type Query struct {
	Reply uint64
	ID    string
}

// Abort cancels a job.
type Abort struct {
	Reply uint64
	ID    string
}

// WorkerReport is a report that waits for its answer.
type WorkerReport struct {
	Reply  uint64
	Report Report
}

// StateDone, CloudDone and WorkerDone answer effects by their ID.
type StateDone struct {
	ID        uint64
	Status    StateStatus
	Sent      time.Time
	Items     []Item
	Truncated bool
	Rev       uint64
	Failed    []string
	Grant     uint64
}

// CloudDone answers a CloudOp.
type CloudDone struct {
	ID        uint64
	Status    CloudStatus
	Flavours  []Flavour
	Machines  []Listed
	Rented    []string
	Truncated bool
}

// WorkerDone answers a WorkerOp. Report is nil when no answer came. NotSent: it
// surely did not leave, for want of connections.
type WorkerDone struct {
	ID      uint64
	OK      bool
	NotSent bool
	Report  *Report
}

// PeerNews is what controllers tell each other. All of it may be lost or late.
type PeerNews struct {
	From string
	// Life is that of the sender when it said so.
	Life     string
	Progress []Progress
	Loads    []Load
	// Hosts are the owner's machines, for a successor.
	Hosts []HostNews
	// Asks: an owner asks the leader for machines it wants, and to return
	// those that are idle; Seq is the newest news it has of the leader. Teams are
	// what its teams keep busy, Offers which machines it would give along with a
	// team that is to move, and ToSpare those that it has no use for now.
	Asks    bool
	ToSpare []string
	Seq     uint64
	Wants   []Want
	Idle    []string
	Teams   []TeamLoad
	Offers  []division.Offer
	// Tells: the leader tells an owner of its machines: of some of them, and of all
	// that the owner does not know of by Seq; and which team is to move.
	// Spare counts what others have to spare.
	Tells   bool
	Spare   []Want
	Rentals []RentalNews
	Blocked []Want
	Release []division.Ask
	// Wards are attempts of the sender's jobs on the receiver's machines, and Told
	// what the sender knows of those of the receiver's jobs on its own.
	Wards []ownership.Ask
	Told  []ownership.Tell
	// Rates is what the sender asks of the state service.
	Rates *Rates
	// StateAway: the state service does not answer here.
	StateAway bool
	// Needs are hosts that the sender needs whole, and Costs what emptying one would
	// cost it; Lacks are what the leader says that others need, and Empty what it wants
	// the receiver to empty. See emptying.go.
	Needs, Lacks, Empty []HostNeed
	Costs               []HostCost
	// Quotes are what dates for the sender's teams rest on.
	Quotes []TeamQuotes
	// Came are reports of the receiver's machines that came to the sender.
	Came []Came
	// Cancelled are jobs that the sender, or another before it, has told their users are
	// cancelled, and CancelsHeard those of which it has heard from the receiver.
	Cancelled    []CancelNews
	CancelsHeard []string
}

// Came is a report that came to a controller which does not own its machine.
type Came struct {
	ID                  string
	Epoch, Tenure, Tick uint64
}

// TeamLoad is the CPUs that a team's tasks take and wait for.
type TeamLoad struct {
	Team string
	CPU  float64
}

// RentalNews is a machine as the leader knows it.
type RentalNews struct {
	ID      string
	Addr    string
	Flavour string
	Zone    string
	Spot    bool
	Status  string
	Age     time.Duration
}

// HostNews is a machine as its owner knows it: where it is, and its images.
type HostNews struct {
	ID      string
	Addr    string
	Flavour string
	Zone    string
	Spot    bool
	Images  map[string]float64
	heard   time.Time
}

// Load is what an owner has seen of a team's jobs of a workload: tasks a second, and
// how their run times compare with their estimates, over so many samples. A successor
// goes on with it.
type Load struct {
	Team     string
	Workload string
	Rate     float64
	Ratio    float64
	Dev      float64
	Samples  int
}

// Progress is a job's count of tasks, for display.
type Progress struct {
	ID      string
	Done    int
	Running int
}

func (Submit) command()       {}
func (Query) command()        {}
func (Abort) command()        {}
func (WorkerReport) command() {}
func (StateDone) command()    {}
func (CloudDone) command()    {}
func (WorkerDone) command()   {}
func (PeerNews) command()     {}

// StateStatus is the outcome of a request to the state service.
type StateStatus int

// Outcomes. Refused: surely not executed. Unknown: perhaps executed, perhaps
// still to be executed later.
const (
	StateOK StateStatus = iota
	StateNotFound
	StateConflict
	StateGone
	StateNoGrant
	StateRefused
	StateBad
	StateUnknown
)

// CloudStatus is the outcome of a request to the cloud.
type CloudStatus int

// Outcomes of cloud requests.
const (
	CloudOK CloudStatus = iota
	CloudNoCapacity
	CloudRefused
	CloudBad
	CloudUnknown
)

// StateKind is the kind of a request to the state service.
type StateKind int

// The requests.
const (
	OpGet StateKind = iota
	OpList
	OpTxn
	OpFollow
	OpGrantNew
	OpGrantRenew
	OpGrantDrop
)

// Item is a key with its value; Removed marks a deletion in a watch.
type Item struct {
	Key     string
	Value   []byte
	Stamp   uint64
	Removed bool
}

// Cond is a condition of a transaction: the key has this stamp, 0 for absent.
type Cond struct {
	Key   string
	Stamp uint64
}

// Change is a put, or a removal when Value is nil.
type Change struct {
	Key   string
	Value []byte
	Grant uint64
}

// Priority orders requests to the state service when the rate is short.
type Priority int

// Priorities, most important first.
const (
	PrioSession Priority = iota
	PrioUser
	PrioStart
	PrioLazy
)

// StateOp asks the state service.
type StateOp struct {
	ID    uint64
	Kind  StateKind
	Prio  Priority
	Key   string
	From  string
	Rev   uint64
	Hold  time.Duration
	When  []Cond
	Apply []Change
	Grant uint64
	TTL   time.Duration
}

// CloudKind is the kind of a request to the cloud.
type CloudKind int

// The requests.
const (
	CloudTypes CloudKind = iota
	CloudList
	CloudRent
	CloudReturn
)

// CloudOp asks the cloud. After Until it must not leave any more: a controller may
// have stood still since it was decided, and others lead by now.
type CloudOp struct {
	ID       uint64
	Until    time.Time
	Kind     CloudKind
	Booking  string
	Flavour  string
	Zone     string
	Spot     bool
	Count    int
	Machines []string
	From     string
}

// WorkerOp sends orders to a worker, or asks for its status when Ask is set.
type WorkerOp struct {
	ID uint64
	// Until: as in CloudOp.
	Until   time.Time
	Machine string
	Addr    string
	Ask     bool
	Epoch   uint64
	Tenure  uint64
	Orders  []Order
}

// UserReply answers a user.
type UserReply struct {
	Reply uint64
	// Until: as in CloudOp, for what rests on a read; zero for what is so for good.
	Until time.Time
	// Status is the HTTP status.
	Status  int
	ID      string
	State   string
	Done    int
	Running int
	Message string
	// Promised is the newest committed date, after the submission, and PromiseRev its
	// revision, 0 for none.
	Promised   time.Duration
	PromiseRev int
	// RetryAfter goes with a refusal.
	RetryAfter time.Duration
}

// ReportReply answers a worker's report.
type ReportReply struct {
	Reply uint64
	// Until: as in CloudOp. After StartsUntil the answer leaves without its starts.
	Until       time.Time
	StartsUntil time.Time
	Status      int
	Steward     string
	Epoch       uint64
	Orders      []Order
}

// PeerSend tells another controller.
type PeerSend struct {
	To   string
	News PeerNews
}

// Role tells the shell what this node is, for rates and metrics.
type Role struct {
	Leader bool
	Owner  bool
}

// GPURooms tells the metrics how the room on machines with GPUs lies, and of replicas on
// the move, while models are on.
type GPURooms struct {
	Rooms []GPURoom
	Moves *MovesStatus
}

// Log is a line for the operator.
type Log struct {
	Debug bool
	Error bool
	Text  string
	Args  []any
}

func (StateOp) effect()     {}
func (CloudOp) effect()     {}
func (WorkerOp) effect()    {}
func (UserReply) effect()   {}
func (ReportReply) effect() {}
func (PeerSend) effect()    {}
func (Role) effect()        {}
func (GPURooms) effect()    {}
func (Log) effect()         {}
