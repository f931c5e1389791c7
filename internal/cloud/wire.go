package cloud

import (
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/record"
)

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

func (t machineType) decode() model.MachineType {
	return model.MachineType{
		Name: t.Name, Capacity: model.Resources{CPU: t.VCPUs, GPU: t.GPUs, Memory: t.MemoryGB},
		DiskGB: t.DiskGB, ImageFetchRate: t.FetchRate, CostPerHour: t.CostPerHour, SpotCostPerHour: t.SpotCostPerHour,
		ProvisioningTime: record.DurationOfSeconds(t.ReadyS), Zones: t.Zones,
	}
}

type machine struct {
	ID          string  `msgpack:"id"`
	Address     string  `msgpack:"address"`
	MachineType string  `msgpack:"flavour"`
	Zone        string  `msgpack:"site"`
	Spot        bool    `msgpack:"loaner"`
	Status      string  `msgpack:"status"`
	AgeS        float64 `msgpack:"held_s"`
}

func (m machine) decode() model.CloudMachine {
	return model.CloudMachine{
		ID: m.ID, Addr: m.Address, MachineType: m.MachineType, Zone: m.Zone, Spot: m.Spot,
		Status: m.Status, Age: record.DurationOfSeconds(m.AgeS),
	}
}

// rentalRequest is the body of a rental. The cloud executes a request ID once.
type rentalRequest struct {
	RequestID   string `msgpack:"booking"`
	MachineType string `msgpack:"flavour"`
	Zone        string `msgpack:"site"`
	Spot        bool   `msgpack:"loaner"`
	Count       int    `msgpack:"count"`
}

// machineIDs is the response to a rental, and the body of a release.
type machineIDs struct {
	IDs []string `msgpack:"hosts"`
}

type machineTypeList struct {
	Types []machineType `msgpack:"flavours"`
}

type machineList struct {
	Machines  []machine `msgpack:"hosts"`
	Truncated bool      `msgpack:"truncated"`
}
