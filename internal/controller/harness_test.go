package controller_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/micahill/micahill/internal/controller"
	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/simulation"
)

// harness runs real controllers against the simulated store. The scenario decides everything
// else: which store requests are refused, lost or applied late, and what a worker reports and
// when. The harness tests single conditions of the safety argument; internal/simulation
// simulates whole days.
type harness struct {
	t           *testing.T
	now         time.Time
	store       *simulation.StateService
	controllers map[string]*harnessController
	machines    map[string]*scriptedWorker
	// maxMachines bounds the machines that can be rented. unlisted keeps newly rented machines
	// out of the machine list.
	maxMachines int
	unlisted    bool
	// releaseMode "unknown" makes the cloud release nothing and answer every release with
	// CloudUnknown.
	releaseMode string
	// idempotencyKeys are the keys of all bookings so far. A key may be used once.
	idempotencyKeys map[string]bool
	// ignoredReplies are the heartbeats whose replies are not printed in full; see
	// handleIgnoredReply.
	ignoredReplies map[uint64]*scriptedWorker
	// heartbeatCopies are the heartbeats to which the scenario gave a name, by that name.
	heartbeatCopies map[string]model.Heartbeat
	// output is what was printed since the last flush, and printed what printOnce has printed.
	output  []string
	printed map[string]bool
}

// harnessController is one controller and its connections. controller is nil while its process
// is down.
type harnessController struct {
	harness     *harness
	name        string
	incarnation int
	controller  *controller.Controller
	queue       []message.Command
	// rules decide the outcome of store requests. The first matching rule applies.
	rules          []storeRule
	heldRequests   []heldRequest
	txns           []string
	workerCommands []workerCommand
	// answeredCommands are the requests that a worker has answered, in their order.
	answeredCommands []workerCommand
	peersConnected   bool
	lastReply        uint64
	replyNames       map[uint64]string
}

// workerCommand is a request that the controller sent directly to a worker.
type workerCommand struct {
	message.WorkerRequest
	sentAt time.Time
}

// isCommand reports whether the request is more than a poll or a request without commands.
func (command workerCommand) isCommand() bool {
	return len(command.Commands) > 0 || command.RequestsHeartbeat
}

// pollTimeout is the time after which a poll fails if the scenario does not answer it. Commands
// wait for the scenario without a limit.
const pollTimeout = 2 * time.Second

// harnessHosts are the hosts on which a scenario can run controllers.
var harnessHosts = []string{"a", "b"}

// newHarness returns a harness without controllers or machines.
func newHarness(t *testing.T) *harness {
	t.Helper()
	return &harness{
		t: t, now: time.Unix(1_750_000_000, 0), store: simulation.NewStateService(), maxMachines: 2,
		controllers: map[string]*harnessController{}, machines: map[string]*scriptedWorker{},
		idempotencyKeys: map[string]bool{}, ignoredReplies: map[uint64]*scriptedWorker{},
		heartbeatCopies: map[string]model.Heartbeat{}, printed: map[string]bool{},
	}
}

// start starts a new incarnation of a controller, which has none of the state of the previous
// one.
func (harness *harness) start(name string) *harnessController {
	node := harness.controllers[name]
	if node == nil {
		node = &harnessController{harness: harness, name: name}
		harness.controllers[name] = node
	}
	node.incarnation++
	node.rules, node.peersConnected, node.replyNames = nil, true, map[uint64]string{}
	node.queue, node.heldRequests, node.workerCommands, node.txns = nil, nil, nil, nil
	settings := controller.Settings{
		Host: name, Incarnation: fmt.Sprintf("%s.%d", name, node.incarnation), Zones: []string{"z1", "z2"},
		HeartbeatInterval: 3 * time.Second, WorkerLease: 24 * time.Second, CancellationBound: 54 * time.Second, MaxTxnWrites: 12, MaxValueBytes: 4096, StoreWritesPerSecond: 30,
		CloudListLag: 4 * time.Second, CloudRequestsPerSecond: 4, Policy: controller.DefaultPolicy(),
		Teams: []model.Team{{Name: "ops"}, {Name: "lab", QuotaLimit: model.Resources{CPU: 8}}},
	}
	for _, host := range harnessHosts {
		if host != name {
			settings.Peers = append(settings.Peers, host)
		}
	}
	node.controller = controller.New(settings, rand.New(rand.NewPCG(1, uint64(node.incarnation))))
	return node
}

