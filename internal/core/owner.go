package core

import (
	"time"

	"github.com/micahill/micahill/internal/blame"
	"github.com/micahill/micahill/internal/division"
	"github.com/micahill/micahill/internal/ownership"
	"github.com/micahill/micahill/internal/pipeline"
)

const (
	// ownerPeriod is how often the owner looks round without being asked.
	ownerPeriod = 500 * time.Millisecond
	// placeEvery separates two rounds of placing. Ends and arrivals come by
	// the dozen a second in a large pool; a round looks at every machine, and
	// what it places shares a write.
	placeEvery = 150 * time.Millisecond
	// raiseEvery bounds how often an owner raises its epoch by itself.
	raiseEvery = 3 * time.Second
	// saveEvery separates two looks at what is to be written, which go through all
	// jobs, but after a round of placing: hundreds of reports come in a second.
	saveEvery = 20 * time.Millisecond
)

// owner runs the teams and machines of the shares that this controller holds.
type owner struct {
	since   time.Time
	ready   bool
	readyAt time.Time
	gen     int
	// teams are those of the shares that are held; see tenure.go.
	teams  map[string]*teamHeld
	shares map[string]bool
	// restSince is since when one of the shares has the machines that no lot names.
	restSince time.Time
	// loading: records of teams are being read.
	loading  bool
	jobs     map[string]*job
	machines map[string]*machine
	// afar are machines of other owners on which attempts of these jobs are, and
	// registry the account of others' attempts on the machines here; see remote.go.
	afar     map[string]*machine
	registry ownership.Registry
	remote   remoteTimes
	dates    ownerDates
	// higher are machines that have seen an epoch above the one they are owned
	// under, and raises counts the lots written to raise epochs.
	higher map[string]time.Time
	raises int
	// gathered is when machines were last gathered; see turns.go.
	gathered time.Time
	// byID are the machines in the order of their names, and dirty those for
	// which orders may be due.
	byID []*machine
	// past is the newest that was heard of machines that were dropped; see past.go.
	past  map[string]lastWord
	dirty []*machine
	// deafBack is when a machine that hears nothing was last given back.
	deafBack time.Time
	// heirs are machines of a former owner that are still to be contacted, and
	// contacts counts the questions under way.
	heirs    []*machine
	contacts int
	used     map[string]Resources
	// blame tells faulty machines from jobs that fail everywhere.
	blame blame.Book
	// inFlight counts the writes under way, and ahead their changes.
	inFlight, ahead int
	// startsFirst: of what is to be written starts went before ends last time.
	startsFirst bool
	// lazy counts the writes under way for which no start waits.
	lazy  int
	wake  time.Time
	swept time.Time
	// place: something has changed that may let tasks be placed, and hurry:
	// for one whose wait is bounded. placed is when that was last done.
	place, hurry bool
	placed       time.Time
	// roundTook is how long the step with the last round of placing took.
	roundTook time.Duration
	// saved is when what is to be written was last looked at.
	saved time.Time
	// prey is where urgent work may take the place of other work.
	prey map[preyKey]*prey
	// view is the leader's knowledge of this owner's machines; wants and gone
	// are what is asked of it.
	view    *view
	planned time.Time
	// pass is a look at the fleet that is under way, to be carried on at passAt,
	// and wantsSeq the leader's news that it rests on.
	pass     *pass
	passAt   time.Time
	wantsSeq uint64
	// retired is when dear machines were last chosen to be retired.
	retired time.Time
	// stuck are the kinds of which machines have stopped coming up, and neverUp
	// counts the machines that were given up for it, and what they cost.
	stuck     map[kind]bool
	neverUp   int
	neverCost float64
	wants     map[kind]int
	gone      []string
	// spare are idle machines that neither what waits nor what is expected needs, the
	// dearest first: others may have them.
	spare []string
	// release is a team that the leader wants to move, and when it last said so.
	release   division.Ask
	releaseAt time.Time
	raised    time.Time
	// toldLost is when the log last told of machines that are silent together.
	toldLost time.Time
	// orphans are task/ records whose job is over.
	orphans []string
	// arrivals remember when work of each team and workload came, for warm room.
	arrivals map[loadKey][]arrival
	// packs is what is usual on machines with GPUs, while models are on.
	packs     *packs
	roomsTold time.Time
	// workloads holds the newest job of each workload.
	workloads map[string]*workload
	// waiting is, for each workload with tasks that wait for a place, when the
	// first of them should start at the latest.
	waiting   map[string]time.Time
	told      time.Time
	toldLoads time.Time
	// warm is what machines held under a former owner; warmed is when a record
	// of that was last written, warming that one is under way, and warmFrom
	// and warmKey where the next begins.
	warm              map[string]map[string]float64
	warmed            time.Time
	warming           bool
	warmFrom, warmKey int
	// pathsAt is when the paths of pipelines were last looked at.
	pathsAt time.Time
	paths   map[string]pipeline.Path
	// turn says which machines the others are told of next.
	turn int
	// moves are replicas on the move; see models.go.
	moves *moving
}

