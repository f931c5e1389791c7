package controller

import (
	"slices"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/promise"
	"github.com/micahill/micahill/internal/readbatch"
)

const (
	// maxWaitingRequests bounds the requests that wait for the store; more are refused at
	// once.
	maxWaitingRequests = 400
	// userRequestTimeout is how long a request may wait for the store before it is refused.
	// Less than the 2 s that a user waits for a poll.
	userRequestTimeout = 1500 * time.Millisecond
	// retryAfter is the Retry-After while this controller is only briefly behind, and
	// retryAfterOutage while the store is unavailable. The latter is spread by a half either
	// way, so that hundreds who were refused don't return together.
	retryAfter       = time.Second
	retryAfterOutage = 2 * time.Second
)

// frontend answers users: it stores submissions and cancellations, and answers questions
// about jobs. Every controller has one, whether it leads a shard or not, and Step calls it
// with each user's request.
//
// Invariants: an answer that is not final rests on a read of the store that began after
// the request came, and has a deadline for its sending; a request is answered once; once
// an answer said that a job is over, no later one says otherwise. Nothing here has to
// survive this process: users repeat a request that got no answer.
type frontend struct {
	component

	// watchCache is what this controller knows of open jobs.
	watchCache watchCache
	// progressByJob is what other shard leaders last published of their jobs; for display.
	progressByJob map[string]message.Progress

	// finalStatuses caches final states for good, and endDates the promised dates of done
	// jobs: milliseconds, and in the lowest byte the date's revision.
	finalStatuses map[string]model.JobStatus
	endDates      map[string]uint64

	// submitQueue has submissions that are not in a transaction yet; submitTxnsInFlight
	// counts the transactions that are under way.
	submitQueue        []*submission
	submitTxnsInFlight int

	// Reads of job status records: who waits for which, the batcher that combines them, and
	// whether its next round is scheduled.
	statusWaiters       map[string][]func(message.StoreResponse)
	readBatches         readbatch.Batcher
	batchRoundScheduled bool

	// Requests without an answer: how many, and all of them by deadline (with answered ones
	// in between).
	waitingRequests    int
	requestsByDeadline []*userRequest

	// acceptedAt is when a user was last answered that a job is accepted, for
	// userRequestTimeout; acceptedAnswers are the same in the order of time.
	acceptedAt      map[string]time.Time
	acceptedAnswers []acceptedAnswer
}

// acceptedAnswer is an answer that said that a job is accepted.
type acceptedAnswer struct {
	answeredAt time.Time
	id         string
}

// noteAccepted notes an answer that says that a job is accepted. It is kept for as long as a
// request may wait whose read of the store was earlier.
func (f *frontend) noteAccepted(id string, now time.Time) {
	for len(f.acceptedAnswers) > 0 && now.Sub(f.acceptedAnswers[0].answeredAt) > userRequestTimeout {
		if first := f.acceptedAnswers[0]; f.acceptedAt[first.id].Equal(first.answeredAt) {
			delete(f.acceptedAt, first.id)
		}
		f.acceptedAnswers = f.acceptedAnswers[1:]
	}
	if !f.acceptedAt[id].Equal(now) {
		f.acceptedAt[id] = now
		f.acceptedAnswers = append(f.acceptedAnswers, acceptedAnswer{now, id})
	}
}

// userRequest is a user's request about one job.
type userRequest struct {
	// reply names the request to the API, id is the job.
	reply uint64
	id    string
	// deadline is when it is refused if there is no answer; see userRequestTimeout.
	deadline time.Time
	answered bool
}

func (f *frontend) init() {
	f.finalStatuses, f.acceptedAt = map[string]model.JobStatus{}, map[string]time.Time{}
	f.statusWaiters = map[string][]func(message.StoreResponse){}
}

// newUserRequest counts a request as waiting until it is answered.
func (f *frontend) newUserRequest(reply uint64, id string) *userRequest {
	request := &userRequest{reply: reply, id: id, deadline: f.now.Add(userRequestTimeout)}
	f.waitingRequests++
	if len(f.requestsByDeadline) == 0 {
		f.after(userRequestTimeout, f.expireUserRequests)
	}
	f.requestsByDeadline = append(f.requestsByDeadline, request)
	return request
}

