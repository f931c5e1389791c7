package controller_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/record"
	"github.com/micahill/micahill/internal/sharding"
	"github.com/micahill/micahill/internal/sizelimit"
	"github.com/vmihailenco/msgpack/v5"
)

// scenarioLine is one line of a scenario, for the controller that its argument node names, by
// default a.
type scenarioLine struct {
	*harness
	d *datadriven.TestData
	c *harnessController
}

// scenarioCommands maps the commands of a scenario to their implementations.
var scenarioCommands = map[string]func(*scenarioLine){
	// Controllers and time.
	"boot":  (*scenarioLine).boot,
	"end":   (*scenarioLine).end,
	"news":  (*scenarioLine).connectPeers,
	"owner": (*scenarioLine).printShardLeaders,
	"wait":  func(l *scenarioLine) { l.wait(1) },
	// Users and other installations.
	"submit": (*scenarioLine).submit,
	"query":  (*scenarioLine).query,
	"abort":  (*scenarioLine).cancel,
	"loan":   (*scenarioLine).loan,
	"view":   (*scenarioLine).view,
	// The store.
	"state":   (*scenarioLine).addStoreRule,
	"deliver": (*scenarioLine).deliver,
	"txns":    (*scenarioLine).printTxns,
	"put":     (*scenarioLine).putEmptyRecord,
	"teams":   (*scenarioLine).assignTeams,
	"lot":     (*scenarioLine).assignMachines,
	"keys":    (*scenarioLine).printKeys,
	// The cloud.
	"room":    (*scenarioLine).setCapacity,
	"machine": (*scenarioLine).setMachine,
	"returns": (*scenarioLine).setReleaseMode,
	// Workers.
	"report": (*scenarioLine).heartbeat,
	"late":   (*scenarioLine).lateHeartbeat,
	"keep":   (*scenarioLine).keepReporting,
	"direct": (*scenarioLine).printWorkerCommands,
	"answer": (*scenarioLine).answerWorkerCommand,
}

// runLine carries out one line of a scenario and returns what it printed.
func (h *harness) runLine(d *datadriven.TestData) string {
	h.t.Helper()
	l := &scenarioLine{harness: h, d: d, c: h.controllers["a"]}
	if d.HasArg("node") {
		l.c = h.controllers[l.text("node")]
	}
	command := scenarioCommands[d.Cmd]
	if command == nil {
		d.Fatalf(h.t, "got command %q, want one of %v", d.Cmd, slices.Sorted(maps.Keys(scenarioCommands)))
	}
	command(l)
	return h.flush()
}

// first returns the first argument of the line, which is a name.
func (l *scenarioLine) first() string {
	l.t.Helper()
	if len(l.d.CmdArgs) == 0 {
		l.d.Fatalf(l.t, "%s: got no argument, want a name", l.d.Cmd)
	}
	return l.d.CmdArgs[0].Key
}

// worker returns the worker of the machine that is the first argument of the line.
func (l *scenarioLine) worker() *scriptedWorker {
	l.t.Helper()
	worker := l.machines[l.first()]
	if worker == nil {
		l.d.Fatalf(l.t, "%s: got unknown machine %s, want one of the %d machines", l.d.Cmd, l.first(), len(l.machines))
	}
	return worker
}

// number returns the value of a numeric argument, or value if the line has no such argument.
func (l *scenarioLine) number(key string, value float64) float64 {
	l.t.Helper()
	if l.d.HasArg(key) {
		l.d.ScanArgs(l.t, key, &value)
	}
	return value
}

// text returns the value of an argument that the line must have.
func (l *scenarioLine) text(key string) string {
	l.t.Helper()
	var value string
	l.d.ScanArgs(l.t, key, &value)
	return value
}

// textOfOnly returns the value of only=, or "", which every text contains.
func (l *scenarioLine) textOfOnly() string {
	l.t.Helper()
	if !l.d.HasArg("only") {
		return ""
	}
	return l.text("only")
}

// values returns the values of an argument, or nil if the line has no such argument.
func (l *scenarioLine) values(key string) []string {
	for _, a := range l.d.CmdArgs {
		if a.Key == key {
			return a.Vals
		}
	}
	return nil
}

// wait lets for= seconds pass, or the given number of seconds if the line has no for=.
func (l *scenarioLine) wait(seconds float64) {
	l.t.Helper()
	l.run(record.DurationOfSeconds(l.number("for", seconds)))
}

