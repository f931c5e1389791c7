package controller

import (
	"fmt"
	"testing"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
)

// TestExpectedTasksUseIdleMachines guards against renting a machine for each expected task
// although machines are idle. That happens if planning assumes that a machine to be rented has the image
// when the task arrives, whereas idle machines have to fetch it.
func TestExpectedTasksUseIdleMachines(t *testing.T) {
	c := largePool(0)
	for i := range 40 {
		heartbeat := c.poolHeartbeat(0)
		heartbeat.Machine = fmt.Sprintf("vm-%06d", i)
		c.shardLeader.heartbeats.applyHeartbeat(c.shardLeader.ensureMachine(heartbeat.Machine), heartbeat, true)
	}
	spec := model.JobSpec{ID: "job-x", Workload: "wide", Team: "ops", Urgency: model.Normal, Tasks: 20, AllowSpot: true,
		Need: model.Resources{CPU: 8, Memory: 22}, Image: "wide-1", ImageGB: 6, ExpectedRunTime: 40 * time.Second, Deadline: 3 * time.Minute}
	c.shardLeader.workloads["wide"] = &workload{&spec, c.now}
	for range 10 {
		c.shardLeader.fleet.arrivals[workloadKey{"ops", "wide"}] = append(c.shardLeader.fleet.arrivals[workloadKey{"ops", "wide"}], arrival{c.now, spec.Tasks, spec.Need, &spec})
	}
	if d := c.shardLeader.fleet.demands(c.knowledge.planningHorizon(), false, false); len(d) != 1 || d[0].count < 50 {
		t.Fatalf("got demands %v, want one of at least 50 tasks", d)
	}
	if requests := c.shardLeader.fleet.planScaleOut(c.shardLeader.fleet.futureFreeCapacity(), nil); len(requests) != 0 {
		t.Errorf("got capacity requests %v with 40 idle machines, want none", requests)
	}
}

// TestScarcityReliefUsesIdleMachines guards against renting a small machine for each task that is kept off
// scarce racks, although small machines are idle.
func TestScarcityReliefUsesIdleMachines(t *testing.T) {
	c := largePool(0)
	for i := range 80 {
		// Every eighth machine is a rack, the others are boxes. All are idle.
		c.shardLeader.heartbeats.applyHeartbeat(c.shardLeader.ensureMachine(c.poolHeartbeat(i).Machine), c.poolHeartbeat(i), true)
	}
	small := model.JobSpec{ID: "job-s", Workload: "small", Team: "ops", Urgency: model.Normal, Tasks: 1, AllowSpot: true,
		Need: model.Resources{CPU: 4, Memory: 4}, Image: "s", ImageGB: 0.5, ExpectedRunTime: 25 * time.Second, Deadline: time.Minute}
	wide := small
	wide.ID, wide.Workload, wide.Need = "job-w", "wide", model.Resources{CPU: 8, Memory: 22}
	c.shardLeader.workloads["small"], c.shardLeader.workloads["wide"] = &workload{&small, c.now}, &workload{&wide, c.now}
	c.shardLeader.scheduler.startDeadlines = map[string]time.Time{"wide": c.now}
	for _, m := range c.shardLeader.machinesByID {
		if m.machineType == "rack" {
			// The racks have the image, so the simulation prefers them.
			m.images["s"] = &image{sizeGB: 0.5, cached: true}
		}
	}
	for range 10 {
		c.shardLeader.fleet.arrivals[workloadKey{"ops", "small"}] = append(c.shardLeader.fleet.arrivals[workloadKey{"ops", "small"}], arrival{c.now, 12, small.Need, &small})
	}
	if !c.shardLeader.fleet.neededElsewhere(&small, "rack") {
		t.Fatal("got no waiting job that needs racks, want one")
	}
	if requests := c.shardLeader.fleet.planScaleOut(c.shardLeader.fleet.futureFreeCapacity(), nil); len(requests) != 0 {
		t.Errorf("got capacity requests %v with 70 idle boxes, want none", requests)
	}
}

