package core

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"

	"github.com/micahill/micahill/internal/bounds"
)

// forms.go has the records of tasks go over to fewer tasks a record before the state
// service lowers its limit of values. The version before numbers its records by the
// limit of now and can't read others, so nothing changes until no controller of that
// version can come back. Each controller that knows parts says so in a record of its
// own, which outlives it; when all have, which stays true for ever, the leader writes
// formKey, and from then on records stand as parts. What stood before is read, and never
// written again: see docs/design.md, "Two versions, and lower limits".

const (
	formKey    = "ctl/form"
	formPrefix = "ctl/form/"
	// partMark is what the names of parts begin with, after the job's.
	partMark = "s"
)

// formRecord says how many tasks share a part; in a controller's own record it only
// says that it knows parts.
type formRecord struct {
	Tasks int `msgpack:"n"`
}

// taskForm is how a job's tasks are divided among records: so many share one, which is
// numbered alone, or is a part whose name says how many.
type taskForm struct {
	per  int
	part bool
}

func (f taskForm) name(k int) string {
	if !f.part {
		return strconv.Itoa(k)
	}
	return fmt.Sprintf("%s%d.%d", partMark, f.per, k)
}

func (f taskForm) key(id string, k int) string { return taskPrefix + id + "/" + f.name(k) }

// presentBytes is the limit of values by which records without parts are numbered.
func (s *Settings) presentBytes() int { return max(s.ValueBytes, s.PresentValueBytes) }

// numbered is the form without parts.
func (s *Settings) numbered() taskForm { return taskForm{per: chunkTasks(s.presentBytes())} }

// taskForm is the form in which records of tasks are written now.
func (n *Node) taskForm() taskForm {
	if n.sess.form.per > 0 {
		return n.sess.form
	}
	return n.set.numbered()
}

// formOf reads the form of a record of tasks and its number from its key.
func (n *Node) formOf(key string) (f taskForm, k int, ok bool) {
	name := key[strings.LastIndexByte(key, '/')+1:]
	f = n.set.numbered()
	if part, is := strings.CutPrefix(name, partMark); is {
		per, rest, _ := strings.Cut(part, ".")
		f.part = true
		f.per, _ = strconv.Atoi(per)
		name = rest
	}
	k, err := strconv.Atoi(name)
	ok = err == nil && k >= 0 && f.per > 0 && key[strings.LastIndexByte(key, '/')+1:] == f.name(k)
	return f, k, ok
}

// formItem takes in what ctl/ says of forms. It is never taken back.
func formItem(n *Node, it Item) {
	var r formRecord
	switch {
	case it.Removed:
	case it.Key != formKey:
		n.sess.forms[strings.TrimPrefix(it.Key, formPrefix)] = true
	case !decode(it.Value, &r) || r.Tasks <= 0:
		n.complain("record", it.Key, "it can't be read")
	default:
		n.sess.formStamp = it.Stamp
		learnForm(n, taskForm{r.Tasks, true})
	}
}

// learnForm goes over to a form if it is finer than the one that counts: one that has
// come to count once counts for all, and stays.
func learnForm(n *Node, f taskForm) {
	if !f.part || f.per >= n.taskForm().per && n.taskForm().part {
		return
	}
	n.sess.form = f
	n.info("records of tasks are parts", "tasks", f.per)
	if n.owner == nil {
		return
	}
	for _, j := range n.owner.jobs {
		j.takeForm(f)
	}
}

// formCheck says that this controller knows parts, where they will be needed, and as the
// leader that all do.
func formCheck(n *Node) {
	s := &n.sess
	wanted := chunkTasks(n.set.ValueBytes)
	if s.forming || !s.loaded || s.grant == 0 || wanted >= n.taskForm().per {
		return
	}
	op := StateOp{Kind: OpTxn, Prio: PrioSession}
	rec := encode(formRecord{Tasks: wanted})
	switch {
	case !s.forms[n.set.Host]:
		key := formPrefix + n.set.Host
		op.When = []Cond{{key, 0}}
		op.Apply = []Change{{Key: key, Value: rec}}
	case s.lowered && n.owner != nil:
		op.When = append(n.shareConds(""), Cond{formKey, s.formStamp})
		op.Apply = []Change{{Key: formKey, Value: rec}}
	case n.leader != nil && allKnowParts(n):
		op.When = []Cond{{leadKey, n.leader.stamp}, {formKey, s.formStamp}}
		op.Apply = []Change{{Key: formKey, Value: rec}}
	default:
		return
	}
	s.forming = true
	n.ask(op, func(StateDone) {
		// The watch brings it, whoever wrote it.
		n.after(n.jitter(retryPause), func() {
			s.forming = false
			formCheck(n)
		})
	})
}

