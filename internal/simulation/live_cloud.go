package simulation

import (
	"net/http"
	"time"

	"github.com/micahill/micahill/internal/message"
)

// serveCloud handles HTTP requests to the cloud.
func (live *Live) serveCloud(rw http.ResponseWriter, r *http.Request) {
	live.mu.Lock()
	defer live.mu.Unlock()
	live.world.now = time.Now()
	switch r.Method + r.URL.Path {
	case "GET/machine_types":
		var out []any
		for _, machineType := range live.world.executeCloud(message.CloudRequest{Kind: message.CloudListTypes}).MachineTypes {
			out = append(out, obj{"name": machineType.Name, "vcpus": machineType.Capacity.CPU, "gpus": machineType.Capacity.GPU, "memory_gb": machineType.Capacity.Memory, "local_gb": machineType.DiskGB,
				"pull_gb_per_s": machineType.ImageFetchRate, "price": machineType.CostPerHour, "market_price": machineType.SpotCostPerHour, "ready_s": machineType.ProvisioningTime.Seconds(), "sites": machineType.Zones})
		}
		writeReply(rw, http.StatusOK, obj{"flavours": out})
	case "GET/rentals":
		out := []any{}
		for _, machine := range live.world.executeCloud(message.CloudRequest{Kind: message.CloudListMachines}).Machines {
			out = append(out, obj{"id": machine.ID, "address": machine.Addr, "flavour": machine.MachineType, "site": machine.Zone, "loaner": machine.Spot, "status": machine.Status, "held_s": machine.Age.Seconds()})
		}
		writeReply(rw, http.StatusOK, obj{"hosts": out, "truncated": false})
	case "POST/rentals":
		object := readObject(r)
		spot, _ := object["loaner"].(bool)
		response := live.world.executeCloud(message.CloudRequest{Kind: message.CloudRent, IdempotencyKey: toString(object["booking"]), MachineType: toString(object["flavour"]), Zone: toString(object["site"]), Spot: spot, Count: int(toUint(object["count"]))})
		if response.Status == message.CloudNoCapacity {
			writeReply(rw, http.StatusServiceUnavailable, obj{"error": "no capacity"})
			return
		}
		writeReply(rw, http.StatusOK, obj{"hosts": response.Rented})
	case "POST/rentals/return":
		var ids []string
		for _, host := range toList(readObject(r)["hosts"]) {
			ids = append(ids, toString(host))
		}
		live.world.executeCloud(message.CloudRequest{Kind: message.CloudRelease, Machines: ids})
		writeReply(rw, http.StatusOK, obj{})
	default:
		writeReply(rw, http.StatusBadRequest, obj{"error": "malformed"})
	}
}
