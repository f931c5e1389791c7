package standin

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/micahill/micahill/internal/core"
	"github.com/vmihailenco/msgpack/v5"
	"golang.org/x/time/rate"
)

// Live serves the models over HTTP in real time, so that whole controllers can
// be tested with their clients: the wire forms, the limits and the errors.
// It writes the wire forms out once more, from the protocol, on purpose: the
// controllers' own types would agree with their own mistakes.
type Live struct {
	mu      sync.Mutex
	w       *World
	nodes   []string
	reqs    *rate.Limiter
	puts    *rate.Limiter
	away    bool
	servers []*httptest.Server
	// hosts serve the machines' own addresses, and clients send their reports.
	hosts   map[*Worker]*httptest.Server
	clients map[*Worker]*http.Client
	counts  LiveCounts
	traffic liveTraffic
	State   string
	Cloud   string
}

type obj = map[string]any

// NewLive starts state service and cloud. Stop ends them.
func NewLive(set core.Settings, rps, wps float64, types []core.MachineType, room map[string]int, nodes []string) *Live {
	l := &Live{
		nodes: nodes, reqs: rate.NewLimiter(rate.Limit(rps), int(rps)), puts: rate.NewLimiter(rate.Limit(wps), int(wps)),
		hosts: map[*Worker]*httptest.Server{}, clients: map[*Worker]*http.Client{}, counts: newCounts(),
	}
	l.w = NewWorld(1, 0, set, time.Minute, types, room)
	l.w.reporter = l.report
	l.w.rented, l.w.gone = l.host, l.unhost
	l.State = l.serve(http.HandlerFunc(l.state))
	l.Cloud = l.serve(http.HandlerFunc(l.cloud))
	return l
}

func (l *Live) serve(h http.Handler) string {
	s := httptest.NewServer(h)
	l.servers = append(l.servers, s)
	return strings.TrimPrefix(s.URL, "http://")
}

// host opens a machine's own address, and chooses the node that it reports to first.
func (l *Live) host(m *Worker) {
	s := httptest.NewUnstartedServer(l.worker(m))
	s.Listener = meteredListener{s.Listener, &l.traffic.ordersIn, &l.traffic.ordersOut}
	s.Start()
	l.hosts[m], l.clients[m] = s, l.reporterClient()
	m.Addr = strings.TrimPrefix(s.URL, "http://")
	m.node = l.w.names % len(l.nodes)
}

// unhost closes it once the machine is gone.
func (l *Live) unhost(m *Worker) {
	s, c := l.hosts[m], l.clients[m]
	delete(l.hosts, m)
	delete(l.clients, m)
	// A request under way waits for the lock that is held here.
	go func() {
		s.Close()
		c.CloseIdleConnections()
	}()
}

// Run lets time pass until the context ends.
func (l *Live) Run(ctx context.Context) {
	const step = 20 * time.Millisecond
	t := time.NewTicker(step)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		l.mu.Lock()
		l.w.now = time.Now()
		if !l.away {
			l.w.state.Tick(l.w.now)
		}
		l.w.advanceAll(step)
		l.w.checkAll()
		l.mu.Unlock()
	}
}

// Stop ends the servers.
func (l *Live) Stop() {
	l.mu.Lock()
	servers := append([]*httptest.Server{}, l.servers...)
	for m, s := range l.hosts {
		servers = append(servers, s)
		l.clients[m].CloseIdleConnections()
	}
	l.mu.Unlock()
	for _, s := range servers {
		s.CloseClientConnections()
		s.Close()
	}
}

// Away takes the state service away, or brings it back.
func (l *Live) Away(away bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.away = away
	if !away {
		l.w.state.Extend(time.Now())
	}
}

// Know tells the workers of a job, as its user's upload would.
func (l *Live) Know(spec core.JobSpec, run time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.w.jobs[spec.ID] = newUserJob(spec, run)
}

// Learn lets the workers fetch descriptions of jobs from the function, which is
// called with a job's id.
func (l *Live) Learn(fn func(id string) (core.JobSpec, time.Duration, bool)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.w.learn = fn
}

// Room sets how many machines the cloud has left of a kind, such as box/a/true.
func (l *Live) Room(kind string, machines int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.w.room[kind] = machines
}

