package main

import (
	"encoding/json"
	"time"
)

func init() { cases["latin"] = latinCase }

// foreignTeam returns the team that a controller other than the cluster's leader runs, with the
// names of both controllers, once each team has a controller.
func (w *world) foreignTeam() (team, owner, leader string) {
	var status struct {
		Leader string `json:"leader"`
		Teams  []struct {
			Name  string `json:"name"`
			Owner string `json:"owner"`
		} `json:"teams"`
	}
	if json.Unmarshal([]byte(w.nodes[0].operators("/status")), &status) != nil {
		return "", "", ""
	}
	for _, t := range status.Teams {
		if t.Owner != "" && t.Owner != status.Leader {
			return t.Name, t.Owner, status.Leader
		}
	}
	return "", "", ""
}

// latinCase: a team's service names its image in another encoding than UTF-8. Then the team submits a
// job that needs machines which the cloud has and the team has not.
func latinCase(_ string, trouble bool) {
	settings := siamlens()
	settings.teams = []team{{name: "rx-desk"}, {name: "chiangmai-lab"}}
	// Which controller gets a team at the start depends on which are there first. If one gets both, the
	// case begins anew.
	var w *world
	name, owner, leader := "", "", ""
	for try := 0; name == ""; try++ {
		if try == 8 {
			fail("one controller runs both teams, eight times")
		}
		if w != nil {
			w.stop()
		}
		w = newWorld(settings, siamlensTypes, map[string]int{kind("counter-box", "bangna", true): 19, kind("counter-box", "bangna", false): 17, kind("lab-rack", "bangna", true): 2, kind("lab-rack", "bangna", false): 2})
		w.startNodes()
		for end := time.Now().Add(1500 * time.Millisecond); name == "" && time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
			name, owner, leader = w.foreignTeam()
		}
	}
	w.logf("%s runs the team %s; %s leads the cluster", owner, name, leader)
	service := newJob(1, 8, 4, 14, time.Hour)
	service.owner, service.shape, service.expected, service.flavours, service.bundle = name, "standing", 0, []string{"counter-box"}, "catalogue-f\u00fcr-bangna"
	if trouble {
		service.bundle = "catalogue-f\xfcr-bangna"
		w.logf("TROUBLE: the text of the image's name is Latin-1, not UTF-8")
	}
	w.logf("the service is answered %d", w.submit(0, service))
	time.Sleep(25 * time.Second)
	order := newJob(2, 2, 8, 22, 8*time.Second)
	order.owner = name
	w.submit(1, order)
	if !w.waitState(order, "done", 75*time.Second) {
		w.logState(order)
		w.mu.Lock()
		started, left := order.starts, w.capacity[kind("lab-rack", "bangna", true)]+w.capacity[kind("lab-rack", "bangna", false)]
		if started == 0 {
			w.breaks("never run", "no task of %s has started 75 s after it was accepted; the cloud has %d more machines of the type that it needs", order.id, left)
		}
		w.mu.Unlock()
	}
	w.logState(service)
	w.verdict()
}
