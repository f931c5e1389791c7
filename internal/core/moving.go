package core

import (
	"slices"
	"time"

	"github.com/micahill/micahill/internal/moves"
)

// moving.go says when moves are worth planning, and writes them down.

const (
	// movesAfter is how long a task must have waited and fitted nowhere before moves are
	// planned for it: ends and starts follow one another. movesRetry separates two tries
	// for one job.
	movesAfter = 1500 * time.Millisecond
	movesRetry = 3 * time.Second
	// movesPatience is what waiting may cost where neither renting nor an end is in sight.
	movesPatience = 2 * time.Minute
	// largePart is the part of a machine that a task must need, in one dimension, for
	// room in pieces to be of no use to it.
	largePart = 0.25
	// movesGap separates two writes of moves, times the owners: all of them together
	// make no more than one change in this time. movesLazy is how long what only ends
	// a move may wait.
	movesGap  = 2 * time.Second
	movesLazy = 10 * time.Second
	// movesLog is how often the log is told of moves under way.
	movesLog = 30 * time.Second
)

// misfit is a job of which a task waits and fits nowhere, though the pieces would do.
type misfit struct {
	since, tried time.Time
}

// planMoves looks for moves for the first job in turn that needs them.
func planMoves(n *Node, mv *moving) {
	o := n.owner
	if n.now.Sub(mv.told) >= movesLog && len(mv.book.Entries()) > 0 {
		mv.told = n.now
		t := mv.book.Tally
		n.info("moves", "under way", len(mv.book.Entries()), "planned", t.Begun, "moved", t.Moved, "dropped", t.Dropped, "longest down", t.Longest.Round(time.Millisecond))
	}
	found := map[string]*misfit{}
	// Of a long queue of alike jobs only the first looks at every machine.
	alike := map[shape]bool{}
	for id, j := range o.jobs {
		if !waitsForRoom(n, mv, j) {
			continue
		}
		in, known := alike[j.shape()]
		if own := j.SamePlace || j.Apart; own || !known {
			in = isMisfit(n, j)
			if !own {
				alike[j.shape()] = in
			}
		}
		if !in && (mv.misfits[id] == nil || mv.book.For(id) == 0) {
			continue
		}
		if found[id] = mv.misfits[id]; found[id] == nil {
			found[id] = &misfit{since: n.now}
		}
	}
	mv.misfits = found
	needHosts(n, mv)
	if len(found) == 0 {
		emptyFor(n, mv)
		return
	}
	for _, j := range n.order() {
		x := found[j.ID]
		if x == nil || mv.book.For(j.ID) >= j.pending() || n.now.Sub(x.since) < movesAfter || !x.tried.IsZero() && n.now.Sub(x.tried) < movesRetry {
			continue
		}
		if rec := mv.recs[j.Team]; rec == nil || rec.busy || len(mv.book.Fresh(j.Team)) > 0 || writeAt(n, mv).After(n.now) {
			// The next plan would wait for its write, holding places.
			continue
		}
		x.tried = n.now
		planFor(n, mv, j)
		return
	}
}

// waitsForRoom says that a task of j waits which moves could help: it is large for some
// machine, and has no place held.
func waitsForRoom(n *Node, mv *moving, j *job) bool {
	if j.Gang || j.guest != "" || n.triable(j) == 0 || !n.withinLimit(j) {
		return false
	}
	if j.pending() <= mv.book.For(j.ID) && mv.misfits[j.ID] == nil {
		return false
	}
	for _, f := range n.types {
		if j.Need.Fits(f.Size) && isLarge(j.Need, f.Size) {
			return true
		}
	}
	return false
}

