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
	data *datadriven.TestData
	node *harnessController
}

// scenarioCommands maps the commands of a scenario to their implementations.
var scenarioCommands = map[string]func(*scenarioLine){
	// Controllers and time.
	"boot":  (*scenarioLine).boot,
	"end":   (*scenarioLine).endProcess,
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
	"again":  (*scenarioLine).repeatWorkerCommand,
}

// runLine carries out one line of a scenario and returns what it printed.
func (harness *harness) runLine(data *datadriven.TestData) string {
	harness.t.Helper()
	line := &scenarioLine{harness: harness, data: data, node: harness.controllers["a"]}
	if data.HasArg("node") {
		line.node = harness.controllers[line.text("node")]
	}
	command := scenarioCommands[data.Cmd]
	if command == nil {
		data.Fatalf(harness.t, "got command %q, want one of %v", data.Cmd, slices.Sorted(maps.Keys(scenarioCommands)))
	}
	command(line)
	return harness.flush()
}

// firstArgument returns the first argument of the line, which is a name.
func (line *scenarioLine) firstArgument() string {
	line.t.Helper()
	if len(line.data.CmdArgs) == 0 {
		line.data.Fatalf(line.t, "%s: got no argument, want a name", line.data.Cmd)
	}
	return line.data.CmdArgs[0].Key
}

// worker returns the worker of the machine that is the first argument of the line.
func (line *scenarioLine) worker() *scriptedWorker {
	line.t.Helper()
	worker := line.machines[line.firstArgument()]
	if worker == nil {
		line.data.Fatalf(line.t, "%s: got unknown machine %s, want one of the %d machines", line.data.Cmd, line.firstArgument(), len(line.machines))
	}
	return worker
}

// number returns the value of a numeric argument, or value if the line has no such argument.
func (line *scenarioLine) number(key string, value float64) float64 {
	line.t.Helper()
	if line.data.HasArg(key) {
		line.data.ScanArgs(line.t, key, &value)
	}
	return value
}

// text returns the value of an argument that the line must have.
func (line *scenarioLine) text(key string) string {
	line.t.Helper()
	var value string
	line.data.ScanArgs(line.t, key, &value)
	return value
}

// onlyText returns the value of only=, or "", which every text contains.
func (line *scenarioLine) onlyText() string {
	line.t.Helper()
	if !line.data.HasArg("only") {
		return ""
	}
	return line.text("only")
}

// values returns the values of an argument, or nil if the line has no such argument.
func (line *scenarioLine) values(key string) []string {
	for _, argument := range line.data.CmdArgs {
		if argument.Key == key {
			return argument.Vals
		}
	}
	return nil
}

// wait lets for= seconds pass, or the given number of seconds if the line has no for=.
func (line *scenarioLine) wait(seconds float64) {
	line.t.Helper()
	line.run(record.DurationOfSeconds(line.number("for", seconds)))
}

// boot starts a controller. late=(text): store requests that contain the text get no response and
// are executed at deliver. lose=(text): such requests are executed and get no response.
func (line *scenarioLine) boot() {
	node := line.start(line.firstArgument())
	for _, mode := range []string{"late", "lose"} {
		if line.data.HasArg(mode) {
			node.rules = append(node.rules, storeRule{mode: mode, contains: line.text(mode)})
		}
	}
	line.wait(1)
}

// endProcess ends a controller's process. Requests that it sent may still be applied.
func (line *scenarioLine) endProcess() { line.controllers[line.firstArgument()].controller = nil }

// connectPeers connects or disconnects a controller: "on" delivers the updates between it and
// its peers, any other argument drops them.
func (line *scenarioLine) connectPeers() { line.node.peersConnected = line.firstArgument() == "on" }

// submit submits a job. Its arguments set the fields of the specification that differ from the
// defaults.
func (line *scenarioLine) submit() {
	spec := model.JobSpec{ID: line.firstArgument(), Workload: "w", Team: "ops", Urgency: model.Normal, Tasks: int(line.number("tasks", 1)),
		Need: model.Resources{CPU: line.number("cpu", 4), Memory: line.number("cpu", 4)}, Image: "img", ImageGB: 1, ExpectedRunTime: record.DurationOfSeconds(line.number("expected", 20)),
		SameZone: line.data.HasArg("same"), SpreadZones: line.data.HasArg("apart"), Dependencies: line.values("prereqs")}
	if line.data.HasArg("team") {
		spec.Team = line.text("team")
	}
	line.pushRequest(line.node, spec.ID, func(reply uint64) message.Command { return message.SubmitJob{Reply: reply, Spec: spec} })
	line.wait(2)
}

