package simulation

import (
	"fmt"
	"sort"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
)

const (
	// cloudListPage is the maximum number of machines in one answer of the cloud.
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
func (w *World) executeCloud(req message.CloudRequest) message.CloudResponse {
	response := message.CloudResponse{ID: req.ID, Status: message.CloudOK}
	if w.cloudOutage || !w.cloudLimiter.AllowN(w.now, 1) {
		if !w.cloudOutage {
			w.CloudCalls.RefusedRequests++
		}
		response.Status = message.CloudRefused
		return response
	}
	w.CloudCalls.Done++
	switch req.Kind {
	case message.CloudListTypes:
		for _, k := range sortedKeys(w.machineTypes) {
			response.MachineTypes = append(response.MachineTypes, w.machineTypes[k])
		}
	case message.CloudListMachines:
		response.Machines, response.Truncated = w.listCloudMachines(req.StartAfter)
	case message.CloudRent:
		response.Rented, response.Status = w.rentMachines(req)
	case message.CloudRelease:
		response.Status = w.releaseMachines(req.Machines)
	}
	return response
}

// listCloudMachines returns the first page of the rented machines whose ids are greater than
// startAfter, and whether there are more. The list shows the state of an earlier time; the lag is
// drawn in each call.
func (w *World) listCloudMachines(startAfter string) (machines []model.CloudMachine, truncated bool) {
	asOf := w.now.Add(-time.Duration(float64(w.settings.CloudListLag) * (0.5 + 1.5*w.rng.Float64())))
	for _, id := range w.machineIDs[sort.SearchStrings(w.machineIDs, startAfter):] {
		m := w.machines[id]
		if id <= startAfter || m.rentedAt.After(asOf) || !m.goneAt.IsZero() && !m.goneAt.After(asOf) {
			continue
		}
		if len(machines) == cloudListPage {
			return machines, true
		}
		listed := model.CloudMachine{ID: id, Addr: m.Addr, MachineType: m.MachineType, Zone: m.Zone, Spot: m.Spot, Status: "running", Age: asOf.Sub(m.rentedAt)}
		switch {
		case m.dead && !m.reclaimed && asOf.Sub(m.diedAt) > failedListLag:
			listed.Status = "failed"
		case asOf.Before(m.upAt):
			listed.Status = "booting"
		}
		machines = append(machines, listed)
	}
	return machines, false
}

// rentMachines rents as many machines as are available, up to the count of the request, and returns
// their ids. A request with the idempotency key of an earlier rental gets the machines of that
// rental.
func (w *World) rentMachines(req message.CloudRequest) ([]string, message.CloudStatus) {
	if req.Count < 1 || req.Count > maxRentCount || req.IdempotencyKey == "" {
		w.violate("malformed", "a booking of %d machines", req.Count)
		return nil, message.CloudMalformed
	}
	if rented, ok := w.rentals[req.IdempotencyKey]; ok {
		return rented, message.CloudOK
	}
	key := capacityKey(req.MachineType, req.Zone, req.Spot)
	var rented []string
	for range min(req.Count, w.cloudCapacity[key]) {
		rented = append(rented, w.rentMachine(req).ID)
	}
	w.cloudCapacity[key] -= len(rented)
	if len(rented) == 0 {
		return nil, message.CloudNoCapacity
	}
	w.rentals[req.IdempotencyKey] = rented
	return rented, message.CloudOK
}

// rentMachine creates one machine of a rental.
func (w *World) rentMachine(req message.CloudRequest) *Worker {
	w.lastID++
	t := w.machineTypes[req.MachineType]
	id := fmt.Sprintf("vm-%06d", w.lastID)
	m := &Worker{
		ID: id, Addr: id, MachineType: req.MachineType, Zone: req.Zone, Spot: req.Spot, Size: t.Capacity,
		FetchRate: t.ImageFetchRate, rentedAt: w.now, upAt: w.now.Add(w.provisioningTime(t)),
		images: map[string]time.Time{}, tasks: map[string]*workerTask{}, controller: w.rng.IntN(max(1, len(w.controllers))),
	}
	w.machines[m.ID] = m
	w.machineIDs, w.fleet = append(w.machineIDs, m.ID), append(w.fleet, m)
	w.onRented(m)
	return m
}

// releaseMachines returns machines to the cloud and ends all tasks on them. It ignores unknown and
// released machines.
func (w *World) releaseMachines(ids []string) message.CloudStatus {
	if len(ids) > maxReleaseCount {
		w.violate("malformed", "a return of %d machines", len(ids))
		return message.CloudMalformed
	}
	for _, id := range ids {
		if m := w.machines[id]; m != nil && !m.released {
			m.released = true
			if m.goneAt.IsZero() {
				m.goneAt = w.now
			}
			w.clearTasks(m)
			w.cloudCapacity[capacityKey(m.MachineType, m.Zone, m.Spot)]++
		}
	}
	return message.CloudOK
}

// killMachine ends a machine and all tasks on it. A machine whose reclaim time has come counts as
// reclaimed by the cloud.
func (w *World) killMachine(m *Worker) {
	if m.dead || m.released {
		return
	}
	if !m.reclaimAt.IsZero() && !w.now.Before(m.reclaimAt) {
		// The cloud does not list a machine that it reclaimed.
		m.goneAt = w.now
	}
	m.dead, m.diedAt = true, w.now
	m.reclaimAt = time.Time{}
	w.clearTasks(m)
}
