package main

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// attempt is one attempt of a task on a machine.
type attempt struct {
	piece  string
	job    *Job
	try    uint64
	status string
	cause  string
	stored bool
	since  time.Time // when the status began
}

// Worker is a stand-in of a machine with its worker.
type Worker struct {
	w        *World
	id       string
	addr     string
	flavour  *Flavour
	site     string
	loaner   bool
	rentedAt time.Time
	ready    time.Duration

	mu       sync.Mutex
	tenure   uint64
	tick     uint64
	epoch    uint64
	pieces   []*attempt
	lease    time.Time // when the last answered report was sent, or when the session began
	changed  bool
	node     int
	nextAt   time.Time
	lastSent time.Time
	gone     bool
	images   map[string]bool
	server   *http.Server
	client   *http.Client
	stop     chan struct{}
	// live and leaseFrom repeat gone and lease for the check, which reads them without the lock.
	live      atomic.Bool
	leaseFrom atomic.Int64
	carried   []obj // direct commands that were carried out and answered, with a start among them
}

func newWorker(w *World, id string, f *Flavour, site string, loaner bool, ready time.Duration) *Worker {
	h := &Worker{w: w, id: id, flavour: f, site: site, loaner: loaner, rentedAt: time.Now(), ready: ready, images: map[string]bool{}, stop: make(chan struct{}), node: w.rand(w.opt.Nodes)}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	h.addr = ln.Addr().String()
	h.server = &http.Server{Handler: http.HandlerFunc(h.serve)}
	h.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	h.live.Store(true)
	go func() { _ = h.server.Serve(ln) }()
	go h.run()
	return h
}

func (h *Worker) kill(why string) {
	h.mu.Lock()
	if h.gone {
		h.mu.Unlock()
		return
	}
	h.gone = true
	h.live.Store(false)
	h.dropAll(why)
	close(h.stop)
	h.mu.Unlock()
	go h.server.Close()
}

// setLease sets the time from which the lease counts. The caller holds mu.
func (h *Worker) setLease(from time.Time) {
	h.lease = from
	h.leaseFrom.Store(from.UnixNano())
}

// dropAll kills and forgets all tasks. The caller holds mu.
func (h *Worker) dropAll(why string) {
	for _, a := range h.pieces {
		if a.onMachine() {
			h.w.check.left(h, a, why)
		}
	}
	h.pieces = nil
}

func (a *attempt) onMachine() bool { return a.status == "running" || a.status == "flushing" }

func (h *Worker) run() {
	select {
	case <-h.stop:
		return
	case <-time.After(h.ready):
	}
	h.mu.Lock()
	h.tenure, h.changed = 1, true
	h.setLease(time.Now())
	h.mu.Unlock()
	pending := make(chan struct{}, 1)
	t := time.NewTicker(20 * time.Millisecond)
	defer t.Stop()
	for {
		select {
		case <-h.stop:
			return
		case <-t.C:
		}
		h.mu.Lock()
		if h.gone {
			h.mu.Unlock()
			continue
		}
		now := time.Now()
		h.advance(now)
		period := time.Duration(h.w.opt.ReportS * (0.75 + 0.5*h.w.float()) * float64(time.Second))
		due := now.After(h.nextAt) || h.changed && now.Sub(h.lastSent) > 500*time.Millisecond
		if due && now.After(h.lastSent.Add(300*time.Millisecond)) {
			select {
			case pending <- struct{}{}:
				h.changed, h.lastSent, h.nextAt = false, now, now.Add(period)
				h.tick++
				body, tenure, node, lease := encode(h.report()), h.tenure, h.node, now
				go func() {
					code, answer := h.post(node, body)
					h.after(node, code, answer, tenure, lease)
					<-pending
				}()
			default:
			}
		}
		h.mu.Unlock()
	}
}

func (h *Worker) post(node int, body []byte) (int, obj) {
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.w.nodes[node].api+"/v1/report", bytes.NewReader(body))
	req.Header.Set("Content-Type", "application/msgpack")
	resp, err := h.client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, decode(b)
}

