package controller

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/micahill/micahill/internal/message"
	"github.com/micahill/micahill/internal/model"
	"github.com/micahill/micahill/internal/promise"
	"github.com/micahill/micahill/internal/readbatch"
	"github.com/micahill/micahill/internal/record"
	"github.com/micahill/micahill/internal/sizelimit"
)

const (
	// maxSubmitTxns bounds the transactions that carry submissions and
	// cancellations; what waits meanwhile shares the next one.
	maxSubmitTxns = 3
	// maxWaitingRequests bounds what waits for the state service; the rest is
	// refused at once.
	maxWaitingRequests = 400
	// userRequestTimeout is how long a request may wait for the state service
	// before it is refused. Less than the 2 s a user waits for a poll.
	userRequestTimeout = 1500 * time.Millisecond
	// retryAfter is the Retry-After while the service is only briefly behind, and
	// retryAfterOutage while the state service is away. The latter is spread by a half
	// either way, so that hundreds who were refused do not return together.
	retryAfter       = time.Second
	retryAfterOutage = 2 * time.Second
)

type frontend struct {
	component

	// finalStatuses caches terminal states for good, and dates the dates of done jobs:
	// milliseconds, and in the lowest byte the revision.
	finalStatuses map[string]model.JobStatus
	endDates      map[string]uint64
	submitQueue   []*submission
	inFlight      int
	// statusWaiters are who waits for a read of a job's record, and lookups which reads that
	// takes.
	statusWaiters      map[string][]func(message.StoreResponse)
	readBatches        readbatch.Batcher
	batchTurnScheduled bool
	waitingRequests    int
	requestsByDeadline []*userRequest
	// acceptedAt are the jobs of which somebody was told lately that they are accepted, and
	// when; tellings are the same in order.
	acceptedAt      map[string]time.Time
	acceptedAnswers []acceptedAnswer
	watchCache      watchCache
	progressByJob   map[string]message.Progress
}

type acceptedAnswer struct {
	answeredAt time.Time
	id         string
}

// noteAccepted notes that an answer leaves that says that a job is accepted. It is kept for as
// long as a request may wait that was read before.
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

// userRequest is a user's request that still wants its answer.
type userRequest struct {
	reply uint64
	id    string
	// deadline is how long it is waited for; see userRequestTimeout.
	deadline time.Time
	answered bool
}

type submission struct {
	request     *userRequest
	spec        model.JobSpec
	submittedAt time.Time
	// alone: a transaction with others was malformed; it is stored by itself.
	storeAlone bool
	// promisedAfter is the date that goes with it, 0 for none at hand.
	promisedAfter time.Duration
}

// promisedDate is what is told of it with its acceptance.
func (s *submission) promisedDate() promise.Date {
	r := s.openRecord()
	return r.FirstDate()
}

func (s *submission) openRecord() record.OpenJob {
	r := record.NewOpenJob(&s.spec, s.submittedAt)
	r.PromisedMillis = int(s.promisedAfter.Milliseconds())
	return r
}

func (f *frontend) init() {
	f.finalStatuses, f.acceptedAt = map[string]model.JobStatus{}, map[string]time.Time{}
	f.statusWaiters = map[string][]func(message.StoreResponse){}
}

func (f *frontend) newUserRequest(reply uint64, id string) *userRequest {
	request := &userRequest{reply: reply, id: id, deadline: f.now.Add(userRequestTimeout)}
	f.waitingRequests++
	if len(f.requestsByDeadline) == 0 {
		f.after(userRequestTimeout, f.expireUserRequests)
	}
	f.requestsByDeadline = append(f.requestsByDeadline, request)
	return request
}

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

func (f *frontend) answerRequest(request *userRequest, r message.UserReply) {
	if request.answered {
		return
	}
	request.answered = true
	f.waitingRequests--
	if s, isFinal := f.finalStatuses[request.id]; isFinal && r.Status < 500 && r.State != string(s) {
		// It was read before the end, which others may have been told since.
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
		// It rests on a read that began after the question. Whoever asked waits for no
		// more than this, and may hear something newer from another controller then.
		r.SendDeadline = request.deadline
	}
	f.emit(r)
}

