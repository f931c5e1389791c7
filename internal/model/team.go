package model

import "time"

// Team has a guarantee and a limit; a zero amount means none.
type Team struct {
	Name            string
	GuaranteedQuota Resources
	QuotaLimit      Resources
}

// Objective repeats one of the operators' aims.
type Objective struct {
	Kind           string
	Workload       string
	Within         time.Duration
	Fraction       float64
	DeadlineFactor float64
}
