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
	// maxWaitingRequests bounds the user requests that wait for the store. Further requests are
	// refused at once.
	maxWaitingRequests = 400
	// userRequestTimeout is how long a request may wait for the store before it is refused. It
	// is less than the 2 s that a user waits for the answer to a poll.
	userRequestTimeout = 1500 * time.Millisecond
	// retryAfter is the Retry-After of a refusal while this controller is briefly behind, and
	// retryAfterOutage the one while the store is unavailable. retryAfterOutage is spread by
	// half of it in either direction, so that hundreds of refused users do not return at the
	// same time.
	retryAfter       = time.Second
	retryAfterOutage = 2 * time.Second
)

// frontend answers users: it stores submissions and cancellations, and answers queries about
// jobs. Every controller has a frontend, whether the controller leads a shard or not, and Step
// calls it with each user request.
//
// Invariants: an answer with a state that is not final rests on a read of the store that began
// after the request arrived, and has a deadline for its sending. Each request is answered once.
// Once an answer has said that a job is over, no later answer says otherwise. None of this state
// has to survive the process: users repeat a request that got no answer.
type frontend struct {
	component

	// watchCache is this controller's copy of the open jobs.
	watchCache watchCache
	// progressByJob is the progress that other shard leaders last published of their jobs. It is
	// for display only.
	progressByJob map[string]message.Progress

	// finalStatuses caches final job states, which never change. endDates caches the promised
	// dates of done jobs: milliseconds in the upper bytes, the date's revision in the lowest
	// byte.
	finalStatuses map[string]model.JobStatus
	endDates      map[string]uint64

	// submitQueue holds submissions that are not part of a transaction yet. submitTxnsInFlight
	// counts the transactions that the store has not answered.
	submitQueue        []*submission
	submitTxnsInFlight int

	// Reads of job status records: the callbacks that wait for each record, the batcher that
	// combines the reads, and whether its next round is scheduled.
	statusWaiters       map[string][]func(message.StoreResponse)
	readBatches         readbatch.Batcher
	batchRoundScheduled bool

	// Requests without an answer: their number, and a list in the order of their deadlines,
	// which still contains some answered requests.
	waitingRequests    int
	requestsByDeadline []*userRequest

	// acceptedAt is when a user was last told that a job is accepted, for each such job of the
	// last userRequestTimeout. acceptedAnswers holds the same answers in the order of time.
	acceptedAt      map[string]time.Time
	acceptedAnswers []acceptedAnswer
}

// acceptedAnswer records that a user was told that a job is accepted.
type acceptedAnswer struct {
	answeredAt time.Time
	id         string
}

// noteAccepted records that a user was told that a job is accepted. The entry is kept for
// userRequestTimeout. A request whose read of the store was sent before this answer waits no longer
// than that.
func (frontend *frontend) noteAccepted(id string, now time.Time) {
	for len(frontend.acceptedAnswers) > 0 && now.Sub(frontend.acceptedAnswers[0].answeredAt) > userRequestTimeout {
		if first := frontend.acceptedAnswers[0]; frontend.acceptedAt[first.id].Equal(first.answeredAt) {
			delete(frontend.acceptedAt, first.id)
		}
		frontend.acceptedAnswers = frontend.acceptedAnswers[1:]
	}
	if !frontend.acceptedAt[id].Equal(now) {
		frontend.acceptedAt[id] = now
		frontend.acceptedAnswers = append(frontend.acceptedAnswers, acceptedAnswer{now, id})
	}
}

// userRequest is a user's request about one job.
type userRequest struct {
	// reply identifies the request to the API, and id is the job.
	reply uint64
	id    string
	// deadline is when the request is refused if it has no answer; see userRequestTimeout.
	deadline time.Time
	answered bool
}

// init creates the frontend's maps.
func (frontend *frontend) init() {
	frontend.finalStatuses, frontend.acceptedAt = map[string]model.JobStatus{}, map[string]time.Time{}
	frontend.statusWaiters = map[string][]func(message.StoreResponse){}
}

// newUserRequest adds a request, which counts as waiting until it is answered.
func (frontend *frontend) newUserRequest(reply uint64, id string) *userRequest {
	request := &userRequest{reply: reply, id: id, deadline: frontend.now.Add(userRequestTimeout)}
	frontend.waitingRequests++
	if len(frontend.requestsByDeadline) == 0 {
		frontend.after(userRequestTimeout, frontend.expireUserRequests)
	}
	frontend.requestsByDeadline = append(frontend.requestsByDeadline, request)
	return request
}

