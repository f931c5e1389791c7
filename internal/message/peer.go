package message

import (
	"time"

	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/remote"
	"github.com/micahill/micahill/internal/sharding"
	"github.com/micahill/micahill/internal/sizelimit"
	"github.com/micahill/micahill/internal/validate"
)

const (
	// maxCancellationsPerUpdate bounds the jobs in a message, of some hundred bytes each, and
	// maxUnackedCancellations those that wait to be heard; what is more is left to the records.
	MaxCancellationsPerUpdate = 200
)

// Cancellation is a job's record in open/ as its cancellation has written it.
type Cancellation struct {
	ID          string
	Record      []byte
	ModRevision uint64
}

// validateCancellations judges what a peer tells of cancellations.
func validateCancellations(check *validate.Check, update *PeerUpdate) {
	check.Count("cancelled", len(update.Cancellations), 0, MaxCancellationsPerUpdate)
	for _, x := range update.Cancellations {
		check.Name("cancelled.id", x.ID, true)
	}
	check.Count("cancels_heard", len(update.CancellationAcks), 0, MaxCancellationsPerUpdate)
	for _, id := range update.CancellationAcks {
		check.Name("cancels_heard.id", id, true)
	}
}

// PeerUpdate is what controllers tell each other. All of it may be lost or late.
type PeerUpdate struct {
	From string
	// Incarnation is that of the sender when it said so.
	Incarnation   string
	Progress      []Progress
	WorkloadLoads []WorkloadLoad
	// MachineUpdates are the owner's machines, for a successor.
	MachineUpdates []MachineUpdate
	// Asks: an owner asks the leader for machines it wants, and to return
	// those that are idle; Seq is the newest news it has of the leader. Teams are
	// what its teams keep busy, Offers which machines it would give along with a
	// team that is to move, and ToSpare those that it has no use for now.
	IsCapacityRequest bool
	Surplus           []string
	Seq               uint64
	CapacityRequests  []CapacityRequest
	ToRelease         []string
	TeamLoads         []TeamLoad
	Offers            []sharding.Offer
	// Tells: the leader tells an owner of its machines: of some of them, and of all
	// that the owner does not know of by Seq; and which team is to move.
	// Spare counts what others have to spare.
	IsLeaderUpdate   bool
	SurplusElsewhere []CapacityRequest
	RentalUpdates    []RentalUpdate
	Blocked          []CapacityRequest
	TeamRelease      []sharding.MoveRequest
	// RemoteAttempts are attempts of the sender's jobs on the receiver's machines, and Told
	// what the sender knows of those of the receiver's jobs on its own.
	RemoteAttempts []remote.Request
	RemoteStatuses []remote.MachineStatus
	// Rates is what the sender asks of the state service.
	Rates *Rates
	// StateAway: the state service does not answer here.
	StoreUnavailable bool
	// HostNeeds are hosts that the sender needs whole, and Costs what emptying one would
	// cost it; Lacks are what the leader says that others need, and Empty what it wants
	// the receiver to empty. See evacuation.go.
	HostNeeds, OthersNeeds, EvacuationRequests []HostNeed
	EvacuationCosts                            []HostCost
	// Quotes are what dates for the sender's teams rest on.
	Quotes []TeamQuotes
	// Rerouted are reports of the receiver's machines that came to the sender.
	Rerouted []ReroutedHeartbeat
	// Cancellations are jobs that the sender, or another before it, has told their users are
	// cancelled, and CancelsHeard those of which it has heard from the receiver.
	Cancellations    []Cancellation
	CancellationAcks []string
}

// ReroutedHeartbeat is a report that came to a controller which does not own its machine.
type ReroutedHeartbeat struct {
	ID                           string
	Epoch, Incarnation, Sequence uint64
}

// TeamLoad is the CPUs that a team's tasks take and wait for.
type TeamLoad struct {
	Team string
	CPU  float64
}

// RentalUpdate is a machine as the leader knows it.
type RentalUpdate struct {
	ID          string
	Addr        string
	MachineType string
	Zone        string
	Spot        bool
	Status      string
	Age         time.Duration
}

// MachineUpdate is a machine as its owner knows it: where it is, and its images.
type MachineUpdate struct {
	ID          string
	Addr        string
	MachineType string
	Zone        string
	Spot        bool
	Images      map[string]float64
}

// WorkloadLoad is what an owner has seen of a team's jobs of a workload: tasks a second, and
// how their run times compare with their estimates, over so many samples. A successor
// goes on with it.
type WorkloadLoad struct {
	Team           string
	Workload       string
	TasksPerSecond float64
	RunTimeRatio   float64
	Deviation      float64
	Samples        int
}

// Progress is a job's count of tasks, for display.
type Progress struct {
	ID      string
	Done    int
	Running int
}

