package core

import (
	"slices"
	"time"

	"github.com/micahill/micahill/internal/division"
	"github.com/micahill/micahill/internal/ownership"
)

// tenure.go keeps the owner's books in step with the division: which teams and which
// machines are this controller's, by the records that it has read. What comes is taken
// up where it is, what goes is let go where it is; nothing else is disturbed.

// teamHeld is a team of this owner.
type teamHeld struct {
	// ready: its records have been read, since readyAt.
	ready   bool
	readyAt time.Time
	// term tells this time from others that the team was here.
	term int
	// away: it has been another's since it came, even if it is back by now. That other
	// has written of its jobs, so that what is in the books is not what stands there.
	away bool
}

// teamsAway notes which teams are another's as of the revision that ctl/ has just been
// brought to. One answer may tell of many: that a team went and that it came back.
func teamsAway(n *Node) {
	if n.owner == nil {
		return
	}
	for t, h := range n.owner.teams {
		s := n.sess.book.Team(t)
		h.away = h.away || s == nil || s.Host != n.set.Host || s.Nonce != n.life()
	}
}

// teamsReread does the same when ctl/ has been read anew and what happened in between
// is not told: only a share that has not been written since has kept its teams.
func teamsReread(n *Node, before *division.Book) {
	if n.owner == nil {
		return
	}
	for t, h := range n.owner.teams {
		was, is := before.Team(t), n.sess.book.Team(t)
		h.away = h.away || was == nil || is == nil || was.Stamp != is.Stamp
	}
}

// ownerCheck brings the owner's books in step with ctl/.
func (n *Node) ownerCheck() {
	s := &n.sess
	if !s.loaded {
		return
	}
	var held []*division.Share
	if s.grant != 0 {
		held = slices.DeleteFunc(s.book.Holds(n.set.Host, n.life()), func(x *division.Share) bool {
			return len(x.Teams) == 0 && !x.Rest && !s.book.Names(x.Name)
		})
	}
	if len(held) == 0 {
		n.dropOwner("no share")
		return
	}
	if n.owner == nil {
		n.owner = &owner{
			since: n.now, gen: int(n.id()),
			teams: map[string]*teamHeld{}, shares: map[string]bool{},
			jobs: map[string]*job{}, machines: map[string]*machine{}, afar: map[string]*machine{}, used: map[string]Resources{},
			higher: map[string]time.Time{}, arrivals: map[loadKey][]arrival{}, workloads: map[string]*workload{}, warm: map[string]map[string]float64{},
		}
		n.info("owner", "shares", shareNames(held))
		n.mirrorWatch()
	}
	syncMachines(n, held)
	syncTeams(n, held)
}

func shareNames(held []*division.Share) []string {
	var out []string
	for _, x := range held {
		out = append(out, x.Name)
	}
	return out
}

// syncTeams lets go of the teams that are another's now, and reads the records of
// those that have come.
func syncTeams(n *Node, held []*division.Share) {
	o := n.owner
	now := map[string]bool{}
	for _, x := range held {
		for _, t := range x.Teams {
			now[t] = n.sess.book.Team(t) == x
		}
	}
	for _, t := range sortedKeys(o.teams) {
		if !now[t] || o.teams[t].away {
			n.info("a team goes", "team", t)
			letTeamGo(n, t)
		}
	}
	for _, t := range sortedKeys(now) {
		if now[t] && o.teams[t] == nil {
			n.info("a team comes", "team", t)
			o.teams[t] = &teamHeld{term: int(n.id())}
		}
	}
	loadTeams(n)
}

