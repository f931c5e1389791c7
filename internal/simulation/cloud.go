package simulation

import (
	"fmt"
	"sort"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
)

// executeCloud executes a request to the cloud.
func (w *World) executeCloud(op message.CloudRequest) message.CloudResponse {
	response := message.CloudResponse{ID: op.ID, Status: message.CloudOK}
	if w.cloudOutage || !w.cloudLimiter.AllowN(w.now, 1) {
		if !w.cloudOutage {
			w.CloudCalls.RefusedRequests++
		}
		response.Status = message.CloudRefused
		return response
	}
	w.CloudCalls.Done++
	switch op.Kind {
	case message.CloudListTypes:
		for _, k := range sortedKeys(w.machineTypes) {
			response.MachineTypes = append(response.MachineTypes, w.machineTypes[k])
		}
	case message.CloudListMachines:
		// As of some time ago, that differs from list to list.
		asOf := w.now.Add(-time.Duration(float64(w.settings.CloudListLag) * (0.5 + 1.5*w.rng.Float64())))
		for _, id := range w.machineIDs[sort.SearchStrings(w.machineIDs, op.StartAfter):] {
			m := w.machines[id]
			if id <= op.StartAfter || m.rentedAt.After(asOf) || !m.goneAt.IsZero() && !m.goneAt.After(asOf) {
				continue
			}
			if len(response.Machines) == cloudListPage {
				response.Truncated = true
				break
			}
			listed := model.CloudMachine{ID: id, Addr: m.Addr, MachineType: m.MachineType, Zone: m.Zone, Spot: m.Spot, Status: "running", Age: asOf.Sub(m.rentedAt)}
			switch {
			case m.dead && !m.reclaimed && asOf.Sub(m.diedAt) > failedListLag:
				listed.Status = "failed"
			case asOf.Before(m.upAt):
				listed.Status = "booting"
			}
			response.Machines = append(response.Machines, listed)
		}
	case message.CloudRent:
		if op.Count < 1 || op.Count > 50 || op.IdempotencyKey == "" {
			w.violate("malformed", "a booking of %d machines", op.Count)
			response.Status = message.CloudMalformed
			return response
		}
		if names, ok := w.rentals[op.IdempotencyKey]; ok {
			response.Rented = names
			return response
		}
		key := fmt.Sprintf("%s/%s/%v", op.MachineType, op.Zone, op.Spot)
		for range min(op.Count, w.cloudCapacity[key]) {
			w.lastID++
			f := w.machineTypes[op.MachineType]
			id := fmt.Sprintf("vm-%06d", w.lastID)
			m := &Worker{
				ID: id, Addr: id, MachineType: op.MachineType, Zone: op.Zone, Spot: op.Spot, Size: f.Capacity,
				FetchRate: f.ImageFetchRate, rentedAt: w.now, upAt: w.now.Add(w.provisioningTime(f)),
				images: map[string]time.Time{}, tasks: map[string]*workerTask{}, controller: w.rng.IntN(max(1, len(w.controllers))),
			}
			w.machines[m.ID] = m
			w.machineIDs, w.fleet = append(w.machineIDs, m.ID), append(w.fleet, m)
			w.onRented(m)
			response.Rented = append(response.Rented, m.ID)
		}
		w.cloudCapacity[key] -= len(response.Rented)
		if len(response.Rented) == 0 {
			response.Status = message.CloudNoCapacity
			return response
		}
		w.rentals[op.IdempotencyKey] = response.Rented
	case message.CloudRelease:
		if len(op.Machines) > 100 {
			w.violate("malformed", "a return of %d machines", len(op.Machines))
			response.Status = message.CloudMalformed
			return response
		}
		for _, id := range op.Machines {
			if m := w.machines[id]; m != nil && !m.released {
				m.released = true
				if m.goneAt.IsZero() {
					m.goneAt = w.now
				}
				w.clearTasks(m)
				w.cloudCapacity[fmt.Sprintf("%s/%s/%v", m.MachineType, m.Zone, m.Spot)]++
			}
		}
	}
	return response
}

// killMachine stops a machine with all that is on it.
func (w *World) killMachine(m *Worker) {
	if m.dead || m.released {
		return
	}
	if !m.reclaimAt.IsZero() && !w.now.Before(m.reclaimAt) {
		// Taken back: it is listed no more.
		m.goneAt = w.now
	}
	m.dead, m.diedAt = true, w.now
	m.reclaimAt = time.Time{}
	w.clearTasks(m)
}

const (
	// cloudListPage is the most that the cloud lists at once, and failedListLag how long a
	// machine that died goes on being listed as running.
	cloudListPage = 500
	failedListLag = 30 * time.Second
)
