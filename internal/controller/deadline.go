package controller

import (
	"slices"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
)

// A controller may stand still between deciding and sending, for longer than its
// grant lives, and go on in the middle. Starts are guarded by the conditions of
// their records and by the epoch; rentals, returns and answers that prolong leases
// are not, so each carries the moment until which the grant it rests on surely
// lived, and whoever sends it looks at the clock once more. So do answers to users that
// rest on a read, unless they tell of an end: another controller may have told more since.

// CheckDeadline says whether an effect must not leave any more, and what its sender hears
// instead: an answer for the core, or another answer for the worker that waits.
func CheckDeadline(e message.Effect, now time.Time) (rejection message.Command, instead message.Effect, late bool) {
	passed := func(t time.Time) bool { return !t.IsZero() && now.After(t) }
	switch e := e.(type) {
	case message.CloudRequest:
		return message.CloudResponse{ID: e.ID, Status: message.CloudRefused}, nil, passed(e.SendDeadline)
	case message.WorkerRequest:
		return message.WorkerResponse{ID: e.ID, NotSent: true}, nil, passed(e.SendDeadline)
	case message.HeartbeatReply:
		if !passed(e.SendDeadline) && passed(e.StartsDeadline) {
			// Its lease is prolonged all the same.
			e.StartsDeadline = time.Time{}
			e.Commands = slices.DeleteFunc(slices.Clone(e.Commands), func(o model.TaskCommand) bool { return o.Kind == model.StartTask })
			return nil, e, true
		}
		return nil, message.HeartbeatReply{Reply: e.Reply, Status: 503}, passed(e.SendDeadline)
	case message.UserReply:
		return nil, message.UserReply{Reply: e.Reply, ID: e.ID, Status: 503, Message: "this took too long", RetryAfter: retryAfter}, passed(e.SendDeadline)
	}
	return nil, nil, false
}