// letTeamGo takes a team's jobs out of the books. What of them runs here goes on, in
// the care of this controller, until their new owner asks for it or it ends.
func letTeamGo(n *Node, team string) {
	o := n.owner
	delete(o.teams, team)
	to := ""
	if s := n.sess.book.Team(team); s != nil {
		to = s.Host
	}
	left := map[string]*machine{}
	for _, id := range sortedKeys(o.jobs) {
		j := o.jobs[id]
		if j.Team != team {
			continue
		}
		for i := range j.tasks[:j.fresh] {
			t := &j.tasks[i]
			m := t.m
			if m == nil {
				continue
			}
			delete(m.attempts, taskKey{id, i})
			m.used = m.used.Plus(j.Need, -1)
			if m.afar {
				o.dropAfar(m)
				continue
			}
			// It may run or yet begin, and takes room. Whoever owns the job now reads
			// of it and asks. What was never told to anybody is nowhere.
			a := ownership.Attempt{Job: id, Index: i, Try: t.try}
			o.registry.Ask(n.now, to, ownership.Ask{Machine: m.id, Attempts: []ownership.Asked{{Attempt: a}}})
			if !t.sent {
				o.registry.Nowhere(n.now, m.id, a)
			}
			left[m.id] = m
		}
		delete(o.jobs, id)
		o.blame.JobOver(id)
	}
	// Only now: what belongs to a job in the books is not counted as another's.
	for _, id := range sortedKeys(left) {
		n.countForeign(left[id])
		n.mark(left[id])
	}
	delete(o.used, team)
	forgetMoves(n, team)
	delete(o.dates.books, team)
	for k := range o.arrivals {
		if k.team == team {
			delete(o.arrivals, k)
		}
	}
}

// syncMachines lets go of the machines that are another's now, takes up those that
// have come, and notes whose the others are.
func syncMachines(n *Node, held []*division.Share) {
	o := n.owner
	clear(o.shares)
	rest := false
	for _, x := range held {
		o.shares[x.Name] = true
		rest = rest || x.Rest
	}
	switch {
	case !rest:
		o.restSince = time.Time{}
	case o.restSince.IsZero():
		o.restSince = n.now
	}
	for _, m := range slices.Clone(o.byID) {
		x, mine := n.mine(m.id)
		switch {
		case !mine:
			letMachineGo(n, m)
		case x.Epoch != m.epoch:
			// It may have been another's in between, of which this one has read only
			// now: what was seen of it, and when its lease ends, count anew.
			m.epoch, m.former = x.Epoch, n.now.Add(n.former())
			if !m.leaseEnd.IsZero() {
				m.leaseEnd = later(m.leaseEnd, n.leaseAfter(m.former))
			}
			o.registry.Doubt(m.id)
			n.mark(m)
		}
	}
	for _, id := range sortedKeys(o.afar) {
		if _, mine := n.mine(id); mine {
			takeMachine(n, o.afar[id])
		}
	}
}

// letMachineGo forgets a machine that is another's now. The attempts of this owner's
// jobs on it stay there: its new owner is asked about them.
func letMachineGo(n *Node, m *machine) {
	o := n.owner
	o.forget(m)
	o.registry.Drop(m.id)
	delete(o.higher, m.id)
	if len(m.attempts) == 0 {
		return
	}
	a := n.afar(m.id)
	a.zone, a.flavour, a.spot = m.zone, m.flavour, m.spot
	for _, k := range sortedAttempts(m) {
		t := m.attempts[k]
		if !t.sent {
			// Never told to anybody, so it is nowhere.
			n.gone(o.jobs[k.job], k.index, false)
			continue
		}
		t.m = a
		a.attempts[k] = t
		a.used = a.used.Plus(o.jobs[k.job].Need, 1)
	}
	o.dropAfar(a)
	o.remote.soon = true
}

// takeMachine takes up a machine on which this owner's jobs have run under another.
func takeMachine(n *Node, a *machine) {
	o := n.owner
	delete(o.afar, a.id)
	a.forgotten = true
	m := n.machine(a.id)
	if m.flavour == "" && a.flavour != "" {
		m.zone, m.flavour, m.spot = a.zone, a.flavour, a.spot
		if f, ok := n.types[a.flavour]; ok {
			m.size, m.disk = f.Size, f.DiskGB
		}
	}
	for _, k := range sortedAttempts(a) {
		t := a.attempts[k]
		j := o.jobs[k.job]
		j.zoneLive[a.zone]--
		j.zoneLive[m.zone]++
		t.m, t.sent = m, true
		m.attempts[k] = t
		m.used = m.used.Plus(j.Need, 1)
	}
	// Whoever had it may go on answering it for a while.
	m.leaseEnd = later(m.leaseEnd, n.leaseAfter(m.former))
	n.rehear(m)
	if h := n.heirloom[m.id]; n.now.Sub(h.heard) < hostMemory && m.addr == "" {
		n.describe(m, h.Addr, h.Flavour, h.Zone, h.Spot)
	}
	o.heirs = append(o.heirs, m)
}

