package simulation

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

	"github.com/micahill/micahill/internal/controller"
	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/record"
	"github.com/vmihailenco/msgpack/v5"
	"golang.org/x/time/rate"
)

// Live serves the models over HTTP in real time, so that whole controllers can
// be tested with their clients: the wire forms, the limits and the errors.
// It writes the wire forms out once more, from the protocol, on purpose: the
// controllers' own types would agree with their own mistakes.
type Live struct {
	mu               sync.Mutex
	world            *World
	controllers      []string
	requestLimiter   *rate.Limiter
	writeLimiter     *rate.Limiter
	storeUnavailable bool
	servers          []*httptest.Server
	// machineServers serve the machines' own addresses, and clients send their reports.
	machineServers   map[*Worker]*httptest.Server
	heartbeatClients map[*Worker]*http.Client
	counts           LiveCounts
	traffic          liveTraffic
	StateAddr        string
	CloudAddr        string
}

type obj = map[string]any

// NewLive starts state service and cloud. Stop ends them.
func NewLive(settings controller.Settings, requestsPerSecond, writesPerSecond float64, types []model.MachineType, capacity map[string]int, nodes []string) *Live {
	l := &Live{
		controllers: nodes, requestLimiter: rate.NewLimiter(rate.Limit(requestsPerSecond), int(requestsPerSecond)), writeLimiter: rate.NewLimiter(rate.Limit(writesPerSecond), int(writesPerSecond)),
		machineServers: map[*Worker]*httptest.Server{}, heartbeatClients: map[*Worker]*http.Client{}, counts: newCounts(),
	}
	l.world = NewWorld(1, 0, settings, time.Minute, types, capacity)
	l.world.heartbeatSender = l.postHeartbeat
	l.world.onRented, l.world.onGone = l.openMachine, l.closeMachine
	l.StateAddr = l.serve(http.HandlerFunc(l.serveState))
	l.CloudAddr = l.serve(http.HandlerFunc(l.serveCloud))
	return l
}

func (l *Live) serve(h http.Handler) string {
	s := httptest.NewServer(h)
	l.servers = append(l.servers, s)
	return strings.TrimPrefix(s.URL, "http://")
}

// openMachine opens a machine's own address, and chooses the node that it reports to first.
func (l *Live) openMachine(m *Worker) {
	s := httptest.NewUnstartedServer(l.serveWorker(m))
	s.Listener = meteredListener{s.Listener, &l.traffic.commandsIn, &l.traffic.commandsOut}
	s.Start()
	l.machineServers[m], l.heartbeatClients[m] = s, l.newHeartbeatClient()
	m.Addr = strings.TrimPrefix(s.URL, "http://")
	m.controller = l.world.lastID % len(l.controllers)
}

// closeMachine closes it once the machine is gone.
func (l *Live) closeMachine(m *Worker) {
	s, c := l.machineServers[m], l.heartbeatClients[m]
	delete(l.machineServers, m)
	delete(l.heartbeatClients, m)
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
		l.world.now = time.Now()
		if !l.storeUnavailable {
			l.world.state.Expire(l.world.now)
		}
		l.world.advanceMachines(step)
		l.world.checkCancellations()
		l.mu.Unlock()
	}
}

// Stop ends the servers.
func (l *Live) Stop() {
	l.mu.Lock()
	servers := append([]*httptest.Server{}, l.servers...)
	for m, s := range l.machineServers {
		servers = append(servers, s)
		l.heartbeatClients[m].CloseIdleConnections()
	}
	l.mu.Unlock()
	for _, s := range servers {
		s.CloseClientConnections()
		s.Close()
	}
}

// SetStoreUnavailable takes the state service away, or brings it back.
func (l *Live) SetStoreUnavailable(away bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.storeUnavailable = away
	if !away {
		l.world.state.RenewLeases(time.Now())
	}
}

// AddJob tells the workers of a job, as its user's upload would.
func (l *Live) AddJob(spec model.JobSpec, run time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.world.jobs[spec.ID] = newUserJob(spec, run)
}

// SetJobSource lets the workers fetch descriptions of jobs from the function, which is
// called with a job's id.
func (l *Live) SetJobSource(fn func(id string) (model.JobSpec, time.Duration, bool)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.world.jobSource = fn
}

