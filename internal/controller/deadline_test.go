package controller

import (
	"testing"
	"time"

	"github.com/micahill/micahill/internal/message"
)

// TestUserReplyDeadline: an answer that depends on a read is sent only while its user waits
// for it, also when the sender stands still meanwhile; ends and refusals are sent at any
// time.
func TestUserReplyDeadline(t *testing.T) {
	n := largePool(1)
	for _, tc := range []struct {
		reply      message.UserReply
		neverStale bool
	}{
		{message.UserReply{Status: 200, State: "queued"}, false},
		{message.UserReply{Status: 200, State: "running"}, false},
		{message.UserReply{Status: 201, State: "queued"}, false},
		{message.UserReply{Status: 404, Message: "no such job"}, false},
		{message.UserReply{Status: 422, Message: "unknown owner"}, false},
		{message.UserReply{Status: 200, State: "done"}, true},
		{message.UserReply{Status: 200, State: "cancelled"}, true},
		{message.UserReply{Status: 503, Message: "starting"}, true},
	} {
		request := n.frontend.newUserRequest(7, "job-1")
		requestedAt := n.now
		n.now, n.effects = n.now.Add(time.Second), nil
		n.frontend.answerRequest(request, tc.reply)
		reply := n.effects[0].(message.UserReply)
		if _, _, late := CheckDeadline(reply, requestedAt.Add(userRequestTimeout)); late {
			t.Errorf("%+v: got late while its user waits, want in time", tc.reply)
		}
		_, instead, late := CheckDeadline(reply, requestedAt.Add(userRequestTimeout+time.Millisecond))
		if late == tc.neverStale {
			t.Errorf("%+v after its time: got late %v, want %v", tc.reply, late, !tc.neverStale)
		}
		if r, _ := instead.(message.UserReply); late && (r.Status != 503 || r.RetryAfter == 0 || r.State != "" || r.Reply != 7) {
			t.Errorf("%+v: got %+v instead of the late answer, want 503 with a time to retry and no state", tc.reply, r)
		}
	}
}
