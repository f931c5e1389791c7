package model

import (
	"time"

	"github.com/micahill/micahill/internal/resource"
)

// Resources is an amount of CPU, GPU and memory that a machine has or a task takes.
type Resources = resource.Resources

// MachineType is a type of machine that the cloud offers for rent.
type MachineType struct {
	Name string
	// Capacity is the resources that a machine of the type has for tasks.
	Capacity Resources
	// DiskGB is the disk space for images.
	DiskGB float64
	// ImageFetchRate is the rate at which a machine fetches images, in GB per second. Actual
	// rates differ from it by up to a third.
	ImageFetchRate float64
	// CostPerHour and SpotCostPerHour are the prices of a regular and of a spot machine, in the
	// cloud's currency.
	CostPerHour     float64
	SpotCostPerHour float64
	// ProvisioningTime is the usual time from a rental request to the machine's first heartbeat.
	ProvisioningTime time.Duration
	// Zones are the zones that offer the type.
	Zones []string
}

// CloudMachine is a rented machine in the cloud's list.
type CloudMachine struct {
	ID string
	// Addr is the worker's host and port.
	Addr        string
	MachineType string
	Zone        string
	Spot        bool
	// Status is the machine's state in the cloud's terms: booting, running or failed.
	Status string
	// Age is the time since the machine's rental request.
	Age time.Duration
}