// SetCapacity sets how many machines the cloud has left of a kind, such as box/a/true.
func (l *Live) SetCapacity(kind string, machines int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.world.cloudCapacity[kind] = machines
}

// RunningTasks names the tasks that are on machines now, and Started counts all starts.
func (l *Live) RunningTasks() (tasks []string, started int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, id := range sortedKeys(l.world.machines) {
		m := l.world.machines[id]
		for _, t := range m.tasks {
			if t.onMachine() && !m.dead {
				tasks = append(tasks, taskName(t.job.spec.ID, t.index))
			}
		}
	}
	return tasks, l.world.Starts
}

// Violations lists broken rules.
func (l *Live) Violations() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.world.Violations...)
}

func writeReply(rw http.ResponseWriter, status int, v any) {
	b, err := msgpack.Marshal(v)
	if err != nil {
		panic(err)
	}
	rw.Header().Set("Content-Type", "application/msgpack")
	rw.WriteHeader(status)
	rw.Write(b)
}

func readObject(r *http.Request) obj {
	b, _ := io.ReadAll(r.Body)
	var o obj
	if len(b) > 0 && msgpack.Unmarshal(b, &o) != nil {
		return nil
	}
	return o
}

func toUint(v any) uint64 {
	f, _ := strconv.ParseFloat(fmt.Sprint(v), 64)
	return uint64(f)
}

func toText(v any) string { s, _ := v.(string); return s }

func toList(v any) []any { s, _ := v.([]any); return s }

func encodeValue(v any) []byte { b, _ := msgpack.Marshal(v); return b }

func decodeValue(b []byte) any {
	var v any
	if msgpack.Unmarshal(b, &v) != nil {
		return nil
	}
	return v
}

func (l *Live) serveState(rw http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	op, writes, bad := decodeStoreRequest(r)
	out := make(chan message.StoreResponse, 1)
	switch {
	case bad:
		l.mu.Unlock()
		writeReply(rw, 400, obj{"error": "malformed"})
		return
	case l.storeUnavailable && op.Kind != message.OpWatch:
		l.mu.Unlock()
		writeReply(rw, 503, obj{"error": "trouble"})
		return
	case !l.requestLimiter.Allow() || writes > 0 && !l.writeLimiter.AllowN(time.Now(), writes):
		l.counts.countRequest(&op, true)
		l.mu.Unlock()
		writeReply(rw, 429, obj{"error": "rate"})
		return
	}
	l.counts.countRequest(&op, false)
	l.world.state.Do(time.Now(), op, func(d message.StoreResponse) { out <- d })
	l.mu.Unlock()
	var d message.StoreResponse
	select {
	case d = <-out:
	case <-r.Context().Done():
		return
	}
	l.writeStoreResponse(rw, op, d)
}

func decodeStoreRequest(r *http.Request) (op message.StoreRequest, writes int, malformed bool) {
	q := r.URL.Query()
	path := r.URL.Path
	switch {
	case path == "/store":
		op = message.StoreRequest{Kind: message.OpList, Key: q.Get("under"), StartAfter: q.Get("from")}
	case strings.HasPrefix(path, "/store/"):
		op = message.StoreRequest{Kind: message.OpGet, Key: strings.TrimPrefix(path, "/store/")}
	case path == "/follow":
		hold, _ := strconv.Atoi(q.Get("hold_ms"))
		rev, err := strconv.ParseUint(q.Get("from"), 10, 64)
		op = message.StoreRequest{Kind: message.OpWatch, Key: q.Get("under"), Revision: rev, WatchTimeout: time.Duration(hold) * time.Millisecond}
		malformed = err != nil || hold > 60000
	case path == "/grants":
		ttl := toUint(readObject(r)["ttl_ms"])
		op = message.StoreRequest{Kind: message.OpLeaseGrant, TTL: time.Duration(ttl) * time.Millisecond}
		malformed = ttl < 100 || ttl > 600000
	case strings.HasSuffix(path, "/renew"):
		op = message.StoreRequest{Kind: message.OpLeaseRenew, LeaseID: toUint(strings.Split(path, "/")[2])}
	case strings.HasPrefix(path, "/grants/"):
		op = message.StoreRequest{Kind: message.OpLeaseRevoke, LeaseID: toUint(strings.Split(path, "/")[2])}
	case path == "/multi":
		op.Kind = message.OpTxn
		o := readObject(r)
		for _, c := range toList(o["when"]) {
			m := c.(obj)
			op.Compares = append(op.Compares, message.Compare{Key: toText(m["key"]), ModRevision: toUint(m["stamp"])})
		}
		for _, c := range toList(o["apply"]) {
			m := c.(obj)
			writes++
			if k := toText(m["remove"]); k != "" {
				op.Writes = append(op.Writes, message.Write{Key: k})
				continue
			}
			_, isMap := m["value"].(obj)
			op.Writes = append(op.Writes, message.Write{Key: toText(m["put"]), Value: encodeValue(m["value"]), LeaseID: toUint(m["permit"])})
			malformed = malformed || toText(m["put"]) == "" || !isMap
		}
	default:
		malformed = true
	}
	return op, writes, malformed
}

