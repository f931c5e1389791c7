package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"sort"
	"sync"
	"time"
)

// machineType is a type of machine that the cloud rents out.
type machineType struct {
	name             string
	cpus, gpus, mem  float64
	disk, pull       float64
	price, spotPrice float64
	readyS           float64
	zones            []string
}

// job is a job as its user describes it.
type job struct {
	id, workload, owner, shape, urgency string
	pieces                              int
	cpus, gpus, mem                     float64
	bundle                              string
	imageGB                             float64
	flavours                            []string
	site                                string
	samePlace, apart, loaner            bool
	expected, runs                      time.Duration
	snapshotEvery, snapshotCost         time.Duration
	fails                               bool

	// What the stand-ins know of the job; guarded by world.mu.
	submitted  bool
	acceptedAt time.Time
	done       map[int]bool
	saved      map[int]time.Duration
	starts     int
}

// body returns the submission of the job.
func (j *job) body() obj {
	var site, flavours any
	if j.site != "" {
		site = j.site
	}
	if j.flavours != nil {
		flavours = j.flavours
	}
	return obj{
		"id": j.id, "workload": j.workload, "owner": j.owner, "shape": j.shape, "urgency": j.urgency, "pieces": j.pieces,
		"vcpus": j.cpus, "gpus": j.gpus, "memory_gb": j.mem, "bundle": j.bundle, "image_gb": j.imageGB, "flavours": flavours, "site": site,
		"same_place": j.samePlace, "apart": j.apart, "loaner": j.loaner, "expected_s": j.expected.Seconds(),
		"snapshot_every_s": j.snapshotEvery.Seconds(), "snapshot_cost_s": j.snapshotCost.Seconds(), "due_s": nil,
	}
}

// world holds the cloud, the workers and the jobs, and checks the rules.
type world struct {
	mu       sync.Mutex
	began    time.Time
	record   *os.File
	dir      string // holds the settings and logs of the nodes
	settings *deployment
	nodes    []*node
	types    []machineType
	capacity map[string]int // by type/zone/spot
	hosts    map[string]*host
	order    []string
	bookings map[string][]string
	jobs     map[string]*job
	broken   []string
	// reach, if set, says whether a worker can open a connection to a node; see setReach.
	reach func(h *host, node int) bool
}

