package core

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// rackOf adds a machine of 32 CPUs that is in use by a task of so many.
func (n *Node) rackOf(i int, used float64) *machine {
	m := n.machine(fmt.Sprintf("vm-%06d", 900+i))
	n.hear(m, &Report{Machine: m.id, Addr: "x", Flavour: "rack", Zone: "z", Tenure: 1, Tick: 1, Epoch: 1, Recall: -1}, true)
	j := n.onMachine(fmt.Sprintf("job-%06d", 900+i), m)
	m.used = m.used.Plus(Resources{CPU: used - j.Need.CPU, Memory: 1}, 1)
	return m
}

// TestShortOfRoom: a job that has waited for room that no machine here has is told of,
// unless one is coming or it fits so many that one will have room.
func TestShortOfRoom(t *testing.T) {
	n := two(t)
	n.owner.jobs = map[string]*job{}
	n.newJob(Spec{ID: "job-wide", Workload: "wide", Team: "ops", Tasks: 3, Need: Resources{CPU: 8, Memory: 22}, Expected: time.Minute}, n.now, 1)
	looks := func() []Shortage {
		lookShort(n)
		n.now = n.now.Add(shortAfter)
		for _, m := range n.owner.byID {
			m.lastHeard = n.now
		}
		lookShort(n)
		return n.owner.short.mine
	}
	if got := looks(); !slices.Equal(got, []Shortage{{"job-wide", "ops", ""}}) {
		t.Errorf("short of %v", got)
	}
	n.owner.view.rentals["vm-9"] = &rental{id: "vm-9", kind: kind{"rack", "z", false}, since: n.now, told: n.now, status: "booting"}
	if got := looks(); len(got) > 0 {
		t.Errorf("short of %v though a machine for it is coming", got)
	}
	delete(n.owner.view.rentals, "vm-9")
	for i := range shortMachines {
		n.rackOf(i, 30)
	}
	if got := looks(); len(got) != 1 {
		t.Errorf("short of %v though the machines that it fits are full", got)
	}
	n.rackOf(shortMachines, 30)
	if got := looks(); len(got) > 0 {
		t.Errorf("a large pool is short of %v", got)
	}
}

// TestRoomForOthers: there is room for another owner's job when one machine has had some
// for a while, in its zone, and it is not held for work here.
func TestRoomForOthers(t *testing.T) {
	n := two(t)
	n.owner.jobs = map[string]*job{}
	m := n.rackOf(0, 20)
	rec := openRecord{Team: "lab", Tasks: 1, CPU: 8, Memory: 22}
	n.users.mirror.open["job-wide"] = living{1, rec}
	room := func(x Shortage) bool {
		takeShort(n, []Shortage{x})
		lookShort(n)
		early := len(n.owner.short.room) > 0
		n.now = n.now.Add(roomAfter)
		m.lastHeard = n.now
		takeShort(n, []Shortage{x})
		lookShort(n)
		if early {
			t.Error("room that has just come free counts")
		}
		out := slices.Equal(n.owner.short.room, []string{x.Job})
		n.owner.short.beside = nil
		return out
	}
	wide := Shortage{"job-wide", "lab", ""}
	if !room(wide) {
		t.Error("there is no room on a machine with 12 CPUs left")
	}
	// One that is being retired for its price has room for work that is left waiting.
	m.retiring = true
	if !room(wide) {
		t.Error("there is no room on a dear machine")
	}
	m.heldFor = "job-000001"
	if room(wide) {
		t.Error("there is room on a machine that is held for work here")
	}
	m.heldFor = ""
	if room(Shortage{"job-wide", "lab", "y"}) || room(Shortage{"job-none", "lab", ""}) {
		t.Error("there is room in a zone that is none, or for a job that is not open")
	}
	rec.CPU = 16
	n.users.mirror.open["job-wide"] = living{2, rec}
	if room(wide) {
		t.Error("there is room for 16 CPUs beside 20 of 32")
	}
}

// TestCameToRoom: a job whose team comes since there is room for it has waited already: it
// may have dear room at once. It waited for the 45 s of a new one.
func TestCameToRoom(t *testing.T) {
	n := two(t)
	for _, id := range []string{"job-wide", "job-other"} {
		n.users.mirror.open[id] = living{1, openRecord{Team: "lab", Tasks: 1, CPU: 8, Memory: 22, Workload: "wide"}}
	}
	n.owner.short.beside = map[string]roomSince{"job-wide": {n.owner.byID[0], n.now}}
	n.shareOf(t, "a", "a", 5, false, "ops", "lab")
	n.shareOf(t, "b", "b", 5, false)
	syncTeams(n, n.sess.book.Holds("a", n.life()))
	n.owner.short.beside = nil
	teamsLoaded(n, map[string]*teamHeld{"lab": n.owner.teams["lab"]}, nil, nil, n.now)
	came := n.owner.jobs["job-wide"]
	if came == nil || !n.leftWaiting(came) || n.leftWaiting(n.owner.jobs["job-other"]) {
		t.Fatal("what came to room waits for dear room like what came with it")
	}
	came.placedAt = n.now
	if n.leftWaiting(came) {
		t.Error("it takes dear room though something of it was given a place just now")
	}
}
