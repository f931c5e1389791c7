package controller_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/micahill/micahill/internal/controller"
	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/record"
	"github.com/micahill/micahill/internal/sharding"
	"github.com/micahill/micahill/internal/simulation"
	"github.com/micahill/micahill/internal/sizelimit"
	"github.com/vmihailenco/msgpack/v5"
)

// harness holds real cores against our state service, with everything else in the
// hands of a scenario: which requests are lost, held or applied late, what a
// worker says and when. It is for single conditions of the safety argument;
// whole days are played in internal/simulation.
type harness struct {
	t           *testing.T
	now         time.Time
	store       *simulation.StateService
	controllers map[string]*harnessController
	vms         map[string]*scriptedWorker
	// maxMachines bounds the machines that can be rented, and unlisted keeps new ones
	// out of the machine list.
	maxMachines int
	unlisted    bool
	releaseMode string
	bookings    map[string]bool
	// ignoredReplies are reports whose answers nobody wants to read.
	ignoredReplies map[uint64]*scriptedWorker
	// heartbeatCopies are reports by the names that a scenario gave them.
	heartbeatCopies map[string]model.Heartbeat
	output          []string
	shown           map[string]bool
}

type harnessController struct {
	harness     *harness
	name        string
	incarnation int
	controller  *controller.Controller
	queue       []message.Command
	// rules say what becomes of requests to the state service.
	rules          []storeRule
	heldRequests   []heldRequest
	txns           []string
	workerCommands []workerCommand
	peersConnected bool
	lastReply      uint64
	replyNames     map[uint64]string
}

// storeRule is for requests whose text contains only. Mode: "refuse", "lose"
// (executed, no answer), "late" (no answer, executed at deliver), "hold" (executed
// and answered at deliver), "gone" (once: the watch is too far behind).
type storeRule struct{ mode, contains string }

// heldRequest is a request that is executed at deliver; what becomes of a transaction
// then is what say prints.
type heldRequest struct {
	text string
	exec func(done func(message.StoreResponse))
}

// workerCommand is a direct order, and when it was sent.
type workerCommand struct {
	message.WorkerRequest
	sentAt time.Time
}

// pollTimeout is after how long a question that the scenario does not answer
// has no answer. Orders wait for the scenario.
const pollTimeout = 2 * time.Second

// scriptedWorker is what a scripted worker knows of itself.
type scriptedWorker struct {
	id                    string
	zone                  string
	incarnation, sequence uint64
	epoch                 uint64
	failed                bool
	released              bool
	unlisted              bool
	// deaf: what a kept worker says arrives, and no answer and no order reaches it.
	unreachable bool
	repeat      func()
	repeated    *datadriven.TestData
	repeatedAt  time.Time
	// resend sends its report once more.
	resend func() *datadriven.TestData
	// reported is what it reports, while it reports a higher epoch.
	reported *datadriven.TestData
}

func newHarness(t *testing.T) *harness {
	return &harness{
		t: t, now: time.Unix(1_750_000_000, 0), store: simulation.NewStateService(),
		controllers: map[string]*harnessController{}, vms: map[string]*scriptedWorker{}, maxMachines: 2, bookings: map[string]bool{}, ignoredReplies: map[uint64]*scriptedWorker{}, heartbeatCopies: map[string]model.Heartbeat{}, shown: map[string]bool{},
	}
}

var harnessHosts = []string{"a", "b"}

func (b *harness) start(name string) *harnessController {
	n := b.controllers[name]
	if n == nil {
		n = &harnessController{harness: b, name: name}
		b.controllers[name] = n
	}
	n.incarnation++
	n.rules, n.peersConnected, n.replyNames = nil, true, map[uint64]string{}
	n.queue, n.heldRequests, n.workerCommands, n.txns = nil, nil, nil, nil
	set := controller.Settings{
		Host: name, Incarnation: fmt.Sprintf("%s.%d", name, n.incarnation), Zones: []string{"z1", "z2"},
		HeartbeatInterval: 3 * time.Second, WorkerLease: 24 * time.Second, CancellationBound: 54 * time.Second, MaxTxnWrites: 12, MaxValueBytes: 4096, StoreWritesPerSecond: 30,
		CloudListLag: 4 * time.Second, CloudRequestsPerSecond: 4, Policy: controller.DefaultPolicy(),
		Teams: []model.Team{{Name: "ops"}, {Name: "lab", QuotaLimit: model.Resources{CPU: 8}}},
	}
	for _, h := range harnessHosts {
		if h != name {
			set.Peers = append(set.Peers, h)
		}
	}
	n.controller = controller.New(set, rand.New(rand.NewPCG(1, uint64(n.incarnation))))
	return n
}

