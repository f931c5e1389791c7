package model

import (
	"time"

	"github.com/micahill/micahill/internal/resource"
)

// Resources is an amount of what a machine offers or a task takes.
type Resources = resource.Resources

// MachineType is a machine type as the cloud describes it.
type MachineType struct {
	Name             string
	Capacity         Resources
	DiskGB           float64
	ImageFetchRate   float64
	CostPerHour      float64
	SpotCostPerHour  float64
	ProvisioningTime time.Duration
	Zones            []string
}

// CloudMachine is a machine in the cloud's list.
type CloudMachine struct {
	ID          string
	Addr        string
	MachineType string
	Zone        string
	Spot        bool
	Status      string
	Age         time.Duration
}
