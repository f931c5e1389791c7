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
// "refuse"; "lose" (executed, no response); "late" (no response, executed at deliver); "hold"
// (executed and answered at deliver); and "gone" (once: the watch starts at a compacted
// revision).
type storeRule struct{ mode, contains string }

// heldRequest is a request that is executed at deliver. exec passes the store's response to
// done, even if the controller gets no response.
type heldRequest struct {
	text string
	exec func(done func(message.StoreResponse))
}

// describeRequest returns the text of a store request in a scenario. For a transaction, it lists
// the compared keys, with "absent" after those that must not exist, and the writes.
func describeRequest(request message.StoreRequest) string {
	switch {
	case request.Kind == message.OpWatch && request.WatchTimeout == 0:
		return "read " + request.Key
	case request.Kind != message.OpTxn:
		return fmt.Sprintf("%s %s", request.Kind, request.Key)
	}
	var compares, writes []string
	for _, compare := range request.Compares {
		how := "="
		if compare.ModRevision == 0 {
			how = " absent"
		}
		compares = append(compares, compare.Key+how)
	}
	for _, write := range request.Writes {
		kind := "put "
		if write.Value == nil {
			kind = "remove "
		}
		writes = append(writes, kind+write.Key)
	}
	slices.Sort(compares)
	return fmt.Sprintf("when %s: %s", strings.Join(compares, ", "), strings.Join(writes, ", "))
}

// handleStoreRequest handles a request according to the first rule that matches it.
func (node *harnessController) handleStoreRequest(request message.StoreRequest) {
	harness := node.harness
	text := describeRequest(request)
	if request.Kind == message.OpTxn {
		node.txns = append(node.txns, text)
	}
	sentAt, incarnation := harness.now, node.incarnation
	exec := func(answer bool, done func(message.StoreResponse)) {
		harness.store.Do(harness.now, request, func(response message.StoreResponse) {
			if response.SentAt = sentAt; answer && node.incarnation == incarnation {
				node.push(response)
			}
			done(response)
		})
	}
	hold := func(answer bool) {
		node.heldRequests = append(node.heldRequests, heldRequest{text, func(done func(message.StoreResponse)) { exec(answer, done) }})
	}
	ignore := func(message.StoreResponse) {}
	switch mode := node.storeMode(text); mode {
	case "ok":
		exec(true, ignore)
	case "refuse":
		node.push(message.StoreResponse{ID: request.ID, Status: message.StoreRefused, SentAt: sentAt})
	case "lose":
		exec(false, ignore)
		node.push(message.StoreResponse{ID: request.ID, Status: message.StoreUnknown, SentAt: sentAt})
	case "late":
		hold(false)
		node.push(message.StoreResponse{ID: request.ID, Status: message.StoreUnknown, SentAt: sentAt})
	case "hold":
		hold(true)
	case "gone":
		node.push(message.StoreResponse{ID: request.ID, Status: message.StoreCompacted, SentAt: sentAt})
	default:
		harness.t.Fatalf("got store mode %q, want ok, refuse, lose, late, hold or gone", mode)
	}
}

// storeMode returns the mode for a request. A rule of mode "gone" is removed once it has
// matched.
func (node *harnessController) storeMode(text string) string {
	i := slices.IndexFunc(node.rules, func(rule storeRule) bool { return strings.Contains(text, rule.contains) })
	if i < 0 {
		return "ok"
	}
	mode := node.rules[i].mode
	if mode == "gone" {
		node.rules = slices.Delete(node.rules, i, i+1)
	}
	return mode
}

// handleCloudRequest answers for a cloud with one machine type of 4 CPUs.
func (harness *harness) handleCloudRequest(request message.CloudRequest) message.CloudResponse {
	response := message.CloudResponse{ID: request.ID}
	switch request.Kind {
	case message.CloudListTypes:
		response.MachineTypes = []model.MachineType{{Name: "box", Capacity: model.Resources{CPU: 4, Memory: 16}, DiskGB: 20, ImageFetchRate: 1, CostPerHour: 0.2, SpotCostPerHour: 0.1, ProvisioningTime: 5 * time.Second, Zones: []string{"z1", "z2"}}}
	case message.CloudRent:
		harness.rentMachines(request, &response)
	case message.CloudListMachines:
		response.Machines = harness.listMachines()
	case message.CloudRelease:
		harness.printOnce("return " + strings.Join(request.Machines, " "))
		if harness.releaseMode == "unknown" {
			response.Status = message.CloudUnknown
			return response
		}
		for _, id := range request.Machines {
			harness.machines[id].released = true
		}
	}
	return response
}

// rentMachines rents out up to request.Count machines within maxMachines, and prints an idempotency
// key that is used a second time.
func (harness *harness) rentMachines(request message.CloudRequest, response *message.CloudResponse) {
	if harness.idempotencyKeys[request.IdempotencyKey] {
		harness.print("booking used again: " + request.IdempotencyKey)
	}
	harness.idempotencyKeys[request.IdempotencyKey] = true
	for range min(request.Count, harness.maxMachines-len(harness.machines)) {
		worker := &scriptedWorker{id: fmt.Sprintf("vm-%d", len(harness.machines)+1), zone: request.Zone, incarnation: 1, unlisted: harness.unlisted}
		harness.machines[worker.id] = worker
		response.Rented = append(response.Rented, worker.id)
	}
	if len(response.Rented) == 0 {
		response.Status = message.CloudNoCapacity
	}
}

// listMachines returns the cloud's list, without released and unlisted machines.
func (harness *harness) listMachines() []model.CloudMachine {
	var out []model.CloudMachine
	for _, worker := range harness.sortedMachines() {
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