// probeKey holds a value between the limits, where it was ever asked for.
const probeKey = "form/probe"

// probeLimit finds out whether the state service has lowered its limit of values, which
// it does only when the upgrade is over: a controller may have been cut off since it was
// replaced, and has not said so. A record that was called malformed may be so for another
// reason; a plain text that is too large for the limit to come is not.
func probeLimit(n *Node) {
	s := &n.sess
	text := encode(strings.Repeat("x", n.set.ValueBytes))
	if size, err := bounds.JSON(text); err != nil || size > n.set.presentBytes() || s.lowered || s.probing || n.taskForm().part {
		return
	}
	s.probing = true
	n.ask(StateOp{Kind: OpTxn, Prio: PrioStart, Apply: []Change{{Key: probeKey, Value: text}}}, func(d StateDone) {
		s.lowered = d.Status == StateBad
		n.after(defectPause, func() { s.probing = false })
		formCheck(n)
	})
}

// allKnowParts says that every controller of the deployment has said that it knows parts.
// Its process of the version before is over by then and never comes back.
func allKnowParts(n *Node) bool {
	for _, h := range n.set.Peers {
		if !n.sess.forms[h] {
			return false
		}
	}
	return n.sess.forms[n.set.Host]
}

// takeForm divides the job's tasks anew. What is durable stays so where it stands; what
// is not, or perhaps is not, has to be written in the new form.
func (j *job) takeForm(f taskForm) {
	if f == j.taskForm {
		return
	}
	old, oldForm := j.chunks, j.taskForm
	j.taskForm, j.chunks = f, map[int]*chunk{}
	for _, k := range sortedKeys(old) {
		c := old[k]
		if c.stamp != 0 || c.busy {
			j.former = append(j.former, oldForm.key(j.ID, k))
		}
		for i := k * oldForm.per; i < min((k+1)*oldForm.per, len(j.tasks)); i++ {
			t := &j.tasks[i]
			if t.ver == 0 {
				continue
			}
			x := j.former0(i, c.rank)
			if t.ver <= c.saved {
				t.ver = 1
				continue
			}
			x.ver, t.ver = 2, 2
			x.urgent, x.since = x.urgent || c.urgent || c.busy, c.since
			j.unsaved = true
		}
	}
}

// former0 is the chunk of a task whose state stands in a record of a former form.
func (j *job) former0(i int, rank uint64) *chunk {
	c := j.chunkOf(i)
	if c.ver == 0 {
		c.ver, c.saved, c.writing = 1, 1, 1
	}
	c.rank = max(c.rank, rank)
	return c
}

// firstRecords are conditions that nothing of a job's first tasks was ever written, in
// whatever form it may be by the time that they are judged.
func (n *Node) firstRecords(id string) []Cond {
	var out []Cond
	for _, f := range [...]taskForm{n.set.numbered(), n.taskForm(), {chunkTasks(n.set.ValueBytes), true}} {
		c := Cond{f.key(id, 0), 0}
		if f.part && !n.taskForm().part && f.per >= n.taskForm().per {
			// It never comes to that.
			continue
		}
		if !slices.Contains(out, c) {
			out = append(out, c)
		}
	}
	return out
}

// byForm orders records of tasks: those that count before others come first.
func (n *Node) byForm(a, b Item) int {
	rank := func(it Item) int {
		if f, _, ok := n.formOf(it.Key); ok && f.part {
			return f.per
		}
		return math.MaxInt
	}
	return cmp.Compare(rank(a), rank(b))
}