// loan sends one command of a loan. Its arguments are the kind of command, the job and n=, the
// lend count, by default 1.
func (line *scenarioLine) loan() {
	kinds := []string{"lend", "back", "settle", "cancelled", "accept", "give_up", "drop"}
	kind := slices.Index(kinds, line.firstArgument())
	if kind < 0 || len(line.data.CmdArgs) < 2 {
		line.data.Fatalf(line.t, "loan: got %v, want one of %v and a job", line.data.CmdArgs, kinds)
	}
	id := line.data.CmdArgs[1].Key
	command := message.LoanCommand{
		Kind: message.LoanCommandKind(kind), Job: id, LendCount: uint64(line.number("n", 1)), Peer: "west", Loan: "west/" + id + "/1",
		Spec: model.JobSpec{ID: id, Team: "ops", Urgency: model.Normal, Tasks: 1, Need: model.Resources{CPU: 4, Memory: 4}, Image: "img", ImageGB: 1, ExpectedRunTime: 20 * time.Second},
	}
	line.pushRequest(line.node, line.firstArgument()+" "+id, func(reply uint64) message.Command { command.Reply = reply; return command })
	line.wait(0.5)
}

// view queries the loans. startable=job: the borrowed job may be started during the next 10 s.
func (line *scenarioLine) view() {
	query := message.QueryLoans{GuestTeam: "ops", StartableUntil: map[string]time.Time{}}
	if line.data.HasArg("startable") {
		query.StartableUntil[line.text("startable")] = line.now.Add(10 * time.Second)
	}
	line.pushRequest(line.node, "view", func(reply uint64) message.Command { query.Reply = reply; return query })
	line.wait(0.5)
}

// query queries a job.
func (line *scenarioLine) query() {
	id := line.firstArgument()
	line.pushRequest(line.node, id, func(reply uint64) message.Command { return message.QueryJob{Reply: reply, ID: id} })
	line.wait(0.3)
}

// cancel cancels a job.
func (line *scenarioLine) cancel() {
	id := line.firstArgument()
	line.pushRequest(line.node, id, func(reply uint64) message.Command { return message.CancelJob{Reply: reply, ID: id} })
	line.wait(0.3)
}

// addStoreRule sets the outcome of the controller's store requests that contain the text of
// only=, or of all requests. ok: removes all rules.
func (line *scenarioLine) addStoreRule() {
	mode := line.firstArgument()
	line.node.rules = append(line.node.rules, storeRule{mode: mode, contains: line.onlyText()})
	if mode == "ok" {
		line.node.rules = nil
	}
}

// deliver executes the held store requests. say: also prints the outcome of each, which shows
// that the request was made.
func (line *scenarioLine) deliver() {
	held := line.node.heldRequests
	line.node.heldRequests = nil
	for _, request := range held {
		request.exec(func(response message.StoreResponse) {
			kind, text, isTxn := strings.Cut(request.text, ": ")
			switch {
			case !line.data.HasArg("say"):
			case !isTxn:
				line.print(fmt.Sprintf("%s tells of %d", kind, len(response.KeyValues)))
			case response.Status == message.StoreOK:
				line.print("applied " + text)
			case response.Status == message.StoreNoLease:
				line.print("refused " + text + ", its grant has ended")
			default:
				line.print(fmt.Sprintf("refused %s, as of another stamp: %s", text, strings.Join(response.FailedKeys, ", ")))
			}
		})
	}
	if !line.data.HasArg("nowait") {
		line.run(200 * time.Millisecond)
	}
}

// printTxns prints the transactions since the last call that contain the text of only=.
func (line *scenarioLine) printTxns() {
	only := line.onlyText()
	for _, txn := range line.node.txns {
		if strings.Contains(txn, only) {
			line.print(txn)
		}
	}
	line.node.txns = nil
}

// setCapacity bounds the number of machines that can be rented.
func (line *scenarioLine) setCapacity() {
	line.maxMachines, line.unlisted = int(line.number("machines", 2)), line.data.HasArg("unlisted")
}

// setReleaseMode sets how the cloud answers releases; see harness.releaseMode.
func (line *scenarioLine) setReleaseMode() {
	line.releaseMode = line.firstArgument()
	clear(line.printed)
}

// setMachine changes a machine, or adds one that no controller rented.
func (line *scenarioLine) setMachine() {
	worker := line.machines[line.firstArgument()]
	if worker == nil {
		worker = &scriptedWorker{id: line.firstArgument(), zone: "z1", incarnation: 1}
		line.machines[worker.id] = worker
	}
	if line.data.HasArg("zone") {
		worker.zone = line.text("zone")
	}
	worker.failed, worker.unlisted = line.data.HasArg("failed"), line.data.HasArg("unlisted")
	if line.data.HasArg("anew") {
		// The worker restarts under the same name without any state.
		worker.incarnation, worker.sequence, worker.epoch = 1, 0, 0
	}
}

