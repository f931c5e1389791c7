package controller

import (
	"testing"
	"time"

	"github.com/micahill/micahill/internal/message"
)

// TestUserReplyDeadline checks that a reply that depends on a read is sent only while its user
// waits for it, even if the sender is suspended before sending. A later reply could contradict
// what another controller has reported since. Final states and 503 replies are sent at any
// time.
func TestUserReplyDeadline(t *testing.T) {
	controller := largePool(1)
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
		request := controller.frontend.newUserRequest(7, "job-1")
		requestedAt := controller.now
		controller.now, controller.effects = controller.now.Add(time.Second), nil
		controller.frontend.answerRequest(request, tc.reply)
		reply := controller.effects[0].(message.UserReply)
		if _, _, late := CheckDeadline(reply, requestedAt.Add(userRequestTimeout)); late {
			t.Errorf("%s: reply is late within the request timeout, want in time", tc.name)
		}
		_, instead, late := CheckDeadline(reply, requestedAt.Add(userRequestTimeout+time.Millisecond))
		if late == tc.neverStale {
			t.Errorf("%s, after the request timeout: got late %v, want %v", tc.name, late, !tc.neverStale)
		}
		if replacement, _ := instead.(message.UserReply); late && (replacement.Status != 503 || replacement.RetryAfter == 0 || replacement.State != "" || replacement.Reply != 7) {
			t.Errorf("%s: late reply replaced by %+v, want status 503 with a retry time and no state", tc.name, replacement)
		}
	}
}
