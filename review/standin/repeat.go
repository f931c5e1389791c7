package main

import (
	"fmt"
	"time"
)

func init() { scenarios["repeat"] = repeat }

// repeat submits an array with one straggler, which the service stops and starts again on another
// machine. A controller that does not lead the machines ends and is back within a fraction of a
// second, and a repeat of the request that first started the straggler arrives at the first machine.
func repeat(opt Options, trouble bool) int {
	opt = grid(opt)
	opt.Flavours = opt.Flavours[:1]
	w := newWorld(opt)
	defer w.StopAll()
	w.cloud.Preload("substation-node", "city-hall", false, 3)
	if !w.StartAll(15 * time.Second) {
		fmt.Println("the controllers are not healthy after 15 s")
		return 2
	}
	until := func(d time.Duration, what string, fn func() bool) bool {
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			if fn() {
				return true
			}
		}
		w.logf("not seen within %v: %s", d, what)
		fmt.Println("not seen:", what)
		return false
	}
	time.Sleep(4 * time.Second)
	const slow = "job-000001/3"
	u, j := w.newUser(), gridJob(1)
	j.Tasks, j.RunTime, j.straggler, j.stragglerTime = 20, 5*time.Second, slow, 60*time.Second
	if !u.Submit(j) || !until(20*time.Second, "the straggler runs", func() bool { return w.check.MachineOf(slow) != nil }) {
		return 2
	}
	first := w.check.MachineOf(slow)
	if !until(60*time.Second, "the straggler goes on elsewhere", func() bool {
		h := w.check.MachineOf(slow)
		return h != nil && h != first
	}) {
		return 2
	}
	time.Sleep(2 * time.Second)
	if trouble {
		n := w.nodes[(first.Steward()+1)%opt.Nodes]
		n.Kill()
		time.Sleep(300 * time.Millisecond)
		n.Start()
		time.Sleep(3 * time.Second)
		if !first.Repeat(slow) {
			fmt.Println("the straggler was not started by a direct command")
			return 2
		}
	}
	time.Sleep(8 * time.Second)
	w.check.mu.Lock()
	broken := len(w.check.Violations)
	w.check.mu.Unlock()
	return w.verdict(broken, fmt.Sprintf("%d tasks were started", w.check.starts))
}