// TestLargestLateJobIsDeferred guards against a large job that makes all other jobs miss their deadlines.
// Of jobs that can't all meet their deadlines, the largest must be deferred; while all can, none.
func TestLargestLateJobIsDeferred(t *testing.T) {
	c := largePool(10)
	clear(c.shardLeader.jobs)
	clear(c.shardLeader.workloads)
	add := func(id string, tasks int) {
		j := newJob(model.JobSpec{ID: id, Workload: "batch", Team: "ops", Urgency: model.Normal, Tasks: tasks, AllowSpot: true,
			Need: model.Resources{CPU: 4, Memory: 4}, ExpectedRunTime: 30 * time.Second, Deadline: 90 * time.Second}, c.now, 1, 4096)
		c.shardLeader.jobs[id] = j
	}
	deferred := func() string {
		queue := []queuedJob{}
		for _, j := range c.shardLeader.scheduler.jobsInQueueOrder() {
			queue = append(queue, queuedJob{job: j})
		}
		c.shardLeader.scheduler.deferLateJobs(queue)
		out := ""
		for _, r := range queue {
			if r.deferred {
				out += r.job.ID + " "
			}
		}
		return out
	}
	// There is capacity for 24 tasks at a time, and time to run three such sets one after another.
	add("job-1", 30)
	add("job-2", 8)
	if got := deferred(); got != "" {
		t.Errorf("got jobs %sdeferred while all can meet their deadlines, want none", got)
	}
	c.shardLeader.jobs["job-1"].tasks = make([]task, 90)
	add("job-3", 8)
	if got := deferred(); got != "job-1 " {
		t.Errorf("got jobs %q deferred, want the largest, %q", got, "job-1 ")
	}
	if o := c.shardLeader.scheduler.jobsInQueueOrder(); o[len(o)-1].ID != "job-1" {
		t.Errorf("got %s last in the queue, want job-1, which is deferred", o[len(o)-1].ID)
	}
}

// TestSharedOutage guards against a restart of all controllers in an outage of the store. A controller that
// can't reach the store must stay healthy only while recent updates of all its peers say that they can't
// reach it either.
func TestSharedOutage(t *testing.T) {
	c := largePool(0)
	c.settings.Peers = []string{"b", "c"}
	c.membership.storeFailingSince = c.now.Add(-time.Minute)
	if c.Healthy(c.now) {
		t.Error("got healthy without an update from any peer, want unhealthy")
	}
	c.handleCommand(message.PeerUpdate{From: "b", StoreUnavailable: true})
	if c.Healthy(c.now) {
		t.Error("got healthy with an update from one of two peers, want unhealthy")
	}
	c.handleCommand(message.PeerUpdate{From: "c", StoreUnavailable: true})
	if !c.Healthy(c.now) {
		t.Error("got unhealthy though no peer reaches the store, want healthy")
	}
	if c.Healthy(c.now.Add(2 * storeUnavailableTTL)) {
		t.Error("got healthy after the peers' updates have expired, want unhealthy")
	}
}

// TestGangNeedsCapacityForAllTasks guards against placing only some tasks of a gang because the capacity
// check counts a machine that placement refuses. The placed tasks would wait for the others and be stopped
// after a while, and the same would happen again.
func TestGangNeedsCapacityForAllTasks(t *testing.T) {
	c := largePool(0)
	for i := range 3 {
		heartbeat := c.poolHeartbeat(1)
		heartbeat.Machine = fmt.Sprintf("vm-%06d", i)
		c.shardLeader.heartbeats.applyHeartbeat(c.shardLeader.ensureMachine(heartbeat.Machine), heartbeat, true)
	}
	j := newJob(model.JobSpec{ID: "job-g", Workload: "batch", Team: "ops", Gang: true, Urgency: model.Normal, Tasks: 6, AllowSpot: true,
		Need: model.Resources{CPU: 2, Memory: 2}, ExpectedRunTime: 20 * time.Second}, c.now, 1, 4096)
	c.shardLeader.jobs[j.ID] = j
	c.shardLeader.machinesByID[0].decommissioning = true
	c.shardLeader.scheduler.placeAll()
	if j.liveTasks != 0 {
		t.Fatalf("got %d of 6 tasks placed while a machine is being decommissioned, want 0", j.liveTasks)
	}
	c.shardLeader.machinesByID[0].decommissioning = false
	c.shardLeader.scheduler.placeAll()
	if j.liveTasks != 6 {
		t.Errorf("got %d of 6 tasks placed on capacity for all, want 6", j.liveTasks)
	}
}

