package main

import "time"

func init() { cases["tiny"] = tinyCase }

// tinyCase: a job of many small tasks fits on the same machine as the two tasks of another job. The
// report of that machine grows beyond 64 KiB.
func tinyCase(_ string, trouble bool) {
	w := newWorld(siamlens(), siamlensTypes, map[string]int{kind("lab-rack", "bangna", false): 1})
	w.startNodes()
	order := newJob(1, 2, 8, 22, 45*time.Second)
	order.workload = "frame-trace"
	w.submit(0, order)
	var lookups *job
	if trouble {
		lookups = newJob(2, 1500, 0.01, 0.05, 45*time.Second)
		lookups.workload = "price-checks"
		w.logf("TROUBLE: a job of %d small tasks", lookups.pieces)
		w.submit(1, lookups)
	}
	done := w.waitState(order, "done", 105*time.Second)
	if !done {
		w.logState(order)
	}
	if lookups != nil {
		w.logState(lookups)
	}
	w.mu.Lock()
	for _, id := range w.order {
		h := w.hosts[id]
		w.logf("%s: %d tasks killed because no node renewed the lease; answers to reports by status: %v", id, h.killed, h.reports)
		if h.killed > 0 && !done {
			w.breaks("work lost", "all nodes are up and reach every service, but %s lost %d running tasks to its lease, and %s, which needs %.0f s, is not done after 105 s", id, h.killed, order.id, order.runs.Seconds())
		}
	}
	w.mu.Unlock()
	w.verdict()
}