// run lets time pass in steps of 50 ms.
func (b *harness) run(d time.Duration) {
	for end := b.now.Add(d); ; b.now = b.now.Add(50 * time.Millisecond) {
		b.store.Expire(b.now)
		for _, vm := range b.sortedVMs() {
			if vm.repeat != nil && b.now.Sub(vm.repeatedAt) >= 3*time.Second {
				vm.repeatedAt = b.now
				vm.repeat()
			}
		}
		for busy := true; busy; {
			busy = false
			for _, h := range harnessHosts {
				if n := b.controllers[h]; n != nil && n.controller != nil {
					n.workerCommands = slices.DeleteFunc(n.workerCommands, func(op workerCommand) bool {
						late := len(op.Commands) == 0 && b.now.Sub(op.sentAt) > pollTimeout
						if late {
							n.push(message.WorkerResponse{ID: op.ID})
						}
						return late
					})
					q := n.queue
					n.queue = nil
					for _, e := range n.controller.Step(b.now, q) {
						n.execute(e)
					}
					busy = busy || len(n.queue) > 0
				}
			}
		}
		if !b.now.Before(end) {
			return
		}
	}
}

func (n *harnessController) push(c message.Command) {
	if n.controller != nil {
		n.queue = append(n.queue, c)
	}
}

func (n *harnessController) execute(e message.Effect) {
	b := n.harness
	switch e := e.(type) {
	case message.StoreRequest:
		n.handleStoreRequest(e)
	case message.CloudRequest:
		n.push(b.handleCloudRequest(e))
	case message.WorkerRequest:
		vm := b.vms[e.Machine]
		said := vm.repeated
		if vm.reported != nil {
			said = vm.reported
		}
		if said != nil && len(e.Commands) == 0 && !vm.unreachable {
			// A kept worker answers questions by itself, and so does one that has just
			// learnt a higher epoch.
			vm.epoch = max(vm.epoch, e.Epoch)
			r := b.heartbeat(said, vm)
			n.push(message.WorkerResponse{ID: e.ID, OK: true, Heartbeat: &r})
			return
		}
		n.workerCommands = append(n.workerCommands, workerCommand{e, b.now})
	case message.UserReply:
		b.output = append(b.output, strings.TrimSpace(fmt.Sprintf("%s %d %s", n.replyNames[e.Reply], e.Status, e.State)))
	case message.HeartbeatReply:
		if vm := b.ignoredReplies[e.Reply]; vm != nil {
			delete(b.ignoredReplies, e.Reply)
			if vm.unreachable {
				b.printOnce(fmt.Sprintf("%s %d in vain", vm.id, e.Status))
				return
			}
			vm.epoch = max(vm.epoch, e.Epoch)
			if text := formatCommands(e.Commands); strings.Contains(text, " start ") {
				b.printOnce(vm.id + text)
			}
			return
		}
		vm := b.vms[n.replyNames[e.Reply]]
		text := fmt.Sprint(e.Status)
		if e.Status == 200 {
			switch {
			case vm == nil:
				// A copy: nobody waits for its answer.
			case e.Epoch < vm.epoch:
				text += " dropped"
			case e.Epoch > vm.epoch && vm.resend != nil:
				// A higher epoch is a change, which the worker reports at once; the
				// answer to that is printed.
				vm.epoch = e.Epoch
				vm.reported = vm.resend()
				return
			default:
				vm.epoch = e.Epoch
			}
			text += formatCommands(e.Commands)
		}
		if e.MachineOwner != "" {
			text += " to " + e.MachineOwner
		}
		b.output = append(b.output, fmt.Sprintf("%s %s", n.replyNames[e.Reply], text))
	case message.LoanReply:
		b.output = append(b.output, n.replyNames[e.Reply]+" "+[...]string{"durable", "not", "unsure"}[e.Status])
	case message.LoanView:
		text := fmt.Sprintf("view ok=%v leads=%v guests=%v", e.OK, e.IsLeader, e.RunsGuestTeam)
		for _, l := range e.Lent {
			text += fmt.Sprintf(" lent=%s#%d->%s", l.Spec.ID, l.LendCount, l.Peer)
		}
		for _, l := range e.Borrowed {
			text += fmt.Sprintf(" borrowed=%s:%s:ending=%v", l.Loan, l.Status, l.Ending)
		}
		b.output = append(b.output, text)
	case message.SendPeerUpdate:
		if o := b.controllers[e.To]; o != nil && n.peersConnected && o.peersConnected {
			o.push(e.Update)
		}
	}
}