func (f *frontend) refuseRequest(request *userRequest, reason string) {
	f.answerRequest(request, message.UserReply{Status: 503, Message: reason, RetryAfter: retryAfter})
}

// refuseIfUnavailable refuses at once while nothing can be read or stored.
// s is what is submitted, if anything is.
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

// progressOf is a job's count of tasks as far as this node knows; for display.
func (f *frontend) progressOf(id string) message.Progress {
	if f.controller.shardLeader != nil {
		if j := f.controller.shardLeader.jobs[id]; j != nil {
			return j.progress()
		}
	}
	return f.progressByJob[id]
}

func (f *frontend) submitJob(c message.SubmitJob) {
	id := c.Spec.ID
	if s, ok := f.finalStatuses[id]; ok {
		f.emit(withReply(f.replyWithStatus(id, s), c.Reply))
		return
	}
	if f.refuseIfUnavailable(c.Reply, id, &c.Spec) {
		return
	}
	request := f.newUserRequest(c.Reply, id)
	status, reason := 0, ""
	switch {
	case c.MalformedReason != "":
		status, reason = 400, c.MalformedReason
	case f.controller.knowledge.machineTypes == nil:
		f.answerFromRecord(request, 503, "machine types are not known yet")
		return
	default:
		c.Spec = f.restrictToFittingDisks(c.Spec)
		status, reason = f.validateSpec(&c.Spec)
	}
	if status != 0 {
		// A known job is never called malformed or impossible, so look
		// before refusing.
		f.answerFromRecord(request, status, reason)
		return
	}
	s := &submission{request: request, spec: c.Spec, submittedAt: f.now}
	f.checkDependenciesAccepted(request, c.Spec.Dependencies, func() {
		s.promisedAfter = f.controller.promises.quoteDate(&s.spec)
		f.submitQueue = append(f.submitQueue, s)
	})
}

func withReply(r message.UserReply, reply uint64) message.UserReply {
	r.Reply = reply
	return r
}

// validateSpec says why a job can never run here.
func (f *frontend) validateSpec(s *model.JobSpec) (int, string) {
	var team *model.Team
	for i := range f.settings.Teams {
		if f.settings.Teams[i].Name == s.Team {
			team = &f.settings.Teams[i]
		}
	}
	if team == nil {
		return 422, "unknown owner " + s.Team
	}
	eligible := f.eligibleTypesFor(s)
	if len(eligible.machineTypes) == 0 {
		return 422, "a task fits no allowed flavour"
	}
	if s.Gang && s.SpreadZones && s.Tasks > 1 && (s.SameZone || len(eligible.zones) == 1) {
		return 422, "tasks that start together cannot be apart in one zone"
	}
	count := 1.0
	if s.LongRunning || s.Gang {
		count = float64(s.Tasks)
	}
	all := model.Resources{}.AddScaled(s.Need, count)
	if (team.QuotaLimit.CPU > 0 && all.CPU > team.QuotaLimit.CPU+roundingTolerance) || (team.QuotaLimit.GPU > 0 && all.GPU > team.QuotaLimit.GPU+roundingTolerance) {
		return 422, "the job needs more than its owner's limit"
	}
	if reason := f.validateDependencies(s); reason != "" {
		return 422, reason
	}
	if size, err := sizelimit.JSON(record.Encode(record.NewOpenJob(s, f.now))); err != nil || size+openRecordReserve > f.settings.MaxValueBytes {
		return 400, "the description is too long"
	}
	return 0, ""
}

// openRecordReserve is the room left in a job's record for what is added later: that it is
// cancelled, lent or borrowed.
const openRecordReserve = 256

func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// eligibleTypes are the kinds of machines on which a task can run.
type eligibleTypes struct {
	machineTypes []string
	zones        map[string]bool
	// excludedByDisk: others are allowed that it would fit but for its image.
	excludedByDisk bool
}

