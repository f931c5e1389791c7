package model

import (
	"time"

	"github.com/micahill/micahill/internal/resource"
)

// Resources is an amount of what a machine has or a task takes.
type Resources = resource.Resources

// MachineType is a type of machines that the cloud rents out.
type MachineType struct {
	Name string
	// Capacity is what a machine of the type has for tasks.
	Capacity Resources
	// DiskGB is the disk space for images.
	DiskGB float64
	// ImageFetchRate is how fast a machine fetches images, in GB per second, give or take a
	// third.
	ImageFetchRate float64
	// CostPerHour and SpotCostPerHour are in the cloud's currency.
	CostPerHour     float64
	SpotCostPerHour float64
	// ProvisioningTime is the usual time from the rental request to the first heartbeat.
	ProvisioningTime time.Duration
	// Zones are those that have the type.
	Zones []string
}

// CloudMachine is a machine in the cloud's list of rentals.
type CloudMachine struct {
	ID string
	// Addr is the worker's host and port.
	Addr        string
	MachineType string
	Zone        string
	Spot        bool
	// Status is the cloud's word for the machine's state: booting, running or failed.
	Status string
	// Age is the time since the rental request.
	Age time.Duration
}