// TestSuccessorCountsUnreportedMachines guards against renting machines after a takeover although the pool
// is large enough. A successor receives its machines' heartbeats only within some seconds. Until then it
// must count the machines that the cloud lists as running.
func TestSuccessorCountsUnreportedMachines(t *testing.T) {
	open, tasks := predecessorRecords(200)
	c := successor()
	c.takeOverRecords(open, tasks)
	c.shardLeader.fleet.view = &fleetView{receivedAt: c.now, rentals: map[string]*rental{}, blockedUntil: map[machineKind]time.Time{}, pendingRentals: map[machineKind]int{}}
	for i := range 200 {
		heartbeat := c.poolHeartbeat(i)
		c.shardLeader.ensureMachine(heartbeat.Machine)
		c.shardLeader.fleet.view.rentals[heartbeat.Machine] = &rental{id: heartbeat.Machine, machineKind: machineKind{heartbeat.MachineType, heartbeat.Zone, heartbeat.Spot}, addr: "x", status: "running", rentedAt: c.now.Add(-time.Hour)}
		c.adopt(c.shardLeader.fleet.view.rentals[heartbeat.Machine])
	}
	spec := model.JobSpec{ID: "job-w", Workload: "wide", Team: "ops", Urgency: model.Normal, Tasks: 60, AllowSpot: true,
		Need: model.Resources{CPU: 4, Memory: 4}, Image: "w", ImageGB: 1, ExpectedRunTime: 25 * time.Second, Deadline: 3 * time.Minute}
	c.shardLeader.jobs[spec.ID] = newJob(spec, c.now, 1, 4096)
	if requests := c.shardLeader.fleet.planScaleOut(c.shardLeader.fleet.futureFreeCapacity(), nil); len(requests) != 0 {
		t.Errorf("got capacity requests %v with 200 machines listed as running, want none", requests)
	}
	c.now = c.now.Add(time.Minute)
	c.shardLeader.fleet.view.receivedAt = c.now
	if requests := c.shardLeader.fleet.planScaleOut(c.shardLeader.fleet.futureFreeCapacity(), nil); len(requests) == 0 {
		t.Error("got no capacity request though no machine has sent a heartbeat for a minute, want some")
	}
}

// TestInitialBacklogIsNoArrivalRate guards against renting too many machines for jobs that accumulated
// during an outage or before the start. They all arrive within a few seconds, which must not count as a
// lasting arrival rate.
func TestInitialBacklogIsNoArrivalRate(t *testing.T) {
	c := largePool(0)
	c.shardLeader.readyAt = c.now.Add(-settleTime)
	for range 20 {
		c.shardLeader.fleet.arrivals[workloadKey{"ops", "wide"}] = append(c.shardLeader.fleet.arrivals[workloadKey{"ops", "wide"}], arrival{c.now.Add(-settleTime + time.Second), 30, model.Resources{}, &model.JobSpec{}})
	}
	if r := c.shardLeader.fleet.arrivalRate("wide", arrivalWindow); r > 20 {
		t.Errorf("got %.0f tasks per second for 600 tasks that arrived at once, want at most the rate for an arrival within %v", r, recentWindow)
	}
}