// eligibleTypesFor finds what is offered anywhere of what a job allows.
func (ff *frontend) eligibleTypesFor(s *model.JobSpec) eligibleTypes {
	out := eligibleTypes{zones: map[string]bool{}}
	for _, name := range sortedKeys(ff.controller.knowledge.machineTypes) {
		f := ff.controller.knowledge.machineTypes[name]
		zones := slices.DeleteFunc(slices.Clone(f.Zones), func(z string) bool { return s.Zone != "" && s.Zone != z })
		allowed := len(s.MachineTypes) == 0 || slices.Contains(s.MachineTypes, name)
		switch {
		case !allowed || len(zones) == 0 || !s.Need.Fits(f.Capacity):
		case f.DiskGB > 0 && s.ImageGB > f.DiskGB:
			out.excludedByDisk = true
		default:
			out.machineTypes = append(out.machineTypes, name)
			for _, z := range zones {
				out.zones[z] = true
			}
		}
	}
	return out
}

// restrictToFittingDisks is a job that allows only flavours whose disks have room for its image: whoever
// places it or rents for it looks at nothing but what it allows.
func (f *frontend) restrictToFittingDisks(s model.JobSpec) model.JobSpec {
	if eligible := f.eligibleTypesFor(&s); eligible.excludedByDisk && len(eligible.machineTypes) > 0 {
		s.MachineTypes = eligible.machineTypes
	}
	return s
}

// answerFromRecord answers with the job's state if it is known, else as told.
func (ff *frontend) answerFromRecord(request *userRequest, status int, reason string) {
	ff.controller.frontend.watchCache.readJob(request.id, func(f jobLookup) {
		switch {
		case !f.ok:
			ff.refuseRequest(request, "the state service does not answer")
		case f.accepted:
			ff.answerRequest(request, ff.replyFor(request.id, f))
		default:
			r := message.UserReply{Status: status, Message: reason}
			if status == 503 {
				r.RetryAfter = retryAfter
			}
			ff.answerRequest(request, r)
		}
	})
}

// replyFor is the answer for a record just read.
func (ff *frontend) replyFor(id string, f jobLookup) message.UserReply {
	r := f.rec
	if r.Status.IsFinal() {
		ff.cacheFinalStatus(id, r.Status)
		ff.controller.promises.cacheDoneDate(id, r)
	}
	reply := ff.replyWithStatus(id, r.Status)
	if r.Status == model.Done {
		reply.Done = r.Tasks
	} else if !r.Status.IsFinal() {
		reply = reply.WithDate(f.promisedDate)
	}
	return reply
}

func (f *frontend) cacheFinalStatus(id string, s model.JobStatus) {
	f.finalStatuses[id] = s
	delete(f.progressByJob, id)
	f.controller.noteDependencyState(id)
}

// readStatusRecord gets job/<id> with a read begun after this call. Many that wait together share
// few reads; see internal/readbatch.
func (f *frontend) readStatusRecord(id string, fn func(message.StoreResponse)) {
	f.statusWaiters[id] = append(f.statusWaiters[id], fn)
	f.readBatches.Request(id)
	f.sendReadBatches()
}

// sendReadBatches sends the reads that are due.
func (f *frontend) sendReadBatches() {
	for {
		r, ok := f.readBatches.Next()
		if !ok {
			return
		}
		if !f.batchTurnScheduled {
			f.batchTurnScheduled = true
			f.after(minRefreshInterval, func() {
				f.batchTurnScheduled = false
				f.readBatches.BeginRound()
				f.sendReadBatches()
			})
		}
		// It answers those that asked before it began.
		waiters := map[string][]func(message.StoreResponse){}
		for _, id := range r.Requested() {
			waiters[id] = f.statusWaiters[id]
			delete(f.statusWaiters, id)
		}
		op := message.StoreRequest{Kind: message.OpGet, Priority: message.PriorityUser, Key: record.JobStatusPrefix + r.ID}
		if r.IsList {
			op.Kind, op.Key, op.StartAfter = message.OpList, record.JobStatusPrefix, record.JobStatusPrefix+r.After
		}
		f.controller.requests.toStore(op, func(d message.StoreResponse) { f.handleReadBatch(r, d, waiters) })
	}
}