// run advances the time by d in steps of 50 ms.
func (harness *harness) run(d time.Duration) {
	for end := harness.now.Add(d); ; harness.now = harness.now.Add(50 * time.Millisecond) {
		harness.store.Expire(harness.now)
		for _, worker := range harness.sortedMachines() {
			if worker.repeat != nil && harness.now.Sub(worker.repeatedAt) >= 3*time.Second {
				worker.repeatedAt = harness.now
				worker.repeat()
			}
		}
		for busy := true; busy; {
			busy = false
			for _, host := range harnessHosts {
				if node := harness.controllers[host]; node != nil && node.controller != nil {
					node.step()
					busy = busy || len(node.queue) > 0
				}
			}
		}
		if !harness.now.Before(end) {
			return
		}
	}
}

// step fails the polls that are overdue, passes the queue to the controller and carries out the
// effects that it returns.
func (node *harnessController) step() {
	now := node.harness.now
	node.workerCommands = slices.DeleteFunc(node.workerCommands, func(command workerCommand) bool {
		overdue := !command.isCommand() && now.Sub(command.sentAt) > pollTimeout
		if overdue {
			node.push(message.WorkerResponse{ID: command.ID})
		}
		return overdue
	})
	queue := node.queue
	node.queue = nil
	for _, effect := range node.controller.Step(now, queue) {
		node.execute(effect)
	}
}

// push queues a command for the controller, unless its process is down.
func (node *harnessController) push(command message.Command) {
	if node.controller != nil {
		node.queue = append(node.queue, command)
	}
}

// pushRequest queues a command whose answer is printed with the given name.
func (harness *harness) pushRequest(node *harnessController, name string, newCommand func(uint64) message.Command) {
	node.lastReply++
	node.replyNames[node.lastReply] = name
	node.push(newCommand(node.lastReply))
}

// execute carries out one effect of the controller.
func (node *harnessController) execute(effect message.Effect) {
	switch e := effect.(type) {
	case message.StoreRequest:
		node.handleStoreRequest(e)
	case message.CloudRequest:
		node.push(node.harness.handleCloudRequest(e))
	case message.WorkerRequest:
		node.handleWorkerRequest(e)
	case message.UserReply:
		node.harness.print(strings.TrimSpace(fmt.Sprintf("%s %d %s", node.replyNames[e.Reply], e.Status, e.State)))
	case message.HeartbeatReply:
		node.handleHeartbeatReply(e)
	case message.LoanReply:
		node.harness.print(node.replyNames[e.Reply] + " " + [...]string{"durable", "not", "unsure"}[e.Status])
	case message.LoanView:
		node.harness.print(formatLoanView(e))
	case message.SendPeerUpdate:
		if to := node.harness.controllers[e.To]; to != nil && node.peersConnected && to.peersConnected {
			to.push(e.Update)
		}
	}
}

// formatLoanView returns the text that a scenario prints for a view of the loans.
func formatLoanView(view message.LoanView) string {
	text := fmt.Sprintf("view ok=%v leads=%v guests=%v", view.OK, view.IsLeader, view.RunsGuestTeam)
	for _, loan := range view.Lent {
		text += fmt.Sprintf(" lent=%s#%d->%s", loan.Spec.ID, loan.LendCount, loan.Peer)
	}
	for _, loan := range view.Borrowed {
		text += fmt.Sprintf(" borrowed=%s:%s:ending=%v", loan.Loan, loan.Status, loan.Ending)
	}
	return text
}

// formatCommands returns the text that a scenario prints for task commands, in sorted order.
func formatCommands(commands []model.TaskCommand) string {
	var out []string
	for _, command := range commands {
		out = append(out, fmt.Sprintf(" %s %s/%d#%d", command.Kind, command.Job, command.Index, command.Attempt))
	}
	slices.Sort(out)
	return strings.Join(out, "")
}

// print adds a line to the output of the current scenario line.
func (harness *harness) print(text string) { harness.output = append(harness.output, text) }

// printOnce prints a text only the first time, since some events recur.
func (harness *harness) printOnce(text string) {
	if !harness.printed[text] {
		harness.printed[text] = true
		harness.print(text)
	}
}

// flush returns the output since the last call.
func (harness *harness) flush() string {
	out := harness.output
	harness.output = nil
	if len(out) == 0 {
		return ""
	}
	return strings.Join(out, "\n") + "\n"
}