// Running names the tasks that are on machines now, and Started counts all starts.
func (l *Live) Running() (tasks []string, started int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, id := range sorted(l.w.machine) {
		m := l.w.machine[id]
		for _, t := range m.tasks {
			if t.onMachine() && !m.dead {
				tasks = append(tasks, taskName(t.job.spec.ID, t.index))
			}
		}
	}
	return tasks, l.w.Started
}

// Broken lists broken rules.
func (l *Live) Broken() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.w.Broken...)
}

func reply(rw http.ResponseWriter, status int, v any) {
	b, err := msgpack.Marshal(v)
	if err != nil {
		panic(err)
	}
	rw.Header().Set("Content-Type", "application/msgpack")
	rw.WriteHeader(status)
	rw.Write(b)
}

func read(r *http.Request) obj {
	b, _ := io.ReadAll(r.Body)
	var o obj
	if len(b) > 0 && msgpack.Unmarshal(b, &o) != nil {
		return nil
	}
	return o
}

func num(v any) uint64 {
	f, _ := strconv.ParseFloat(fmt.Sprint(v), 64)
	return uint64(f)
}

func str(v any) string { s, _ := v.(string); return s }

func list(v any) []any { s, _ := v.([]any); return s }

func raw(v any) []byte { b, _ := msgpack.Marshal(v); return b }

func value(b []byte) any {
	var v any
	if msgpack.Unmarshal(b, &v) != nil {
		return nil
	}
	return v
}

func (l *Live) state(rw http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	op, writes, bad := stateOp(r)
	out := make(chan core.StoreResponse, 1)
	switch {
	case bad:
		l.mu.Unlock()
		reply(rw, 400, obj{"error": "malformed"})
		return
	case l.away && op.Kind != core.OpWatch:
		l.mu.Unlock()
		reply(rw, 503, obj{"error": "trouble"})
		return
	case !l.reqs.Allow() || writes > 0 && !l.puts.AllowN(time.Now(), writes):
		l.counts.request(&op, true)
		l.mu.Unlock()
		reply(rw, 429, obj{"error": "rate"})
		return
	}
	l.counts.request(&op, false)
	l.w.state.Do(time.Now(), op, func(d core.StoreResponse) { out <- d })
	l.mu.Unlock()
	var d core.StoreResponse
	select {
	case d = <-out:
	case <-r.Context().Done():
		return
	}
	l.stateAnswer(rw, op, d)
}

func stateOp(r *http.Request) (op core.StoreRequest, writes int, bad bool) {
	q := r.URL.Query()
	path := r.URL.Path
	switch {
	case path == "/store":
		op = core.StoreRequest{Kind: core.OpList, Key: q.Get("under"), StartAfter: q.Get("from")}
	case strings.HasPrefix(path, "/store/"):
		op = core.StoreRequest{Kind: core.OpGet, Key: strings.TrimPrefix(path, "/store/")}
	case path == "/follow":
		hold, _ := strconv.Atoi(q.Get("hold_ms"))
		rev, err := strconv.ParseUint(q.Get("from"), 10, 64)
		op = core.StoreRequest{Kind: core.OpWatch, Key: q.Get("under"), Revision: rev, WatchTimeout: time.Duration(hold) * time.Millisecond}
		bad = err != nil || hold > 60000
	case path == "/grants":
		ttl := num(read(r)["ttl_ms"])
		op = core.StoreRequest{Kind: core.OpLeaseGrant, TTL: time.Duration(ttl) * time.Millisecond}
		bad = ttl < 100 || ttl > 600000
	case strings.HasSuffix(path, "/renew"):
		op = core.StoreRequest{Kind: core.OpLeaseRenew, LeaseID: num(strings.Split(path, "/")[2])}
	case strings.HasPrefix(path, "/grants/"):
		op = core.StoreRequest{Kind: core.OpLeaseRevoke, LeaseID: num(strings.Split(path, "/")[2])}
	case path == "/multi":
		op.Kind = core.OpTxn
		o := read(r)
		for _, c := range list(o["when"]) {
			m := c.(obj)
			op.Compares = append(op.Compares, core.Compare{Key: str(m["key"]), ModRevision: num(m["stamp"])})
		}
		for _, c := range list(o["apply"]) {
			m := c.(obj)
			writes++
			if k := str(m["remove"]); k != "" {
				op.Writes = append(op.Writes, core.Write{Key: k})
				continue
			}
			_, isMap := m["value"].(obj)
			op.Writes = append(op.Writes, core.Write{Key: str(m["put"]), Value: raw(m["value"]), LeaseID: num(m["permit"])})
			bad = bad || str(m["put"]) == "" || !isMap
		}
	default:
		bad = true
	}
	return op, writes, bad
}

