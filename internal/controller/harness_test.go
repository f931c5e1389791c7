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
	// ignoredReplies are the heartbeats whose answers are not printed in full; see
	// handleIgnoredReply.
	ignoredReplies map[uint64]*scriptedWorker
	// heartbeatCopies are the heartbeats to which the scenario gave a name, by that name.
	heartbeatCopies map[string]model.Heartbeat
	// output is what was printed since the last flush, and printed what printOnce has printed.
	output          []string
	printed         map[string]bool
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
	peersConnected bool
	lastReply      uint64
	replyNames     map[uint64]string
}

// workerCommand is a request that the controller sent directly to a worker.
type workerCommand struct {
	message.WorkerRequest
	sentAt time.Time
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
func (h *harness) start(name string) *harnessController {
	c := h.controllers[name]
	if c == nil {
		c = &harnessController{harness: h, name: name}
		h.controllers[name] = c
	}
	c.incarnation++
	c.rules, c.peersConnected, c.replyNames = nil, true, map[uint64]string{}
	c.queue, c.heldRequests, c.workerCommands, c.txns = nil, nil, nil, nil
	settings := controller.Settings{
		Host: name, Incarnation: fmt.Sprintf("%s.%d", name, c.incarnation), Zones: []string{"z1", "z2"},
		HeartbeatInterval: 3 * time.Second, WorkerLease: 24 * time.Second, CancellationBound: 54 * time.Second, MaxTxnWrites: 12, MaxValueBytes: 4096, StoreWritesPerSecond: 30,
		CloudListLag: 4 * time.Second, CloudRequestsPerSecond: 4, Policy: controller.DefaultPolicy(),
		Teams: []model.Team{{Name: "ops"}, {Name: "lab", QuotaLimit: model.Resources{CPU: 8}}},
	}
	for _, host := range harnessHosts {
		if host != name {
			settings.Peers = append(settings.Peers, host)
		}
	}
	c.controller = controller.New(settings, rand.New(rand.NewPCG(1, uint64(c.incarnation))))
	return c
}

// run advances the time by d in steps of 50 ms.
func (h *harness) run(d time.Duration) {
	for end := h.now.Add(d); ; h.now = h.now.Add(50 * time.Millisecond) {
		h.store.Expire(h.now)
		for _, worker := range h.sortedMachines() {
			if worker.repeat != nil && h.now.Sub(worker.repeatedAt) >= 3*time.Second {
				worker.repeatedAt = h.now
				worker.repeat()
			}
		}
		for busy := true; busy; {
			busy = false
			for _, host := range harnessHosts {
				if c := h.controllers[host]; c != nil && c.controller != nil {
					c.step()
					busy = busy || len(c.queue) > 0
				}
			}
		}
		if !h.now.Before(end) {
			return
		}
	}
}

// step fails the polls that are overdue, passes the queue to the controller and carries out the
// effects that it returns.
func (c *harnessController) step() {
	now := c.harness.now
	c.workerCommands = slices.DeleteFunc(c.workerCommands, func(op workerCommand) bool {
		overdue := len(op.Commands) == 0 && now.Sub(op.sentAt) > pollTimeout
		if overdue {
			c.push(message.WorkerResponse{ID: op.ID})
		}
		return overdue
	})
	queue := c.queue
	c.queue = nil
	for _, effect := range c.controller.Step(now, queue) {
		c.execute(effect)
	}
}

// push queues a command for the controller, unless its process is down.
func (c *harnessController) push(command message.Command) {
	if c.controller != nil {
		c.queue = append(c.queue, command)
	}
}

// pushRequest queues a command whose answer is printed with the given name.
func (h *harness) pushRequest(c *harnessController, name string, newCommand func(uint64) message.Command) {
	c.lastReply++
	c.replyNames[c.lastReply] = name
	c.push(newCommand(c.lastReply))
}

// execute carries out one effect of the controller.
func (c *harnessController) execute(effect message.Effect) {
	switch e := effect.(type) {
	case message.StoreRequest:
		c.handleStoreRequest(e)
	case message.CloudRequest:
		c.push(c.harness.handleCloudRequest(e))
	case message.WorkerRequest:
		c.handleWorkerRequest(e)
	case message.UserReply:
		c.harness.print(strings.TrimSpace(fmt.Sprintf("%s %d %s", c.replyNames[e.Reply], e.Status, e.State)))
	case message.HeartbeatReply:
		c.handleHeartbeatReply(e)
	case message.LoanReply:
		c.harness.print(c.replyNames[e.Reply] + " " + [...]string{"durable", "not", "unsure"}[e.Status])
	case message.LoanView:
		c.harness.print(formatLoanView(e))
	case message.SendPeerUpdate:
		if to := c.harness.controllers[e.To]; to != nil && c.peersConnected && to.peersConnected {
			to.push(e.Update)
		}
	}
}

// formatLoanView returns the text that a scenario prints for a view of the loans.
func formatLoanView(e message.LoanView) string {
	text := fmt.Sprintf("view ok=%v leads=%v guests=%v", e.OK, e.IsLeader, e.RunsGuestTeam)
	for _, l := range e.Lent {
		text += fmt.Sprintf(" lent=%s#%d->%s", l.Spec.ID, l.LendCount, l.Peer)
	}
	for _, l := range e.Borrowed {
		text += fmt.Sprintf(" borrowed=%s:%s:ending=%v", l.Loan, l.Status, l.Ending)
	}
	return text
}

// formatCommands returns the text that a scenario prints for task commands, in sorted order.
func formatCommands(commands []model.TaskCommand) string {
	var out []string
	for _, o := range commands {
		out = append(out, fmt.Sprintf(" %s %s/%d#%d", o.Kind, o.Job, o.Index, o.Attempt))
	}
	slices.Sort(out)
	return strings.Join(out, "")
}

// print adds a line to the output of the current scenario line.
func (h *harness) print(text string) { h.output = append(h.output, text) }

// printOnce prints a text only the first time, since some events recur.
func (h *harness) printOnce(text string) {
	if !h.printed[text] {
		h.printed[text] = true
		h.print(text)
	}
}

// flush returns the output since the last call.
func (h *harness) flush() string {
	out := h.output
	h.output = nil
	if len(out) == 0 {
		return ""
	}
	return strings.Join(out, "\n") + "\n"
}