// handleReadBatch answers what a read was for.
func (f *frontend) handleReadBatch(r readbatch.Read, d message.StoreResponse, waiters map[string][]func(message.StoreResponse)) {
	ok, last, found := d.Status == message.StoreOK, "", map[string]message.KeyValue{}
	for _, it := range d.KeyValues {
		last = strings.TrimPrefix(it.Key, record.JobStatusPrefix)
		found[last] = it
		var rec record.JobStatus
		if r.IsList && record.Decode(it.Value, &rec) && rec.Status.IsFinal() {
			// An end is for good, whoever asks for it.
			f.cacheFinalStatus(last, rec.Status)
			f.controller.promises.cacheDoneDate(last, rec)
		}
	}
	settled := f.readBatches.Complete(r, ok, last, d.Truncated && last != "")
	// What the list did not come to waits for the next.
	for id, rest := range waiters {
		if !slices.Contains(settled, id) {
			f.statusWaiters[id] = append(rest, f.statusWaiters[id]...)
		}
	}
	for _, id := range settled {
		one := d
		if it, there := found[id]; r.IsList && ok && there {
			one.KeyValues = []message.KeyValue{it}
		} else if r.IsList && ok {
			one.Status, one.KeyValues = message.StoreNotFound, nil
		}
		for _, fn := range waiters[id] {
			fn(one)
		}
	}
	f.sendReadBatches()
}

func (f *frontend) queryJob(c message.QueryJob) {
	if s, ok := f.finalStatuses[c.ID]; ok {
		f.emit(withReply(f.replyWithStatus(c.ID, s), c.Reply))
		return
	}
	if f.refuseIfUnavailable(c.Reply, c.ID, nil) {
		return
	}
	f.answerFromRecord(f.newUserRequest(c.Reply, c.ID), 404, "no such job")
}

// flushSubmissions puts waiting submissions into transactions, many in one.
func (f *frontend) flushSubmissions() {
	for len(f.submitQueue) > 0 && f.inFlight < maxSubmitTxns {
		var batch []*submission
		seen := map[string]bool{}
		size := 0
		for len(f.submitQueue) > 0 && len(batch) < f.settings.MaxTxnWrites {
			s := f.submitQueue[0]
			if s.request.answered {
				f.submitQueue = f.submitQueue[1:]
				continue
			}
			// The same id twice in a transaction would conflict with itself.
			if seen[s.spec.ID] || len(batch) > 0 && (s.storeAlone || batch[0].storeAlone) {
				break
			}
			one, err := sizelimit.JSON(record.Encode(s.openRecord()))
			if size += one + submitOverheadBytes; (err != nil || size > targetTxnBytes) && len(batch) > 0 {
				break
			}
			seen[s.spec.ID] = true
			batch = append(batch, s)
			f.submitQueue = f.submitQueue[1:]
		}
		if len(batch) == 0 {
			break
		}
		f.inFlight++
		f.storeSubmissions(batch)
	}
}

// submitOverheadBytes is what a submission takes of a transaction beside its record: three
// keys with what goes round them.
const submitOverheadBytes = 512