// expireUserRequests refuses the requests that have waited too long.
func (f *frontend) expireUserRequests() {
	i := 0
	for ; i < len(f.requestsByDeadline) && !f.requestsByDeadline[i].deadline.After(f.now); i++ {
		if request := f.requestsByDeadline[i]; !request.answered {
			f.refuseRequest(request, "the state service does not answer")
		}
	}
	f.requestsByDeadline = slices.Delete(f.requestsByDeadline, 0, i)
	if len(f.requestsByDeadline) > 0 {
		f.after(f.requestsByDeadline[0].deadline.Sub(f.now), f.expireUserRequests)
	}
}

// answerRequest answers a request, unless it has its answer already.
func (f *frontend) answerRequest(request *userRequest, r message.UserReply) {
	if request.answered {
		return
	}
	request.answered = true
	f.waitingRequests--
	if s, isFinal := f.finalStatuses[request.id]; isFinal && r.Status < 500 && r.State != string(s) {
		// The read was before the job's end, which another answer may have told since.
		r = f.replyWithStatus(request.id, s)
	}
	if r.Status < 300 && f.waitingRequests > 0 {
		f.noteAccepted(request.id, f.now)
	}
	r.Reply = request.reply
	if r.ID == "" {
		r.ID = request.id
	}
	if r.Status != 503 && !model.JobStatus(r.State).IsFinal() {
		// The answer rests on a read that began after the request. Whoever asked waits no
		// longer than this, and may get a newer answer from another controller then.
		r.SendDeadline = request.deadline
	}
	f.emit(r)
}

// refuseRequest answers that the request may be repeated later.
func (f *frontend) refuseRequest(request *userRequest, reason string) {
	f.answerRequest(request, message.UserReply{Status: 503, Message: reason, RetryAfter: retryAfter})
}

// refuseIfUnavailable refuses a request at once while nothing can be read or stored, or too
// much waits. s is what is submitted, or nil.
func (f *frontend) refuseIfUnavailable(reply uint64, id string, s *model.JobSpec) bool {
	switch {
	case !f.controller.membership.ready:
		f.emit(message.UserReply{Reply: reply, ID: id, Status: 503, Message: "starting", RetryAfter: retryAfter})
	case f.controller.membership.storeDown(f.now):
		f.emit(message.UserReply{Reply: reply, ID: id, Status: 503, Message: "the state service is away", RetryAfter: f.spread(retryAfterOutage)})
	case f.waitingRequests >= maxWaitingRequests || s != nil && f.controller.ranking.overloadRefuses(s):
		f.emit(message.UserReply{Reply: reply, ID: id, Status: 503, Message: "too many requests are waiting", RetryAfter: f.spread(retryAfterOutage)})
	default:
		return false
	}
	return true
}

// replyWithStatus is the answer with a job's state and what else is known of it here.
func (f *frontend) replyWithStatus(id string, s model.JobStatus) message.UserReply {
	r := message.UserReply{Status: 200, ID: id, State: string(s)}
	if !s.IsFinal() {
		p := f.progressOf(id)
		r.Done, r.Running = p.Done, p.Running
		if p.Running > 0 {
			r.State = "running"
		}
	} else if d, ok := f.endDates[id]; ok && s == model.Done {
		r = r.WithDate(promise.Date{After: time.Duration(d>>8) * time.Millisecond, Revision: int(d & 0xff)})
	}
	return r
}

// forgetFinalStatus forgets the end of a job whose records have been dropped.
func (f *frontend) forgetFinalStatus(id string) { delete(f.finalStatuses, id) }

// clearEndDates forgets the promised dates of done jobs.
func (f *frontend) clearEndDates() { f.endDates = map[string]uint64{} }

// cacheEndDate notes the promised date of a done job.
func (f *frontend) cacheEndDate(id string, d promise.Date) {
	f.endDates[id] = uint64(d.After.Milliseconds())<<8 | uint64(d.Revision)
}

// progressOf is a job's count of tasks as far as this controller knows; for display.
func (f *frontend) progressOf(id string) message.Progress {
	if f.controller.shardLeader != nil {
		if j := f.controller.shardLeader.jobs[id]; j != nil {
			return j.progress()
		}
	}
	return f.progressByJob[id]
}

func withReply(r message.UserReply, reply uint64) message.UserReply {
	r.Reply = reply
	return r
}

// cacheFinalStatus notes the end of a job, which is for good.
func (f *frontend) cacheFinalStatus(id string, s model.JobStatus) {
	f.finalStatuses[id] = s
	delete(f.progressByJob, id)
	f.controller.noteDependencyState(id)
}

func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
