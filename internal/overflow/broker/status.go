package broker

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/micahill/micahill/internal/overflow"
)

// Status is lending as this controller sees it, for its operators.
type Status struct {
	Cluster string `json:"cluster"`
	// IsLeader says whether this controller answers the peers, and Leader which one
	// does.
	IsLeader bool `json:"leads"`
	// RunsGuestTeam says whether this controller runs what is borrowed.
	RunsGuestTeam bool         `json:"guests"`
	Leader        string       `json:"leader"`
	Draining      bool         `json:"draining"`
	DrainDeadline time.Time    `json:"drain_by,omitzero"`
	Peers         []PeerStatus `json:"peers"`
	Lent          []LoanStatus `json:"lent"`
	Borrowed      []LoanStatus `json:"borrowed"`
}

// PeerStatus is one peer. HeardSeconds is the time since its last heartbeat.
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

// LoanStatus is one loan. State is a text for operators.
type LoanStatus struct {
	Loan  string `json:"loan"`
	Peer  string `json:"peer"`
	State string `json:"state"`
	Tasks int    `json:"tasks"`
}

// Status returns the status from the event loop. It fails only when the context
// ends before the loop is free.
func (b *Broker) Status(ctx context.Context) (Status, error) {
	out := make(chan Status, 1)
	select {
	case b.statusRequests <- out:
		return <-out, nil
	case <-ctx.Done():
		return Status{}, ctx.Err()
	}
}

func (b *Broker) status(now time.Time) Status {
	s := Status{Cluster: b.settings.Cluster, IsLeader: b.isLeader, RunsGuestTeam: b.runsGuestTeam, Leader: b.view.Leader, Draining: b.view.Draining, DrainDeadline: b.view.DrainDeadline, Peers: []PeerStatus{}, Lent: []LoanStatus{}, Borrowed: []LoanStatus{}}
	if !b.isLeader && !b.runsGuestTeam {
		return s
	}
	lent, borrowed := map[string]int{}, map[string]int{}
	for _, lentJob := range b.view.Lent {
		lent[lentJob.Peer]++
		state := "lent"
		if lentJob.CancelRequested {
			state = "being cancelled"
		}
		s.Lent = append(s.Lent, LoanStatus{b.loanOf(lentJob).String(), lentJob.Peer, state, lentJob.Spec.Tasks})
	}
	for _, loan := range b.borrowerView().Borrowed {
		borrowed[loan.Loan.Home]++
		state := loan.State.String()
		if loan.Ending && loan.State == overflow.Held {
			state = "given up"
		}
		s.Borrowed = append(s.Borrowed, LoanStatus{loan.Loan.String(), loan.Loan.Home, state, loan.Spec.Tasks})
	}
	for _, name := range slices.Sorted(maps.Keys(b.peers)) {
		peer := b.peers[name]
		status := PeerStatus{
			Cluster: name, State: peer.State(now).String(), Trust: peer.Trust(now), LatencyMS: float64(peer.Latency().Microseconds()) / 1000,
			BreakerOpen: !peer.IsReachable(now), OfferedMachines: peer.OfferedMachines(), Lent: lent[name], Borrowed: borrowed[name],
		}
		if heardAt := peer.HeardAt(); !heardAt.IsZero() {
			status.HeardSeconds = now.Sub(heardAt).Seconds()
		}
		s.Peers = append(s.Peers, status)
	}
	return s
}