// after handles the answer to a report.
func (h *Worker) after(node, code int, answer obj, tenure uint64, sent time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.advance(time.Now())
	if h.gone {
		return
	}
	now := time.Now()
	if now.Sub(sent) > 4*time.Second {
		code = 0
	}
	switch code {
	case 200:
		epoch := uint64(num(answer["epoch"]))
		if tenure != h.tenure || epoch < h.epoch {
			return
		}
		if epoch > h.epoch {
			h.epoch, h.changed = epoch, true
		}
		h.setLease(sent)
		h.execute(asList(answer["orders"]), "reply")
	case 421:
		if to, ok := h.w.byName[text(answer["steward"])]; ok && to != node {
			h.node, h.nextAt = to, now
			return
		}
		h.node, h.nextAt = (node+1)%h.w.opt.Nodes, now.Add(time.Second)
		h.changed = false
	default:
		h.node, h.nextAt = (node+1)%h.w.opt.Nodes, now.Add(time.Second)
		h.changed = false
	}
}

// report returns the report. The caller holds mu.
func (h *Worker) report() obj {
	pieces := []any{}
	for _, a := range h.pieces {
		o := obj{"piece": a.piece, "try": a.try, "status": a.status}
		if a.status == "ended" {
			o["cause"] = a.cause
			if a.cause == "stopped" {
				o["stored"] = a.stored
			}
		}
		pieces = append(pieces, o)
	}
	return obj{"host": h.id, "address": h.addr, "flavour": h.flavour.Name, "site": h.site, "loaner": h.loaner, "tenure": h.tenure, "tick": h.tick, "epoch": h.epoch, "recall_s": nil, "pieces": pieces}
}

// advance moves the tasks and the lease on. The caller holds mu.
func (h *Worker) advance(now time.Time) {
	if h.tenure == 0 || h.gone {
		return
	}
	if now.Sub(h.lease) > time.Duration(h.w.opt.LeaseS*float64(time.Second)) {
		if len(h.pieces) > 0 {
			h.w.logf("%s lease expired with %d pieces", h.id, len(h.pieces))
		}
		h.dropAll("lease expired")
		h.tenure++
		h.changed = true
		h.setLease(now)
	}
	for _, a := range h.pieces {
		switch a.status {
		case "fetching":
			if h.images[a.job.Image] || now.Sub(a.since) > time.Duration(a.job.ImageGB/h.flavour.Pull*float64(time.Second)) {
				h.images[a.job.Image] = true
				a.status, a.since, h.changed = "running", now, true
				h.w.check.started(h, a)
				if a.job.finished(a.piece) {
					a.status, a.cause = "ended", "done"
					h.w.check.left(h, a, "done")
				}
			}
		case "running":
			if !a.job.Standing && now.Sub(a.since) >= a.job.runTime(a.piece) {
				a.status, a.cause, h.changed = "ended", "done", true
				a.job.finish(a.piece)
				h.w.check.left(h, a, "done")
			}
		case "flushing":
			if now.Sub(a.since) >= time.Duration(a.job.SaveCost*float64(time.Second)) {
				a.status, a.cause, a.stored, h.changed = "ended", "stopped", true, true
				h.w.check.left(h, a, "saved")
			}
		}
	}
}

