package main

import (
	"strings"
	"time"
)

func init() { cases["quota"] = quotaCase }

// quotaCase: a team is at its limit. One of its machines reaches no controller for longer than
// lease_s, while direct commands reach it, so that its worker kills its tasks. Urgent jobs of the team
// then start on another machine, and the controller that runs the team ends.
func quotaCase(_ string, trouble bool) {
	settings := prairie()
	settings.teams = []team{{name: "grid-ops", cpusMax: 64}}
	w := newWorld(settings, prairieTypes, map[string]int{kind("civic-rack", "city-hall", true): 4})
	w.startNodes()
	submit := func(first, count int, cpus, mem float64, urgency string, runs time.Duration) (all []*job) {
		for i := range count {
			j := newJob(first+i, 1, cpus, mem, runs)
			j.owner, j.workload, j.urgency, j.flavours = "grid-ops", "meter-import", urgency, []string{"civic-rack"}
			w.submit(i%3, j)
			all = append(all, j)
		}
		return all
	}
	long := submit(100, 14, 4, 4, "normal", 100*time.Second)
	if !w.waitRunning(long, 30*time.Second) {
		fail("the long jobs do not run after 30 s")
	}
	// The memory for this task is not free on the machine of the others.
	other := submit(200, 1, 8, 480, "normal", 100*time.Second)
	if !w.waitRunning(other, 30*time.Second) {
		fail("the task on the second machine does not run after 30 s")
	}
	a, b := w.hostOf(long[0]), w.hostOf(other[0])
	for _, j := range long {
		if w.hostOf(j) != a {
			fail("the long jobs are not on one machine")
		}
	}
	w.logf("%s has the long tasks, %s the other one; 64 of 64 CPUs are used", a.id, b.id)
	if trouble {
		w.setReach(func(h *host, _ int) bool { return h != a })
		w.logf("TROUBLE: %s reaches no controller; direct commands reach it", a.id)
	}
	muted := time.Now()
	urgent := submit(300, 14, 4, 1, "urgent", 60*time.Second)
	if trouble {
		// The urgent tasks can start only when the worker's lease has expired.
		for w.startsOf(urgent) < len(urgent) {
			if time.Since(muted) > 45*time.Second {
				fail("the urgent jobs do not start 45 s after the machine fell silent")
			}
			time.Sleep(10 * time.Millisecond)
		}
		leader := w.nodes[w.nodeOf(b)]
		w.logf("all urgent tasks have started")
		w.logf("TROUBLE: %s, to which %s reports, ends", leader.name, b.id)
		leader.kill()
		go func() {
			time.Sleep(6 * time.Second)
			leader.start()
		}()
		time.Sleep(10 * time.Second)
		w.setReach(nil)
		w.logf("%s reaches the controllers again, %.0f s after it fell silent", a.id, time.Since(muted).Seconds())
		time.Sleep(10 * time.Second)
	} else {
		time.Sleep(40 * time.Second)
	}
	for _, j := range append(append(long[:1:1], other...), urgent[0]) {
		w.logState(j)
	}
	w.logf("%s", strings.TrimSpace(w.nodes[0].operators("/status")))
	w.verdict()
}