// logf writes a line to record.txt.
func (w *world) logf(format string, args ...any) {
	fmt.Fprintf(w.record, "%8.3f %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// breaks records that a rule was broken.
func (w *world) breaks(rule, format string, args ...any) {
	line := rule + ": " + fmt.Sprintf(format, args...)
	w.logf("BROKEN %s", line)
	if len(w.broken) < 100 {
		w.broken = append(w.broken, line)
	}
}

// kind is the name of a kind of machine in world.capacity.
func kind(name, zone string, spot bool) string { return fmt.Sprintf("%s/%s/%v", name, zone, spot) }

func (w *world) typeOf(name string) *machineType {
	for i := range w.types {
		if w.types[i].name == name {
			return &w.types[i]
		}
	}
	return nil
}

// serveCloud answers requests to the cloud.
func (w *world) serveCloud(rw http.ResponseWriter, r *http.Request) {
	time.Sleep(20 * time.Millisecond)
	w.mu.Lock()
	defer w.mu.Unlock()
	switch r.Method + " " + r.URL.Path {
	case "GET /machine_types":
		flavours := []any{}
		for _, t := range w.types {
			flavours = append(flavours, obj{"name": t.name, "vcpus": t.cpus, "gpus": t.gpus, "memory_gb": t.mem, "local_gb": t.disk, "pull_gb_per_s": t.pull,
				"price": t.price, "market_price": t.spotPrice, "ready_s": t.readyS, "sites": t.zones})
		}
		writeReply(rw, 200, obj{"flavours": flavours})
	case "GET /rentals":
		w.listHosts(rw, r.URL.Query().Get("from"))
	case "POST /rentals":
		var want struct {
			Booking string `msgpack:"booking"`
			Flavour string `msgpack:"flavour"`
			Site    string `msgpack:"site"`
			Loaner  bool   `msgpack:"loaner"`
			Count   int    `msgpack:"count"`
		}
		if !readBody(r, &want) || want.Booking == "" || want.Count < 1 || want.Count > 50 || w.typeOf(want.Flavour) == nil {
			writeReply(rw, 400, obj{"error": "malformed"})
			return
		}
		if hosts, ok := w.bookings[want.Booking]; ok {
			writeReply(rw, 200, obj{"hosts": hosts})
			return
		}
		k := kind(want.Flavour, want.Site, want.Loaner)
		n := min(want.Count, w.capacity[k])
		if n <= 0 {
			writeReply(rw, 503, obj{"error": "no capacity"})
			return
		}
		w.capacity[k] -= n
		hosts := []string{}
		for range n {
			hosts = append(hosts, w.rent(want.Flavour, want.Site, want.Loaner).id)
		}
		w.bookings[want.Booking] = hosts
		w.logf("cloud: booking %s: %d of %d %s", want.Booking, n, want.Count, k)
		writeReply(rw, 200, obj{"hosts": hosts})
	case "POST /rentals/return":
		var back struct {
			Hosts []string `msgpack:"hosts"`
		}
		if !readBody(r, &back) || len(back.Hosts) > 100 {
			writeReply(rw, 400, obj{"error": "malformed"})
			return
		}
		for _, id := range back.Hosts {
			if h := w.hosts[id]; h != nil && !h.gone {
				w.logf("cloud: %s returned, with %d tasks", id, len(h.live()))
				w.capacity[kind(h.flavour, h.site, h.loaner)]++
				h.end()
			}
		}
		writeReply(rw, 200, obj{})
	default:
		writeReply(rw, 400, obj{"error": "malformed"})
	}
}

// listHosts answers with a page of the machines as they were list_lag_s ago.
func (w *world) listHosts(rw http.ResponseWriter, from string) {
	asOf := time.Now().Add(-time.Duration(w.settings.listLagS * float64(time.Second)))
	rows, truncated := []any{}, false
	for _, id := range w.order {
		h := w.hosts[id]
		if id <= from || h.rentedAt.After(asOf) || h.gone && h.goneAt.Before(asOf) {
			continue
		}
		if len(rows) == 500 {
			truncated = true
			break
		}
		status := "running"
		if h.upAt.After(asOf) {
			status = "booting"
		}
		rows = append(rows, obj{"id": id, "address": h.addr, "flavour": h.flavour, "site": h.site, "loaner": h.loaner, "status": status, "held_s": asOf.Sub(h.rentedAt).Seconds()})
	}
	writeReply(rw, 200, obj{"hosts": rows, "truncated": truncated})
}

// rent creates a machine. The caller holds mu.
func (w *world) rent(flavour, site string, loaner bool) *host {
	h := &host{
		world: w, id: fmt.Sprintf("vm-%06d", len(w.order)+1), flavour: flavour, site: site, loaner: loaner, kind: *w.typeOf(flavour), rentedAt: time.Now(),
		tasks: map[string]*task{}, images: map[string]time.Time{}, wake: make(chan struct{}, 1),
	}
	boot := time.Duration(h.kind.readyS * (0.8 + 0.4*rand.Float64()) * float64(time.Second))
	h.upAt = h.rentedAt.Add(boot)
	h.addr = serve(h.serve)
	h.node = rand.IntN(len(w.nodes))
	w.hosts[h.id] = h
	w.order = append(w.order, h.id)
	sort.Strings(w.order)
	go h.run()
	return h
}

// elsewhere returns a machine other than h on which the task is, or nil.
func (w *world) elsewhere(h *host, piece string) *host {
	for _, id := range w.order {
		other := w.hosts[id]
		if other == h || other.gone || other.leaseOver(time.Now()) {
			continue
		}
		for _, t := range other.tasks {
			if t.piece == piece && t.onMachine() {
				return other
			}
		}
	}
	return nil
}

// checkStart checks the rules for a task that starts on a machine. The caller holds mu.
func (w *world) checkStart(h *host, t *task) {
	j := t.job
	if other := w.elsewhere(h, t.piece); other != nil {
		w.breaks("ran_twice", "%s try %d starts on %s while it is on %s", t.piece, t.try, h.id, other.id)
	}
	if h.loaner && !j.loaner || j.site != "" && j.site != h.site || j.flavours != nil && !slices.Contains(j.flavours, h.flavour) {
		w.breaks("wrong_place", "%s starts on %s, a %s in %s, spot %v; its job allows types %v (nil: any), zone %q, spot %v", t.piece, h.id, h.flavour, h.site, h.loaner, j.flavours, j.site, j.loaner)
	}
	zones := map[string]int{}
	cpu := map[string]float64{}
	for _, id := range w.order {
		other := w.hosts[id]
		if other.gone || other.leaseOver(time.Now()) {
			continue
		}
		for _, on := range other.tasks {
			if on.onMachine() || on == t {
				cpu[on.job.owner] += on.job.cpus
				if on.job == j {
					zones[other.site]++
				}
			}
		}
	}
	if j.samePlace && len(zones) > 1 {
		w.breaks("wrong_place", "%s starts on %s in %s, tasks by zone %v", t.piece, h.id, h.site, zones)
	}
	if j.apart && zones[h.site] > (j.pieces+1)/2 {
		w.breaks("wrong_place", "%s starts on %s in %s, tasks by zone %v", t.piece, h.id, h.site, zones)
	}
	for _, team := range w.settings.teams {
		if team.cpusMax > 0 && cpu[team.name] > team.cpusMax+1e-6 {
			w.breaks("quota", "%s uses %.1f of %.1f CPUs when %s starts on %s", team.name, cpu[team.name], team.cpusMax, t.piece, h.id)
		}
	}
}

// setReach sets which workers can open a connection to which node; nil means all.
func (w *world) setReach(reach func(h *host, node int) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.reach = reach
}

// nodeOf returns the node to which a worker reports.
func (w *world) nodeOf(h *host) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return h.node
}

// hostOf returns the machine on which a task of the job is, or nil.
func (w *world) hostOf(j *job) *host {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, id := range w.order {
		for _, t := range w.hosts[id].tasks {
			if t.job == j && t.onMachine() {
				return w.hosts[id]
			}
		}
	}
	return nil
}

// startsOf returns how many of the jobs have had a start.
func (w *world) startsOf(jobs []*job) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, j := range jobs {
		n += min(1, j.starts)
	}
	return n
}

// waitRunning waits until a task of each job is on a machine.
func (w *world) waitRunning(jobs []*job, within time.Duration) bool {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		running := 0
		for _, j := range jobs {
			if w.hostOf(j) != nil {
				running++
			}
		}
		if running == len(jobs) {
			return true
		}
	}
	return false
}

// runningTasks returns how many tasks of the job run.
func (w *world) runningTasks(j *job) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, id := range w.order {
		for _, t := range w.hosts[id].tasks {
			if t.job == j && t.status == "running" {
				n++
			}
		}
	}
	return n
}