func formatCommands(commands []model.TaskCommand) string {
	var out []string
	for _, o := range commands {
		out = append(out, fmt.Sprintf(" %s %s/%d#%d", o.Kind, o.Job, o.Index, o.Attempt))
	}
	slices.Sort(out)
	return strings.Join(out, "")
}

// describeRequest is how a request reads in a scenario: a transaction as its
// conditions, each with whether it stands now, and its changes.
func (n *harnessController) describeRequest(op message.StoreRequest) string {
	switch {
	case op.Kind == message.OpWatch && op.WatchTimeout == 0:
		return "read " + op.Key
	case op.Kind != message.OpTxn:
		return fmt.Sprintf("%s %s", op.Kind, op.Key)
	}
	var compares, writes []string
	for _, c := range op.Compares {
		how := "="
		if c.ModRevision == 0 {
			how = " absent"
		}
		compares = append(compares, c.Key+how)
	}
	for _, a := range op.Writes {
		verb := "put "
		if a.Value == nil {
			verb = "remove "
		}
		writes = append(writes, verb+a.Key)
	}
	slices.Sort(compares)
	return fmt.Sprintf("when %s: %s", strings.Join(compares, ", "), strings.Join(writes, ", "))
}

func (n *harnessController) handleStoreRequest(op message.StoreRequest) {
	b := n.harness
	text := n.describeRequest(op)
	if op.Kind == message.OpTxn {
		n.txns = append(n.txns, text)
	}
	sent, life := b.now, n.incarnation
	exec := func(answer bool, done func(message.StoreResponse)) {
		b.store.Do(b.now, op, func(d message.StoreResponse) {
			if d.SentAt = sent; answer && n.incarnation == life {
				n.push(d)
			}
			done(d)
		})
	}
	hold := func(answer bool) {
		n.heldRequests = append(n.heldRequests, heldRequest{text, func(done func(message.StoreResponse)) { exec(answer, done) }})
	}
	nobody := func(message.StoreResponse) {}
	mode := "ok"
	if i := slices.IndexFunc(n.rules, func(r storeRule) bool { return strings.Contains(text, r.contains) }); i >= 0 {
		if mode = n.rules[i].mode; mode == "gone" {
			n.rules = slices.Delete(n.rules, i, i+1)
		}
	}
	switch mode {
	case "ok":
		exec(true, nobody)
	case "refuse":
		n.push(message.StoreResponse{ID: op.ID, Status: message.StoreRefused, SentAt: sent})
	case "lose":
		exec(false, nobody)
		n.push(message.StoreResponse{ID: op.ID, Status: message.StoreUnknown, SentAt: sent})
	case "late":
		hold(false)
		n.push(message.StoreResponse{ID: op.ID, Status: message.StoreUnknown, SentAt: sent})
	case "hold":
		hold(true)
	case "gone":
		n.push(message.StoreResponse{ID: op.ID, Status: message.StoreCompacted, SentAt: sent})
	default:
		b.t.Fatalf("unknown mode %s", mode)
	}
}

