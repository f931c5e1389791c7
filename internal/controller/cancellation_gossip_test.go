package controller

import (
	"testing"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/record"
)

// gossipedJob is a running job of a controller that peer b tells of its cancellation.
type gossipedJob struct {
	controller *Controller
	machine    *machine
	job        *job
	// open is the job's record, and cancelled the same when it is cancelled.
	open, cancelled record.OpenJob
}

func newGossipedJob() *gossipedJob {
	g := &gossipedJob{controller: largePool(12)}
	g.controller.frontend.watchCache.openJobs = map[string]openJob{}
	g.machine, g.job = machineWithTask(g.controller)
	g.open = record.NewOpenJob(&g.job.JobSpec, g.job.submittedAt)
	g.controller.frontend.watchCache.openJobs[g.job.ID] = openJob{g.job.modRevision, g.open}
	g.cancelled = g.open
	g.cancelled.Cancelled, g.cancelled.CancelledAtMillis = true, g.controller.now.UnixMilli()
	return g
}

// receive receives a record from peer b. It returns the acknowledgements to b, and how many
// cancellations are to be passed on.
func (g *gossipedJob) receive(r record.OpenJob, modRevision uint64) (acks, passedOn int) {
	c := g.controller
	c.effects = nil
	c.cancellations.receive("b", []message.Cancellation{{ID: g.job.ID, Record: record.Encode(r), ModRevision: modRevision}})
	for _, p := range emittedEffects[message.SendPeerUpdate](c) {
		if p.To == "b" {
			acks += len(p.Update.CancellationAcks)
		}
	}
	return acks, len(c.cancellations.unacked)
}

// sentTo are the peers to which cancellations were sent since the last call.
func (g *gossipedJob) sentTo() (peers []string) {
	for _, p := range emittedEffects[message.SendPeerUpdate](g.controller) {
		if len(p.Update.Cancellations) > 0 {
			peers = append(peers, p.To)
		}
	}
	g.controller.effects = nil
	return peers
}

// TestCancellationGossip: the job's owner stops its tasks by a peer's update alone. What does
// not fit the job is ignored; nothing of it moves the renewal bound.
func TestCancellationGossip(t *testing.T) {
	g := newGossipedJob()
	c, j := g.controller, g.job
	asOf := c.frontend.watchCache.asOf
	for name, damage := range map[string]func(*record.OpenJob) uint64{
		"another time":            func(r *record.OpenJob) uint64 { r.SubmittedAtMillis++; return j.modRevision + 1 },
		"another team":            func(r *record.OpenJob) uint64 { r.Team = "lab"; return j.modRevision + 1 },
		"other tasks":             func(r *record.OpenJob) uint64 { r.Tasks++; return j.modRevision + 1 },
		"an earlier mod revision": func(*record.OpenJob) uint64 { return j.modRevision },
		"not cancelled":           func(r *record.OpenJob) uint64 { r.Cancelled = false; return j.modRevision + 1 },
	} {
		r := g.cancelled
		modRevision := damage(&r)
		if acks, _ := g.receive(r, modRevision); acks != 1 || j.cancelled {
			t.Errorf("%s: got %d acknowledgements, cancelled %v; want 1 and false", name, acks, j.cancelled)
		}
	}
	c.frontend.watchCache.revision = j.modRevision
	g.receive(g.cancelled, j.modRevision+1)
	if a := c.heartbeatOf(g.machine, model.TaskReport{Job: j.ID, Index: 0, Attempt: 1, Status: model.Running}); len(a.Commands) != 1 || a.Commands[0].Kind != model.StopTask {
		t.Errorf("got commands %v, want a stop", a.Commands)
	}
	if c.frontend.watchCache.asOf != asOf {
		t.Error("got the renewal bound moved by a peer's update, want it unchanged")
	}
}

// TestCancellationIsPassedOn: a controller that does not own the job sends its cancellation
// to the owner until that acknowledges it.
func TestCancellationIsPassedOn(t *testing.T) {
	g := newGossipedJob()
	c, j := g.controller, g.job
	c.frontend.watchCache.revision = j.modRevision
	c.frontend.watchCache.openJobs["job-000904"] = openJob{1, g.cancelled}
	delete(c.shardLeader.jobs, j.ID)
	c.membership.shardMap.Team("ops").Host = "c"
	if _, passedOn := g.receive(g.cancelled, j.modRevision+1); passedOn != 1 {
		t.Errorf("got %d cancellations passed on, want 1", passedOn)
	}
	for i, want := range []int{1, 0, 1} {
		c.effects = nil
		c.now = c.now.Add([]time.Duration{cancellationBatchDelay, cancellationResendInterval / 2, cancellationResendInterval}[i])
		c.runTimers()
		if got := g.sentTo(); len(got) != want || want == 1 && got[0] != "c" {
			t.Errorf("round %d: got it sent to %v, want %d times, to c", i, got, want)
		}
	}
	c.cancellations.acknowledge("c", []string{j.ID, "job-000999"})
	c.now = c.now.Add(time.Minute)
	c.runTimers()
	if got := g.sentTo(); len(got) > 0 || len(c.cancellations.unacked) > 0 {
		t.Errorf("acknowledged: got it sent to %v, %d kept; want none", got, len(c.cancellations.unacked))
	}
}
