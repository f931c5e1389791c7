package main

import (
	"fmt"
	"time"
)

// prairieTypes are the machine types of prairiereach-grid, which boot faster here.
var prairieTypes = []machineType{
	{name: "substation-node", cpus: 8, mem: 16, disk: 50, pull: 0.3, price: 0.38, spotPrice: 0.12, readyS: 4, zones: []string{"city-hall"}},
	{name: "civic-rack", cpus: 64, mem: 512, disk: 200, pull: 0.6, price: 3.72, spotPrice: 1.15, readyS: 4, zones: []string{"city-hall"}},
}

// newJob returns a job whose tasks each take the given CPUs and memory and run for the given time.
func newJob(n, pieces int, cpus, mem float64, runs time.Duration) *job {
	return &job{id: fmt.Sprintf("job-%06d", n), workload: "rush-rx", owner: "rx-desk", shape: "array", urgency: "normal", pieces: pieces, cpus: cpus, mem: mem,
		bundle: "img-1", imageGB: 0.3, loaner: true, expected: runs, runs: runs}
}

// siamlensTypes are the machine types of siamlens-orders, which boot faster here.
var siamlensTypes = []machineType{
	{name: "counter-box", cpus: 4, mem: 32, disk: 50, pull: 0.3, price: 0.2, spotPrice: 0.07, readyS: 5, zones: []string{"bangna"}},
	{name: "lab-rack", cpus: 32, mem: 128, disk: 70, pull: 0.4, price: 1.45, spotPrice: 0.53, readyS: 5, zones: []string{"bangna"}},
}