// afar is a machine of another owner, as far as this one's jobs have attempts there.
func (n *Node) afar(id string) *machine {
	a := n.owner.afar[id]
	if a == nil {
		a = &machine{id: id, afar: true, attempts: map[taskKey]*task{}, images: map[string]*image{}}
		if h, ok := n.heirloom[id]; ok {
			a.zone, a.flavour, a.spot = h.Zone, h.Flavour, h.Spot
		}
		n.owner.afar[id] = a
	}
	return a
}

// dropAfar forgets a machine of another owner when nothing of ours is on it.
func (o *owner) dropAfar(a *machine) {
	if len(a.attempts) == 0 {
		delete(o.afar, a.id)
		a.forgotten = true
	}
}

// machineOf is the machine that a record names, whoever owns it.
func (n *Node) machineOf(id string) *machine {
	if _, mine := n.mine(id); mine {
		return n.machine(id)
	}
	return n.afar(id)
}

// shareConds are what a write for these teams has among its conditions: that their
// shares are as this owner has read them. "" stands for any of its shares.
func (n *Node) shareConds(teams ...string) []Cond {
	var out []Cond
	for _, t := range teams {
		s := n.sess.book.Team(t)
		if s == nil || !n.owner.shares[s.Name] {
			for _, name := range sortedKeys(n.owner.shares) {
				if s = n.sess.book.Find(name); s != nil {
					break
				}
			}
		}
		if s == nil {
			// Nothing is held any more; the write is to fail.
			out = append(out, Cond{sharePrefix + n.set.Host, ^uint64(0)})
			continue
		}
		if c := (Cond{sharePrefix + s.Name, s.Stamp}); !slices.Contains(out, c) {
			out = append(out, c)
		}
	}
	return out
}

// loadTeams reads the records of teams that are not ready: first what is open, as of
// a moment after they came, then the tasks. Whoever had them before can write nothing
// in between: what it writes names its own share.
func loadTeams(n *Node) {
	o := n.owner
	if o.loading {
		return
	}
	teams := map[string]*teamHeld{}
	for t, h := range o.teams {
		if !h.ready {
			teams[t] = h
		}
	}
	if len(teams) == 0 && o.ready {
		return
	}
	o.loading = true
	began := n.now
	gen := o.gen
	var tasks, under []Item
	current := func() bool { return n.owner != nil && n.owner.gen == gen }
	var open, listTasks func()
	var listWarm func(from string)
	open = func() {
		n.freshen(func(ok bool) {
			switch {
			case !current():
			case !ok:
				n.after(n.jitter(retryPause), func() {
					if current() {
						open()
					}
				})
			default:
				listTasks()
			}
		})
	}
	listTasks = func() {
		readAll(n, taskPrefix, PrioSession, current, func(its []Item) {
			tasks = its
			readMoves(n, func(its []Item) {
				under = its
				if o.ready {
					teamsLoaded(n, teams, tasks, under, began)
				} else {
					listWarm("")
				}
			})
		})
	}
	// Images are no more than a help: without them it goes on as well.
	listWarm = func(from string) {
		n.ask(StateOp{Kind: OpList, Prio: PrioSession, Key: warmPrefix, From: from}, func(d StateDone) {
			if !current() {
				return
			}
			for _, it := range d.Items {
				n.warmItem(it)
			}
			if d.Status == StateOK && d.Truncated && len(d.Items) > 0 {
				listWarm(d.Items[len(d.Items)-1].Key)
				return
			}
			teamsLoaded(n, teams, tasks, under, began)
		})
	}
	open()
}

// readAll reads all that stands under a prefix, page by page and again until it is
// answered, as long as it is wanted, and gives it to then.
func readAll(n *Node, prefix string, prio Priority, wanted func() bool, then func([]Item)) {
	var got []Item
	var list func(from string)
	list = func(from string) {
		n.ask(StateOp{Kind: OpList, Prio: prio, Key: prefix, From: from}, func(d StateDone) {
			switch {
			case !wanted():
			case d.Status != StateOK:
				n.after(n.jitter(retryPause), func() {
					if wanted() {
						list(from)
					}
				})
			default:
				got = append(got, d.Items...)
				if d.Truncated && len(d.Items) > 0 {
					list(d.Items[len(d.Items)-1].Key)
					return
				}
				then(got)
			}
		})
	}
	list("")
}