func (l *Live) writeStoreResponse(rw http.ResponseWriter, op message.StoreRequest, d message.StoreResponse) {
	rows := func() []any {
		out := []any{}
		for _, it := range d.KeyValues {
			o := obj{"stamp": it.ModRevision}
			switch {
			case it.Deleted:
				o["remove"] = it.Key
			case op.Kind == message.OpWatch:
				o["put"], o["value"] = it.Key, decodeValue(it.Value)
			default:
				o["key"], o["value"] = it.Key, decodeValue(it.Value)
			}
			out = append(out, o)
		}
		return out
	}
	switch d.Status {
	case message.StoreNotFound:
		writeReply(rw, 404, obj{"ledger_rev": d.Revision})
	case message.StoreConflict:
		writeReply(rw, 409, obj{"failed": d.FailedKeys, "ledger_rev": d.Revision})
	case message.StoreCompacted:
		writeReply(rw, 410, obj{"error": "too old"})
	case message.StoreNoLease:
		writeReply(rw, 400, obj{"error": "no such lease"})
	case message.StoreMalformed:
		writeReply(rw, 400, obj{"error": "malformed"})
	case StoreRateLimited:
		writeReply(rw, 429, obj{"error": "rate"})
	default:
		switch op.Kind {
		case message.OpGet:
			it := d.KeyValues[0]
			writeReply(rw, 200, obj{"key": it.Key, "value": decodeValue(it.Value), "stamp": it.ModRevision})
		case message.OpList:
			writeReply(rw, 200, obj{"rows": rows(), "truncated": d.Truncated, "ledger_rev": d.Revision})
		case message.OpWatch:
			writeReply(rw, 200, obj{"news": rows(), "ledger_rev": d.Revision})
		case message.OpLeaseGrant:
			writeReply(rw, 200, obj{"permit": d.LeaseID})
		default:
			writeReply(rw, 200, obj{"ledger_rev": d.Revision})
		}
	}
}

func (l *Live) serveCloud(rw http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.world.now = time.Now()
	switch r.Method + r.URL.Path {
	case "GET/machine_types":
		var out []any
		for _, f := range l.world.executeCloud(message.CloudRequest{Kind: message.CloudListTypes}).MachineTypes {
			out = append(out, obj{"name": f.Name, "vcpus": f.Capacity.CPU, "gpus": f.Capacity.GPU, "memory_gb": f.Capacity.Memory, "local_gb": f.DiskGB,
				"pull_gb_per_s": f.ImageFetchRate, "price": f.CostPerHour, "market_price": f.SpotCostPerHour, "ready_s": f.ProvisioningTime.Seconds(), "sites": f.Zones})
		}
		writeReply(rw, 200, obj{"flavours": out})
	case "GET/rentals":
		out := []any{}
		for _, m := range l.world.executeCloud(message.CloudRequest{Kind: message.CloudListMachines}).Machines {
			out = append(out, obj{"id": m.ID, "address": m.Addr, "flavour": m.MachineType, "site": m.Zone, "loaner": m.Spot, "status": m.Status, "held_s": m.Age.Seconds()})
		}
		writeReply(rw, 200, obj{"hosts": out, "truncated": false})
	case "POST/rentals":
		o := readObject(r)
		spot, _ := o["loaner"].(bool)
		d := l.world.executeCloud(message.CloudRequest{Kind: message.CloudRent, IdempotencyKey: toText(o["booking"]), MachineType: toText(o["flavour"]), Zone: toText(o["site"]), Spot: spot, Count: int(toUint(o["count"]))})
		if d.Status == message.CloudNoCapacity {
			writeReply(rw, 503, obj{"error": "no capacity"})
			return
		}
		writeReply(rw, 200, obj{"hosts": d.Rented})
	case "POST/rentals/return":
		var ids []string
		for _, h := range toList(readObject(r)["hosts"]) {
			ids = append(ids, toText(h))
		}
		l.world.executeCloud(message.CloudRequest{Kind: message.CloudRelease, Machines: ids})
		writeReply(rw, 200, obj{})
	default:
		writeReply(rw, 400, obj{"error": "malformed"})
	}
}