func (b *harness) handleCloudRequest(op message.CloudRequest) message.CloudResponse {
	d := message.CloudResponse{ID: op.ID}
	switch op.Kind {
	case message.CloudListTypes:
		d.MachineTypes = []model.MachineType{{Name: "box", Capacity: model.Resources{CPU: 4, Memory: 16}, DiskGB: 20, ImageFetchRate: 1, CostPerHour: 0.2, SpotCostPerHour: 0.1, ProvisioningTime: 5 * time.Second, Zones: []string{"z1", "z2"}}}
	case message.CloudRent:
		if b.bookings[op.IdempotencyKey] {
			b.output = append(b.output, "booking used again: "+op.IdempotencyKey)
		}
		b.bookings[op.IdempotencyKey] = true
		for range min(op.Count, b.maxMachines-len(b.vms)) {
			vm := &scriptedWorker{id: fmt.Sprintf("vm-%d", len(b.vms)+1), zone: op.Zone, incarnation: 1, unlisted: b.unlisted}
			b.vms[vm.id] = vm
			d.Rented = append(d.Rented, vm.id)
		}
		if len(d.Rented) == 0 {
			d.Status = message.CloudNoCapacity
		}
	case message.CloudListMachines:
		for _, vm := range b.sortedVMs() {
			status := "running"
			if vm.failed {
				status = "failed"
			}
			if !vm.released && !vm.unlisted {
				d.Machines = append(d.Machines, model.CloudMachine{ID: vm.id, Addr: vm.id, MachineType: "box", Zone: vm.zone, Status: status, Age: time.Minute})
			}
		}
	case message.CloudRelease:
		b.printOnce("return " + strings.Join(op.Machines, " "))
		if b.releaseMode == "unknown" {
			d.Status = message.CloudUnknown
			return d
		}
		for _, id := range op.Machines {
			b.vms[id].released = true
		}
	}
	return d
}

// printOnce prints what is repeated again and again only the first time.
func (b *harness) printOnce(text string) {
	if !b.shown[text] {
		b.shown[text] = true
		b.output = append(b.output, text)
	}
}

func (b *harness) sortedVMs() []*scriptedWorker {
	var vms []*scriptedWorker
	for _, vm := range b.vms {
		vms = append(vms, vm)
	}
	slices.SortFunc(vms, func(x, y *scriptedWorker) int { return strings.Compare(x.id, y.id) })
	return vms
}

func (b *harness) pushRequest(n *harnessController, what string, newCommand func(uint64) message.Command) {
	n.lastReply++
	n.replyNames[n.lastReply] = what
	n.push(newCommand(n.lastReply))
}

// worker makes a report of vm as the scenario says: tasks=(job/0#1=running,...).
func (b *harness) heartbeat(d *datadriven.TestData, vm *scriptedWorker) model.Heartbeat {
	uintArg(b.t, d, "tenure", &vm.incarnation)
	vm.sequence++
	r := model.Heartbeat{Machine: vm.id, Addr: vm.id, MachineType: "box", Zone: vm.zone, Incarnation: vm.incarnation, Sequence: vm.sequence, Epoch: vm.epoch, ReclaimIn: -1}
	uintArg(b.t, d, "tick", &r.Sequence)
	vm.sequence = max(vm.sequence, r.Sequence)
	if d.HasArg("newer") {
		// The worker has seen an epoch above all that this state service gave.
		r.Epoch += 1000
	}
	for _, a := range d.CmdArgs {
		if a.Key != "tasks" {
			continue
		}
		for _, v := range a.Vals {
			name, status, ok := strings.Cut(v, "=")
			task := model.TaskReport{}
			last := 0
			if _, err := fmt.Sscanf(strings.NewReplacer("/", " ", "-", " ", "#", " ").Replace(name), "%s %d %d %d", &task.Job, &task.Index, &last, &task.Attempt); err != nil || !ok {
				if _, err := fmt.Sscanf(strings.NewReplacer("/", " ", "#", " ").Replace(name), "%s %d %d", &task.Job, &task.Index, &task.Attempt); err != nil || !ok {
					d.Fatalf(b.t, "tasks: %q is not job/0#1=status or job/0-3#1=status", v)
				}
				last = task.Index
			}
			switch status {
			case "fetching":
				task.Status = model.Fetching
			case "running":
				task.Status = model.Running
			case "flushing":
				task.Status = model.Checkpointing
			default:
				task.Status, task.Cause = model.Ended, status
			}
			for ; task.Index <= last; task.Index++ {
				r.Tasks = append(r.Tasks, task)
			}
		}
	}
	return r
}

func uintArg(t *testing.T, d *datadriven.TestData, key string, v *uint64) {
	if d.HasArg(key) {
		d.ScanArgs(t, key, v)
	}
}

func (b *harness) flush() string {
	out := b.output
	b.output = nil
	if len(out) == 0 {
		return ""
	}
	return strings.Join(out, "\n") + "\n"
}

