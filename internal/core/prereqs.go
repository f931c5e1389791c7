package core

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/micahill/micahill/internal/bounds"
	"github.com/micahill/micahill/internal/pipeline"
)

// prereqs.go joins internal/pipeline: jobs that need others. The graph follows the picture
// of open/ and the ends that were read or written; that a job waits or is cancelled with
// one before it is derived from it on every node, and nobody decides it. A task starts only
// when job/ says of all that its job needs that they are done. That can't become untrue, so
// the start needs no condition of its own: no later write, takeover or late transaction
// changes a job's end.

const (
	// pathsEvery separates two looks at what the jobs behind others ask of these.
	pathsEvery = time.Second
	// waitsTold bounds the names that are told of what a job waits for.
	waitsTold = 5
)

// behind is what of a job concerns those that it needs and those that need it.
type behind struct {
	// waits: not all that it needs is known to be done. released is when it was.
	waits    bool
	released time.Time
	// derived: it is cancelled with one that it needs, and job/ may not say so yet.
	derived bool
	// own is the urgency that its record names, and path what the jobs behind it ask.
	own  Urgency
	path pipeline.Path
	// raised: the urgency that it has now is that of a job behind it.
	raised bool
}

// free is since when nothing but room holds the job up.
func (j *job) free() time.Time { return later(j.at, j.released) }

// badPrereqs says why a job can't need what it names.
func (n *Node) badPrereqs(s *Spec) string {
	if len(s.Prereqs) == 0 {
		return ""
	}
	names := slices.Clone(s.Prereqs)
	slices.Sort(names)
	for i, p := range names {
		if p == s.ID {
			return "prereqs names the job itself"
		}
		if i > 0 && names[i-1] == p {
			return "prereqs names " + p + " twice"
		}
	}
	without := *s
	without.Prereqs = nil
	size, err := bounds.JSON(encode(without.record(n.now)))
	room := n.set.ValueBytes - openSpare - size - prereqsFrame
	if takes := len(pipeline.Encode(s.Prereqs)); err == nil && takes > room {
		return fmt.Sprintf("too many prereqs: the %d names take %d bytes of the job's record, which has room for %d", len(names), takes, max(room, 0))
	}
	return ""
}

// prereqsFrame is what the names take in a record beside themselves.
const prereqsFrame = 16

// prereqsKnown goes on once all names are known to be those of accepted jobs. One that is
// not is refused only after a read that began after the request.
func (n *Node) prereqsKnown(w *waiter, names []string, then func()) {
	left, unread, missing := 1, false, []string{}
	done := func() {
		if left--; left > 0 {
			return
		}
		switch {
		case len(missing) > 0:
			n.lookFirst(w, 422, "prereqs names a job that was never accepted: "+slices.Min(missing))
		case unread:
			n.refuse(w, "the state service does not answer")
		default:
			then()
		}
	}
	for _, p := range names {
		if n.pipelineState(p) != pipeline.Unknown {
			continue
		}
		left++
		n.lookRecord(p, func(f found) {
			switch {
			case !f.ok:
				unread = true
			case !f.known:
				missing = append(missing, p)
			}
			done()
		})
	}
	done()
}

// accepted is the answer to a submission that was stored. One that names a cancelled job is
// cancelled from the start.
func (n *Node) accepted(s *submission) UserReply {
	r := UserReply{Status: 201, ID: s.spec.ID, State: string(Queued)}
	for _, p := range s.spec.Prereqs {
		if n.pipelineState(p) == pipeline.Cancelled {
			n.setFinal(s.spec.ID, Cancelled)
			r.State = string(Cancelled)
			return r
		}
	}
	return r.told(s.date())
}

// pipelineState is what this node knows of a job by itself.
func (n *Node) pipelineState(id string) pipeline.State {
	switch n.users.final[id] {
	case Done:
		return pipeline.Done
	case Cancelled:
		return pipeline.Cancelled
	}
	l, open := n.users.mirror.open[id]
	switch {
	case open && l.rec.Cancelled:
		return pipeline.Cancelled
	case open:
		return pipeline.Open
	}
	return pipeline.Unknown
}

// graph is the one of the picture.
func (n *Node) graph() *pipeline.Graph {
	if n.users.mirror.graph == nil {
		n.users.mirror.graph = pipeline.New(n.pipelineState)
	}
	return n.users.mirror.graph
}

