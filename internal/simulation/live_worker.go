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
func (live *Live) openMachine(machine *Worker) {
	server := httptest.NewUnstartedServer(live.serveWorker(machine))
	server.Listener = meteredListener{server.Listener, &live.traffic.commandsIn, &live.traffic.commandsOut}
	server.Start()
	live.machineServers[machine], live.heartbeatClients[machine] = server, live.newHeartbeatClient()
	machine.Addr = strings.TrimPrefix(server.URL, "http://")
	machine.controller = live.world.lastID % len(live.controllers)
}

// closeMachine closes the server and the client of a machine that was released or reclaimed.
func (live *Live) closeMachine(machine *Worker) {
	server, client := live.machineServers[machine], live.heartbeatClients[machine]
	delete(live.machineServers, machine)
	delete(live.heartbeatClients, machine)
	// A request in progress waits for live.mu, which the caller holds: closing here would deadlock.
	live.running.Go(func() {
		server.Close()
		client.CloseIdleConnections()
	})
}

// encodeHeartbeat returns a heartbeat as an object of the wire format.
func encodeHeartbeat(heartbeat *model.Heartbeat) obj {
	object := obj{"host": heartbeat.Machine, "address": heartbeat.Addr, "flavour": heartbeat.MachineType, "site": heartbeat.Zone, "loaner": heartbeat.Spot,
		"tenure": heartbeat.Incarnation, "tick": heartbeat.Sequence, "epoch": heartbeat.Epoch, "recall_s": nil}
	if heartbeat.ReclaimIn >= 0 {
		object["recall_s"] = heartbeat.ReclaimIn.Seconds()
	}
	tasks := []any{}
	for _, report := range heartbeat.Tasks {
		taskObject := obj{"piece": wireTaskName(report), "try": report.Attempt, "status": [...]string{"fetching", "running", "flushing", "ended"}[report.Status]}
		if report.Status == model.Ended {
			taskObject["cause"] = report.Cause
		}
		tasks = append(tasks, taskObject)
	}
	object["pieces"] = tasks
	return object
}

// decodeCommands decodes the task commands in a request to a worker or in the reply to a
// heartbeat.
func decodeCommands(v any) []model.TaskCommand {
	var out []model.TaskCommand
	for _, entry := range toList(v) {
		object := entry.(obj)
		name := toString(object["piece"])
		job, index := parseWireTaskName(name)
		gracePeriod, _ := strconv.ParseFloat(fmt.Sprint(object["wind_down_s"]), 64)
		out = append(out, model.TaskCommand{Kind: model.TaskCommandKind(toString(object["verb"])), Job: job, Index: index, Attempt: toUint(object["try"]), GracePeriod: record.DurationOfSeconds(gracePeriod)})
	}
	return out
}

// noIndex is the index of a task whose name has none. No job has such a task.
const noIndex = -1

// wireTaskName returns the name of a reported task in the wire format.
func wireTaskName(report model.TaskReport) string {
	if report.Index == noIndex {
		return report.Job
	}
	return taskName(report.Job, report.Index)
}

// parseWireTaskName splits the name of a task into the job and the index.
func parseWireTaskName(name string) (job string, index int) {
	slash := strings.LastIndexByte(name, '/')
	if slash < 0 {
		return name, noIndex
	}
	return name[:slash], int(toUint(name[slash+1:]))
}

// serveWorker returns the handler of direct requests to a machine's worker. Requests to a worker
// that does not run fail without an answer.
func (live *Live) serveWorker(machine *Worker) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		live.mu.Lock()
		defer live.mu.Unlock()
		live.world.now = time.Now()
		if !machine.up(live.world.now) || machine.incarnation == 0 {
			panic(http.ErrAbortHandler)
		}
		live.counts.Commands[r.URL.Path]++
		request := message.WorkerRequest{StatusOnly: r.URL.Path == "/status"}
		if !request.StatusOnly {
			object := readObject(r)
			if object["epoch"] == nil || object["tenure"] == nil {
				writeReply(rw, http.StatusBadRequest, obj{"error": "missing"})
				return
			}
			request.Epoch, request.Incarnation, request.Commands = toUint(object["epoch"]), toUint(object["tenure"]), decodeCommands(object["orders"])
		}
		response := live.world.executeDirect(machine, request)
		status := http.StatusOK
		if !response.OK {
			status = http.StatusConflict
		}
		writeReply(rw, status, encodeHeartbeat(response.Heartbeat))
	})
}

// postHeartbeat sends a worker's heartbeat over HTTP and handles the reply, in a goroutine of its
// own. The caller holds live.mu.
func (live *Live) postHeartbeat(machine *Worker) {
	sent, incarnation, to := live.world.now, machine.incarnation, machine.controller
	heartbeat := machine.heartbeat(live.world.now)
	body := encodeValue(encodeHeartbeat(&heartbeat))
	client := live.heartbeatClients[machine]
	live.running.Go(func() {
		status, answer := live.postHeartbeatBody(client, live.controllers[to], body)
		live.mu.Lock()
		defer live.mu.Unlock()
		if live.stopped {
			return
		}
		live.world.now = time.Now()
		machine.heartbeatPending = false
		live.counts.Heartbeats[status]++
		switch {
		case status == http.StatusOK:
			epoch := toUint(answer["epoch"])
			if epoch < machine.epoch || incarnation != machine.incarnation {
				return
			}
			machine.changed = machine.changed || epoch > machine.epoch
			machine.epoch, machine.leaseStart = epoch, sent
			live.world.executeCommands(machine, decodeCommands(answer["orders"]))
		case status == http.StatusMisdirectedRequest && answer["steward"] != nil:
			i, _ := strconv.Atoi(strings.TrimPrefix(toString(answer["steward"]), "node-"))
			machine.controller, machine.nextHeartbeatAt = i, live.world.now
		default:
			machine.controller, machine.nextHeartbeatAt = (to+1)%len(live.controllers), live.world.now.Add(300*time.Millisecond)
		}
	})
}

// postHeartbeatBody posts an encoded heartbeat to the controller at addr. It returns the HTTP status, or 0
// if there was no reply, and the decoded body.
func (live *Live) postHeartbeatBody(client *http.Client, addr string, body []byte) (status int, answer obj) {
	ctx, cancel := context.WithTimeout(live.requests, heartbeatTimeout)
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
