package controller_test

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
)

// storeRule decides the outcome of store requests whose text contains a string. The modes are
// "refuse"; "lose" (executed, no answer); "late" (no answer, executed at deliver); "hold"
// (executed and answered at deliver); and "gone" (once: the watch starts at a compacted
// revision).
type storeRule struct{ mode, contains string }

// heldRequest is a request that is executed at deliver. exec passes the store's response to
// done, even if the controller gets no answer.
type heldRequest struct {
	text string
	exec func(done func(message.StoreResponse))
}

// describeRequest returns the text of a store request in a scenario. For a transaction, it lists
// the compared keys, with "absent" after those that must not exist, and the writes.
func describeRequest(op message.StoreRequest) string {
	switch {
	case op.Kind == message.OpWatch && op.WatchTimeout == 0:
		return "read " + op.Key
	case op.Kind != message.OpTxn:
		return fmt.Sprintf("%s %s", op.Kind, op.Key)
	}
	var compares, writes []string
	for _, c := range op.Compares {
		how := "="
		if c.ModRevision == 0 {
			how = " absent"
		}
		compares = append(compares, c.Key+how)
	}
	for _, w := range op.Writes {
		kind := "put "
		if w.Value == nil {
			kind = "remove "
		}
		writes = append(writes, kind+w.Key)
	}
	slices.Sort(compares)
	return fmt.Sprintf("when %s: %s", strings.Join(compares, ", "), strings.Join(writes, ", "))
}

// handleStoreRequest handles a request according to the first rule that matches it.
func (c *harnessController) handleStoreRequest(op message.StoreRequest) {
	h := c.harness
	text := describeRequest(op)
	if op.Kind == message.OpTxn {
		c.txns = append(c.txns, text)
	}
	sentAt, incarnation := h.now, c.incarnation
	exec := func(answer bool, done func(message.StoreResponse)) {
		h.store.Do(h.now, op, func(d message.StoreResponse) {
			if d.SentAt = sentAt; answer && c.incarnation == incarnation {
				c.push(d)
			}
			done(d)
		})
	}
	hold := func(answer bool) {
		c.heldRequests = append(c.heldRequests, heldRequest{text, func(done func(message.StoreResponse)) { exec(answer, done) }})
	}
	ignore := func(message.StoreResponse) {}
	switch mode := c.storeMode(text); mode {
	case "ok":
		exec(true, ignore)
	case "refuse":
		c.push(message.StoreResponse{ID: op.ID, Status: message.StoreRefused, SentAt: sentAt})
	case "lose":
		exec(false, ignore)
		c.push(message.StoreResponse{ID: op.ID, Status: message.StoreUnknown, SentAt: sentAt})
	case "late":
		hold(false)
		c.push(message.StoreResponse{ID: op.ID, Status: message.StoreUnknown, SentAt: sentAt})
	case "hold":
		hold(true)
	case "gone":
		c.push(message.StoreResponse{ID: op.ID, Status: message.StoreCompacted, SentAt: sentAt})
	default:
		h.t.Fatalf("got store mode %q, want ok, refuse, lose, late, hold or gone", mode)
	}
}

// storeMode returns the mode for a request. A rule of mode "gone" is removed once it has
// matched.
func (c *harnessController) storeMode(text string) string {
	i := slices.IndexFunc(c.rules, func(r storeRule) bool { return strings.Contains(text, r.contains) })
	if i < 0 {
		return "ok"
	}
	mode := c.rules[i].mode
	if mode == "gone" {
		c.rules = slices.Delete(c.rules, i, i+1)
	}
	return mode
}

// handleCloudRequest answers for a cloud with one machine type of 4 CPUs.
func (h *harness) handleCloudRequest(op message.CloudRequest) message.CloudResponse {
	d := message.CloudResponse{ID: op.ID}
	switch op.Kind {
	case message.CloudListTypes:
		d.MachineTypes = []model.MachineType{{Name: "box", Capacity: model.Resources{CPU: 4, Memory: 16}, DiskGB: 20, ImageFetchRate: 1, CostPerHour: 0.2, SpotCostPerHour: 0.1, ProvisioningTime: 5 * time.Second, Zones: []string{"z1", "z2"}}}
	case message.CloudRent:
		h.rentMachines(op, &d)
	case message.CloudListMachines:
		d.Machines = h.listMachines()
	case message.CloudRelease:
		h.printOnce("return " + strings.Join(op.Machines, " "))
		if h.releaseMode == "unknown" {
			d.Status = message.CloudUnknown
			return d
		}
		for _, id := range op.Machines {
			h.machines[id].released = true
		}
	}
	return d
}

// rentMachines rents out up to op.Count machines within maxMachines, and prints an idempotency
// key that is used a second time.
func (h *harness) rentMachines(op message.CloudRequest, d *message.CloudResponse) {
	if h.idempotencyKeys[op.IdempotencyKey] {
		h.print("booking used again: " + op.IdempotencyKey)
	}
	h.idempotencyKeys[op.IdempotencyKey] = true
	for range min(op.Count, h.maxMachines-len(h.machines)) {
		worker := &scriptedWorker{id: fmt.Sprintf("vm-%d", len(h.machines)+1), zone: op.Zone, incarnation: 1, unlisted: h.unlisted}
		h.machines[worker.id] = worker
		d.Rented = append(d.Rented, worker.id)
	}
	if len(d.Rented) == 0 {
		d.Status = message.CloudNoCapacity
	}
}

// listMachines returns the cloud's list, without released and unlisted machines.
func (h *harness) listMachines() []model.CloudMachine {
	var out []model.CloudMachine
	for _, worker := range h.sortedMachines() {
		status := "running"
		if worker.failed {
			status = "failed"
		}
		if !worker.released && !worker.unlisted {
			out = append(out, model.CloudMachine{ID: worker.id, Addr: worker.id, MachineType: "box", Zone: worker.zone, Status: status, Age: time.Minute})
		}
	}
	return out
}
