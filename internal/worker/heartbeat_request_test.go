package worker

import (
	"reflect"
	"testing"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
)

// TestHeartbeatRequest checks how a heartbeat is requested: by a start that the worker refuses, since no task
// has such a name. The list of the worker's heartbeat shows the request instead of a task, and the reply
// clears it. A request that arrives again must not start a task.
func TestHeartbeatRequest(t *testing.T) {
	stop := model.TaskCommand{Kind: model.StopTask, Job: "job-000413", Index: 6, Attempt: 3}
	request := EncodeRequest(message.WorkerRequest{Commands: []model.TaskCommand{stop}, RequestsHeartbeat: true})
	want := []TaskCommand{
		EncodeCommands([]model.TaskCommand{stop})[0],
		{Kind: "clear", Task: "heartbeat-request", Attempt: 1},
		{Kind: "start", Task: "heartbeat-request", Attempt: 1},
	}
	if !reflect.DeepEqual(request, want) {
		t.Errorf("got request %+v, want %+v", request, want)
	}
	if without := EncodeRequest(message.WorkerRequest{Commands: []model.TaskCommand{stop}}); len(without) != 1 {
		t.Errorf("got %+v without a request for a heartbeat, want one command", without)
	}
	wire := Heartbeat{Machine: "vm-000231", Tasks: []TaskReport{
		{Task: "heartbeat-request", Attempt: 1, Status: "ended", Cause: "unknown"},
		{Task: "job-000412/5", Attempt: 2, Status: "running"},
	}}
	heartbeat := wire.Decode()
	if !heartbeat.Requested || len(heartbeat.Tasks) != 1 || heartbeat.Tasks[0].Job != "job-000412" {
		t.Errorf("got requested %v and tasks %v, want true and the task of job-000412 alone", heartbeat.Requested, heartbeat.Tasks)
	}
	reply := EncodeReply(message.HeartbeatReply{AcknowledgesRequest: heartbeat.Requested})
	if len(reply) != 1 || reply[0] != want[1] {
		t.Errorf("got reply %+v, want %+v", reply, want[1])
	}
	if without := EncodeReply(message.HeartbeatReply{}); without == nil || len(without) != 0 {
		t.Errorf("got reply %#v to a heartbeat that was not requested, want an empty list", without)
	}
}