// pipelineLoaded makes the graph anew after the picture has been read anew.
func (n *Node) pipelineLoaded() {
	n.users.mirror.graph = nil
	for _, id := range sortedKeys(n.users.mirror.open) {
		l := n.users.mirror.open[id]
		n.pipelineTakes(n.graph().Put(id, l.rec.needs()))
	}
	if n.owner == nil {
		return
	}
	for _, id := range sortedKeys(n.owner.jobs) {
		n.waitFor(n.owner.jobs[id])
	}
}

// pipelineItem takes in a change of open/.
func (n *Node) pipelineItem(it Item) {
	id := jobID(it.Key, openPrefix)
	l, open := n.users.mirror.open[id]
	if open {
		n.pipelineTakes(n.graph().Put(id, l.rec.needs()))
	}
	n.pipelineSees(id)
	if !open {
		n.readEnd(id)
		n.graph().Remove(id)
	}
}

// pipelineSees takes in what is now known of a job.
func (n *Node) pipelineSees(id string) {
	n.pipelineTakes(n.graph().Set(id, n.pipelineState(id)))
}

// pipelineTakes carries out what has changed for jobs behind others.
func (n *Node) pipelineTakes(changes []pipeline.Change) {
	for _, c := range changes {
		var j *job
		if n.owner != nil {
			j = n.owner.jobs[c.ID]
		}
		switch {
		case c.Cancelled:
			if n.users.final[c.ID] == "" {
				n.setFinal(c.ID, Cancelled)
			}
			n.cancelBehind(j)
		case j != nil:
			n.releaseJob(j)
		}
	}
}

// cancelBehind cancels a job here with one that it needs: nothing of it has ever started,
// since that one is not done. Its end is written as any other; see endJobs.
func (n *Node) cancelBehind(j *job) {
	if j == nil || j.cancelled || j.began() {
		return
	}
	j.cancelled, j.derived = true, true
}

// releaseJob lets a job go when all that it needs is done.
func (n *Node) releaseJob(j *job) {
	if !j.waits {
		return
	}
	j.waits, j.released = false, n.now
	n.owner.place = true
	n.owner.hurry = n.owner.hurry || n.waitBound(j.Workload) > 0
}

// waitFor has a job here wait for what it needs.
func (n *Node) waitFor(j *job) {
	if len(j.Prereqs) == 0 {
		return
	}
	g := n.graph()
	n.pipelineTakes(g.Put(j.ID, j.Prereqs))
	switch {
	case g.Cancelled(j.ID):
		n.cancelBehind(j)
	case j.began() || !j.released.IsZero():
	case g.Released(j.ID):
		j.released = n.now
	default:
		j.waits = true
		for _, p := range g.Unread(j.ID, true) {
			n.readEnd(p)
		}
	}
}

// beganBefore: what has begun under a former owner waits for nothing.
func (j *job) beganBefore() {
	if !j.began() {
		return
	}
	j.waits, j.released = false, time.Time{}
	for _, g := range j.groups {
		if j.released.IsZero() || g.start.Before(j.released) {
			j.released = g.start
		}
	}
}

// readEnd reads what became of a job that is open no more, if one here waits for it.
func (n *Node) readEnd(id string) {
	if n.pipelineState(id) != pipeline.Unknown || !n.neededHere(id) {
		return
	}
	n.read(id, func(d StateDone) {
		if !n.endRead(id, d) {
			n.after(n.jitter(retryPause), func() { n.readEnd(id) })
		}
	})
}

// neededHere says whether a job here waits for a job.
func (n *Node) neededHere(id string) bool {
	return n.owner != nil && slices.ContainsFunc(n.graph().Needed(id), func(after string) bool {
		j := n.owner.jobs[after]
		return j != nil && j.waits && !j.cancelled
	})
}

// endRead takes in the answer to a read of job/, and says whether there was one. A job
// that is needed was accepted before: one that is neither open nor over shows that a
// record is damaged. What needs it waits until somebody cancels it.
func (n *Node) endRead(id string, d StateDone) bool {
	var r jobRecord
	switch {
	case n.pipelineState(id) != pipeline.Unknown:
	case d.Status == StateNotFound:
		n.complain("record", openPrefix+id, "it is needed by others and was never accepted")
		n.pipelineTakes(n.graph().Set(id, pipeline.Missing))
	case d.Status != StateOK || len(d.Items) != 1 || !decode(d.Items[0].Value, &r) || !r.Status.Final():
		return false
	default:
		n.setFinal(id, r.Status)
		doneDate(n, id, r)
	}
	return true
}