// heartbeat sends one heartbeat. If the reply has a higher epoch, the worker sends the next
// heartbeat at once, unless the line has the argument once. as=name: keeps a copy, which the
// command late sends.
func (line *scenarioLine) heartbeat() {
	worker, data := line.worker(), line.data
	heartbeat := line.newHeartbeat(data, worker)
	send := func() {
		line.pushRequest(line.node, worker.id, func(id uint64) message.Command { return message.WorkerHeartbeat{Reply: id, Heartbeat: heartbeat} })
	}
	worker.resend = func() *datadriven.TestData {
		worker.sequence++
		heartbeat.Sequence, heartbeat.Epoch, worker.resend = worker.sequence, worker.epoch, nil
		send()
		return data
	}
	if data.HasArg("once") {
		worker.resend = nil
	}
	if data.HasArg("as") {
		line.heartbeatCopies[line.text("as")] = heartbeat
	}
	send()
	line.run(0)
	worker.resend, worker.reported = nil, nil
}

// lateHeartbeat delivers an unchanged copy of an earlier heartbeat.
func (line *scenarioLine) lateHeartbeat() {
	name := line.firstArgument()
	heartbeat, ok := line.heartbeatCopies[name]
	if !ok {
		line.data.Fatalf(line.t, "late: got copy %q, want the name of a heartbeat that was sent with as=", name)
	}
	line.pushRequest(line.node, "late "+name, func(id uint64) message.Command { return message.WorkerHeartbeat{Reply: id, Heartbeat: heartbeat} })
	line.run(0)
}

// keepReporting makes a worker repeat its heartbeat periodically. deaf: no reply or command
// reaches the worker. off: ends the repetition.
func (line *scenarioLine) keepReporting() {
	worker, node, data := line.worker(), line.node, *line.data // a copy, since datadriven reuses line.data
	worker.repeat = func() {
		heartbeat := line.newHeartbeat(&data, worker)
		line.pushRequest(node, "", func(id uint64) message.Command { return message.WorkerHeartbeat{Reply: id, Heartbeat: heartbeat} })
		line.ignoredReplies[node.lastReply] = worker
	}
	worker.repeated, worker.unreachable = &data, line.data.HasArg("deaf")
	if line.data.HasArg("off") {
		worker.repeat, worker.repeated, worker.unreachable = nil, nil, false
	}
}

// printWorkerCommands prints the commands and polls that wait for an answer.
func (line *scenarioLine) printWorkerCommands() {
	line.run(0)
	for _, command := range line.node.workerCommands {
		text := formatCommands(command.Commands)
		if command.RequestsHeartbeat {
			text += " wake"
		}
		switch {
		case command.StatusOnly:
			text = " ask"
		case text == "":
			text = " epoch"
		}
		line.print(command.Machine + text)
	}
}

// answerWorkerCommand answers the first command that waits for the machine, or the first poll if
// there is no command. lost: there is no answer. refused: the worker does not carry out the
// command. from=machine: another machine answers, which has taken over the address. A worker whose
// heartbeat is requested answers with the tasks that it listed last, sends a heartbeat with them, and
// then one with the tasks of the line. lost_reply: no reply to these heartbeats reaches it. held: the
// answer was held on its way, and the worker has sent its heartbeats before.
func (line *scenarioLine) answerWorkerCommand() {
	line.run(0)
	worker, node := line.worker(), line.node
	i := slices.IndexFunc(node.workerCommands, func(command workerCommand) bool { return command.Machine == worker.id && command.isCommand() })
	if i < 0 {
		i = slices.IndexFunc(node.workerCommands, func(command workerCommand) bool { return command.Machine == worker.id })
	}
	if i < 0 {
		line.print("no order")
		return
	}
	command := node.workerCommands[i]
	node.workerCommands = slices.Delete(node.workerCommands, i, i+1)
	if line.data.HasArg("lost") {
		node.push(message.WorkerResponse{ID: command.ID})
		line.run(0)
		return
	}
	if line.data.HasArg("from") {
		worker = line.machines[line.text("from")]
	}
	refused := line.data.HasArg("refused")
	if !command.StatusOnly && !refused && command.Epoch >= worker.epoch {
		worker.epoch = command.Epoch
	}
	if command.RequestsHeartbeat && !refused && !line.data.HasArg("held") {
		line.answerHeartbeatRequest(worker, command)
		return
	}
	heartbeat := line.newHeartbeat(line.data, worker)
	node.push(message.WorkerResponse{ID: command.ID, OK: !refused, Heartbeat: &heartbeat})
	line.run(0)
	if !command.StatusOnly && !refused {
		node.answeredCommands = append(node.answeredCommands, command)
	}
}

