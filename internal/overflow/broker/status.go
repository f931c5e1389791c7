package broker

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/micahill/micahill/internal/overflow"
)

// Status is the state of lending on this controller, for operators.
type Status struct {
	Cluster string `json:"cluster"`
	// IsLeader means that this controller answers the peers' heartbeats. Leader names
	// the controller that does.
	IsLeader bool `json:"leads"`
	// RunsGuestTeam means that this controller runs the borrowed jobs.
	RunsGuestTeam bool         `json:"guests"`
	Leader        string       `json:"leader"`
	Draining      bool         `json:"draining"`
	DrainDeadline time.Time    `json:"drain_by,omitzero"`
	Peers         []PeerStatus `json:"peers"`
	Lent          []LoanStatus `json:"lent"`
	Borrowed      []LoanStatus `json:"borrowed"`
}

// PeerStatus is the state of one peer. HeardSeconds is the time since its last
// heartbeat, and 0 if there was none.
type PeerStatus struct {
	Cluster         string  `json:"cluster"`
	State           string  `json:"state"`
	Trust           float64 `json:"trust"`
	LatencyMS       float64 `json:"delay_ms"`
	HeardSeconds    float64 `json:"heard_s"`
	BreakerOpen     bool    `json:"circuit_open"`
	OfferedMachines int     `json:"machines_offered"`
	Lent            int     `json:"lent"`
	Borrowed        int     `json:"borrowed"`
}

// LoanStatus is the state of one loan. State is a text for operators.
type LoanStatus struct {
	Loan  string `json:"loan"`
	Peer  string `json:"peer"`
	State string `json:"state"`
	Tasks int    `json:"tasks"`
}

// Status returns the current status. It waits for the event loop, and fails only if the
// context ends before the loop is free.
func (broker *Broker) Status(ctx context.Context) (Status, error) {
	response := make(chan Status, 1)
	select {
	case broker.statusRequests <- response:
		return <-response, nil
	case <-ctx.Done():
		return Status{}, ctx.Err()
	}
}

// status builds the status. Only a controller with a role lists peers and loans.
func (broker *Broker) status(now time.Time) Status {
	result := Status{Cluster: broker.settings.Cluster, IsLeader: broker.isLeader, RunsGuestTeam: broker.runsGuestTeam, Leader: broker.view.Leader, Draining: broker.view.Draining, DrainDeadline: broker.view.DrainDeadline, Peers: []PeerStatus{}, Lent: []LoanStatus{}, Borrowed: []LoanStatus{}}
	if !broker.isLeader && !broker.runsGuestTeam {
		return result
	}
	lent, borrowed := map[string]int{}, map[string]int{}
	for _, lentJob := range broker.view.Lent {
		lent[lentJob.Peer]++
		state := "lent"
		if lentJob.CancelRequested {
			state = "being cancelled"
		}
		result.Lent = append(result.Lent, LoanStatus{broker.loanOf(lentJob).String(), lentJob.Peer, state, lentJob.Spec.Tasks})
	}
	for _, loan := range broker.borrowerView().Borrowed {
		borrowed[loan.Loan.Home]++
		state := loan.State.String()
		if loan.Ending && loan.State == overflow.Held {
			state = "given up"
		}
		result.Borrowed = append(result.Borrowed, LoanStatus{loan.Loan.String(), loan.Loan.Home, state, loan.Spec.Tasks})
	}
	for _, name := range slices.Sorted(maps.Keys(broker.peers)) {
		peer := broker.peers[name]
		status := PeerStatus{
			Cluster: name, State: peer.State(now).String(), Trust: peer.Trust(now), LatencyMS: float64(peer.Latency().Microseconds()) / 1000,
			BreakerOpen: !peer.IsReachable(now), OfferedMachines: peer.OfferedMachines(), Lent: lent[name], Borrowed: borrowed[name],
		}
		if heardAt := peer.LastHeartbeatAt(); !heardAt.IsZero() {
			status.HeardSeconds = now.Sub(heardAt).Seconds()
		}
		result.Peers = append(result.Peers, status)
	}
	return result
}
