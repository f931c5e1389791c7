package core_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/micahill/micahill/internal/bounds"
	"github.com/micahill/micahill/internal/core"
	"github.com/micahill/micahill/internal/division"
	"github.com/micahill/micahill/internal/standin"
	"github.com/vmihailenco/msgpack/v5"
)

// bench holds real cores against our state service, with everything else in the
// hands of a scenario: which requests are lost, held or applied late, what a
// worker says and when. It is for single conditions of the safety argument;
// whole days are played in internal/standin.
type bench struct {
	t     *testing.T
	now   time.Time
	state *standin.StateService
	nodes map[string]*benchNode
	vms   map[string]*benchVM
	// room bounds the machines that can be rented, and unlisted keeps new ones
	// out of the machine list.
	room     int
	unlisted bool
	returns  string
	bookings map[string]bool
	// silence are reports whose answers nobody wants to read.
	silence map[uint64]*benchVM
	// copies are reports by the names that a scenario gave them.
	copies map[string]core.Report
	out    []string
	shown  map[string]bool
}

type benchNode struct {
	b     *bench
	name  string
	life  int
	node  *core.Node
	queue []core.Command
	// rules say what becomes of requests to the state service.
	rules  []benchRule
	held   []benchHeld
	txns   []string
	direct []benchOrder
	news   bool
	next   uint64
	asked  map[uint64]string
}

// benchRule is for requests whose text contains only. Mode: "refuse", "lose"
// (executed, no answer), "late" (no answer, executed at deliver), "hold" (executed
// and answered at deliver), "gone" (once: the watch is too far behind).
type benchRule struct{ mode, only string }

// benchHeld is a request that is executed at deliver; what becomes of a transaction
// then is what say prints.
type benchHeld struct {
	text string
	exec func(done func(core.StateDone))
}

// benchOrder is a direct order, and when it was sent.
type benchOrder struct {
	core.WorkerOp
	at time.Time
}

// askPatience is after how long a question that the scenario does not answer
// has no answer. Orders wait for the scenario.
const askPatience = 2 * time.Second

// benchVM is what a scripted worker knows of itself.
type benchVM struct {
	id           string
	zone         string
	tenure, tick uint64
	epoch        uint64
	failed       bool
	gone         bool
	unlisted     bool
	// deaf: what a kept worker says arrives, and no answer and no order reaches it.
	deaf   bool
	keep   func()
	kept   *datadriven.TestData
	keptAt time.Time
	// again sends its report once more.
	again func() *datadriven.TestData
	// said is what it reports, while it reports a higher epoch.
	said *datadriven.TestData
}

func newBench(t *testing.T) *bench {
	return &bench{
		t: t, now: time.Unix(1_750_000_000, 0), state: standin.NewStateService(),
		nodes: map[string]*benchNode{}, vms: map[string]*benchVM{}, room: 2, bookings: map[string]bool{}, silence: map[uint64]*benchVM{}, copies: map[string]core.Report{}, shown: map[string]bool{},
	}
}

var benchHosts = []string{"a", "b"}

func (b *bench) boot(name string) *benchNode {
	n := b.nodes[name]
	if n == nil {
		n = &benchNode{b: b, name: name}
		b.nodes[name] = n
	}
	n.life++
	n.rules, n.news, n.asked = nil, true, map[uint64]string{}
	n.queue, n.held, n.direct, n.txns = nil, nil, nil, nil
	set := core.Settings{
		Host: name, Nonce: fmt.Sprintf("%s.%d", name, n.life), Zones: []string{"z1", "z2"},
		ReportEvery: 3 * time.Second, Lease: 24 * time.Second, Cancel: 54 * time.Second, TxnOps: 12, ValueBytes: 4096, StateWrites: 30,
		ListLag: 4 * time.Second, CloudRPS: 4, Policy: core.DefaultPolicy(),
		Teams: []core.Team{{Name: "ops"}, {Name: "lab", Limit: core.Resources{CPU: 8}}},
	}
	for _, h := range benchHosts {
		if h != name {
			set.Peers = append(set.Peers, h)
		}
	}
	n.node = core.New(set, rand.New(rand.NewPCG(1, uint64(n.life))))
	return n
}

