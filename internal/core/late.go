package core

import (
	"slices"
	"time"
)

// A controller may stand still between deciding and sending, for longer than its
// grant lives, and go on in the middle. Starts are guarded by the conditions of
// their records and by the epoch; rentals, returns and answers that prolong leases
// are not, so each carries the moment until which the grant it rests on surely
// lived, and whoever sends it looks at the clock once more. So do answers to users that
// rest on a read, unless they tell of an end: another controller may have told more since.

// Late says whether an effect must not leave any more, and what its sender hears
// instead: an answer for the core, or another answer for the worker that waits.
func Late(e Effect, now time.Time) (back Command, instead Effect, late bool) {
	passed := func(t time.Time) bool { return !t.IsZero() && now.After(t) }
	switch e := e.(type) {
	case CloudOp:
		return CloudDone{ID: e.ID, Status: CloudRefused}, nil, passed(e.Until)
	case WorkerOp:
		return WorkerDone{ID: e.ID, NotSent: true}, nil, passed(e.Until)
	case ReportReply:
		if !passed(e.Until) && passed(e.StartsUntil) {
			// Its lease is prolonged all the same.
			e.StartsUntil = time.Time{}
			e.Orders = slices.DeleteFunc(slices.Clone(e.Orders), func(o Order) bool { return o.Verb == Start })
			return nil, e, true
		}
		return nil, ReportReply{Reply: e.Reply, Status: 503}, passed(e.Until)
	case UserReply:
		return nil, UserReply{Reply: e.Reply, ID: e.ID, Status: 503, Message: "this took too long", RetryAfter: comeBack}, passed(e.Until)
	}
	return nil, nil, false
}
