package simulation

import (
	"net/http"
	"time"

	"github.com/micahill/micahill/internal/message"
)

// serveCloud handles HTTP requests to the cloud.
func (l *Live) serveCloud(rw http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.world.now = time.Now()
	switch r.Method + r.URL.Path {
	case "GET/machine_types":
		var out []any
		for _, f := range l.world.executeCloud(message.CloudRequest{Kind: message.CloudListTypes}).MachineTypes {
			out = append(out, obj{"name": f.Name, "vcpus": f.Capacity.CPU, "gpus": f.Capacity.GPU, "memory_gb": f.Capacity.Memory, "local_gb": f.DiskGB,
				"pull_gb_per_s": f.ImageFetchRate, "price": f.CostPerHour, "market_price": f.SpotCostPerHour, "ready_s": f.ProvisioningTime.Seconds(), "sites": f.Zones})
		}
		writeReply(rw, http.StatusOK, obj{"flavours": out})
	case "GET/rentals":
		out := []any{}
		for _, m := range l.world.executeCloud(message.CloudRequest{Kind: message.CloudListMachines}).Machines {
			out = append(out, obj{"id": m.ID, "address": m.Addr, "flavour": m.MachineType, "site": m.Zone, "loaner": m.Spot, "status": m.Status, "held_s": m.Age.Seconds()})
		}
		writeReply(rw, http.StatusOK, obj{"hosts": out, "truncated": false})
	case "POST/rentals":
		o := readObject(r)
		spot, _ := o["loaner"].(bool)
		d := l.world.executeCloud(message.CloudRequest{Kind: message.CloudRent, IdempotencyKey: toText(o["booking"]), MachineType: toText(o["flavour"]), Zone: toText(o["site"]), Spot: spot, Count: int(toUint(o["count"]))})
		if d.Status == message.CloudNoCapacity {
			writeReply(rw, http.StatusServiceUnavailable, obj{"error": "no capacity"})
			return
		}
		writeReply(rw, http.StatusOK, obj{"hosts": d.Rented})
	case "POST/rentals/return":
		var ids []string
		for _, h := range toList(readObject(r)["hosts"]) {
			ids = append(ids, toText(h))
		}
		l.world.executeCloud(message.CloudRequest{Kind: message.CloudRelease, Machines: ids})
		writeReply(rw, http.StatusOK, obj{})
	default:
		writeReply(rw, http.StatusBadRequest, obj{"error": "malformed"})
	}
}