type workload struct {
	spec *Spec
	last time.Time
}

type arrival struct {
	at    time.Time
	tasks int
	need  Resources
	spec  *Spec
}

// grace is H: how long an owner goes on answering its workers after its grant
// may have ended. A full lease, so that a long outage of the state service
// costs no work; a successor that reaches the workers needs not wait for it,
// because the higher epoch reaches them at once.
func (n *Node) grace() time.Duration { return n.set.Lease }

func (n *Node) dropOwner(why string) {
	if n.owner == nil {
		return
	}
	n.info("owner no more", "why", why)
	n.owner.endPass()
	if n.owner.packs != nil {
		n.emit(GPURooms{})
	}
	n.owner = nil
}

// ownerSees tells the owner at once of a change this node wrote itself, unless the
// picture is newer: its answer may come after the job was cancelled and over.
func (n *Node) ownerSees(it Item) {
	if n.owner != nil && it.Stamp > n.users.mirror.rev {
		n.openItem(it)
	}
}

func (n *Node) openItem(it Item) {
	o := n.owner
	id := jobID(it.Key, openPrefix)
	j := o.jobs[id]
	if it.Removed {
		if j != nil && j.elsewhere() {
			// Settled by the leader, who has heard from the peer.
			delete(o.jobs, id)
		}
		return
	}
	if j != nil && it.Stamp <= j.stamp {
		return
	}
	if _, ended := n.users.final[id]; ended && j == nil && n.users.final[id] == Done {
		return
	}
	var r openRecord
	if !decode(it.Value, &r) {
		n.complain("record", it.Key, "it can't be read")
		return
	}
	if bad := r.bad(); bad != "" {
		// Its job stays queued until somebody mends the record or cancels it.
		n.complain("record", it.Key, bad)
		return
	}
	if j == nil {
		// An earlier form kept nothing of a cancelled job but that it is one.
		held := o.teams[r.Team]
		if (!r.Cancelled || r.Team != "") && (held == nil || !held.ready) || !o.ready {
			// Another's, or it comes when the team's records have been read.
			return
		}
		spec := r.spec(id)
		if r.Cancelled {
			spec.Tasks = r.Tasks
		}
		// It has just come, and this clock is the one that its waits are judged by
		// here; another controller's may be a second off.
		j = n.newJob(spec, n.now, it.Stamp)
		if !r.Cancelled {
			k := loadKey{j.Team, j.Workload}
			o.arrivals[k] = append(o.arrivals[k], arrival{n.now, j.Tasks, j.Need, &j.Spec})
		}
		j.loaned(&r)
		promiseComes(n, j)
	}
	n.jobRecord(j, it.Stamp, &r)
	o.place = true
}

// newJob takes a job into the owner's books.
func (n *Node) newJob(spec Spec, at time.Time, stamp uint64) *job {
	o := n.owner
	j := newJob(spec, at, stamp, n.set.presentBytes())
	j.taskForm = n.taskForm()
	o.jobs[j.ID] = j
	if j.Workload != "" {
		n.debug("job", "job", j.ID, "workload", j.Workload, "tasks", j.Tasks, "due", j.Due, "image", j.Image, "age", n.now.Sub(j.at))
		o.workloads[j.Workload] = &workload{&j.Spec, n.now}
		o.hurry = o.hurry || n.waitBound(j.Workload) > 0
	}
	n.waitFor(j)
	return j
}

