package selfmonitor

import (
	"fmt"
	"testing"
	"time"
)

// t0 is the start of each test.
var t0 = time.Unix(1_750_000_000, 0)

// at returns the time s seconds after t0.
func at(s float64) time.Time { return t0.Add(time.Duration(s * float64(time.Second))) }

// TestReceivePartitioned guards against giving up a shard because of a silence that is
// explained by chance, by a pause of the process itself, or by a failover.
func TestReceivePartitioned(t *testing.T) {
	const every = 10 * time.Second
	for _, c := range []struct {
		name      string
		machines  int
		lastHeard float64
		paused    bool
		since     float64
		now       float64
		want      bool
	}{
		{"many machines, short silence", 1000, 100, false, 0, 102.9, false},
		{"many machines, silence of more than 3 s", 1000, 100, false, 0, 103.1, true},
		{"few machines, silence explained by chance", 4, 100, false, 0, 119, false},
		{"few machines, long silence", 4, 100, false, 0, 121, true},
		{"one machine proves nothing", 1, 100, false, 0, 500, false},
		{"the process was paused", 1000, 100, true, 0, 110, false},
		{"failover has just ended", 1000, 100, false, 109, 110, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			var monitor Monitor
			for s := 0.0; s <= c.now; s += 0.5 {
				if c.paused && s > c.lastHeard && s < c.now-1 {
					continue
				}
				monitor.RecordRun(at(s))
				if s == c.lastHeard {
					monitor.HeartbeatReceived(at(s))
				}
			}
			if got := monitor.ReceivePartitioned(at(c.now), at(c.since), c.machines, every); got != c.want {
				t.Errorf("ReceivesNothing: got %v, want %v", got, c.want)
			}
		})
	}
}

// TestReroutedMachines checks that only machines that reappear after a while count, each
// once.
func TestReroutedMachines(t *testing.T) {
	var rerouted ReroutedMachines
	rerouted.Rerouted(at(0), "vm-1", "a")
	rerouted.Rerouted(at(0.3), "vm-1", "a") // a duplicated heartbeat
	if count := rerouted.CountReappeared(at(1), "a"); count != 0 {
		t.Errorf("duplicated heartbeat: got %d reappeared, want 0", count)
	}
	for i := range 5 {
		rerouted.Rerouted(at(5*float64(i)), "vm-1", "a")
	}
	if count := rerouted.CountReappeared(at(20), "a"); count != 0 {
		t.Errorf("machine that answered no probe: got %d reappeared, want 0", count)
	}
	rerouted.ProbeAnswered(at(20), "vm-1")
	rerouted.Rerouted(at(20), "vm-2", "a")
	rerouted.Rerouted(at(20), "vm-3", "b")
	rerouted.Rerouted(at(25), "vm-3", "a") // the machine has moved to another owner
	if count := rerouted.CountReappeared(at(25), "a"); count != 1 {
		t.Errorf("got %d reappeared, want 1", count)
	}
	if count := rerouted.CountReappeared(at(60), "a"); count != 0 {
		t.Errorf("long after the last reroute: got %d reappeared, want 0", count)
	}
	for i := range 3 * maxTracked {
		rerouted.Rerouted(at(100+float64(i)/1000), fmt.Sprint("vm-", i), "a")
	}
	if len(rerouted.reroutes) > maxTracked {
		t.Errorf("got %d machines tracked, want at most maxTracked", len(rerouted.reroutes))
	}
}