func (l *Live) stateAnswer(rw http.ResponseWriter, op core.StoreRequest, d core.StoreResponse) {
	rows := func() []any {
		out := []any{}
		for _, it := range d.KeyValues {
			o := obj{"stamp": it.ModRevision}
			switch {
			case it.Deleted:
				o["remove"] = it.Key
			case op.Kind == core.OpWatch:
				o["put"], o["value"] = it.Key, value(it.Value)
			default:
				o["key"], o["value"] = it.Key, value(it.Value)
			}
			out = append(out, o)
		}
		return out
	}
	switch d.Status {
	case core.StoreNotFound:
		reply(rw, 404, obj{"ledger_rev": d.Revision})
	case core.StoreConflict:
		reply(rw, 409, obj{"failed": d.FailedKeys, "ledger_rev": d.Revision})
	case core.StoreCompacted:
		reply(rw, 410, obj{"error": "too old"})
	case core.StoreNoLease:
		reply(rw, 400, obj{"error": "no such lease"})
	case core.StoreMalformed:
		reply(rw, 400, obj{"error": "malformed"})
	case StateTooMany:
		reply(rw, 429, obj{"error": "rate"})
	default:
		switch op.Kind {
		case core.OpGet:
			it := d.KeyValues[0]
			reply(rw, 200, obj{"key": it.Key, "value": value(it.Value), "stamp": it.ModRevision})
		case core.OpList:
			reply(rw, 200, obj{"rows": rows(), "truncated": d.Truncated, "ledger_rev": d.Revision})
		case core.OpWatch:
			reply(rw, 200, obj{"news": rows(), "ledger_rev": d.Revision})
		case core.OpLeaseGrant:
			reply(rw, 200, obj{"permit": d.LeaseID})
		default:
			reply(rw, 200, obj{"ledger_rev": d.Revision})
		}
	}
}

func (l *Live) cloud(rw http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.w.now = time.Now()
	switch r.Method + r.URL.Path {
	case "GET/machine_types":
		var out []any
		for _, f := range l.w.cloud(core.CloudRequest{Kind: core.CloudListTypes}).MachineTypes {
			out = append(out, obj{"name": f.Name, "vcpus": f.Capacity.CPU, "gpus": f.Capacity.GPU, "memory_gb": f.Capacity.Memory, "local_gb": f.DiskGB,
				"pull_gb_per_s": f.ImageFetchRate, "price": f.CostPerHour, "market_price": f.SpotCostPerHour, "ready_s": f.ProvisioningTime.Seconds(), "sites": f.Zones})
		}
		reply(rw, 200, obj{"flavours": out})
	case "GET/rentals":
		out := []any{}
		for _, m := range l.w.cloud(core.CloudRequest{Kind: core.CloudListMachines}).Machines {
			out = append(out, obj{"id": m.ID, "address": m.Addr, "flavour": m.MachineType, "site": m.Zone, "loaner": m.Spot, "status": m.Status, "held_s": m.Age.Seconds()})
		}
		reply(rw, 200, obj{"hosts": out, "truncated": false})
	case "POST/rentals":
		o := read(r)
		spot, _ := o["loaner"].(bool)
		d := l.w.cloud(core.CloudRequest{Kind: core.CloudRent, IdempotencyKey: str(o["booking"]), MachineType: str(o["flavour"]), Zone: str(o["site"]), Spot: spot, Count: int(num(o["count"]))})
		if d.Status == core.CloudNoCapacity {
			reply(rw, 503, obj{"error": "no capacity"})
			return
		}
		reply(rw, 200, obj{"hosts": d.Rented})
	case "POST/rentals/return":
		var ids []string
		for _, h := range list(read(r)["hosts"]) {
			ids = append(ids, str(h))
		}
		l.w.cloud(core.CloudRequest{Kind: core.CloudRelease, Machines: ids})
		reply(rw, 200, obj{})
	default:
		reply(rw, 400, obj{"error": "malformed"})
	}
}