// boot starts a controller. late=(text): store requests that contain the text get no answer and
// are executed at deliver. lose=(text): such requests are executed and get no answer.
func (l *scenarioLine) boot() {
	c := l.start(l.first())
	for _, mode := range []string{"late", "lose"} {
		if l.d.HasArg(mode) {
			c.rules = append(c.rules, storeRule{mode: mode, contains: l.text(mode)})
		}
	}
	l.wait(1)
}

// end ends a controller's process. Requests that it sent may still be applied.
func (l *scenarioLine) end() { l.controllers[l.first()].controller = nil }

// connectPeers connects or disconnects a controller: "on" delivers the updates between it and
// its peers, any other argument drops them.
func (l *scenarioLine) connectPeers() { l.c.peersConnected = l.first() == "on" }

// submit submits a job. Its arguments set the fields of the specification that differ from the
// defaults.
func (l *scenarioLine) submit() {
	spec := model.JobSpec{ID: l.first(), Workload: "w", Team: "ops", Urgency: model.Normal, Tasks: int(l.number("tasks", 1)),
		Need: model.Resources{CPU: l.number("cpu", 4), Memory: l.number("cpu", 4)}, Image: "img", ImageGB: 1, ExpectedRunTime: record.DurationOfSeconds(l.number("expected", 20)),
		SameZone: l.d.HasArg("same"), SpreadZones: l.d.HasArg("apart"), Dependencies: l.values("prereqs")}
	if l.d.HasArg("team") {
		spec.Team = l.text("team")
	}
	l.pushRequest(l.c, spec.ID, func(r uint64) message.Command { return message.SubmitJob{Reply: r, Spec: spec} })
	l.wait(2)
}

// loan sends one command of a loan. Its arguments are the kind of command, the job and n=, the
// lend count, by default 1.
func (l *scenarioLine) loan() {
	kinds := []string{"lend", "back", "settle", "cancelled", "accept", "give_up", "drop"}
	kind := slices.Index(kinds, l.first())
	if kind < 0 || len(l.d.CmdArgs) < 2 {
		l.d.Fatalf(l.t, "loan: got %v, want one of %v and a job", l.d.CmdArgs, kinds)
	}
	id := l.d.CmdArgs[1].Key
	op := message.LoanCommand{
		Kind: message.LoanCommandKind(kind), Job: id, LendCount: uint64(l.number("n", 1)), Peer: "west", Loan: "west/" + id + "/1",
		Spec: model.JobSpec{ID: id, Team: "ops", Urgency: model.Normal, Tasks: 1, Need: model.Resources{CPU: 4, Memory: 4}, Image: "img", ImageGB: 1, ExpectedRunTime: 20 * time.Second},
	}
	l.pushRequest(l.c, l.first()+" "+id, func(r uint64) message.Command { op.Reply = r; return op })
	l.wait(0.5)
}

// view queries the loans. startable=job: the borrowed job may be started during the next 10 s.
func (l *scenarioLine) view() {
	q := message.QueryLoans{GuestTeam: "ops", StartableUntil: map[string]time.Time{}}
	if l.d.HasArg("startable") {
		q.StartableUntil[l.text("startable")] = l.now.Add(10 * time.Second)
	}
	l.pushRequest(l.c, "view", func(r uint64) message.Command { q.Reply = r; return q })
	l.wait(0.5)
}

// query queries a job.
func (l *scenarioLine) query() {
	id := l.first()
	l.pushRequest(l.c, id, func(r uint64) message.Command { return message.QueryJob{Reply: r, ID: id} })
	l.wait(0.3)
}

// cancel cancels a job.
func (l *scenarioLine) cancel() {
	id := l.first()
	l.pushRequest(l.c, id, func(r uint64) message.Command { return message.CancelJob{Reply: r, ID: id} })
	l.wait(0.3)
}

// addStoreRule sets the outcome of the controller's store requests that contain the text of
// only=, or of all requests. ok: removes all rules.
func (l *scenarioLine) addStoreRule() {
	mode := l.first()
	l.c.rules = append(l.c.rules, storeRule{mode: mode, contains: l.textOfOnly()})
	if mode == "ok" {
		l.c.rules = nil
	}
}