// isMisfit says that a task of j fits nowhere as it is, and that there is enough room for
// it in pieces.
func isMisfit(n *Node, j *job) bool {
	var sum Resources
	large := false
	for _, m := range n.owner.byID {
		if !n.usable(m) || !j.allows(m.flavour, m.zone, m.spot) || !j.zoneOK(m.zone) || !j.Need.Fits(m.size) {
			continue
		}
		free := m.free()
		if j.Need.Fits(free) {
			return false
		}
		large = large || isLarge(j.Need, m.size)
		sum = sum.Plus(Resources{CPU: max(0, free.CPU), GPU: max(0, free.GPU), Memory: max(0, free.Memory)}, 1)
	}
	return large && j.Need.Fits(sum)
}

func isLarge(need, size Resources) bool {
	return need.CPU >= largePart*size.CPU || need.Memory >= largePart*size.Memory || size.GPU > 0 && need.GPU >= largePart*size.GPU
}

// planFor looks for moves that make room for a task of j, and begins them.
func planFor(n *Node, mv *moving, j *job) {
	p := problemFor(n, mv, j)
	plan, ok := moves.Find(p)
	if !ok {
		n.debug("no moves", "job", j.ID, "dearest", p.Dearest)
		return
	}
	beginPlan(n, mv, j.Team, p, plan)
}

// beginPlan takes up a plan that the planner has found.
func beginPlan(n *Node, mv *moving, team string, p *moves.Problem, plan moves.Plan) {
	var tries []uint64
	for _, m := range plan.Moves {
		_, t := replicaOf(n, m.Job, m.Index)
		tries = append(tries, t.try)
	}
	why := mv.book.Begin(n.now, team, &p.Want, plan, p.Dearest, tries, moves.Limits{
		Bytes: n.moveBytes(), Part: n.set.Product.MovePart,
		Kind: func(host string) (string, int) {
			m := n.owner.machines[host]
			if m == nil {
				return "", 0
			}
			k, count := kind{m.flavour, m.zone, m.spot}, 0
			for _, o := range n.owner.byID {
				if (kind{o.flavour, o.zone, o.spot}) == k {
					count++
				}
			}
			return kindName(k), count
		},
	})
	if why != "" {
		n.debug("moves are not begun", "for", p.Want.Job, "why", why)
		return
	}
	n.info("moves planned", "for", p.Want.Job, "machine", plan.Host, "moves", len(plan.Moves), "cost", plan.Cost, "instead of", p.Dearest)
	holdPlaces(n, mv)
}

func kindName(k kind) string {
	name := k.flavour + "/" + k.zone
	if k.spot {
		name += "/spot"
	}
	return name
}

// problemFor is what the planner is asked for a task of j.
func problemFor(n *Node, mv *moving, j *job) *moves.Problem {
	p, hosts := planRoom(n, mv, j)
	p.Dearest = dearest(n, j)
	p.Want = moves.Want{Job: j.ID, Need: j.Need, Image: j.Image, ImageGB: j.ImageGB, Allowed: func(h int) bool {
		m := hosts[h]
		return j.allows(m.flavour, m.zone, m.spot) && j.zoneOK(m.zone) && m.id != j.avoided() && !m.keptFrom(j)
	}}
	return p
}

