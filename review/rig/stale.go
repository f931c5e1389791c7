package main

import "time"

func init() { cases["stale"] = staleCase }

// staleCase: a job's tasks run, and each node says so. A node that runs neither the team nor the
// cluster ends and comes back. Long afterwards it is asked for the job's state again and again.
func staleCase(_ string, trouble bool) {
	w := newWorld(siamlens(), siamlensTypes, map[string]int{kind("counter-box", "bangna", true): 4})
	w.startNodes()
	service := newJob(1, 2, 4, 14, time.Hour)
	service.shape, service.expected = "standing", 0
	w.submit(0, service)
	if !w.waitRunning([]*job{service}, 40*time.Second) {
		fail("the job does not run after 40 s")
	}
	time.Sleep(6 * time.Second)
	w.logState(service)
	owner := w.nodeOf(w.hostOf(service))
	node := (owner + 1) % len(w.nodes)
	w.logf("%s runs on a machine that reports to %s", service.id, w.nodes[owner].name)
	if trouble {
		w.logf("TROUBLE: %s ends, and is back after 5 s", w.nodes[node].name)
		w.nodes[node].kill()
		time.Sleep(5 * time.Second)
		w.nodes[node].start()
		for !w.nodes[node].healthy() {
			time.Sleep(100 * time.Millisecond)
		}
		w.logf("%s is healthy again", w.nodes[node].name)
	}
	// The page allows the state to lag by 3 s. Nothing is judged in the first 10 s.
	time.Sleep(10 * time.Second)
	wrong := 0
	for range 15 {
		running := w.runningTasks(service)
		w.logState(service)
		for i := range w.nodes {
			status, state, answer := w.poll(i, service.id)
			if status == 200 && state == "queued" && running == service.pieces && w.runningTasks(service) == running {
				wrong++
				w.logf("%s says queued, %v running; %d tasks are on machines", w.nodes[i].name, answer["running"], running)
			}
		}
		time.Sleep(2 * time.Second)
	}
	if wrong > 0 {
		w.mu.Lock()
		w.breaks("state", "%d answers in 30 s say that no task of %s runs, 10 to 40 s after the last change; all its tasks run", wrong, service.id)
		w.mu.Unlock()
	}
	w.verdict()
}