// TestOverdueJobScalesOut guards against a job that waits indefinitely because it can't meet any of its
// objectives any more, while the pool is full and the cloud refuses spot machines. On-demand machines must
// be requested for the job once it has waited longer than its bound, until a task of it has started.
func TestOverdueJobScalesOut(t *testing.T) {
	for _, tc := range []struct {
		name   string
		waited time.Duration
		done   int
		want   bool
	}{
		{"within the bound", time.Minute, 0, false},
		{"beyond the bound", 3 * time.Minute, 0, true},
		{"begun", 3 * time.Minute, 1, false},
	} {
		c := largePool(0)
		c.shardLeader.heartbeats.applyHeartbeat(c.shardLeader.ensureMachine("vm-000000"), c.poolHeartbeat(0), true)
		c.settings.Objectives = []model.Objective{{Kind: "finished", Workload: "wide", Within: 30 * time.Second}}
		for k := range c.knowledge.machineTypes {
			c.shardLeader.fleet.view.blockedUntil[machineKind{k, "z", true}] = c.now.Add(time.Hour)
		}
		job := func(id string, run time.Duration) *job {
			j := newJob(model.JobSpec{ID: id, Workload: "wide", Team: "ops", Urgency: model.Normal, Tasks: 2, AllowSpot: true, Need: model.Resources{CPU: 4}, ExpectedRunTime: run}, c.now, 1, 4096)
			c.shardLeader.jobs[id] = j
			return j
		}
		for i := range 8 {
			c.shardLeader.scheduler.placeJob(job(fmt.Sprint("job-", i), 200*time.Second), c.shardLeader.scheduler.newPlacementRound(), forever, 2)
		}
		j := job("job-late", 25*time.Second)
		j.submittedAt, j.doneTasks = c.now.Add(-tc.waited), tc.done
		if got := c.shardLeader.fleet.planScaleOut(c.shardLeader.fleet.futureFreeCapacity(), nil); (len(got) > 0) != tc.want {
			t.Errorf("%s: got capacity requests %v, want any: %v", tc.name, got, tc.want)
		}
	}
}

// TestAgingPreemptionIsBounded guards against preempting the tasks of a job again and again, so that the job
// never ends. If an overdue job has only one live task, that task must not be preempted once any tasks of
// the job were preempted maxPreemptions times in total.
func TestAgingPreemptionIsBounded(t *testing.T) {
	for _, tc := range []struct {
		name   string
		stops  int
		waited time.Duration
		want   bool
	}{
		{"overdue, below the bound", maxPreemptions - 1, 3 * time.Minute, true},
		{"overdue, at the bound", maxPreemptions, 3 * time.Minute, false},
		{"at the bound, not overdue", maxPreemptions, time.Minute, true},
	} {
		c := largePool(0)
		m := c.shardLeader.ensureMachine("vm-000000")
		c.shardLeader.heartbeats.applyHeartbeat(m, c.poolHeartbeat(0), true)
		j := newJob(model.JobSpec{ID: "job-low", Workload: "wide", Team: "ops", Tasks: 3, AllowSpot: true, Need: m.free(), ExpectedRunTime: time.Minute}, c.now.Add(-tc.waited), 1, 4096)
		c.shardLeader.jobs[j.ID] = j
		c.shardLeader.scheduler.placeJob(j, c.shardLeader.scheduler.newPlacementRound(), forever, 1)
		j.tasks[0].preemptions = tc.stops - 1
		j.nextFresh = 2
		j.tasks[1].preemptions = 1
		high := newJob(model.JobSpec{ID: "job-high", Workload: "rush", Team: "ops", Urgency: model.Urgent, Tasks: 1, AllowSpot: true, Need: m.size, ExpectedRunTime: time.Minute}, c.now, 1, 4096)
		if _, _, ok := c.shardLeader.scheduler.preemptionVictimsOn(high, m, m.free()); j.liveTasks != 1 || ok != tc.want {
			t.Errorf("%s: got preemption possible %v with %d live tasks, want %v with 1", tc.name, ok, j.liveTasks, tc.want)
		}
	}
}