// planRoom is the hosts there are, and the replicas that may be moved for a job.
func planRoom(n *Node, mv *moving, j *job) (*moves.Problem, []*machine) {
	o := n.owner
	p := &moves.Problem{Most: moves.MovesMost}
	var hosts []*machine
	place := map[*machine]int{}
	for _, m := range o.byID {
		if !n.usable(m) {
			continue
		}
		// One that is being retired is room as well: replicas on it don't end by
		// themselves, and work that waits in vain is not to wait beside it.
		h := moves.Host{
			ID: m.id, Kind: kindName(kind{m.flavour, m.zone, m.spot}), Size: m.size, Free: m.free(),
			Target: !m.keptFrom(j), Images: map[string]bool{}, Pull: n.pulls(m),
		}
		for name, im := range m.images {
			if im.cached {
				h.Images[name] = true
			}
		}
		place[m] = len(hosts)
		hosts, p.Hosts = append(hosts, m), append(p.Hosts, h)
	}
	// A job's replicas in one zone may go to the same machines.
	type like struct{ job, zone string }
	allowed := map[like]func(int) bool{}
	spares := map[string]bool{}
	for _, m := range hosts {
		for _, k := range sortedAttempts(m) {
			r, t := replicaOf(n, k.job, k.index)
			if r == nil || !t.isRunning() || t.stop != stopNone || !r.durable(k.index) || !mv.book.Rested(n.now, k.job, k.index) {
				continue
			}
			can, known := spares[k.job]
			if !known {
				up, of := moveFacts{n}.Up(k.job)
				can = r != j && (of > 1 || yields(n, r, j)) && (of == 1 || 2*(up-1) >= of)
				spares[k.job] = can
			}
			if !can {
				continue
			}
			key := like{k.job, m.zone}
			if allowed[key] == nil {
				allowed[key] = allowedFor(r, m.zone, hosts)
			}
			x := moves.Replica{Job: k.job, Index: k.index, Host: place[m], Need: r.Need, Image: r.Image, ImageGB: r.ImageGB, Movable: true, Allowed: allowed[key]}
			if r.SaveEvery > 0 {
				x.Loss = r.SaveCost
			}
			p.Replicas = append(p.Replicas, x)
		}
	}
	return p, hosts
}

// allowedFor says where a replica of j that is in a zone may go, given j's other tasks.
func allowedFor(j *job, zone string, hosts []*machine) func(int) bool {
	zoneOK := func(to string) bool {
		switch {
		case to == zone:
			return true
		case j.SamePlace && j.live > 1:
			return false
		}
		return !j.Apart || j.zoneLive[""] == 0 && j.zoneLive[to] < (len(j.tasks)+1)/2
	}
	return func(h int) bool {
		m := hosts[h]
		return j.allows(m.flavour, m.zone, m.spot) && zoneOK(m.zone) && !m.keptFrom(j)
	}
}

// dearest is what moves for a task of j may cost: the time that renting would take, with
// the fetch, or until something ends, whichever is shorter.
func dearest(n *Node, j *job) time.Duration {
	least := movesPatience
	v := n.owner.view
	for _, name := range sortedKeys(n.types) {
		f := n.types[name]
		if !j.Need.Fits(f.Size) {
			continue
		}
		for _, z := range f.Zones {
			for _, spot := range [...]bool{true, false} {
				k := kind{name, z, spot}
				if !j.allows(name, z, spot) || !j.zoneOK(z) || n.owner.stuck[k] || v == nil || v.blocked[k].After(n.now) {
					continue
				}
				least = min(least, n.readyIn(k, 0)+pull(&f, j))
			}
		}
	}
	for r := range n.comingFor(j) {
		if f := n.types[r.flavour]; j.zoneOK(r.zone) && j.Need.Fits(f.Size) {
			least = min(least, n.readyIn(r.kind, n.now.Sub(r.since))+pull(&f, j))
		}
	}
	for _, x := range n.futureRoom().vs {
		if !j.allows(x.k.flavour, x.k.zone, x.k.spot) || !j.zoneOK(x.k.zone) {
			continue
		}
		if at, ok := x.earliest(j.Need, false, n.keepsOff(j)); ok {
			least = min(least, at)
		}
	}
	return least
}

// writeAt is when moves may be written next.
func writeAt(n *Node, mv *moving) time.Time {
	owners := 0
	for _, s := range n.sess.book.Shares() {
		if len(s.Teams) > 0 {
			owners++
		}
	}
	return mv.wrote.Add(movesGap * time.Duration(max(1, owners)))
}

