package controller

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// maxBytesPerMachine is how many bytes of memory the controller may keep for each machine, including the
// machine's tasks and its share of the jobs. At 2,000 machines this is a tenth of the smallest memory quota
// of the known sites.
const maxBytesPerMachine = 12 << 10

// TestMemoryBySize guards against a controller that exceeds its memory quota on a large fleet. The memory
// that it keeps must be bounded for each machine, also after planning the fleet and heartbeats of all
// machines.
func TestMemoryBySize(t *testing.T) {
	for _, machines := range []int{2000, 5000} {
		t.Run(fmt.Sprint(machines), func(t *testing.T) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			c := largePool(machines)
			for i := range machines {
				heartbeat := c.poolHeartbeat(i)
				heartbeat.Sequence = 7
				c.shardLeader.heartbeats.applyHeartbeat(c.shardLeader.machinesByID[i], heartbeat, true)
			}
			c.now = c.now.Add(time.Second)
			c.shardLeader.fleet.scanFleet(func(int) bool { return true })
			runtime.GC()
			runtime.ReadMemStats(&after)
			if kept := int64(after.HeapAlloc) - int64(before.HeapAlloc); kept > int64(machines)*maxBytesPerMachine {
				t.Errorf("%d machines: got %d KB kept, want at most %d", machines, kept>>10, machines*maxBytesPerMachine>>10)
			}
			runtime.KeepAlive(c)
		})
	}
}
