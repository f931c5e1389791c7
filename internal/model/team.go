package model

import "time"

// Team is a team of users, with what its jobs may take. A zero amount means that there is no
// such quota.
type Team struct {
	Name string
	// GuaranteedQuota is what the team gets before others get more than theirs.
	GuaranteedQuota Resources
	// QuotaLimit is what the team never gets more of.
	QuotaLimit Resources
}

// Objective is a service-level objective (SLO) of the operators for the jobs of a workload.
type Objective struct {
	// Kind is what the objective bounds: "wait", the time until a job's tasks run;
	// "finished", the time until the job is done; or "deadline", the job's own deadline.
	Kind     string
	Workload string
	// Within is the bound, for the kinds wait and finished.
	Within time.Duration
	// Fraction of the jobs must meet the objective.
	Fraction float64
	// DeadlineFactor is by what the deadline is multiplied, for the kind deadline.
	DeadlineFactor float64
}