// deliver executes the held store requests. say: also prints the outcome of each, which shows
// that the request was made.
func (l *scenarioLine) deliver() {
	held := l.c.heldRequests
	l.c.heldRequests = nil
	for _, request := range held {
		request.exec(func(r message.StoreResponse) {
			kind, text, isTxn := strings.Cut(request.text, ": ")
			switch {
			case !l.d.HasArg("say"):
			case !isTxn:
				l.print(fmt.Sprintf("%s tells of %d", kind, len(r.KeyValues)))
			case r.Status == message.StoreOK:
				l.print("applied " + text)
			case r.Status == message.StoreNoLease:
				l.print("refused " + text + ", its grant has ended")
			default:
				l.print(fmt.Sprintf("refused %s, as of another stamp: %s", text, strings.Join(r.FailedKeys, ", ")))
			}
		})
	}
	if !l.d.HasArg("nowait") {
		l.run(200 * time.Millisecond)
	}
}

// printTxns prints the transactions since the last call that contain the text of only=.
func (l *scenarioLine) printTxns() {
	only := l.textOfOnly()
	for _, txn := range l.c.txns {
		if strings.Contains(txn, only) {
			l.print(txn)
		}
	}
	l.c.txns = nil
}

// setCapacity bounds the number of machines that can be rented.
func (l *scenarioLine) setCapacity() {
	l.maxMachines, l.unlisted = int(l.number("machines", 2)), l.d.HasArg("unlisted")
}

// setReleaseMode sets how the cloud answers releases; see harness.releaseMode.
func (l *scenarioLine) setReleaseMode() {
	l.releaseMode = l.first()
	clear(l.printed)
}

// setMachine changes a machine, or adds one that no controller rented.
func (l *scenarioLine) setMachine() {
	worker := l.machines[l.first()]
	if worker == nil {
		worker = &scriptedWorker{id: l.first(), zone: "z1", incarnation: 1}
		l.machines[worker.id] = worker
	}
	if l.d.HasArg("zone") {
		worker.zone = l.text("zone")
	}
	worker.failed, worker.unlisted = l.d.HasArg("failed"), l.d.HasArg("unlisted")
	if l.d.HasArg("anew") {
		// The worker restarts under the same name without any state.
		worker.incarnation, worker.sequence, worker.epoch = 1, 0, 0
	}
}

// heartbeat sends one heartbeat. If the answer has a higher epoch, the worker sends the next
// heartbeat at once, unless the line has the argument once. as=name: keeps a copy, which the
// command late sends.
func (l *scenarioLine) heartbeat() {
	worker, d := l.worker(), l.d
	r := l.newHeartbeat(d, worker)
	send := func() {
		l.pushRequest(l.c, worker.id, func(id uint64) message.Command { return message.WorkerHeartbeat{Reply: id, Heartbeat: r} })
	}
	worker.resend = func() *datadriven.TestData {
		worker.sequence++
		r.Sequence, r.Epoch, worker.resend = worker.sequence, worker.epoch, nil
		send()
		return d
	}
	if d.HasArg("once") {
		worker.resend = nil
	}
	if d.HasArg("as") {
		l.heartbeatCopies[l.text("as")] = r
	}
	send()
	l.run(0)
	worker.resend, worker.reported = nil, nil
}

// lateHeartbeat delivers an unchanged copy of an earlier heartbeat.
func (l *scenarioLine) lateHeartbeat() {
	name := l.first()
	r, ok := l.heartbeatCopies[name]
	if !ok {
		l.d.Fatalf(l.t, "late: got copy %q, want the name of a heartbeat that was sent with as=", name)
	}
	l.pushRequest(l.c, "late "+name, func(id uint64) message.Command { return message.WorkerHeartbeat{Reply: id, Heartbeat: r} })
	l.run(0)
}

// keepReporting makes a worker repeat its heartbeat periodically. deaf: no answer or command
// reaches the worker. off: ends the repetition.
func (l *scenarioLine) keepReporting() {
	worker, c, said := l.worker(), l.c, *l.d // a copy, since datadriven reuses d
	worker.repeat = func() {
		r := l.newHeartbeat(&said, worker)
		l.pushRequest(c, "", func(id uint64) message.Command { return message.WorkerHeartbeat{Reply: id, Heartbeat: r} })
		l.ignoredReplies[c.lastReply] = worker
	}
	worker.repeated, worker.unreachable = &said, l.d.HasArg("deaf")
	if l.d.HasArg("off") {
		worker.repeat, worker.repeated, worker.unreachable = nil, nil, false
	}
}

// printWorkerCommands prints the commands and polls that wait for an answer.
func (l *scenarioLine) printWorkerCommands() {
	l.run(0)
	for _, op := range l.c.workerCommands {
		text := formatCommands(op.Commands)
		switch {
		case op.StatusOnly:
			text = " ask"
		case text == "":
			text = " epoch"
		}
		l.print(op.Machine + text)
	}
}