func (f *frontend) storeSubmissions(batch []*submission) {
	var op message.StoreRequest
	op.Kind, op.Priority = message.OpTxn, message.PriorityUser
	for _, s := range batch {
		id := s.spec.ID
		// Neither over nor open: never accepted before. One change is enough;
		// job/ is written when the job is over.
		op.Compares = append(op.Compares, message.Compare{Key: record.JobStatusPrefix + id, ModRevision: 0}, message.Compare{Key: record.OpenJobPrefix + id, ModRevision: 0})
		op.Writes = append(op.Writes, message.Write{Key: record.OpenJobPrefix + id, Value: record.Encode(s.openRecord())})
	}
	f.controller.requests.toStore(op, func(d message.StoreResponse) {
		f.inFlight--
		switch d.Status {
		case message.StoreOK:
			for _, s := range batch {
				f.answerRequest(s.request, f.acceptedReply(s))
				f.controller.observeOwnWrite(message.KeyValue{Key: record.OpenJobPrefix + s.spec.ID, Value: record.Encode(s.openRecord()), ModRevision: d.Revision})
			}
		case message.StoreConflict:
			var again []*submission
			for _, s := range batch {
				if slices.Contains(d.FailedKeys, record.JobStatusPrefix+s.spec.ID) || slices.Contains(d.FailedKeys, record.OpenJobPrefix+s.spec.ID) {
					f.answerFromRecord(s.request, 503, "conflict")
				} else {
					again = append(again, s)
				}
			}
			f.submitQueue = append(again, f.submitQueue...)
		case message.StoreMalformed:
			if len(batch) == 1 {
				s := batch[0]
				f.answerFromRecord(s.request, 400, fmt.Sprintf("job %s cannot be stored", s.spec.ID))
				break
			}
			// One of them is at fault, and the others are not to suffer for it.
			for _, s := range batch {
				s.storeAlone = true
			}
			f.submitQueue = append(batch, f.submitQueue...)
		default:
			for _, s := range batch {
				f.refuseRequest(s.request, "the state service does not answer")
			}
		}
	})
}

func (f *frontend) cancelJob(c message.CancelJob) {
	if s, ok := f.finalStatuses[c.ID]; ok {
		f.emit(withReply(f.replyWithStatus(c.ID, s), c.Reply))
		return
	}
	if f.refuseIfUnavailable(c.Reply, c.ID, nil) {
		return
	}
	f.cancelOpenJob(f.newUserRequest(c.Reply, c.ID))
}

func (ff *frontend) cancelOpenJob(request *userRequest) {
	ff.controller.frontend.watchCache.readJob(request.id, func(f jobLookup) {
		switch {
		case !f.ok:
			ff.refuseRequest(request, "the state service does not answer")
			return
		case !f.accepted:
			ff.answerRequest(request, message.UserReply{Status: 404, Message: "no such job"})
			return
		case f.rec.Status.IsFinal() || f.modRevision == 0:
			ff.answerRequest(request, ff.replyFor(request.id, f))
			return
		case request.answered:
			return
		case f.open.LentTo != "":
			ff.controller.lending.cancelLentJob(request, f)
			return
		}
		id := request.id
		// What its tasks take stays known: until they are gone they count for
		// their team's limit, under whatever owner.
		rec := f.open
		rec.Cancelled, rec.CancelledAtMillis = true, ff.now.UnixMilli()
		rec.ShrinkToFit(ff.settings.MaxValueBytes)
		open := record.Encode(rec)
		// Both records change together: the stamp of open/ guards starts.
		ff.controller.requests.toStore(message.StoreRequest{Kind: message.OpTxn, Priority: message.PriorityUser, Compares: []message.Compare{{Key: record.OpenJobPrefix + id, ModRevision: f.modRevision}},
			Writes: []message.Write{
				{Key: record.JobStatusPrefix + id, Value: record.Encode(ff.controller.promises.endRecordFromCache(id, model.Cancelled, &openJob{f.modRevision, f.open}))},
				{Key: record.OpenJobPrefix + id, Value: open},
			}}, func(d message.StoreResponse) {
			switch d.Status {
			case message.StoreOK:
				ff.cacheFinalStatus(id, model.Cancelled)
				ff.controller.observeOwnWrite(message.KeyValue{Key: record.OpenJobPrefix + id, Value: open, ModRevision: d.Revision})
				ff.controller.cancellations.publish(message.Cancellation{ID: id, Record: open, ModRevision: d.Revision}, ff.settings.Peers)
				ff.answerRequest(request, ff.replyWithStatus(id, model.Cancelled))
			case message.StoreConflict:
				// Done or cancelled in between: look again.
				ff.cancelOpenJob(request)
			default:
				ff.refuseRequest(request, "the state service does not answer")
			}
		})
	})
}
