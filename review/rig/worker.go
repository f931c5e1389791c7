package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"time"
)

// host is a machine and its worker.
type host struct {
	world            *world
	id, addr         string
	flavour, site    string
	loaner           bool
	kind             machineType
	rentedAt, upAt   time.Time
	gone             bool
	goneAt           time.Time
	started          bool
	tenure           uint64
	tick, epoch      uint64
	leaseFrom        time.Time
	tasks            map[string]*task
	images           map[string]time.Time
	node             int
	lastReport       time.Time
	nextReport       time.Time
	changed          bool
	wake             chan struct{}
	tooLarge, killed int
	reports          map[int]int
}

// task is an attempt on a machine.
type task struct {
	job     *job
	index   int
	piece   string
	try     uint64
	status  string
	cause   string
	stored  bool
	readyAt time.Time
	left    time.Duration
	savedAt time.Time
}

// onMachine reports whether the task is on its machine, as the pages count it.
func (t *task) onMachine() bool { return t.status == "running" || t.status == "flushing" }

type order struct {
	Verb   string  `msgpack:"verb"`
	Piece  string  `msgpack:"piece"`
	Try    uint64  `msgpack:"try"`
	WindUp float64 `msgpack:"wind_down_s"`
}

// live returns the tasks on the machine.
func (h *host) live() []*task {
	var on []*task
	for _, t := range h.tasks {
		if t.status != "ended" {
			on = append(on, t)
		}
	}
	return on
}

// end removes the machine. The caller holds world.mu.
func (h *host) end() {
	h.gone, h.goneAt = true, time.Now()
	clear(h.tasks)
}

// leaseOver reports whether the worker's lease has expired.
func (h *host) leaseOver(now time.Time) bool {
	return h.started && now.Sub(h.leaseFrom) > seconds(h.world.settings.leaseS)
}

// seconds converts a number of seconds to a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// report returns the worker's report. The caller holds world.mu.
func (h *host) report() obj {
	h.tick++
	keys := make([]string, 0, len(h.tasks))
	for key := range h.tasks {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	pieces := make([]any, 0, len(keys))
	for _, key := range keys {
		t := h.tasks[key]
		entry := obj{"piece": t.piece, "try": t.try, "status": t.status}
		if t.status == "ended" {
			entry["cause"] = t.cause
			if t.stored {
				entry["stored"] = true
			}
		}
		pieces = append(pieces, entry)
	}
	return obj{"host": h.id, "address": h.addr, "flavour": h.flavour, "site": h.site, "loaner": h.loaner,
		"tenure": h.tenure, "tick": h.tick, "epoch": h.epoch, "recall_s": nil, "pieces": pieces}
}

// run runs the worker until the machine is gone.
func (h *host) run() {
	w := h.world
	client := &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}}
	h.reports = map[int]int{}
	busy := false
	answered := make(chan struct{}, 1)
	last := time.Now()
	for {
		select {
		case <-time.After(20 * time.Millisecond):
		case <-answered:
			busy = false
		}
		w.mu.Lock()
		now := time.Now()
		step := now.Sub(last)
		last = now
		if h.gone {
			w.mu.Unlock()
			return
		}
		if now.Before(h.upAt) {
			w.mu.Unlock()
			continue
		}
		if !h.started {
			h.started, h.tenure, h.leaseFrom, h.nextReport = true, 1, now, now
			w.logf("%s: up, %s in %s", h.id, h.flavour, h.site)
		}
		if h.leaseOver(now) {
			h.expire(now)
		}
		for _, t := range h.tasks {
			h.advance(t, now, step)
		}
		if !busy && (now.After(h.nextReport) || h.changed && now.Sub(h.lastReport) >= 500*time.Millisecond) {
			busy = true
			h.changed, h.lastReport, h.nextReport = false, now, now.Add(seconds(w.settings.reportS*(0.75+rand.Float64()/2)))
			go h.send(client, h.report(), now, h.tenure, h.node, answered)
		}
		w.mu.Unlock()
	}
}

// expire kills and forgets all tasks. The caller holds world.mu.
func (h *host) expire(now time.Time) {
	if n := len(h.live()); n > 0 {
		h.killed += n
		w := h.world
		w.logf("%s: lease expired, %d tasks killed", h.id, n)
	}
	clear(h.tasks)
	h.tenure++
	h.leaseFrom, h.changed = now, true
}

