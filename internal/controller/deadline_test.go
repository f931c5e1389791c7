package controller

import (
	"testing"
	"time"

	"github.com/micahill/micahill/internal/message"
)

// TestUserReplyDeadline: what rests on a read is told as long as it is waited for, also
// when its sender stands still meanwhile; ends and refusals are told at any time.
func TestUserReplyDeadline(t *testing.T) {
	n := largePool(1)
	for _, x := range []struct {
		r    message.UserReply
		good bool
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
		w := n.frontend.newUserRequest(7, "job-1")
		requestedAt := n.now
		n.now, n.effects = n.now.Add(time.Second), nil
		n.frontend.answerRequest(w, x.r)
		reply := n.effects[0].(message.UserReply)
		if _, _, late := CheckDeadline(reply, requestedAt.Add(userRequestTimeout)); late {
			t.Errorf("%+v is late while it is waited for", x.r)
		}
		_, instead, late := CheckDeadline(reply, requestedAt.Add(userRequestTimeout+time.Millisecond))
		if late == x.good {
			t.Errorf("%+v leaves late: %v", x.r, !late)
		}
		if r, _ := instead.(message.UserReply); late && (r.Status != 503 || r.RetryAfter == 0 || r.State != "" || r.Reply != 7) {
			t.Errorf("%+v is answered late by %+v", x.r, r)
		}
	}
}