// writeMoves writes what is due: new plans at once, ends of moves when there is time. A
// plan's record names the stamps of the open records of all its jobs, so that none is
// moved that was cancelled meanwhile, the shares of their teams, and its own.
func writeMoves(n *Node, mv *moving) {
	if writeAt(n, mv).After(n.now) {
		return
	}
	var best string
	var bestSince time.Time
	bestFresh := false
	for _, team := range mv.book.Teams() {
		since, fresh, due := mv.book.Due(team)
		rec := mv.recs[team]
		if rec == nil || rec.busy || !due || !fresh && n.now.Sub(since) < movesLazy {
			continue
		}
		if _, ver := mv.book.Write(team); ver == rec.refused {
			continue
		}
		if best == "" || fresh && !bestFresh || fresh == bestFresh && since.Before(bestSince) {
			best, bestSince, bestFresh = team, since, fresh
		}
	}
	if best == "" {
		return
	}
	mv.wrote = n.now
	writeMove(n, mv, best)
}

func writeMove(n *Node, mv *moving, team string) {
	rec := mv.recs[team]
	val, ver := mv.book.Write(team)
	key := moveKey(team)
	op := StateOp{Kind: OpTxn, Prio: PrioLazy}
	teams := []string{team}
	for _, e := range mv.book.Fresh(team) {
		op.Prio = PrioStart
		var jobs []string
		if !isGift(e.For) {
			jobs = append(jobs, e.For)
		}
		for i := range e.Steps {
			jobs = append(jobs, e.Steps[i].Job)
		}
		for _, id := range jobs {
			j := n.owner.jobs[id]
			if j == nil {
				// Over or gone: nothing of this plan is to be done.
				mv.book.Refused(team, n.now)
				return
			}
			teams = append(teams, j.Team)
			if c := (Cond{openPrefix + id, j.stamp}); !slices.Contains(op.When, c) {
				op.When = append(op.When, c)
			}
		}
	}
	op.When = append(op.When, n.shareConds(teams...)...)
	op.When = append(op.When, Cond{key, rec.stamp})
	op.Apply = []Change{{Key: key, Value: val}}
	if val == nil && rec.stamp == 0 {
		mv.book.Saved(team, ver)
		return
	}
	rec.busy = true
	gen := n.owner.gen
	n.ask(op, func(d StateDone) {
		if n.owner == nil || n.owner.gen != gen || mv.recs[team] != rec {
			return
		}
		rec.busy = false
		switch d.Status {
		case StateOK:
			rec.stamp = d.Rev
			if val == nil {
				rec.stamp = 0
			}
			mv.book.Saved(team, ver)
			lookAtMoves(n, mv)
		case StateConflict:
			if !slices.Contains(d.Failed, key) {
				// A job or a share is not what it was: plan anew, if it is still needed.
				mv.book.Refused(team, n.now)
				holdPlaces(n, mv)
				return
			}
			rereadMove(n, mv, team, rec)
		case StateUnknown:
			rereadMove(n, mv, team, rec)
		case StateBad:
			mv.book.Refused(team, n.now)
			_, rec.refused = mv.book.Write(team)
			holdPlaces(n, mv)
		}
	})
}

// rereadMove reads a team's record after a write of ours that may have been applied, or
// may be later: what stands there was written under this owner's share. It is written
// anew on top of it.
func rereadMove(n *Node, mv *moving, team string, rec *moveRec) {
	rec.busy = true
	gen := n.owner.gen
	n.ask(StateOp{Kind: OpGet, Prio: PrioStart, Key: moveKey(team)}, func(d StateDone) {
		if n.owner == nil || n.owner.gen != gen || mv.recs[team] != rec {
			return
		}
		switch d.Status {
		case StateOK:
			rec.stamp, rec.busy = d.Items[0].Stamp, false
		case StateNotFound:
			rec.stamp, rec.busy = 0, false
		default:
			n.after(n.jitter(retryPause), func() {
				if n.owner != nil && n.owner.gen == gen && mv.recs[team] == rec {
					rereadMove(n, mv, team, rec)
				}
			})
			return
		}
		mv.book.Unsure(team, n.now)
	})
}