// expireUserRequests refuses the requests whose deadline has passed.
func (frontend *frontend) expireUserRequests() {
	i := 0
	for ; i < len(frontend.requestsByDeadline) && !frontend.requestsByDeadline[i].deadline.After(frontend.now); i++ {
		if request := frontend.requestsByDeadline[i]; !request.answered {
			frontend.refuseRequest(request, "the state service does not answer")
		}
	}
	frontend.requestsByDeadline = slices.Delete(frontend.requestsByDeadline, 0, i)
	if len(frontend.requestsByDeadline) > 0 {
		frontend.after(frontend.requestsByDeadline[0].deadline.Sub(frontend.now), frontend.expireUserRequests)
	}
}

// answerRequest answers a request, unless it has been answered already.
func (frontend *frontend) answerRequest(request *userRequest, reply message.UserReply) {
	if request.answered {
		return
	}
	request.answered = true
	frontend.waitingRequests--
	if status, isFinal := frontend.finalStatuses[request.id]; isFinal && reply.Status < 500 && reply.State != string(status) {
		// The read was sent before the job ended, and another answer may have reported the end
		// since.
		reply = frontend.replyWithStatus(request.id, status)
	}
	if reply.Status < 300 && frontend.waitingRequests > 0 {
		frontend.noteAccepted(request.id, frontend.now)
	}
	reply.Reply = request.reply
	if reply.ID == "" {
		reply.ID = request.id
	}
	if reply.Status != 503 && !model.JobStatus(reply.State).IsFinal() {
		// The answer rests on a read that began after the request. The user waits no longer than
		// this deadline, and may then get a newer answer from another controller.
		reply.SendDeadline = request.deadline
	}
	frontend.emit(reply)
}

// refuseRequest answers that the request may be repeated later.
func (frontend *frontend) refuseRequest(request *userRequest, reason string) {
	frontend.answerRequest(request, message.UserReply{Status: 503, Message: reason, RetryAfter: retryAfter})
}

// refuseIfUnavailable refuses a request at once, and returns true, while this controller is
// starting, the store is unavailable or too many requests are waiting. spec is the submitted
// job, or nil for other requests.
func (frontend *frontend) refuseIfUnavailable(reply uint64, id string, spec *model.JobSpec) bool {
	switch {
	case !frontend.controller.membership.ready:
		frontend.emit(message.UserReply{Reply: reply, ID: id, Status: 503, Message: "starting", RetryAfter: retryAfter})
	case frontend.controller.membership.storeDown(frontend.now):
		frontend.emit(message.UserReply{Reply: reply, ID: id, Status: 503, Message: "the state service is unavailable", RetryAfter: frontend.spread(retryAfterOutage)})
	case frontend.waitingRequests >= maxWaitingRequests || spec != nil && frontend.controller.ranking.overloadRefuses(spec):
		frontend.emit(message.UserReply{Reply: reply, ID: id, Status: 503, Message: "too many requests are waiting", RetryAfter: frontend.spread(retryAfterOutage)})
	default:
		return false
	}
	return true
}

// replyWithStatus returns an answer with the given state of a job, and with the progress or
// promised date that this controller knows of the job.
func (frontend *frontend) replyWithStatus(id string, status model.JobStatus) message.UserReply {
	reply := message.UserReply{Status: 200, ID: id, State: string(status)}
	if !status.IsFinal() {
		progress := frontend.progressOf(id)
		reply.Done, reply.Running = progress.Done, progress.Running
		if progress.Running > 0 {
			reply.State = "running"
		}
	} else if date, ok := frontend.endDates[id]; ok && status == model.Done {
		reply = reply.WithDate(promise.Date{After: time.Duration(date>>8) * time.Millisecond, Revision: int(date & 0xff)})
	}
	return reply
}

// forgetFinalStatus removes the cached final state of a job whose records have been deleted.
func (frontend *frontend) forgetFinalStatus(id string) { delete(frontend.finalStatuses, id) }

// clearEndDates removes the cached promised dates of done jobs.
func (frontend *frontend) clearEndDates() { frontend.endDates = map[string]uint64{} }

// cacheEndDate caches the promised date of a done job.
func (frontend *frontend) cacheEndDate(id string, date promise.Date) {
	frontend.endDates[id] = uint64(date.After.Milliseconds())<<8 | uint64(date.Revision)
}

// progressOf returns a job's task counts as far as this controller knows them, for display.
func (frontend *frontend) progressOf(id string) message.Progress {
	if frontend.controller.shardLeader != nil {
		if job := frontend.controller.shardLeader.jobs[id]; job != nil {
			return job.progress()
		}
	}
	return frontend.progressByJob[id]
}

// withReply returns userReply addressed to the request that reply identifies.
func withReply(userReply message.UserReply, reply uint64) message.UserReply {
	userReply.Reply = reply
	return userReply
}

// cacheFinalStatus records that a job has ended with the given status, which never changes.
func (frontend *frontend) cacheFinalStatus(id string, status model.JobStatus) {
	frontend.finalStatuses[id] = status
	delete(frontend.progressByJob, id)
	frontend.controller.noteDependencyState(id)
}

// boolToFloat returns 1 for true and 0 for false.
func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
