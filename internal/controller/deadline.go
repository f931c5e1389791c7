package controller

import (
	"slices"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
)

// CheckDeadline says whether an effect is too late to be carried out, and what its sender gets
// instead: a command for the controller, or another effect for whoever waits.
//
// A controller may stand still between deciding and sending, for longer than its lease lives,
// and go on in the middle. Starts are guarded by the compares of their records and by the
// epoch. Cloud requests and answers that renew worker leases are not, so each carries the time
// until which the lease that it rests on surely lives, and the driver checks it once more. So
// do answers to users that rest on a read, unless they report an end: another controller may
// have reported more since.
func CheckDeadline(e message.Effect, now time.Time) (rejection message.Command, instead message.Effect, late bool) {
	passed := func(t time.Time) bool { return !t.IsZero() && now.After(t) }
	switch e := e.(type) {
	case message.CloudRequest:
		return message.CloudResponse{ID: e.ID, Status: message.CloudRefused}, nil, passed(e.SendDeadline)
	case message.WorkerRequest:
		return message.WorkerResponse{ID: e.ID, NotSent: true}, nil, passed(e.SendDeadline)
	case message.HeartbeatReply:
		if !passed(e.SendDeadline) && passed(e.StartsDeadline) {
			// The worker's lease is renewed all the same.
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
