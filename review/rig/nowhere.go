package main

import "time"

func init() { cases["nowhere"] = nowhereCase }

// nowhereCase: a user submits a job whose list of allowed machine types is empty.
func nowhereCase(_ string, trouble bool) {
	w := newWorld(siamlens(), siamlensTypes, map[string]int{kind("counter-box", "bangna", true): 4, kind("lab-rack", "bangna", true): 1})
	w.startNodes()
	sound := newJob(1, 2, 4, 14, 5*time.Second)
	w.submit(0, sound)
	odd := newJob(2, 2, 4, 14, 5*time.Second)
	if trouble {
		odd.flavours = []string{}
		w.logf("TROUBLE: `flavours` of %s is an empty list", odd.id)
	}
	w.logf("%s is answered %d", odd.id, w.submit(1, odd))
	if !w.waitState(sound, "done", 60*time.Second) {
		fail("%s is not done after 60 s", sound.id)
	}
	time.Sleep(20 * time.Second)
	w.logState(odd)
	w.verdict()
}