// runCommand carries out one line of a scenario.
func (b *harness) runCommand(d *datadriven.TestData) string {
	t := b.t
	first := func() string {
		if len(d.CmdArgs) == 0 {
			d.Fatalf(t, "%s: a name is missing", d.Cmd)
		}
		return d.CmdArgs[0].Key
	}
	n := b.controllers["a"]
	if d.HasArg("node") {
		var name string
		d.ScanArgs(t, "node", &name)
		n = b.controllers[name]
	}
	vm := func() *scriptedWorker {
		v := b.vms[first()]
		if v == nil {
			d.Fatalf(t, "%s: no machine %s; there are %d", d.Cmd, first(), len(b.vms))
		}
		return v
	}
	number := func(key string, def float64) float64 {
		if d.HasArg(key) {
			d.ScanArgs(t, key, &def)
		}
		return def
	}
	switch d.Cmd {
	case "boot":
		// late=(text): requests with that text get no answer until deliver; lose=(text):
		// they are executed, and get none.
		booted := b.start(first())
		for _, mode := range []string{"late", "lose"} {
			if d.HasArg(mode) {
				r := storeRule{mode: mode}
				d.ScanArgs(t, mode, &r.contains)
				booted.rules = append(booted.rules, r)
			}
		}
		b.run(record.DurationOfSeconds(number("for", 1)))
	case "end":
		// The process ends; what it sent may still be applied.
		b.controllers[first()].controller = nil
	case "room":
		b.maxMachines = int(number("machines", 2))
		b.unlisted = d.HasArg("unlisted")
	case "submit":
		s := model.JobSpec{ID: first(), Workload: "w", Team: "ops", Urgency: model.Normal, Tasks: int(number("tasks", 1)),
			Need: model.Resources{CPU: number("cpu", 4), Memory: number("cpu", 4)}, Image: "img", ImageGB: 1, ExpectedRunTime: record.DurationOfSeconds(number("expected", 20)),
			SameZone: d.HasArg("same"), SpreadZones: d.HasArg("apart")}
		for _, a := range d.CmdArgs {
			if a.Key == "prereqs" {
				s.Dependencies = a.Vals
			}
		}
		if d.HasArg("team") {
			d.ScanArgs(t, "team", &s.Team)
		}
		b.pushRequest(n, s.ID, func(r uint64) message.Command { return message.SubmitJob{Reply: r, Spec: s} })
		b.run(record.DurationOfSeconds(number("for", 2)))
	case "loan":
		// One step of a loan: what, job, n=1.
		kinds := []string{"lend", "back", "settle", "cancelled", "accept", "give_up", "drop"}
		id := d.CmdArgs[1].Key
		op := message.LoanCommand{
			Kind: message.LoanCommandKind(slices.Index(kinds, first())), Job: id, LendCount: uint64(number("n", 1)), Peer: "west", Loan: "west/" + id + "/1",
			Spec: model.JobSpec{ID: id, Team: "ops", Urgency: model.Normal, Tasks: 1, Need: model.Resources{CPU: 4, Memory: 4}, Image: "img", ImageGB: 1, ExpectedRunTime: 20 * time.Second},
		}
		b.pushRequest(n, first()+" "+id, func(r uint64) message.Command { op.Reply = r; return op })
		b.run(record.DurationOfSeconds(number("for", 0.5)))
	case "view":
		// startable=job: that borrowed job may be started for the next 10 s.
		q := message.QueryLoans{GuestTeam: "ops", StartableUntil: map[string]time.Time{}}
		if d.HasArg("startable") {
			var id string
			d.ScanArgs(t, "startable", &id)
			q.StartableUntil[id] = b.now.Add(10 * time.Second)
		}
		b.pushRequest(n, "view", func(r uint64) message.Command { q.Reply = r; return q })
		b.run(record.DurationOfSeconds(number("for", 0.5)))
	case "query":
		id := first()
		b.pushRequest(n, id, func(r uint64) message.Command { return message.QueryJob{Reply: r, ID: id} })
		b.run(record.DurationOfSeconds(number("for", 0.3)))
	case "abort":
		id := first()
		b.pushRequest(n, id, func(r uint64) message.Command { return message.CancelJob{Reply: r, ID: id} })
		b.run(record.DurationOfSeconds(number("for", 0.3)))
	case "wait":
		b.run(record.DurationOfSeconds(number("for", 1)))
	case "state":
		// What becomes of the node's requests to the state service; ok: all as usual.
		r := storeRule{mode: first()}
		if d.HasArg("only") {
			d.ScanArgs(t, "only", &r.contains)
		}
		if n.rules = append(n.rules, r); r.mode == "ok" {
			n.rules = nil
		}
	case "deliver":
		// say: prints what became of each, which shows that there was one.
		held := n.heldRequests
		n.heldRequests = nil
		for _, h := range held {
			h.exec(func(r message.StoreResponse) {
				kind, text, txn := strings.Cut(h.text, ": ")
				switch {
				case !d.HasArg("say"):
				case !txn:
					b.output = append(b.output, fmt.Sprintf("%s tells of %d", kind, len(r.KeyValues)))
				case r.Status == message.StoreOK:
					b.output = append(b.output, "applied "+text)
				case r.Status == message.StoreNoLease:
					b.output = append(b.output, "refused "+text+", its grant has ended")
				default:
					b.output = append(b.output, fmt.Sprintf("refused %s, as of another stamp: %s", text, strings.Join(r.FailedKeys, ", ")))
				}
			})
		}
		if !d.HasArg("nowait") {
			b.run(200 * time.Millisecond)
		}
	case "txns":
		// The transactions since the last look, but for those of no interest.
		var only string
		if d.HasArg("only") {
			d.ScanArgs(t, "only", &only)
		}
		for _, x := range n.txns {
			if strings.Contains(x, only) {
				b.output = append(b.output, x)
			}
		}
		n.txns = nil
	case "news":
		n.peersConnected = first() == "on"
	case "machine":
		// One that has been rented some other way, or has a fault.
		vm := b.vms[first()]
		if vm == nil {
			vm = &scriptedWorker{id: first(), zone: "z1", incarnation: 1}
			b.vms[vm.id] = vm
		}
		if d.HasArg("zone") {
			d.ScanArgs(t, "zone", &vm.zone)
		}
		vm.failed, vm.unlisted = d.HasArg("failed"), d.HasArg("unlisted")
		if d.HasArg("anew") {
			// Its worker begins anew under the same name, knowing nothing.
			vm.incarnation, vm.sequence, vm.epoch = 1, 0, 0
		}
	case "returns":
		b.releaseMode = first()
		clear(b.shown)
	case "report":
		vm := vm()
		r := b.heartbeat(d, vm)
		send := func() {
			b.pushRequest(n, vm.id, func(id uint64) message.Command { return message.WorkerHeartbeat{Reply: id, Heartbeat: r} })
		}
		vm.resend = func() *datadriven.TestData {
			vm.sequence++
			r.Sequence, r.Epoch, vm.resend = vm.sequence, vm.epoch, nil
			send()
			return d
		}
		if d.HasArg("once") {
			vm.resend = nil
		}
		if d.HasArg("as") {
			var name string
			d.ScanArgs(t, "as", &name)
			b.heartbeatCopies[name] = r
		}
		send()
		b.run(0)
		vm.resend, vm.reported = nil, nil
	case "late":
		// A copy of a report arrives, as it was sent, at whoever is asked for.
		r, ok := b.heartbeatCopies[first()]
		if !ok {
			d.Fatalf(t, "late: no report was sent as %s", first())
		}
		b.pushRequest(n, "late "+first(), func(id uint64) message.Command { return message.WorkerHeartbeat{Reply: id, Heartbeat: r} })
		b.run(0)
	case "keep":
		// The worker goes on reporting the same, to whoever is asked for.
		vm, node, said := vm(), n, *d // datadriven uses d again
		vm.repeat = func() {
			r := b.heartbeat(&said, vm)
			b.pushRequest(node, "", func(id uint64) message.Command { return message.WorkerHeartbeat{Reply: id, Heartbeat: r} })
			b.ignoredReplies[node.lastReply] = vm
		}
		vm.repeated, vm.unreachable = &said, d.HasArg("deaf")
		if d.HasArg("off") {
			vm.repeat, vm.repeated, vm.unreachable = nil, nil, false
		}
	case "direct":
		// The direct orders that wait for their answer.
		b.run(0)
		for _, op := range n.workerCommands {
			text := formatCommands(op.Commands)
			switch {
			case op.StatusOnly:
				text = " ask"
			case text == "":
				text = " epoch"
			}
			b.output = append(b.output, op.Machine+text)
		}
	case "answer":
		// The first of the machine's direct orders is answered, or not: lost. Without
		// one it is a question.
		b.run(0)
		vm := vm()
		i := slices.IndexFunc(n.workerCommands, func(op workerCommand) bool { return op.Machine == vm.id && len(op.Commands) > 0 })
		if i < 0 {
			i = slices.IndexFunc(n.workerCommands, func(op workerCommand) bool { return op.Machine == vm.id })
		}
		if i < 0 {
			return "no order\n"
		}
		op := n.workerCommands[i]
		n.workerCommands = slices.Delete(n.workerCommands, i, i+1)
		if d.HasArg("lost") {
			n.push(message.WorkerResponse{ID: op.ID})
		} else {
			if d.HasArg("from") {
				// Another machine has its address by now.
				var other string
				d.ScanArgs(t, "from", &other)
				vm = b.vms[other]
			}
			if !op.StatusOnly && !d.HasArg("refused") && op.Epoch >= vm.epoch {
				vm.epoch = op.Epoch
			}
			r := b.heartbeat(d, vm)
			n.push(message.WorkerResponse{ID: op.ID, OK: !d.HasArg("refused"), Heartbeat: &r})
		}
		b.run(0)
	case "put":
		// Somebody else writes a record: an empty map.
		raw, err := msgpack.Marshal(map[string]any{})
		if err != nil {
			t.Fatal(err)
		}
		b.store.Do(b.now, message.StoreRequest{Kind: message.OpTxn, Writes: []message.Write{{Key: first(), Value: raw}}}, func(message.StoreResponse) {})
	case "teams":
		// A leader gives shares these teams, in one change: a=(ops) b=(lab).
		op := message.StoreRequest{Kind: message.OpTxn}
		for _, a := range d.CmdArgs {
			if a.Key == "for" {
				continue
			}
			key, share := "ctl/share/"+a.Key, map[string]any{}
			b.store.Do(b.now, message.StoreRequest{Kind: message.OpGet, Key: key}, func(g message.StoreResponse) {
				if err := msgpack.Unmarshal(g.KeyValues[0].Value, &share); err != nil {
					t.Fatal(err)
				}
			})
			share["teams"] = a.Vals
			raw, err := msgpack.Marshal(share)
			if err != nil {
				t.Fatal(err)
			}
			op.Writes = append(op.Writes, message.Write{Key: key, Value: raw})
		}
		b.store.Do(b.now, op, func(message.StoreResponse) {})
		b.run(record.DurationOfSeconds(number("for", 0.5)))
	case "lot":
		// A leader names machines for a share: lot name share=b machines=(vm-1).
		var share string
		d.ScanArgs(t, "share", &share)
		i := slices.IndexFunc(d.CmdArgs, func(a datadriven.CmdArg) bool { return a.Key == "machines" })
		w, _ := sharding.BumpEpoch(sizelimit.Limits{ValueBytes: 4096}, first(), &sharding.Shard{Name: share}, d.CmdArgs[i].Vals)
		b.store.Do(b.now, message.StoreRequest{Kind: message.OpTxn, Writes: []message.Write{{Key: "ctl/lot/" + w.Name, Value: w.Value}}}, func(message.StoreResponse) {})
		b.run(record.DurationOfSeconds(number("for", 0.5)))
	case "keys":
		b.store.Do(b.now, message.StoreRequest{Kind: message.OpList, Key: first()}, func(d message.StoreResponse) {
			for _, it := range d.KeyValues {
				b.output = append(b.output, it.Key)
			}
		})
	case "owner":
		for _, h := range harnessHosts {
			if x := b.controllers[h]; x != nil && x.controller != nil && x.controller.IsShardLeader() {
				b.output = append(b.output, h)
			}
		}
	default:
		d.Fatalf(t, "unknown command %s", d.Cmd)
	}
	return b.flush()
}

// TestSafety runs the scenarios of single conditions. conditions.toml names the
// lines that they guard.
func TestSafety(t *testing.T) {
	datadriven.Walk(t, "testdata/safety", func(t *testing.T, path string) {
		b := newHarness(t)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string { return b.runCommand(d) })
	})
}