func wireReport(r *core.Heartbeat) obj {
	o := obj{"host": r.Machine, "address": r.Addr, "flavour": r.MachineType, "site": r.Zone, "loaner": r.Spot,
		"tenure": r.Incarnation, "tick": r.Sequence, "epoch": r.Epoch, "recall_s": nil}
	if r.ReclaimIn >= 0 {
		o["recall_s"] = r.ReclaimIn.Seconds()
	}
	pieces := []any{}
	for _, t := range r.Tasks {
		p := obj{"piece": taskName(t.Job, t.Index), "try": t.Attempt, "status": [...]string{"fetching", "running", "flushing", "ended"}[t.Status]}
		if t.Status == core.Ended {
			p["cause"] = t.Cause
		}
		pieces = append(pieces, p)
	}
	o["pieces"] = pieces
	return o
}

func coreOrders(v any) []core.TaskCommand {
	var out []core.TaskCommand
	for _, x := range list(v) {
		o := x.(obj)
		piece := str(o["piece"])
		i := strings.LastIndexByte(piece, '/')
		wind, _ := strconv.ParseFloat(fmt.Sprint(o["wind_down_s"]), 64)
		out = append(out, core.TaskCommand{Kind: core.TaskCommandKind(str(o["verb"])), Job: piece[:i], Index: int(num(piece[i+1:])), Attempt: num(o["try"]), GracePeriod: core.Seconds(wind)})
	}
	return out
}

// worker serves a machine's own address.
func (l *Live) worker(m *Worker) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.w.now = time.Now()
		if !m.up(l.w.now) || m.tenure == 0 {
			panic(http.ErrAbortHandler)
		}
		l.counts.Orders[r.URL.Path]++
		op := core.WorkerRequest{StatusOnly: r.URL.Path == "/status"}
		if !op.StatusOnly {
			o := read(r)
			if o["epoch"] == nil || o["tenure"] == nil {
				reply(rw, 400, obj{"error": "missing"})
				return
			}
			op.Epoch, op.Incarnation, op.Commands = num(o["epoch"]), num(o["tenure"]), coreOrders(o["orders"])
		}
		d := l.w.direct(m, op)
		status := 200
		if !d.OK {
			status = 409
		}
		reply(rw, status, wireReport(d.Heartbeat))
	})
}

// report posts a worker's report, as the protocol has it.
func (l *Live) report(m *Worker) {
	sent, tenure, to := l.w.now, m.tenure, m.node
	r := m.report(l.w.now)
	client := l.clients[m]
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
		defer cancel()
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+l.nodes[to]+"/v1/report", bytes.NewReader(raw(wireReport(&r))))
		if err != nil {
			panic(err)
		}
		resp, err := client.Do(req)
		var o obj
		status := 0
		if err == nil {
			b, _ := io.ReadAll(resp.Body)
			resp.Body.Close()
			msgpack.Unmarshal(b, &o)
			status = resp.StatusCode
		}
		if status != http.StatusOK {
			// It goes elsewhere, and closes this connection.
			client.CloseIdleConnections()
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		l.w.now = time.Now()
		m.reporting = false
		l.counts.Reports[status]++
		switch {
		case err == nil && resp.StatusCode == 200:
			epoch := num(o["epoch"])
			if epoch < m.epoch || tenure != m.tenure {
				return
			}
			m.changed = m.changed || epoch > m.epoch
			m.epoch, m.leaseFrom = epoch, sent
			l.w.execute(m, coreOrders(o["orders"]))
		case err == nil && resp.StatusCode == 421 && o["steward"] != nil:
			i, _ := strconv.Atoi(strings.TrimPrefix(str(o["steward"]), "node-"))
			m.node, m.nextAt = i, l.w.now
		default:
			m.node, m.nextAt = (to+1)%len(l.nodes), l.w.now.Add(300*time.Millisecond)
		}
	}()
}