// run lets time pass in steps of 50 ms.
func (b *bench) run(d time.Duration) {
	for end := b.now.Add(d); ; b.now = b.now.Add(50 * time.Millisecond) {
		b.state.Tick(b.now)
		for _, vm := range b.sortedVMs() {
			if vm.keep != nil && b.now.Sub(vm.keptAt) >= 3*time.Second {
				vm.keptAt = b.now
				vm.keep()
			}
		}
		for busy := true; busy; {
			busy = false
			for _, h := range benchHosts {
				if n := b.nodes[h]; n != nil && n.node != nil {
					n.direct = slices.DeleteFunc(n.direct, func(op benchOrder) bool {
						late := len(op.Orders) == 0 && b.now.Sub(op.at) > askPatience
						if late {
							n.push(core.WorkerDone{ID: op.ID})
						}
						return late
					})
					q := n.queue
					n.queue = nil
					for _, e := range n.node.Step(b.now, q) {
						n.do(e)
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

func (n *benchNode) push(c core.Command) {
	if n.node != nil {
		n.queue = append(n.queue, c)
	}
}

func (n *benchNode) do(e core.Effect) {
	b := n.b
	switch e := e.(type) {
	case core.StateOp:
		n.stateOp(e)
	case core.CloudOp:
		n.push(b.cloud(e))
	case core.WorkerOp:
		vm := b.vms[e.Machine]
		said := vm.kept
		if vm.said != nil {
			said = vm.said
		}
		if said != nil && len(e.Orders) == 0 && !vm.deaf {
			// A kept worker answers questions by itself, and so does one that has just
			// learnt a higher epoch.
			vm.epoch = max(vm.epoch, e.Epoch)
			r := b.report(said, vm)
			n.push(core.WorkerDone{ID: e.ID, OK: true, Report: &r})
			return
		}
		n.direct = append(n.direct, benchOrder{e, b.now})
	case core.UserReply:
		b.out = append(b.out, strings.TrimSpace(fmt.Sprintf("%s %d %s", n.asked[e.Reply], e.Status, e.State)))
	case core.ReportReply:
		if vm := b.silence[e.Reply]; vm != nil {
			delete(b.silence, e.Reply)
			if vm.deaf {
				b.once(fmt.Sprintf("%s %d in vain", vm.id, e.Status))
				return
			}
			vm.epoch = max(vm.epoch, e.Epoch)
			if text := orders(e.Orders); strings.Contains(text, " start ") {
				b.once(vm.id + text)
			}
			return
		}
		vm := b.vms[n.asked[e.Reply]]
		text := fmt.Sprint(e.Status)
		if e.Status == 200 {
			switch {
			case vm == nil:
				// A copy: nobody waits for its answer.
			case e.Epoch < vm.epoch:
				text += " dropped"
			case e.Epoch > vm.epoch && vm.again != nil:
				// A higher epoch is a change, which the worker reports at once; the
				// answer to that is printed.
				vm.epoch = e.Epoch
				vm.said = vm.again()
				return
			default:
				vm.epoch = e.Epoch
			}
			text += orders(e.Orders)
		}
		if e.Steward != "" {
			text += " to " + e.Steward
		}
		b.out = append(b.out, fmt.Sprintf("%s %s", n.asked[e.Reply], text))
	case core.LoanDone:
		b.out = append(b.out, n.asked[e.Reply]+" "+[...]string{"durable", "not", "unsure"}[e.Status])
	case core.LoanView:
		text := fmt.Sprintf("view ok=%v leads=%v guests=%v", e.OK, e.Leads, e.Guests)
		for _, l := range e.Lent {
			text += fmt.Sprintf(" lent=%s#%d->%s", l.Spec.ID, l.N, l.Peer)
		}
		for _, l := range e.Borrowed {
			text += fmt.Sprintf(" borrowed=%s:%s:ending=%v", l.Loan, l.Status, l.Ending)
		}
		b.out = append(b.out, text)
	case core.PeerSend:
		if o := b.nodes[e.To]; o != nil && n.news && o.news {
			o.push(e.News)
		}
	}
}

func orders(os []core.Order) string {
	var out []string
	for _, o := range os {
		out = append(out, fmt.Sprintf(" %s %s/%d#%d", o.Verb, o.Job, o.Index, o.Try))
	}
	slices.Sort(out)
	return strings.Join(out, "")
}

// stateText is how a request reads in a scenario: a transaction as its
// conditions, each with whether it stands now, and its changes.
func (n *benchNode) stateText(op core.StateOp) string {
	switch {
	case op.Kind == core.OpFollow && op.Hold == 0:
		return "read " + op.Key
	case op.Kind != core.OpTxn:
		return fmt.Sprintf("%s %s", op.Kind, op.Key)
	}
	var when, apply []string
	for _, c := range op.When {
		how := "="
		if c.Stamp == 0 {
			how = " absent"
		}
		when = append(when, c.Key+how)
	}
	for _, a := range op.Apply {
		verb := "put "
		if a.Value == nil {
			verb = "remove "
		}
		apply = append(apply, verb+a.Key)
	}
	slices.Sort(when)
	return fmt.Sprintf("when %s: %s", strings.Join(when, ", "), strings.Join(apply, ", "))
}

func (n *benchNode) stateOp(op core.StateOp) {
	b := n.b
	text := n.stateText(op)
	if op.Kind == core.OpTxn {
		n.txns = append(n.txns, text)
	}
	sent, life := b.now, n.life
	exec := func(answer bool, done func(core.StateDone)) {
		b.state.Do(b.now, op, func(d core.StateDone) {
			if d.Sent = sent; answer && n.life == life {
				n.push(d)
			}
			done(d)
		})
	}
	hold := func(answer bool) {
		n.held = append(n.held, benchHeld{text, func(done func(core.StateDone)) { exec(answer, done) }})
	}
	nobody := func(core.StateDone) {}
	mode := "ok"
	if i := slices.IndexFunc(n.rules, func(r benchRule) bool { return strings.Contains(text, r.only) }); i >= 0 {
		if mode = n.rules[i].mode; mode == "gone" {
			n.rules = slices.Delete(n.rules, i, i+1)
		}
	}
	switch mode {
	case "ok":
		exec(true, nobody)
	case "refuse":
		n.push(core.StateDone{ID: op.ID, Status: core.StateRefused, Sent: sent})
	case "lose":
		exec(false, nobody)
		n.push(core.StateDone{ID: op.ID, Status: core.StateUnknown, Sent: sent})
	case "late":
		hold(false)
		n.push(core.StateDone{ID: op.ID, Status: core.StateUnknown, Sent: sent})
	case "hold":
		hold(true)
	case "gone":
		n.push(core.StateDone{ID: op.ID, Status: core.StateGone, Sent: sent})
	default:
		b.t.Fatalf("unknown mode %s", mode)
	}
}

func (b *bench) cloud(op core.CloudOp) core.CloudDone {
	d := core.CloudDone{ID: op.ID}
	switch op.Kind {
	case core.CloudTypes:
		d.Flavours = []core.Flavour{{Name: "box", Size: core.Resources{CPU: 4, Memory: 16}, DiskGB: 20, PullRate: 1, Price: 0.2, SpotPrice: 0.1, Ready: 5 * time.Second, Zones: []string{"z1", "z2"}}}
	case core.CloudRent:
		if b.bookings[op.Booking] {
			b.out = append(b.out, "booking used again: "+op.Booking)
		}
		b.bookings[op.Booking] = true
		for range min(op.Count, b.room-len(b.vms)) {
			vm := &benchVM{id: fmt.Sprintf("vm-%d", len(b.vms)+1), zone: op.Zone, tenure: 1, unlisted: b.unlisted}
			b.vms[vm.id] = vm
			d.Rented = append(d.Rented, vm.id)
		}
		if len(d.Rented) == 0 {
			d.Status = core.CloudNoCapacity
		}
	case core.CloudList:
		for _, vm := range b.sortedVMs() {
			status := "running"
			if vm.failed {
				status = "failed"
			}
			if !vm.gone && !vm.unlisted {
				d.Machines = append(d.Machines, core.Listed{ID: vm.id, Addr: vm.id, Flavour: "box", Zone: vm.zone, Status: status, Held: time.Minute})
			}
		}
	case core.CloudReturn:
		b.once("return " + strings.Join(op.Machines, " "))
		if b.returns == "unknown" {
			d.Status = core.CloudUnknown
			return d
		}
		for _, id := range op.Machines {
			b.vms[id].gone = true
		}
	}
	return d
}

// once prints what is repeated again and again only the first time.
func (b *bench) once(text string) {
	if !b.shown[text] {
		b.shown[text] = true
		b.out = append(b.out, text)
	}
}

func (b *bench) sortedVMs() []*benchVM {
	var vms []*benchVM
	for _, vm := range b.vms {
		vms = append(vms, vm)
	}
	slices.SortFunc(vms, func(x, y *benchVM) int { return strings.Compare(x.id, y.id) })
	return vms
}

func (b *bench) ask(n *benchNode, what string, mk func(uint64) core.Command) {
	n.next++
	n.asked[n.next] = what
	n.push(mk(n.next))
}

// worker makes a report of vm as the scenario says: tasks=(job/0#1=running,...).
func (b *bench) report(d *datadriven.TestData, vm *benchVM) core.Report {
	uintArg(b.t, d, "tenure", &vm.tenure)
	vm.tick++
	r := core.Report{Machine: vm.id, Addr: vm.id, Flavour: "box", Zone: vm.zone, Tenure: vm.tenure, Tick: vm.tick, Epoch: vm.epoch, Recall: -1}
	uintArg(b.t, d, "tick", &r.Tick)
	vm.tick = max(vm.tick, r.Tick)
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
			p := core.TaskReport{}
			last := 0
			if _, err := fmt.Sscanf(strings.NewReplacer("/", " ", "-", " ", "#", " ").Replace(name), "%s %d %d %d", &p.Job, &p.Index, &last, &p.Try); err != nil || !ok {
				if _, err := fmt.Sscanf(strings.NewReplacer("/", " ", "#", " ").Replace(name), "%s %d %d", &p.Job, &p.Index, &p.Try); err != nil || !ok {
					d.Fatalf(b.t, "tasks: %q is not job/0#1=status or job/0-3#1=status", v)
				}
				last = p.Index
			}
			switch status {
			case "fetching":
				p.Status = core.Fetching
			case "running":
				p.Status = core.Running
			case "flushing":
				p.Status = core.Flushing
			default:
				p.Status, p.Cause = core.Ended, status
			}
			for ; p.Index <= last; p.Index++ {
				r.Tasks = append(r.Tasks, p)
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

func (b *bench) flush() string {
	out := b.out
	b.out = nil
	if len(out) == 0 {
		return ""
	}
	return strings.Join(out, "\n") + "\n"
}

// command carries out one line of a scenario.
func (b *bench) command(d *datadriven.TestData) string {
	t := b.t
	first := func() string {
		if len(d.CmdArgs) == 0 {
			d.Fatalf(t, "%s: a name is missing", d.Cmd)
		}
		return d.CmdArgs[0].Key
	}
	n := b.nodes["a"]
	if d.HasArg("node") {
		var name string
		d.ScanArgs(t, "node", &name)
		n = b.nodes[name]
	}
	vm := func() *benchVM {
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
		booted := b.boot(first())
		for _, mode := range []string{"late", "lose"} {
			if d.HasArg(mode) {
				r := benchRule{mode: mode}
				d.ScanArgs(t, mode, &r.only)
				booted.rules = append(booted.rules, r)
			}
		}
		b.run(core.Seconds(number("for", 1)))
	case "end":
		// The process ends; what it sent may still be applied.
		b.nodes[first()].node = nil
	case "room":
		b.room = int(number("machines", 2))
		b.unlisted = d.HasArg("unlisted")
	case "submit":
		s := core.Spec{ID: first(), Workload: "w", Team: "ops", Urgency: core.Normal, Tasks: int(number("tasks", 1)),
			Need: core.Resources{CPU: number("cpu", 4), Memory: number("cpu", 4)}, Image: "img", ImageGB: 1, Expected: core.Seconds(number("expected", 20)),
			SamePlace: d.HasArg("same"), Apart: d.HasArg("apart")}
		for _, a := range d.CmdArgs {
			if a.Key == "prereqs" {
				s.Prereqs = a.Vals
			}
		}
		if d.HasArg("team") {
			d.ScanArgs(t, "team", &s.Team)
		}
		b.ask(n, s.ID, func(r uint64) core.Command { return core.Submit{Reply: r, Spec: s} })
		b.run(core.Seconds(number("for", 2)))
	case "loan":
		// One step of a loan: what, job, n=1.
		kinds := []string{"lend", "back", "settle", "cancelled", "accept", "give_up", "drop"}
		id := d.CmdArgs[1].Key
		op := core.LoanOp{
			Kind: core.LoanKind(slices.Index(kinds, first())), Job: id, N: uint64(number("n", 1)), Peer: "west", Loan: "west/" + id + "/1",
			Spec: core.Spec{ID: id, Team: "ops", Urgency: core.Normal, Tasks: 1, Need: core.Resources{CPU: 4, Memory: 4}, Image: "img", ImageGB: 1, Expected: 20 * time.Second},
		}
		b.ask(n, first()+" "+id, func(r uint64) core.Command { op.Reply = r; return op })
		b.run(core.Seconds(number("for", 0.5)))
	case "view":
		// startable=job: that borrowed job may be started for the next 10 s.
		q := core.LoanQuery{Team: "ops", Startable: map[string]time.Time{}}
		if d.HasArg("startable") {
			var id string
			d.ScanArgs(t, "startable", &id)
			q.Startable[id] = b.now.Add(10 * time.Second)
		}
		b.ask(n, "view", func(r uint64) core.Command { q.Reply = r; return q })
		b.run(core.Seconds(number("for", 0.5)))
	case "query":
		id := first()
		b.ask(n, id, func(r uint64) core.Command { return core.Query{Reply: r, ID: id} })
		b.run(core.Seconds(number("for", 0.3)))
	case "abort":
		id := first()
		b.ask(n, id, func(r uint64) core.Command { return core.Abort{Reply: r, ID: id} })
		b.run(core.Seconds(number("for", 0.3)))
	case "wait":
		b.run(core.Seconds(number("for", 1)))
	case "state":
		// What becomes of the node's requests to the state service; ok: all as usual.
		r := benchRule{mode: first()}
		if d.HasArg("only") {
			d.ScanArgs(t, "only", &r.only)
		}
		if n.rules = append(n.rules, r); r.mode == "ok" {
			n.rules = nil
		}
	case "deliver":
		// say: prints what became of each, which shows that there was one.
		held := n.held
		n.held = nil
		for _, h := range held {
			h.exec(func(r core.StateDone) {
				kind, text, txn := strings.Cut(h.text, ": ")
				switch {
				case !d.HasArg("say"):
				case !txn:
					b.out = append(b.out, fmt.Sprintf("%s tells of %d", kind, len(r.Items)))
				case r.Status == core.StateOK:
					b.out = append(b.out, "applied "+text)
				case r.Status == core.StateNoGrant:
					b.out = append(b.out, "refused "+text+", its grant has ended")
				default:
					b.out = append(b.out, fmt.Sprintf("refused %s, as of another stamp: %s", text, strings.Join(r.Failed, ", ")))
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
				b.out = append(b.out, x)
			}
		}
		n.txns = nil
	case "news":
		n.news = first() == "on"
	case "machine":
		// One that has been rented some other way, or has a fault.
		vm := b.vms[first()]
		if vm == nil {
			vm = &benchVM{id: first(), zone: "z1", tenure: 1}
			b.vms[vm.id] = vm
		}
		if d.HasArg("zone") {
			d.ScanArgs(t, "zone", &vm.zone)
		}
		vm.failed, vm.unlisted = d.HasArg("failed"), d.HasArg("unlisted")
		if d.HasArg("anew") {
			// Its worker begins anew under the same name, knowing nothing.
			vm.tenure, vm.tick, vm.epoch = 1, 0, 0
		}
	case "returns":
		b.returns = first()
		clear(b.shown)
	case "report":
		vm := vm()
		r := b.report(d, vm)
		send := func() {
			b.ask(n, vm.id, func(id uint64) core.Command { return core.WorkerReport{Reply: id, Report: r} })
		}
		vm.again = func() *datadriven.TestData {
			vm.tick++
			r.Tick, r.Epoch, vm.again = vm.tick, vm.epoch, nil
			send()
			return d
		}
		if d.HasArg("once") {
			vm.again = nil
		}
		if d.HasArg("as") {
			var name string
			d.ScanArgs(t, "as", &name)
			b.copies[name] = r
		}
		send()
		b.run(0)
		vm.again, vm.said = nil, nil
	case "late":
		// A copy of a report arrives, as it was sent, at whoever is asked for.
		r, ok := b.copies[first()]
		if !ok {
			d.Fatalf(t, "late: no report was sent as %s", first())
		}
		b.ask(n, "late "+first(), func(id uint64) core.Command { return core.WorkerReport{Reply: id, Report: r} })
		b.run(0)
	case "keep":
		// The worker goes on reporting the same, to whoever is asked for.
		vm, node, said := vm(), n, *d // datadriven uses d again
		vm.keep = func() {
			r := b.report(&said, vm)
			b.ask(node, "", func(id uint64) core.Command { return core.WorkerReport{Reply: id, Report: r} })
			b.silence[node.next] = vm
		}
		vm.kept, vm.deaf = &said, d.HasArg("deaf")
		if d.HasArg("off") {
			vm.keep, vm.kept, vm.deaf = nil, nil, false
		}
	case "direct":
		// The direct orders that wait for their answer.
		b.run(0)
		for _, op := range n.direct {
			text := orders(op.Orders)
			switch {
			case op.Ask:
				text = " ask"
			case text == "":
				text = " epoch"
			}
			b.out = append(b.out, op.Machine+text)
		}
	case "answer":
		// The first of the machine's direct orders is answered, or not: lost. Without
		// one it is a question.
		b.run(0)
		vm := vm()
		i := slices.IndexFunc(n.direct, func(op benchOrder) bool { return op.Machine == vm.id && len(op.Orders) > 0 })
		if i < 0 {
			i = slices.IndexFunc(n.direct, func(op benchOrder) bool { return op.Machine == vm.id })
		}
		if i < 0 {
			return "no order\n"
		}
		op := n.direct[i]
		n.direct = slices.Delete(n.direct, i, i+1)
		if d.HasArg("lost") {
			n.push(core.WorkerDone{ID: op.ID})
		} else {
			if d.HasArg("from") {
				// Another machine has its address by now.
				var other string
				d.ScanArgs(t, "from", &other)
				vm = b.vms[other]
			}
			if !op.Ask && !d.HasArg("refused") && op.Epoch >= vm.epoch {
				vm.epoch = op.Epoch
			}
			r := b.report(d, vm)
			n.push(core.WorkerDone{ID: op.ID, OK: !d.HasArg("refused"), Report: &r})
		}
		b.run(0)
	case "put":
		// Somebody else writes a record: an empty map.
		raw, err := msgpack.Marshal(map[string]any{})
		if err != nil {
			t.Fatal(err)
		}
		b.state.Do(b.now, core.StateOp{Kind: core.OpTxn, Apply: []core.Change{{Key: first(), Value: raw}}}, func(core.StateDone) {})
	case "teams":
		// A leader gives shares these teams, in one change: a=(ops) b=(lab).
		op := core.StateOp{Kind: core.OpTxn}
		for _, a := range d.CmdArgs {
			if a.Key == "for" {
				continue
			}
			key, share := "ctl/share/"+a.Key, map[string]any{}
			b.state.Do(b.now, core.StateOp{Kind: core.OpGet, Key: key}, func(g core.StateDone) {
				if err := msgpack.Unmarshal(g.Items[0].Value, &share); err != nil {
					t.Fatal(err)
				}
			})
			share["teams"] = a.Vals
			raw, err := msgpack.Marshal(share)
			if err != nil {
				t.Fatal(err)
			}
			op.Apply = append(op.Apply, core.Change{Key: key, Value: raw})
		}
		b.state.Do(b.now, op, func(core.StateDone) {})
		b.run(core.Seconds(number("for", 0.5)))
	case "lot":
		// A leader names machines for a share: lot name share=b machines=(vm-1).
		var share string
		d.ScanArgs(t, "share", &share)
		i := slices.IndexFunc(d.CmdArgs, func(a datadriven.CmdArg) bool { return a.Key == "machines" })
		w, _ := division.Raise(bounds.Limits{ValueBytes: 4096}, first(), &division.Share{Name: share}, d.CmdArgs[i].Vals)
		b.state.Do(b.now, core.StateOp{Kind: core.OpTxn, Apply: []core.Change{{Key: "ctl/lot/" + w.Name, Value: w.Value}}}, func(core.StateDone) {})
		b.run(core.Seconds(number("for", 0.5)))
	case "keys":
		b.state.Do(b.now, core.StateOp{Kind: core.OpList, Key: first()}, func(d core.StateDone) {
			for _, it := range d.Items {
				b.out = append(b.out, it.Key)
			}
		})
	case "owner":
		for _, h := range benchHosts {
			if x := b.nodes[h]; x != nil && x.node != nil && x.node.IsOwner() {
				b.out = append(b.out, h)
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
		b := newBench(t)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string { return b.command(d) })
	})
}
