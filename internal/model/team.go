package model

import "time"

// Team is a team of users with its quotas. A quota of zero for a resource means that the team has
// no such quota.
type Team struct {
	Name string
	// GuaranteedQuota is the amount that the team's jobs get before any other team gets more
	// than its own guaranteed quota.
	GuaranteedQuota Resources
	// QuotaLimit is the amount that the team's jobs never exceed.
	QuotaLimit Resources
}

// Objective is a service-level objective (SLO) of the operators for the jobs of a workload.
type Objective struct {
	// Kind is what the objective limits: "wait" is the time until a job's tasks run, "finished"
	// is the time until the job is done, and "deadline" is the job's own deadline.
	Kind     string
	Workload string
	// Within is the longest allowed time, for the kinds wait and finished.
	Within time.Duration
	// Fraction is the part of the jobs, from 0 to 1, that must meet the objective.
	Fraction float64
	// DeadlineFactor is the factor that multiplies the job's deadline, for the kind deadline.
	DeadlineFactor float64
}