// advance runs a task on. The caller holds world.mu.
func (h *host) advance(t *task, now time.Time, step time.Duration) {
	j := t.job
	switch t.status {
	case "fetching":
		if now.Before(t.readyAt) {
			return
		}
		t.status, h.changed = "running", true
		j.starts++
		h.world.checkStart(h, t)
		if j.starts <= 200 {
			h.world.logf("%s: %s try %d starts", h.id, t.piece, t.try)
		}
	case "running":
		if j.fails {
			h.finish(t, "error")
			return
		}
		t.left -= step
		if every := j.snapshotEvery; every > 0 && j.shape == "array" {
			if steps := (j.runs - t.left) / every; steps > 0 {
				j.saved[t.index] = max(j.saved[t.index], steps*every)
			}
		}
		if t.left <= 0 && j.shape != "standing" {
			j.done[t.index] = true
			h.finish(t, "done")
		}
	case "flushing":
		if now.After(t.savedAt) {
			j.saved[t.index] = max(j.saved[t.index], j.runs-t.left)
			t.stored = true
			h.finish(t, "stopped")
		}
	}
}

func (h *host) finish(t *task, cause string) {
	t.status, t.cause, h.changed = "ended", cause, true
	if t.job.starts <= 200 {
		h.world.logf("%s: %s try %d ended: %s", h.id, t.piece, t.try, cause)
	}
}

