package controller

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// maxBytesPerMachine is what the controller may keep for each machine with its tasks and its
// part of the jobs: at 2,000 machines a tenth of the smallest memory quota of the known sites.
const maxBytesPerMachine = 12 << 10

// TestMemoryBySize: the controller's memory grows with the machines and stays far within the
// quota, also while the fleet is planned and all machines send heartbeats.
func TestMemoryBySize(t *testing.T) {
	for _, machines := range []int{2000, 5000} {
		t.Run(fmt.Sprint(machines), func(t *testing.T) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			c := largePool(machines)
			for i := range machines {
				r := c.poolHeartbeat(i)
				r.Sequence = 7
				c.shardLeader.heartbeats.applyHeartbeat(c.shardLeader.machinesByID[i], r, true)
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
