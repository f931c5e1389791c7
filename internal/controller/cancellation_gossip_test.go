package controller

import (
	"testing"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/record"
)

// gossipedJob is a running job of a controller to which peer b publishes the job's cancellation.
type gossipedJob struct {
	controller *Controller
	machine    *machine
	job        *job
	// open is the job's open record, and cancelled the same record after the cancellation.
	open, cancelled record.OpenJob
}

// newGossipedJob returns a controller whose shard leader runs a task of a job that is not cancelled.
func newGossipedJob() *gossipedJob {
	gossiped := &gossipedJob{controller: largePool(12)}
	gossiped.controller.frontend.watchCache.openJobs = map[string]openJob{}
	gossiped.machine, gossiped.job = machineWithTask(gossiped.controller)
	gossiped.open = record.NewOpenJob(&gossiped.job.JobSpec, gossiped.job.submittedAt)
	gossiped.controller.frontend.watchCache.openJobs[gossiped.job.ID] = openJob{gossiped.job.modRevision, gossiped.open}
	gossiped.cancelled = gossiped.open
	gossiped.cancelled.Cancelled, gossiped.cancelled.CancelledAtMillis = true, gossiped.controller.now.UnixMilli()
	return gossiped
}

// receive has the controller receive a cancellation with the given record from peer b. It returns
// the number of acknowledgements to b and of cancellations that are to be passed on.
func (gossiped *gossipedJob) receive(openRecord record.OpenJob, modRevision uint64) (acks, passedOn int) {
	controller := gossiped.controller
	controller.effects = nil
	controller.cancellations.receive("b", []message.Cancellation{{ID: gossiped.job.ID, Record: record.Encode(openRecord), ModRevision: modRevision}})
	for _, update := range emittedEffects[message.SendPeerUpdate](controller) {
		if update.To == "b" {
			acks += len(update.Update.CancellationAcks)
		}
	}
	return acks, len(controller.cancellations.unacked)
}

// sentTo returns the peers to which the controller sent cancellations since the last call.
func (gossiped *gossipedJob) sentTo() (peers []string) {
	for _, update := range emittedEffects[message.SendPeerUpdate](gossiped.controller) {
		if len(update.Update.Cancellations) > 0 {
			peers = append(peers, update.To)
		}
	}
	gossiped.controller.effects = nil
	return peers
}

// TestCancellationGossip guards against tasks that go on although a peer has published their job's
// cancellation, and against wrong stops: the shard leader stops the tasks on a peer's update alone,
// but ignores a cancellation that does not match the job. A peer's update must not advance the
// renewal bound.
func TestCancellationGossip(t *testing.T) {
	gossiped := newGossipedJob()
	controller, j := gossiped.controller, gossiped.job
	asOf := controller.frontend.watchCache.asOf
	for name, damage := range map[string]func(*record.OpenJob) uint64{
		"different submission time": func(openRecord *record.OpenJob) uint64 { openRecord.SubmittedAtMillis++; return j.modRevision + 1 },
		"different team":            func(openRecord *record.OpenJob) uint64 { openRecord.Team = "lab"; return j.modRevision + 1 },
		"different task count":      func(openRecord *record.OpenJob) uint64 { openRecord.Tasks++; return j.modRevision + 1 },
		"no newer mod revision":     func(*record.OpenJob) uint64 { return j.modRevision },
		"a record not cancelled":    func(openRecord *record.OpenJob) uint64 { openRecord.Cancelled = false; return j.modRevision + 1 },
	} {
		openRecord := gossiped.cancelled
		modRevision := damage(&openRecord)
		if acks, _ := gossiped.receive(openRecord, modRevision); acks != 1 || j.cancelled {
			t.Errorf("cancellation with %s: got %d acknowledgements, cancelled %v; want 1 and false", name, acks, j.cancelled)
		}
	}
	controller.frontend.watchCache.revision = j.modRevision
	gossiped.receive(gossiped.cancelled, j.modRevision+1)
	if reply := controller.heartbeatOf(gossiped.machine, model.TaskReport{Job: j.ID, Index: 0, Attempt: 1, Status: model.Running}); len(reply.Commands) != 1 || reply.Commands[0].Kind != model.StopTask {
		t.Errorf("got commands %v, want a stop", reply.Commands)
	}
	if controller.frontend.watchCache.asOf != asOf {
		t.Error("renewal bound after a peer's update: got it advanced, want it unchanged")
	}
}

// TestCancellationIsPassedOn guards against a cancellation that does not reach the job's shard
// leader because the link from the publisher is cut: a controller that does not lead the job's
// shard sends the cancellation to the shard leader until the shard leader acknowledges it.
func TestCancellationIsPassedOn(t *testing.T) {
	gossiped := newGossipedJob()
	controller, j := gossiped.controller, gossiped.job
	controller.frontend.watchCache.revision = j.modRevision
	controller.frontend.watchCache.openJobs["job-000904"] = openJob{1, gossiped.cancelled}
	delete(controller.shardLeader.jobs, j.ID)
	controller.membership.shardMap.Team("ops").Host = "c"
	if _, passedOn := gossiped.receive(gossiped.cancelled, j.modRevision+1); passedOn != 1 {
		t.Errorf("got %d cancellations passed on, want 1", passedOn)
	}
	for i, want := range []int{1, 0, 1} {
		controller.effects = nil
		controller.now = controller.now.Add([]time.Duration{cancellationBatchDelay, cancellationResendInterval / 2, cancellationResendInterval}[i])
		controller.runTimers()
		if got := gossiped.sentTo(); len(got) != want || want == 1 && got[0] != "c" {
			t.Errorf("round %d: got the cancellation sent to %v, want it sent %d times, only to c", i, got, want)
		}
	}
	controller.cancellations.acknowledge("c", []string{j.ID, "job-000999"})
	controller.now = controller.now.Add(time.Minute)
	controller.runTimers()
	if got := gossiped.sentTo(); len(got) > 0 || len(controller.cancellations.unacked) > 0 {
		t.Errorf("after the acknowledgement: got the cancellation sent to %v and %d unacknowledged, want none", got, len(controller.cancellations.unacked))
	}
}