// answerHeartbeatRequest answers a command that requests a heartbeat; see answerWorkerCommand.
func (line *scenarioLine) answerHeartbeatRequest(worker *scriptedWorker, command workerCommand) {
	node, former := line.node, worker.tasks
	formerHeartbeat := func() model.Heartbeat {
		heartbeat := line.newHeartbeat(&datadriven.TestData{}, worker)
		heartbeat.Tasks, heartbeat.Requested = former, true
		return heartbeat
	}
	answer := formerHeartbeat()
	node.push(message.WorkerResponse{ID: command.ID, OK: true, Heartbeat: &answer})
	line.run(0)
	node.answeredCommands = append(node.answeredCommands, command)
	name, lost := worker.id, line.data.HasArg("lost_reply")
	if lost {
		name = "lost " + worker.id
	}
	requested := formerHeartbeat()
	line.pushRequest(node, name, func(id uint64) message.Command { return message.WorkerHeartbeat{Reply: id, Heartbeat: requested} })
	line.run(0)
	if !lost {
		line.heartbeat()
	}
}

// repeatWorkerCommand delivers the first answered request that contains the command start= to its
// worker again, and prints whether the worker executes or refuses it. The controller does not learn
// of the repeat.
func (line *scenarioLine) repeatWorkerCommand() {
	line.run(0)
	worker, start := line.worker(), " start "+line.text("start")
	i := slices.IndexFunc(line.node.answeredCommands, func(command workerCommand) bool {
		return command.Machine == worker.id && strings.Contains(formatCommands(command.Commands)+" ", start+" ")
	})
	if i < 0 {
		line.data.Fatalf(line.t, "again: got no answered request with%s to %s, want one", start, worker.id)
	}
	if command := line.node.answeredCommands[i]; command.Epoch < worker.epoch || command.Incarnation != worker.incarnation {
		line.print("refused")
		return
	}
	line.print("executed")
}

// putEmptyRecord writes a record that contains an empty map, as a program other than a
// controller might.
func (line *scenarioLine) putEmptyRecord() {
	line.store.Do(line.now, message.StoreRequest{Kind: message.OpTxn, Writes: []message.Write{{Key: line.firstArgument(), Value: line.encode(map[string]any{})}}}, func(message.StoreResponse) {})
}

// encode returns the msgpack encoding of v.
func (line *scenarioLine) encode(v any) []byte {
	line.t.Helper()
	raw, err := msgpack.Marshal(v)
	if err != nil {
		line.t.Fatalf("%s: encoding a record: got error %v, want none", line.data.Cmd, err)
	}
	return raw
}

// assignTeams assigns teams to shards in one write, as a leader does. An example is "teams
// a=(ops) b=(lab)".
func (line *scenarioLine) assignTeams() {
	transaction := message.StoreRequest{Kind: message.OpTxn}
	for _, argument := range line.data.CmdArgs {
		if argument.Key == "for" {
			continue
		}
		key, shard := "ctl/share/"+argument.Key, map[string]any{}
		line.store.Do(line.now, message.StoreRequest{Kind: message.OpGet, Key: key}, func(response message.StoreResponse) {
			if err := msgpack.Unmarshal(response.KeyValues[0].Value, &shard); err != nil {
				line.t.Fatalf("teams: decoding %s: got error %v, want none", key, err)
			}
		})
		shard["teams"] = argument.Vals
		transaction.Writes = append(transaction.Writes, message.Write{Key: key, Value: line.encode(shard)})
	}
	line.store.Do(line.now, transaction, func(message.StoreResponse) {})
	line.wait(0.5)
}

// assignMachines writes a shard segment that contains the given machines, as a leader does. An
// example is "lot name share=b machines=(vm-1)".
func (line *scenarioLine) assignMachines() {
	if !line.data.HasArg("machines") {
		line.data.Fatalf(line.t, "lot: got no argument machines=, want one")
	}
	write, _ := sharding.BumpEpoch(sizelimit.Limits{ValueBytes: 4096}, line.firstArgument(), &sharding.Shard{Name: line.text("share")}, line.values("machines"))
	line.store.Do(line.now, message.StoreRequest{Kind: message.OpTxn, Writes: []message.Write{{Key: "ctl/lot/" + write.Name, Value: write.Value}}}, func(message.StoreResponse) {})
	line.wait(0.5)
}

// printKeys prints the store keys with the prefix that is the first argument.
func (line *scenarioLine) printKeys() {
	line.store.Do(line.now, message.StoreRequest{Kind: message.OpList, Key: line.firstArgument()}, func(response message.StoreResponse) {
		for _, record := range response.KeyValues {
			line.print(record.Key)
		}
	})
}

// printShardLeaders prints the hosts of the controllers that lead a shard with teams.
func (line *scenarioLine) printShardLeaders() {
	for _, host := range harnessHosts {
		if node := line.controllers[host]; node != nil && node.controller != nil && node.controller.IsShardLeader() {
			line.print(host)
		}
	}
}