func encodeHeartbeat(r *model.Heartbeat) obj {
	o := obj{"host": r.Machine, "address": r.Addr, "flavour": r.MachineType, "site": r.Zone, "loaner": r.Spot,
		"tenure": r.Incarnation, "tick": r.Sequence, "epoch": r.Epoch, "recall_s": nil}
	if r.ReclaimIn >= 0 {
		o["recall_s"] = r.ReclaimIn.Seconds()
	}
	tasks := []any{}
	for _, t := range r.Tasks {
		p := obj{"piece": taskName(t.Job, t.Index), "try": t.Attempt, "status": [...]string{"fetching", "running", "flushing", "ended"}[t.Status]}
		if t.Status == model.Ended {
			p["cause"] = t.Cause
		}
		tasks = append(tasks, p)
	}
	o["pieces"] = tasks
	return o
}

func decodeCommands(v any) []model.TaskCommand {
	var out []model.TaskCommand
	for _, x := range toList(v) {
		o := x.(obj)
		piece := toText(o["piece"])
		i := strings.LastIndexByte(piece, '/')
		wind, _ := strconv.ParseFloat(fmt.Sprint(o["wind_down_s"]), 64)
		out = append(out, model.TaskCommand{Kind: model.TaskCommandKind(toText(o["verb"])), Job: piece[:i], Index: int(toUint(piece[i+1:])), Attempt: toUint(o["try"]), GracePeriod: record.DurationOfSeconds(wind)})
	}
	return out
}

// serveWorker serves a machine's own address.
func (l *Live) serveWorker(m *Worker) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.world.now = time.Now()
		if !m.up(l.world.now) || m.incarnation == 0 {
			panic(http.ErrAbortHandler)
		}
		l.counts.Commands[r.URL.Path]++
		op := message.WorkerRequest{StatusOnly: r.URL.Path == "/status"}
		if !op.StatusOnly {
			o := readObject(r)
			if o["epoch"] == nil || o["tenure"] == nil {
				writeReply(rw, 400, obj{"error": "missing"})
				return
			}
			op.Epoch, op.Incarnation, op.Commands = toUint(o["epoch"]), toUint(o["tenure"]), decodeCommands(o["orders"])
		}
		d := l.world.executeDirect(m, op)
		status := 200
		if !d.OK {
			status = 409
		}
		writeReply(rw, status, encodeHeartbeat(d.Heartbeat))
	})
}

// postHeartbeat posts a worker's report, as the protocol has it.
func (l *Live) postHeartbeat(m *Worker) {
	sent, tenure, to := l.world.now, m.incarnation, m.controller
	r := m.heartbeat(l.world.now)
	client := l.heartbeatClients[m]
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
		defer cancel()
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+l.controllers[to]+"/v1/report", bytes.NewReader(encodeValue(encodeHeartbeat(&r))))
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
		l.world.now = time.Now()
		m.heartbeatPending = false
		l.counts.Heartbeats[status]++
		switch {
		case err == nil && resp.StatusCode == 200:
			epoch := toUint(o["epoch"])
			if epoch < m.epoch || tenure != m.incarnation {
				return
			}
			m.changed = m.changed || epoch > m.epoch
			m.epoch, m.leaseStart = epoch, sent
			l.world.executeCommands(m, decodeCommands(o["orders"]))
		case err == nil && resp.StatusCode == 421 && o["steward"] != nil:
			i, _ := strconv.Atoi(strings.TrimPrefix(toText(o["steward"]), "node-"))
			m.controller, m.nextHeartbeatAt = i, l.world.now
		default:
			m.controller, m.nextHeartbeatAt = (to+1)%len(l.controllers), l.world.now.Add(300*time.Millisecond)
		}
	}()
}
