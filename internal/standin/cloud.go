package standin

import (
	"fmt"
	"sort"
	"time"

	"github.com/micahill/micahill/internal/core"
)

// cloud executes a request to the cloud.
func (w *World) cloud(op core.CloudRequest) core.CloudResponse {
	d := core.CloudResponse{ID: op.ID, Status: core.CloudOK}
	if w.cloudOut || !w.calls.AllowN(w.now, 1) {
		if !w.cloudOut {
			w.Calls.Refused++
		}
		d.Status = core.CloudRefused
		return d
	}
	w.Calls.Done++
	switch op.Kind {
	case core.CloudListTypes:
		for _, k := range sorted(w.types) {
			d.MachineTypes = append(d.MachineTypes, w.types[k])
		}
	case core.CloudListMachines:
		// As of some time ago, that differs from list to list.
		at := w.now.Add(-time.Duration(float64(w.set.CloudListLag) * (0.5 + 1.5*w.rng.Float64())))
		for _, id := range w.order[sort.SearchStrings(w.order, op.StartAfter):] {
			m := w.machine[id]
			if id <= op.StartAfter || m.rentedAt.After(at) || !m.goneAt.IsZero() && !m.goneAt.After(at) {
				continue
			}
			if len(d.Machines) == cloudPage {
				d.Truncated = true
				break
			}
			l := core.CloudMachine{ID: id, Addr: m.Addr, MachineType: m.Flavour, Zone: m.Zone, Spot: m.Spot, Status: "running", Age: at.Sub(m.rentedAt)}
			switch {
			case m.dead && !m.taken && at.Sub(m.diedAt) > deathLag:
				l.Status = "failed"
			case at.Before(m.upAt):
				l.Status = "booting"
			}
			d.Machines = append(d.Machines, l)
		}
	case core.CloudRent:
		if op.Count < 1 || op.Count > 50 || op.IdempotencyKey == "" {
			w.broke("malformed", "a booking of %d machines", op.Count)
			d.Status = core.CloudMalformed
			return d
		}
		if names, ok := w.booked[op.IdempotencyKey]; ok {
			d.Rented = names
			return d
		}
		key := fmt.Sprintf("%s/%s/%v", op.MachineType, op.Zone, op.Spot)
		for range min(op.Count, w.room[key]) {
			w.names++
			f := w.types[op.MachineType]
			id := fmt.Sprintf("vm-%06d", w.names)
			m := &Worker{
				ID: id, Addr: id, Flavour: op.MachineType, Zone: op.Zone, Spot: op.Spot, Size: f.Capacity,
				Pull: f.ImageFetchRate, rentedAt: w.now, upAt: w.now.Add(w.upAfter(f)),
				images: map[string]time.Time{}, tasks: map[string]*workerTask{}, node: w.rng.IntN(max(1, len(w.nodes))),
			}
			w.machine[m.ID] = m
			w.order, w.fleet = append(w.order, m.ID), append(w.fleet, m)
			w.rented(m)
			d.Rented = append(d.Rented, m.ID)
		}
		w.room[key] -= len(d.Rented)
		if len(d.Rented) == 0 {
			d.Status = core.CloudNoCapacity
			return d
		}
		w.booked[op.IdempotencyKey] = d.Rented
	case core.CloudRelease:
		if len(op.Machines) > 100 {
			w.broke("malformed", "a return of %d machines", len(op.Machines))
			d.Status = core.CloudMalformed
			return d
		}
		for _, id := range op.Machines {
			if m := w.machine[id]; m != nil && !m.returned {
				m.returned = true
				if m.goneAt.IsZero() {
					m.goneAt = w.now
				}
				w.clear(m)
				w.room[fmt.Sprintf("%s/%s/%v", m.Flavour, m.Zone, m.Spot)]++
			}
		}
	}
	return d
}

// kill stops a machine with all that is on it.
func (w *World) kill(m *Worker) {
	if m.dead || m.returned {
		return
	}
	if !m.recallAt.IsZero() && !w.now.Before(m.recallAt) {
		// Taken back: it is listed no more.
		m.goneAt = w.now
	}
	m.dead, m.diedAt = true, w.now
	m.recallAt = time.Time{}
	w.clear(m)
}

const (
	// cloudPage is the most that the cloud lists at once, and deathLag how long a
	// machine that died goes on being listed as running.
	cloudPage = 500
	deathLag  = 30 * time.Second
)