// jobRecord takes in a job's record in open/ as it stands now.
func (n *Node) jobRecord(j *job, stamp uint64, r *openRecord) {
	id := j.ID
	j.stamp = stamp
	j.loaned(r)
	promiseSeen(n, j, r)
	if r.Cancelled {
		// Whoever wrote that has written job/ with it.
		j.derived = false
	}
	if r.Cancelled && !j.cancelled {
		j.cancelled = true
		n.setFinal(id, Cancelled)
		for i := range j.tasks[:j.fresh] {
			if t := &j.tasks[i]; t.m != nil {
				t.stop = stopCancel
				n.mark(t.m)
			}
		}
	}
}

// attach makes the attempt of task i live on m.
func (n *Node) attach(j *job, i int, m *machine) {
	t := &j.tasks[i]
	t.m = m
	j.live++
	j.zoneLive[m.zone]++
	m.attempts[taskKey{j.ID, i}] = t
	m.used = m.used.Plus(j.Need, 1)
	u := n.owner.used[j.Team]
	n.owner.used[j.Team] = u.Plus(j.Need, 1)
}

// gone takes note of the proof that a live attempt is over.
func (n *Node) gone(j *job, i int, done bool) {
	t := &j.tasks[i]
	m := t.m
	if m == nil {
		return
	}
	o := n.owner
	delete(m.attempts, taskKey{j.ID, i})
	m.used = m.used.Plus(j.Need, -1)
	o.used[j.Team] = o.used[j.Team].Plus(j.Need, -1)
	j.live--
	j.zoneLive[m.zone]--
	if len(m.attempts) == 0 {
		m.idleSince = n.now
		m.used = Resources{}
		if m.afar {
			o.dropAfar(m)
		}
	}
	if t.isRunning() {
		j.running--
	}
	t.m, t.seen, t.started = nil, false, time.Time{}
	if t.stop == stopRelaunch {
		t.avoid = m.id
	}
	t.stop = stopNone
	if done {
		t.done = true
		j.done++
	} else if !j.cancelled {
		j.again = append(j.again, i)
	}
	j.touch(i, n.now, done && j.done == len(j.tasks))
	o.place = true
}

// ownerTick does what is due: sweep the machines, relaunch, place, write, and
// send orders.
func (n *Node) ownerTick() {
	o := n.owner
	if !o.ready {
		o.wake = n.now.Add(ownerPeriod)
		return
	}
	if n.now.Sub(o.swept) >= ownerPeriod {
		o.swept = n.now
		n.sweep()
		rankSweep(n)
		startsNothing(n)
		if checkEars(n); n.owner != o {
			return
		}
		n.relaunch()
		n.maybeRaise()
		movesTick(n)
		n.planFleet(true)
		n.tellPeers()
		askRemote(n)
		n.pathsTick()
		promisesTick(n)
		n.writeWarm()
		n.tellRooms()
		o.place = true
	}
	if o.pass != nil {
		n.planFleet(false)
	}
	if o.place && !n.now.Before(o.nextRound()) {
		o.place, o.hurry, o.placed = false, false, n.now
		n.placed = true
		n.placeAll()
		o.saved = time.Time{}
	}
	if n.now.Sub(o.saved) >= saveEvery {
		o.saved = n.now
		n.writeDue()
	}
	n.directAll()
	tellRemote(n)
	if o.remote.soon {
		askRemote(n)
	}
	o.wake = o.swept.Add(ownerPeriod)
	if next := o.saved.Add(saveEvery); o.saved != n.now && next.Before(o.wake) {
		o.wake = next
	}
	if next := o.nextRound(); o.place && next.Before(o.wake) {
		o.wake = next
	}
}

// nextRound is when tasks may be placed again. A round that took long leaves as
// much time and half of it again to others, however much work waits.
func (o *owner) nextRound() time.Time {
	gap := placeEvery
	if o.hurry {
		gap = 0
	}
	return o.placed.Add(max(gap, o.roundTook*5/2))
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