// send sends a report and handles the answer.
func (h *host) send(client *http.Client, report obj, sent time.Time, tenure uint64, to int, answered chan<- struct{}) {
	w := h.world
	defer func() { answered <- struct{}{} }()
	body := encode(report)
	if size := jsonSize(report); size > 64<<10 {
		w.mu.Lock()
		if h.tooLarge++; h.tooLarge == 1 {
			w.logf("%s: a report of %d tasks has %d bytes as JSON, %d as sent", h.id, len(report["pieces"].([]any)), size, len(body))
		}
		w.mu.Unlock()
	}
	status, answer := 0, obj(nil)
	w.mu.Lock()
	reach := w.reach
	w.mu.Unlock()
	if reach == nil || reach(h, to) {
		ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
		status, answer = post(ctx, client, http.MethodPost, "http://"+w.nodes[to].api+"/v1/report", body)
		cancel()
	} else {
		time.Sleep(4 * time.Second)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if h.reports[status]++; status != 200 && status != 421 {
		client.CloseIdleConnections()
		if h.reports[status] <= 3 {
			w.logf("%s: report to node %d answered %d", h.id, to, status)
		}
	}
	now := time.Now()
	steward := text(answer["steward"])
	switch {
	case status == 200:
		epoch := toUint(answer["epoch"])
		if epoch < h.epoch || tenure != h.tenure || h.leaseOver(now) {
			return
		}
		if epoch > h.epoch {
			h.epoch, h.changed = epoch, true
		}
		h.leaseFrom = sent
		orders, _ := answer["orders"].([]any)
		var decoded []order
		for _, item := range orders {
			if o, ok := item.(obj); ok {
				wind, _ := strconv.ParseFloat(fmt.Sprint(o["wind_down_s"]), 64)
				decoded = append(decoded, order{text(o["verb"]), text(o["piece"]), toUint(o["try"]), wind})
			}
		}
		h.execute(fmt.Sprintf("in the answer of node %d", to), epoch, decoded)
	case status == 421 && steward != "" && steward != w.nodes[to].name && w.nodeNamed(steward) >= 0:
		h.node, h.nextReport = w.nodeNamed(steward), now.Add(time.Duration(rand.Float64()*0.5*float64(time.Second)))
	default:
		h.node, h.nextReport = (to+1)%len(w.nodes), now.Add(time.Second)
		h.lastReport = now.Add(500 * time.Millisecond)
	}
}

// execute carries out orders. The caller holds world.mu.
func (h *host) execute(via string, epoch uint64, orders []order) {
	count := map[string]int{}
	for _, o := range orders {
		count[o.Verb]++
	}
	if len(orders) > 0 {
		h.world.logf("%s: orders %s under epoch %d: %d start, %d halt, %d clear", h.id, via, epoch, count["start"], count["halt"], count["clear"])
	}
	for _, o := range orders {
		key := fmt.Sprintf("%s#%d", o.Piece, o.Try)
		t := h.tasks[key]
		switch o.Verb {
		case "start":
			if t == nil {
				h.start(o, key)
			}
		case "halt":
			if t == nil || t.status == "ended" {
				continue
			}
			saves := t.job.snapshotEvery > 0 && t.status == "running" && seconds(o.WindUp) >= t.job.snapshotCost
			switch {
			case saves:
				t.status, t.savedAt, h.changed = "flushing", time.Now().Add(t.job.snapshotCost), true
			case t.status == "flushing" && o.WindUp > 0:
			default:
				h.finish(t, "stopped")
			}
		case "clear":
			if t != nil && t.status == "ended" {
				delete(h.tasks, key)
			}
		}
	}
}

// start starts an attempt. The caller holds world.mu.
func (h *host) start(o order, key string) {
	w := h.world
	h.changed = true
	slash := strings.LastIndexByte(o.Piece, '/')
	if slash < 0 {
		return
	}
	index, _ := strconv.Atoi(o.Piece[slash+1:])
	j := w.jobs[o.Piece[:slash]]
	if j == nil || !j.submitted || index >= j.pieces {
		h.tasks[key] = &task{job: &job{}, piece: o.Piece, try: o.Try, status: "ended", cause: "unknown"}
		w.logf("%s: %s refused: unknown", h.id, key)
		if j == nil {
			w.breaks("invented", "%s was started on %s, but nobody submitted it", o.Piece, h.id)
		}
		return
	}
	t := &task{job: j, index: index, piece: o.Piece, try: o.Try, status: "fetching", left: j.runs - j.saved[index]}
	cpus, gpus, mem := j.cpus, j.gpus, j.mem
	for _, other := range h.tasks {
		if other.status == "ended" {
			continue
		}
		if other.piece == t.piece {
			t.status, t.cause = "ended", "in_use"
		}
		cpus, gpus, mem = cpus+other.job.cpus, gpus+other.job.gpus, mem+other.job.mem
	}
	if t.status != "ended" && (cpus > h.kind.cpus+1e-6 || gpus > h.kind.gpus+1e-6 || mem > h.kind.mem+1e-6) {
		t.status, t.cause = "ended", "no_room"
	}
	if t.status == "ended" {
		w.logf("%s: %s refused: %s", h.id, key, t.cause)
	}
	now := time.Now()
	if ready, ok := h.images[j.bundle]; !ok || ready.IsZero() {
		h.images[j.bundle] = now.Add(seconds(j.imageGB / h.kind.pull))
	}
	t.readyAt = h.images[j.bundle]
	if j.done[index] {
		t.left = 0
	}
	h.tasks[key] = t
}

// serve answers direct requests.
func (h *host) serve(rw http.ResponseWriter, r *http.Request) {
	var command struct {
		Epoch  *uint64 `msgpack:"epoch"`
		Tenure *uint64 `msgpack:"tenure"`
		Orders []order `msgpack:"orders"`
	}
	ok := r.URL.Path == "/status" || readBody(r, &command)
	w := h.world
	w.mu.Lock()
	defer w.mu.Unlock()
	if h.gone || !h.started {
		panic(http.ErrAbortHandler)
	}
	if h.leaseOver(time.Now()) {
		h.expire(time.Now())
	}
	switch {
	case r.URL.Path == "/status":
		writeReply(rw, 200, h.report())
	case !ok || command.Epoch == nil || command.Tenure == nil:
		writeReply(rw, 400, obj{"error": "malformed"})
	case *command.Epoch < h.epoch || *command.Tenure != h.tenure:
		w.logf("%s: %d orders sent directly under epoch %d, tenure %d refused; the worker has epoch %d, tenure %d", h.id, len(command.Orders), *command.Epoch, *command.Tenure, h.epoch, h.tenure)
		writeReply(rw, 409, h.report())
	default:
		if *command.Epoch > h.epoch {
			h.epoch, h.changed = *command.Epoch, true
		}
		h.execute("sent directly", *command.Epoch, command.Orders)
		writeReply(rw, 200, h.report())
	}
}