// teamsLoaded restores the jobs of teams from what was read.
func teamsLoaded(n *Node, come map[string]*teamHeld, tasks, under []Item, began time.Time) {
	o := n.owner
	o.loading = false
	first := !o.ready
	// Some may have gone while their records were read, and others may have written
	// more of them, even if they are back by now.
	teams := slices.DeleteFunc(sortedKeys(come), func(t string) bool { return o.teams[t] != come[t] })
	restored := map[string]*job{}
	for _, it := range tasks {
		// Whoever wrote a part knew that all know parts.
		if f, _, ok := n.formOf(it.Key); ok {
			learnForm(n, f)
		}
	}
	for _, id := range sortedKeys(n.users.mirror.open) {
		l := n.users.mirror.open[id]
		if !slices.Contains(teams, l.rec.Team) && !(first && l.rec.Cancelled && l.rec.Team == "") || o.jobs[id] != nil {
			continue
		}
		if n.users.final[id] == Done {
			continue
		}
		if bad := l.rec.bad(); bad != "" {
			n.complain("record", openPrefix+id, bad)
			continue
		}
		spec := l.rec.spec(id)
		if l.rec.Cancelled {
			spec.Tasks = l.rec.Tasks
		}
		j := n.newJob(spec, time.UnixMilli(l.rec.At), l.stamp)
		restored[id] = j
		n.jobRecord(j, l.stamp, &l.rec)
	}
	attempts := 0
	slices.SortStableFunc(tasks, n.byForm)
	for _, it := range tasks {
		id := jobID(it.Key, taskPrefix)
		j := restored[id]
		if j == nil {
			if _, open := n.users.mirror.open[id]; first && !open {
				o.orphans = append(o.orphans, it.Key)
			}
			continue
		}
		var r chunkRecord
		if !decode(it.Value, &r) {
			n.complain("record", it.Key, "it can't be read")
			continue
		}
		n.restore(j, it, &r)
	}
	for _, id := range sortedKeys(restored) {
		n.settleRestored(restored[id])
		attempts += restored[id].live
	}
	for _, t := range teams {
		o.teams[t].ready, o.teams[t].readyAt = true, n.now
		promisesLoaded(n, t, restored)
	}
	restoreMoves(n, teams, under)
	o.place = true
	o.remote.soon = true
	for _, m := range o.byID {
		// What runs there may have been another's until now.
		n.rehear(m)
	}
	if first {
		o.ready, o.readyAt = true, n.now
		takeHeirloom(n)
	}
	n.info("owner ready", "teams", teams, "jobs", len(restored), "attempts", attempts, "machines", len(o.machines), "after", n.now.Sub(began))
	// Reach the machines at once, those with living attempts first: the epoch ends
	// what a former owner may still order, and their reports are the proof. Those
	// without are contacted as well, or they would stay with a former owner that has
	// lost the state service alone, for the whole of its grace.
	o.heirs = slices.Clone(o.byID)
	rankHeirs(n, o.heirs)
	n.contactHeirs()
	loadTeams(n)
}

// takeHeirloom takes up what other owners last told of machines that are this one's.
func takeHeirloom(n *Node) {
	for _, id := range sortedKeys(n.heirloom) {
		h := n.heirloom[id]
		if _, mine := n.mine(id); !mine || n.now.Sub(h.heard) >= hostMemory || n.returned[id] {
			continue
		}
		m := n.machine(id)
		n.describe(m, h.Addr, h.Flavour, h.Zone, h.Spot)
		for name, gb := range h.Images {
			m.images[name] = &image{gb: gb, last: n.now, cached: true}
		}
	}
}

// ownerReads brings the jobs in step with open/ after it has been read anew, since
// the watch was too far behind.
func ownerReads(n *Node) {
	o := n.owner
	if o == nil || !o.ready {
		return
	}
	open := n.users.mirror.open
	for _, id := range sortedKeys(o.jobs) {
		if l, there := open[id]; there {
			if l.stamp > o.jobs[id].stamp {
				n.jobRecord(o.jobs[id], l.stamp, &l.rec)
			}
		} else if o.jobs[id].elsewhere() {
			delete(o.jobs, id)
		}
	}
	for _, id := range sortedKeys(open) {
		if l := open[id]; o.jobs[id] == nil {
			n.openItem(Item{Key: openPrefix + id, Value: encode(l.rec), Stamp: l.stamp})
		}
	}
}

// IsOwner says whether this node runs jobs now.
func (n *Node) IsOwner() bool { return n.owner != nil && n.owner.ready && len(n.owner.teams) > 0 }
