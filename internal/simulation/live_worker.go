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
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/record"
	"github.com/vmihailenco/msgpack/v5"
)

// openMachine starts the server of a new machine, and sets the first controller that its worker
// sends heartbeats to.
func (l *Live) openMachine(m *Worker) {
	s := httptest.NewUnstartedServer(l.serveWorker(m))
	s.Listener = meteredListener{s.Listener, &l.traffic.commandsIn, &l.traffic.commandsOut}
	s.Start()
	l.machineServers[m], l.heartbeatClients[m] = s, l.newHeartbeatClient()
	m.Addr = strings.TrimPrefix(s.URL, "http://")
	m.controller = l.world.lastID % len(l.controllers)
}

// closeMachine closes the server and the client of a machine that was released or reclaimed.
func (l *Live) closeMachine(m *Worker) {
	s, c := l.machineServers[m], l.heartbeatClients[m]
	delete(l.machineServers, m)
	delete(l.heartbeatClients, m)
	// A request in progress waits for l.mu, which the caller holds: closing here would deadlock.
	l.running.Go(func() {
		s.Close()
		c.CloseIdleConnections()
	})
}

// encodeHeartbeat returns a heartbeat as an object of the wire format.
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

// decodeCommands decodes the task commands in a request to a worker or in the answer to a
// heartbeat.
func decodeCommands(v any) []model.TaskCommand {
	var out []model.TaskCommand
	for _, x := range toList(v) {
		o := x.(obj)
		name := toText(o["piece"])
		i := strings.LastIndexByte(name, '/')
		gracePeriod, _ := strconv.ParseFloat(fmt.Sprint(o["wind_down_s"]), 64)
		out = append(out, model.TaskCommand{Kind: model.TaskCommandKind(toText(o["verb"])), Job: name[:i], Index: int(toUint(name[i+1:])), Attempt: toUint(o["try"]), GracePeriod: record.DurationOfSeconds(gracePeriod)})
	}
	return out
}

// serveWorker returns the handler of direct requests to a machine's worker. Requests to a worker
// that does not run fail without an answer.
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
				writeReply(rw, http.StatusBadRequest, obj{"error": "missing"})
				return
			}
			op.Epoch, op.Incarnation, op.Commands = toUint(o["epoch"]), toUint(o["tenure"]), decodeCommands(o["orders"])
		}
		d := l.world.executeDirect(m, op)
		status := http.StatusOK
		if !d.OK {
			status = http.StatusConflict
		}
		writeReply(rw, status, encodeHeartbeat(d.Heartbeat))
	})
}

// postHeartbeat sends a worker's heartbeat over HTTP and handles the answer, in a goroutine of its
// own. The caller holds l.mu.
func (l *Live) postHeartbeat(m *Worker) {
	sent, incarnation, to := l.world.now, m.incarnation, m.controller
	r := m.heartbeat(l.world.now)
	body := encodeValue(encodeHeartbeat(&r))
	client := l.heartbeatClients[m]
	l.running.Go(func() {
		status, answer := l.postReport(client, l.controllers[to], body)
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.stopped {
			return
		}
		l.world.now = time.Now()
		m.heartbeatPending = false
		l.counts.Heartbeats[status]++
		switch {
		case status == http.StatusOK:
			epoch := toUint(answer["epoch"])
			if epoch < m.epoch || incarnation != m.incarnation {
				return
			}
			m.changed = m.changed || epoch > m.epoch
			m.epoch, m.leaseStart = epoch, sent
			l.world.executeCommands(m, decodeCommands(answer["orders"]))
		case status == http.StatusMisdirectedRequest && answer["steward"] != nil:
			i, _ := strconv.Atoi(strings.TrimPrefix(toText(answer["steward"]), "node-"))
			m.controller, m.nextHeartbeatAt = i, l.world.now
		default:
			m.controller, m.nextHeartbeatAt = (to+1)%len(l.controllers), l.world.now.Add(300*time.Millisecond)
		}
	})
}

// postReport posts an encoded heartbeat to the controller at addr. It returns the HTTP status, or 0
// if there was no answer, and the decoded body.
func (l *Live) postReport(client *http.Client, addr string, body []byte) (status int, answer obj) {
	ctx, cancel := context.WithTimeout(l.requests, heartbeatTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/v1/report", bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	resp, err := client.Do(req)
	if err == nil {
		b, _ := io.ReadAll(resp.Body)
		resp.Body.Close()
		msgpack.Unmarshal(b, &answer)
		status = resp.StatusCode
	}
	if status != http.StatusOK {
		// The worker sends its next heartbeat to another controller, so the connection is closed.
		client.CloseIdleConnections()
	}
	return status, answer
}