// answerWorkerCommand answers the first command that waits for the machine, or the first poll if
// there is no command. lost: there is no answer. refused: the worker does not carry out the
// command. from=machine: another machine answers, which has taken over the address.
func (l *scenarioLine) answerWorkerCommand() {
	l.run(0)
	worker, c := l.worker(), l.c
	i := slices.IndexFunc(c.workerCommands, func(op workerCommand) bool { return op.Machine == worker.id && len(op.Commands) > 0 })
	if i < 0 {
		i = slices.IndexFunc(c.workerCommands, func(op workerCommand) bool { return op.Machine == worker.id })
	}
	if i < 0 {
		l.print("no order")
		return
	}
	op := c.workerCommands[i]
	c.workerCommands = slices.Delete(c.workerCommands, i, i+1)
	if l.d.HasArg("lost") {
		c.push(message.WorkerResponse{ID: op.ID})
		l.run(0)
		return
	}
	if l.d.HasArg("from") {
		worker = l.machines[l.text("from")]
	}
	refused := l.d.HasArg("refused")
	if !op.StatusOnly && !refused && op.Epoch >= worker.epoch {
		worker.epoch = op.Epoch
	}
	r := l.newHeartbeat(l.d, worker)
	c.push(message.WorkerResponse{ID: op.ID, OK: !refused, Heartbeat: &r})
	l.run(0)
}

// putEmptyRecord writes a record that contains an empty map, as a program other than a
// controller might.
func (l *scenarioLine) putEmptyRecord() {
	l.store.Do(l.now, message.StoreRequest{Kind: message.OpTxn, Writes: []message.Write{{Key: l.first(), Value: l.encode(map[string]any{})}}}, func(message.StoreResponse) {})
}

// encode returns the msgpack encoding of v.
func (l *scenarioLine) encode(v any) []byte {
	l.t.Helper()
	raw, err := msgpack.Marshal(v)
	if err != nil {
		l.t.Fatalf("%s: encoding a record: got error %v, want none", l.d.Cmd, err)
	}
	return raw
}

// assignTeams assigns teams to shards in one write, as a leader does. An example is "teams
// a=(ops) b=(lab)".
func (l *scenarioLine) assignTeams() {
	op := message.StoreRequest{Kind: message.OpTxn}
	for _, a := range l.d.CmdArgs {
		if a.Key == "for" {
			continue
		}
		key, shard := "ctl/share/"+a.Key, map[string]any{}
		l.store.Do(l.now, message.StoreRequest{Kind: message.OpGet, Key: key}, func(g message.StoreResponse) {
			if err := msgpack.Unmarshal(g.KeyValues[0].Value, &shard); err != nil {
				l.t.Fatalf("teams: decoding %s: got error %v, want none", key, err)
			}
		})
		shard["teams"] = a.Vals
		op.Writes = append(op.Writes, message.Write{Key: key, Value: l.encode(shard)})
	}
	l.store.Do(l.now, op, func(message.StoreResponse) {})
	l.wait(0.5)
}

// assignMachines writes a shard segment that contains the given machines, as a leader does. An
// example is "lot name share=b machines=(vm-1)".
func (l *scenarioLine) assignMachines() {
	if !l.d.HasArg("machines") {
		l.d.Fatalf(l.t, "lot: got no argument machines=, want one")
	}
	w, _ := sharding.BumpEpoch(sizelimit.Limits{ValueBytes: 4096}, l.first(), &sharding.Shard{Name: l.text("share")}, l.values("machines"))
	l.store.Do(l.now, message.StoreRequest{Kind: message.OpTxn, Writes: []message.Write{{Key: "ctl/lot/" + w.Name, Value: w.Value}}}, func(message.StoreResponse) {})
	l.wait(0.5)
}

// printKeys prints the store keys with the prefix that is the first argument.
func (l *scenarioLine) printKeys() {
	l.store.Do(l.now, message.StoreRequest{Kind: message.OpList, Key: l.first()}, func(r message.StoreResponse) {
		for _, kv := range r.KeyValues {
			l.print(kv.Key)
		}
	})
}

// printShardLeaders prints the hosts of the controllers that lead a shard with teams.
func (l *scenarioLine) printShardLeaders() {
	for _, host := range harnessHosts {
		if c := l.controllers[host]; c != nil && c.controller != nil && c.controller.IsShardLeader() {
			l.print(host)
		}
	}
}
