package simulation

import (
	"fmt"
	"sort"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
)

const (
	// cloudListPage is the maximum number of machines in one response of the cloud.
	cloudListPage = 500
	// failedListLag is how long the cloud still lists a machine as running after the machine died.
	failedListLag = 30 * time.Second
	// maxRentCount and maxReleaseCount are the protocol's limits on the number of machines in one
	// request.
	maxRentCount    = 50
	maxReleaseCount = 100
)

// capacityKey returns the key in World.cloudCapacity of a machine type in a zone, spot or on
// demand.
func capacityKey(machineType, zone string, spot bool) string {
	return fmt.Sprintf("%s/%s/%v", machineType, zone, spot)
}

// executeCloud executes a request to the cloud. It refuses the request during an outage of the
// cloud and if the request exceeds the rate limit.
func (world *World) executeCloud(req message.CloudRequest) message.CloudResponse {
	response := message.CloudResponse{ID: req.ID, Status: message.CloudOK}
	if world.cloudOutage || !world.cloudLimiter.AllowN(world.now, 1) {
		if !world.cloudOutage {
			world.CloudCalls.RefusedRequests++
		}
		response.Status = message.CloudRefused
		return response
	}
	world.CloudCalls.Done++
	switch req.Kind {
	case message.CloudListTypes:
		for _, k := range sortedKeys(world.machineTypes) {
			response.MachineTypes = append(response.MachineTypes, world.machineTypes[k])
		}
	case message.CloudListMachines:
		response.Machines, response.Truncated = world.listCloudMachines(req.StartAfter)
	case message.CloudRent:
		response.Rented, response.Status = world.rentMachines(req)
	case message.CloudRelease:
		response.Status = world.releaseMachines(req.Machines)
	}
	return response
}

// listCloudMachines returns the first page of the rented machines whose ids are greater than
// startAfter, and whether there are more. The list shows the state of an earlier time; the lag is
// drawn in each call.
func (world *World) listCloudMachines(startAfter string) (machines []model.CloudMachine, truncated bool) {
	asOf := world.now.Add(-time.Duration(float64(world.settings.CloudListLag) * (0.5 + 1.5*world.rng.Float64())))
	for _, id := range world.machineIDs[sort.SearchStrings(world.machineIDs, startAfter):] {
		machine := world.machines[id]
		if id <= startAfter || machine.rentedAt.After(asOf) || !machine.goneAt.IsZero() && !machine.goneAt.After(asOf) {
			continue
		}
		if len(machines) == cloudListPage {
			return machines, true
		}
		listed := model.CloudMachine{ID: id, Addr: machine.Addr, MachineType: machine.MachineType, Zone: machine.Zone, Spot: machine.Spot, Status: "running", Age: asOf.Sub(machine.rentedAt)}
		switch {
		case machine.dead && !machine.reclaimed && asOf.Sub(machine.diedAt) > failedListLag:
			listed.Status = "failed"
		case asOf.Before(machine.upAt):
			listed.Status = "booting"
		}
		machines = append(machines, listed)
	}
	return machines, false
}

// rentMachines rents as many machines as are available, up to the count of the request, and returns
// their ids. A request with the idempotency key of an earlier rental gets the machines of that
// rental.
func (world *World) rentMachines(req message.CloudRequest) ([]string, message.CloudStatus) {
	if req.Count < 1 || req.Count > maxRentCount || req.IdempotencyKey == "" {
		world.reportViolation("malformed", "a booking of %d machines", req.Count)
		return nil, message.CloudMalformed
	}
	if rented, ok := world.rentals[req.IdempotencyKey]; ok {
		return rented, message.CloudOK
	}
	key := capacityKey(req.MachineType, req.Zone, req.Spot)
	var rented []string
	for range min(req.Count, world.cloudCapacity[key]) {
		rented = append(rented, world.rentMachine(req).ID)
	}
	world.cloudCapacity[key] -= len(rented)
	if len(rented) == 0 {
		return nil, message.CloudNoCapacity
	}
	world.rentals[req.IdempotencyKey] = rented
	return rented, message.CloudOK
}

// rentMachine creates one machine of a rental.
func (world *World) rentMachine(req message.CloudRequest) *Worker {
	world.lastID++
	machineType := world.machineTypes[req.MachineType]
	id := fmt.Sprintf("vm-%06d", world.lastID)
	machine := &Worker{
		ID: id, Addr: id, MachineType: req.MachineType, Zone: req.Zone, Spot: req.Spot, Size: machineType.Capacity,
		FetchRate: machineType.ImageFetchRate, rentedAt: world.now, upAt: world.now.Add(world.provisioningTime(machineType)),
		images: map[string]time.Time{}, tasks: map[string]*workerTask{}, controller: world.rng.IntN(max(1, len(world.controllers))),
	}
	world.machines[machine.ID] = machine
	world.machineIDs, world.fleet = append(world.machineIDs, machine.ID), append(world.fleet, machine)
	world.onRented(machine)
	return machine
}

// releaseMachines releases machines to the cloud and ends all tasks on them. It ignores unknown and
// released machines.
func (world *World) releaseMachines(ids []string) message.CloudStatus {
	if len(ids) > maxReleaseCount {
		world.reportViolation("malformed", "a return of %d machines", len(ids))
		return message.CloudMalformed
	}
	for _, id := range ids {
		if machine := world.machines[id]; machine != nil && !machine.released {
			machine.released = true
			if machine.goneAt.IsZero() {
				machine.goneAt = world.now
			}
			world.clearTasks(machine)
			world.cloudCapacity[capacityKey(machine.MachineType, machine.Zone, machine.Spot)]++
		}
	}
	return message.CloudOK
}

// killMachine ends a machine and all tasks on it. A machine whose reclaim time has come counts as
// reclaimed by the cloud.
func (world *World) killMachine(machine *Worker) {
	if machine.dead || machine.released {
		return
	}
	if !machine.reclaimAt.IsZero() && !world.now.Before(machine.reclaimAt) {
		// The cloud does not list a machine that it reclaimed.
		machine.goneAt = world.now
	}
	machine.dead, machine.diedAt = true, world.now
	machine.reclaimAt = time.Time{}
	world.clearTasks(machine)
}
