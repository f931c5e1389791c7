package cloud

import (
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/record"
)

// machineType is the wire format of a machine type. Costs are per hour, FetchRate is in GB per second
// and ReadyS in seconds.
type machineType struct {
	Name            string   `msgpack:"name"`
	VCPUs           float64  `msgpack:"vcpus"`
	GPUs            float64  `msgpack:"gpus"`
	MemoryGB        float64  `msgpack:"memory_gb"`
	DiskGB          float64  `msgpack:"local_gb"`
	FetchRate       float64  `msgpack:"pull_gb_per_s"`
	CostPerHour     float64  `msgpack:"price"`
	SpotCostPerHour float64  `msgpack:"market_price"`
	ReadyS          float64  `msgpack:"ready_s"`
	Zones           []string `msgpack:"sites"`
}

// decode converts a machine type from its wire format.
func (wire machineType) decode() model.MachineType {
	return model.MachineType{
		Name: wire.Name, Capacity: model.Resources{CPU: wire.VCPUs, GPU: wire.GPUs, Memory: wire.MemoryGB},
		DiskGB: wire.DiskGB, ImageFetchRate: wire.FetchRate, CostPerHour: wire.CostPerHour, SpotCostPerHour: wire.SpotCostPerHour,
		ProvisioningTime: record.DurationOfSeconds(wire.ReadyS), Zones: wire.Zones,
	}
}

// machine is the wire format of a rented machine. AgeS is the time since it was rented, in seconds.
type machine struct {
	ID          string  `msgpack:"id"`
	Address     string  `msgpack:"address"`
	MachineType string  `msgpack:"flavour"`
	Zone        string  `msgpack:"site"`
	Spot        bool    `msgpack:"loaner"`
	Status      string  `msgpack:"status"`
	AgeS        float64 `msgpack:"held_s"`
}

// decode converts a rented machine from its wire format.
func (wire machine) decode() model.CloudMachine {
	return model.CloudMachine{
		ID: wire.ID, Addr: wire.Address, MachineType: wire.MachineType, Zone: wire.Zone, Spot: wire.Spot,
		Status: wire.Status, Age: record.DurationOfSeconds(wire.AgeS),
	}
}

// rentalRequest is the body of a request to rent machines. The cloud executes each RequestID only
// once, so a request can be repeated.
type rentalRequest struct {
	RequestID   string `msgpack:"booking"`
	MachineType string `msgpack:"flavour"`
	Zone        string `msgpack:"site"`
	Spot        bool   `msgpack:"loaner"`
	Count       int    `msgpack:"count"`
}

// machineIDs is the body of the response to a rental, and the body of a request to release machines.
type machineIDs struct {
	IDs []string `msgpack:"hosts"`
}

// machineTypeList is the body of the response to a request to list machine types.
type machineTypeList struct {
	Types []machineType `msgpack:"flavours"`
}

// machineList is the body of the response to a request to list rented machines. Truncated is whether
// there are more machines than the response lists.
type machineList struct {
	Machines  []machine `msgpack:"hosts"`
	Truncated bool      `msgpack:"truncated"`
}
