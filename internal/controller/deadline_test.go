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
	c := largePool(1)
	for _, tc := range []struct {
		name       string
		reply      message.UserReply
		neverStale bool
	}{
		{"queued", message.UserReply{Status: 200, State: "queued"}, false},
		{"running", message.UserReply{Status: 200, State: "running"}, false},
		{"accepted", message.UserReply{Status: 201, State: "queued"}, false},
		{"unknown job", message.UserReply{Status: 404, Message: "no such job"}, false},
		{"unknown team", message.UserReply{Status: 422, Message: "unknown owner"}, false},
		{"done", message.UserReply{Status: 200, State: "done"}, true},
		{"cancelled", message.UserReply{Status: 200, State: "cancelled"}, true},
		{"refused", message.UserReply{Status: 503, Message: "starting"}, true},
	} {
		request := c.frontend.newUserRequest(7, "job-1")
		requestedAt := c.now
		c.now, c.effects = c.now.Add(time.Second), nil
		c.frontend.answerRequest(request, tc.reply)
		reply := c.effects[0].(message.UserReply)
		if _, _, late := CheckDeadline(reply, requestedAt.Add(userRequestTimeout)); late {
			t.Errorf("%s: got late while its user waits, want in time", tc.name)
		}
		_, instead, late := CheckDeadline(reply, requestedAt.Add(userRequestTimeout+time.Millisecond))
		if late == tc.neverStale {
			t.Errorf("%s, after its time: got late %v, want %v", tc.name, late, !tc.neverStale)
		}
		if r, _ := instead.(message.UserReply); late && (r.Status != 503 || r.RetryAfter == 0 || r.State != "" || r.Reply != 7) {
			t.Errorf("%s: got %+v instead of the late answer, want 503 with a time to retry and no state", tc.name, r)
		}
	}
}