func (PeerUpdate) command() {}

// SendPeerUpdate tells another controller.
type SendPeerUpdate struct {
	To     string
	Update PeerUpdate
}

func (SendPeerUpdate) effect() {}

// HostNeed is a kind of which a whole host is needed, and for what.
type HostNeed struct {
	MachineType string
	Zone        string
	Spot        bool
	Need        model.Resources
	// Workload and Urgency are what the ranking goes by.
	Workload string
	Urgency  model.Urgency
}

// HostCost is how long replicas would be down for a host of a kind to be emptied.
type HostCost struct {
	MachineType string
	Zone        string
	Spot        bool
	Downtime    time.Duration
}

// CapacityRequest is a wish for machines of one kind.
type CapacityRequest struct {
	MachineType string
	Zone        string
	Spot        bool
	Count       int
}

// TeamQuotes is what quotes for a team rest on, as in its record.
type TeamQuotes struct {
	Team  string
	Value []byte
}

const (
	// maxReroutedHeartbeats bounds the reports that one message tells of, and reroutedHeartbeatInterval separates
	// two messages.
	MaxReroutedHeartbeats = 1000
)

// Validate is what is wrong with news, "" for nothing.
func (u *PeerUpdate) Validate() string {
	var check validate.Check
	checkRequests := func(field string, requests []CapacityRequest) {
		for _, w := range requests {
			check.Name(field+".flavour", w.MachineType, false)
			check.Name(field+".zone", w.Zone, false)
			check.Count(field+".count", w.Count, 0, validate.MaxTasks)
		}
	}
	checkRequests("wants", u.CapacityRequests)
	checkRequests("spare", u.SurplusElsewhere)
	checkRequests("blocked", u.Blocked)
	if u.Rates != nil {
		check.Amount("rates.requests", u.Rates.Requests)
		check.Amount("rates.changes", u.Rates.Writes)
	}
	for _, l := range u.WorkloadLoads {
		check.Name("loads.workload", l.Workload, true)
		check.Amount("loads.rate", l.TasksPerSecond)
		check.Amount("loads.ratio", l.RunTimeRatio)
		check.Amount("loads.dev", l.Deviation)
		check.Count("loads.samples", l.Samples, 0, 1<<40)
	}
	for _, q := range u.Quotes {
		check.Name("quotes.team", q.Team, true)
		check.Count("quotes.value", len(q.Value), 1, sizelimit.MaxTxnBytes)
	}
	for _, p := range u.Progress {
		check.Count("progress.done", p.Done, 0, validate.MaxTasks)
		check.Count("progress.running", p.Running, 0, validate.MaxTasks)
	}
	for _, t := range u.TeamLoads {
		check.Amount("teams.cpu", t.CPU)
	}
	for _, h := range u.MachineUpdates {
		check.Name("hosts.id", h.ID, true)
		for _, gb := range h.Images {
			check.Amount("hosts.images", gb)
		}
	}
	for _, r := range u.RentalUpdates {
		check.Name("rentals.id", r.ID, true)
		check.Amount("rentals.age", r.Age.Seconds())
	}
	check.Count("came", len(u.Rerouted), 0, MaxReroutedHeartbeats)
	for _, x := range u.Rerouted {
		check.Name("came.id", x.ID, true)
	}
	validateCancellations(&check, u)
	for _, a := range u.RemoteAttempts {
		check.Name("wards.machine", a.Machine, true)
		for _, t := range a.Attempts {
			check.Count("wards.index", t.Index, 0, validate.MaxTasks-1)
			check.Amount("wards.wind_down", t.WindDown.Seconds())
		}
	}
	checkNeeds := func(field string, needs []HostNeed) {
		for _, h := range needs {
			check.Name(field+".flavour", h.MachineType, true)
			check.Name(field+".zone", h.Zone, false)
			check.Name(field+".workload", h.Workload, false)
			check.Amount(field+".cpu", h.Need.CPU)
			check.Amount(field+".gpu", h.Need.GPU)
			check.Amount(field+".memory", h.Need.Memory)
			check.Count(field+".urgency", int(h.Urgency), int(model.BestEffort), int(model.Critical))
		}
	}
	checkNeeds("needs", u.HostNeeds)
	checkNeeds("lacks", u.OthersNeeds)
	checkNeeds("empty", u.EvacuationRequests)
	for _, h := range u.EvacuationCosts {
		check.Name("costs.flavour", h.MachineType, true)
		check.Amount("costs.down", h.Downtime.Seconds())
	}
	for _, a := range u.RemoteStatuses {
		check.Name("told.machine", a.Machine, true)
		for _, t := range a.Attempts {
			check.Count("told.index", t.Index, 0, validate.MaxTasks-1)
		}
	}
	return check.Problem()
}
