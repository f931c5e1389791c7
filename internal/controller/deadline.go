package controller

import (
	"slices"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
)

// CheckDeadline reports whether it is too late to carry out an effect, and returns what happens
// instead: a command for the controller that sent the effect, or another effect for the peer that
// waits for an answer.
//
// A controller process may be suspended between deciding and sending for longer than its lease is
// valid, and then continue. Start commands are guarded by the compares in the transactions that
// write their records, and by the epoch. Cloud requests and answers that renew worker leases have
// no such guard. Each of them therefore carries the time until which the lease that it depends on
// is certainly valid, and the driver checks that time again before it sends. The same holds for
// answers to users that depend on a read, except those that report the end of a job: another
// controller may have reported a later state in the meantime.
func CheckDeadline(effect message.Effect, now time.Time) (rejection message.Command, instead message.Effect, late bool) {
	passed := func(t time.Time) bool { return !t.IsZero() && now.After(t) }
	switch e := effect.(type) {
	case message.CloudRequest:
		return message.CloudResponse{ID: e.ID, Status: message.CloudRefused}, nil, passed(e.SendDeadline)
	case message.WorkerRequest:
		return message.WorkerResponse{ID: e.ID, NotSent: true}, nil, passed(e.SendDeadline)
	case message.HeartbeatReply:
		if !passed(e.SendDeadline) && passed(e.StartsDeadline) {
			// The reply still renews the worker's lease, but without start commands.
			e.StartsDeadline = time.Time{}
			e.Commands = slices.DeleteFunc(slices.Clone(e.Commands), func(command model.TaskCommand) bool { return command.Kind == model.StartTask })
			return nil, e, true
		}
		return nil, message.HeartbeatReply{Reply: e.Reply, Status: 503}, passed(e.SendDeadline)
	case message.UserReply:
		return nil, message.UserReply{Reply: e.Reply, ID: e.ID, Status: 503, Message: "this took too long", RetryAfter: retryAfter}, passed(e.SendDeadline)
	}
	return nil, nil, false
}