// execute carries out commands. The caller holds mu.
func (h *Worker) execute(orders []any, how string) {
	for _, x := range orders {
		o := asMap(x)
		piece, try := text(o["piece"]), uint64(num(o["try"]))
		var found *attempt
		var other bool
		for _, a := range h.pieces {
			if a.piece == piece && a.try == try {
				found = a
			} else if a.piece == piece && a.status != "ended" {
				other = true
			}
		}
		switch text(o["verb"]) {
		case "start":
			if found != nil {
				continue
			}
			h.changed = true
			a := &attempt{piece: piece, try: try, status: "fetching", since: time.Now(), job: h.w.jobOf(piece)}
			switch {
			case a.job == nil:
				a.status, a.cause = "ended", "unknown"
			case other:
				a.status, a.cause = "ended", "in_use"
			case !h.fits(a.job):
				a.status, a.cause = "ended", "no_room"
			}
			h.w.logf("%s start %s try %d by %s epoch %d: %s %s", h.id, piece, try, how, h.epoch, a.status, a.cause)
			h.pieces = append(h.pieces, a)
		case "halt":
			if found == nil || found.status == "ended" {
				continue
			}
			h.changed = true
			grace := num(o["wind_down_s"])
			h.w.logf("%s halt %s try %d by %s", h.id, piece, try, how)
			if found.status == "running" && found.job.SaveEvery > 0 && grace >= found.job.SaveCost {
				found.status, found.since = "flushing", time.Now()
				continue
			}
			if found.status == "flushing" && grace > 0 {
				continue
			}
			was := found.onMachine()
			found.status, found.cause = "ended", "stopped"
			if was {
				h.w.check.left(h, found, "stopped")
			}
		case "clear":
			for i, a := range h.pieces {
				if a == found && a.status == "ended" {
					h.pieces = append(h.pieces[:i:i], h.pieces[i+1:]...)
					h.changed = true
					h.w.logf("%s clear %s try %d by %s", h.id, piece, try, how)
					break
				}
			}
		}
	}
	h.advance(time.Now())
}

func (h *Worker) fits(j *Job) bool {
	cpu, gpu, mem := j.CPU, j.GPU, j.Memory
	for _, a := range h.pieces {
		if a.status != "ended" {
			cpu, gpu, mem = cpu+a.job.CPU, gpu+a.job.GPU, mem+a.job.Memory
		}
	}
	return cpu <= h.flavour.CPU+1e-9 && gpu <= h.flavour.GPU+1e-9 && mem <= h.flavour.Memory+1e-9
}

func (h *Worker) serve(rw http.ResponseWriter, r *http.Request) {
	body := readMap(r)
	h.mu.Lock()
	up := !h.gone && h.tenure > 0
	h.mu.Unlock()
	if !up {
		<-r.Context().Done()
		return
	}
	h.mu.Lock()
	h.advance(time.Now())
	code := 200
	if h.gone {
		code = 500
	} else if r.URL.Path == "/orders" {
		switch {
		case body["epoch"] == nil || body["tenure"] == nil:
			code = 400
		case uint64(num(body["epoch"])) < h.epoch || uint64(num(body["tenure"])) != h.tenure:
			code = 409
		default:
			if e := uint64(num(body["epoch"])); e > h.epoch {
				h.epoch, h.changed = e, true
			}
			if starts(body) {
				h.carried = append(h.carried, body)
			}
			h.execute(asList(body["orders"]), "orders")
		}
	}
	h.tick++
	out := h.report()
	h.mu.Unlock()
	reply(rw, code, out)
}

// starts reports whether a request to /orders has a start command.
func starts(body obj) bool {
	for _, o := range asList(body["orders"]) {
		if text(asMap(o)["verb"]) == "start" {
			return true
		}
	}
	return false
}

// Repeat delivers a copy of the request that started a task, as a repeat of a request that was
// carried out. It reports whether there was such a request.
func (h *Worker) Repeat(piece string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, body := range h.carried {
		for _, o := range asList(body["orders"]) {
			if text(asMap(o)["verb"]) != "start" || text(asMap(o)["piece"]) != piece {
				continue
			}
			h.advance(time.Now())
			epoch, tenure := uint64(num(body["epoch"])), uint64(num(body["tenure"]))
			if epoch < h.epoch || tenure != h.tenure {
				h.w.logf("%s: repeat of %v with epoch %d, tenure %d -> 409 (epoch %d, tenure %d)", h.id, body["orders"], epoch, tenure, h.epoch, h.tenure)
				return true
			}
			h.w.logf("%s: repeat of %v with epoch %d, tenure %d -> carried out", h.id, body["orders"], epoch, tenure)
			h.execute(asList(body["orders"]), "repeated orders")
			h.tick++
			return true
		}
	}
	return false
}

// Steward returns the node that answered the worker's reports last.
func (h *Worker) Steward() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.node
}

// jobName returns the job of a task's name.
func jobName(piece string) string { return piece[:strings.LastIndexByte(piece, '/')] }
