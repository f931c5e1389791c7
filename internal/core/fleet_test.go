package core

import (
	"fmt"
	"testing"
	"time"
)

// TestExpectedTasksRentNothingBesideIdleMachines guards against renting a machine
// for each task that is only expected, because one that is to be rented was taken
// to have the image by the time the task comes, which idle ones have to fetch.
func TestExpectedTasksRentNothingBesideIdleMachines(t *testing.T) {
	n := largePool(0)
	for i := range 40 {
		r := n.poolReport(0)
		r.Machine = fmt.Sprintf("vm-%06d", i)
		n.hear(n.machine(r.Machine), r, true)
	}
	spec := Spec{ID: "job-x", Workload: "wide", Team: "ops", Urgency: Normal, Tasks: 20, Spot: true,
		Need: Resources{CPU: 8, Memory: 22}, Image: "wide-1", ImageGB: 6, Expected: 40 * time.Second, Due: 3 * time.Minute}
	n.owner.workloads["wide"] = &workload{&spec, n.now}
	for range 10 {
		n.owner.arrivals["wide"] = append(n.owner.arrivals["wide"], arrival{n.now, spec.Tasks, spec.Need, &spec})
	}
	if d := n.demands(n.horizon(), false, false); len(d) != 1 || d[0].count < 50 {
		t.Fatalf("%d demands; more tasks were to be expected", len(d))
	}
	n.rent(n.futureRoom())
	if len(n.owner.wants) != 0 {
		t.Errorf("wants %v beside 40 idle machines", n.owner.wants)
	}
}