// lookBefore tells of an open job, which is cancelled if one that it needs is: what is not
// known of these is read first.
func (n *Node) lookBefore(id string, l *living, fn func(found)) {
	unread := n.graph().Unread(id, false)
	if len(unread) > 0 && !l.rec.Cancelled {
		n.readBefore(id, unread, fn)
		return
	}
	n.foundOpen(id, l, func(f found) {
		if n.graph().Cancelled(id) {
			f.rec.Status = Cancelled
		}
		fn(f)
	})
}

// readBefore reads the ends that a job's state rests on, and looks again.
func (n *Node) readBefore(id string, unread []string, fn func(found)) {
	left, failed := len(unread), false
	for _, p := range unread {
		n.read(p, func(d StateDone) {
			failed = !n.endRead(p, d) || failed
			if left--; left > 0 {
				return
			}
			if failed {
				fn(found{})
				return
			}
			n.look(id, fn)
		})
	}
}

// pathsTick brings up to date what the jobs behind others ask of those here: the highest
// urgency of all that need a job, and when it has to be over for them to be in time.
func (n *Node) pathsTick() {
	o := n.owner
	if n.now.Sub(o.pathsAt) < pathsEvery || !n.graph().Some() {
		return
	}
	o.pathsAt = n.now
	paths, circle := n.graph().Paths(n.pathTask)
	if len(circle) > 0 {
		n.complain("record", openPrefix+circle[0], "jobs need each other: "+strings.Join(circle, ", "))
	}
	for id := range o.paths {
		if j := o.jobs[id]; j != nil && paths[id] == (pipeline.Path{}) {
			n.onPath(j, pipeline.Path{})
		}
	}
	for id, p := range paths {
		if j := o.jobs[id]; j != nil {
			n.onPath(j, p)
		}
	}
	o.paths = paths
}

// onPath gives a job what those behind it ask.
func (n *Node) onPath(j *job, p pipeline.Path) {
	j.path = p
	if !j.raised {
		j.own = j.Urgency
	}
	if u := max(j.own, Urgency(p.Urgency)); u != j.Urgency {
		j.Urgency, j.rankVer = u, -1
	}
	j.raised = j.Urgency != j.own
}

// pathTask is an open job as the paths see it.
func (n *Node) pathTask(id string) (pipeline.Task, bool) {
	l, open := n.users.mirror.open[id]
	if !open || l.rec.Cancelled {
		return pipeline.Task{}, false
	}
	t := pipeline.Task{Urgency: l.rec.Urgency, Run: Seconds(l.rec.Expected)}
	if l.rec.Due > 0 {
		t.Due = time.UnixMilli(l.rec.At).Add(Seconds(l.rec.Due))
	}
	if e := n.errs[l.rec.Workload]; e != nil {
		t.Run = time.Duration(float64(t.Run) * e.ratio)
	}
	return t, true
}

// waitsFor names some of what a job waits for, with how many it is.
func (n *Node) waitsFor(id string) string {
	names := n.graph().Waits(id)
	text := strings.Join(names[:min(len(names), waitsTold)], ", ")
	if len(names) > waitsTold {
		text += fmt.Sprintf(" and %d others", len(names)-waitsTold)
	}
	return text
}

// HoldsStatus is a job for which jobs here wait, how many, and what is known of it.
type HoldsStatus struct {
	Job   string `json:"job"`
	Jobs  int    `json:"jobs"`
	State string `json:"state"`
}

// holdsTold bounds the jobs in a status that others wait for.
const holdsTold = 10

// holdsStatus counts the jobs here that wait for others, and tells for which most of them
// do, themselves not waiting.
func (n *Node) holdsStatus() (waiting int, holds []HoldsStatus) {
	count := map[string]int{}
	for id, j := range n.owner.jobs {
		if !j.waits || j.cancelled {
			continue
		}
		waiting++
		for _, p := range n.graph().Waits(id) {
			if n.graph().Released(p) {
				count[p]++
			}
		}
	}
	for _, p := range sortedKeys(count) {
		h := HoldsStatus{Job: p, Jobs: count[p], State: "unknown"}
		if _, open := n.users.mirror.open[p]; open {
			h.State = n.known(p, Queued).State
		}
		holds = append(holds, h)
	}
	slices.SortStableFunc(holds, func(a, b HoldsStatus) int { return cmp.Compare(b.Jobs, a.Jobs) })
	return waiting, holds[:min(len(holds), holdsTold)]
}
