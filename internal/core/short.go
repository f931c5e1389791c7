package core

import (
	"slices"
	"time"
)

// short.go finds work that waits while another owner has room for it. A machine belongs
// whole to one owner, and nothing is started across owners: with few machines an owner may
// have none that a job fits, or none with room, while another's stands half empty, and the
// cloud has no more. Spare machines are handed over (trade.go) and others are rented
// (rent.go); where neither helps for a while, the leader has the job's team go to the owner
// that has room (internal/division). News only says where to look.

const (
	// shortAfter is how long some of a job waits for room that no machine of its owner has
	// before others are asked: spare machines and rented ones come sooner.
	shortAfter = 20 * time.Second
	// shortMachines bounds the machines that the job's tasks fit, empty. With more of them
	// places come free often enough, and a large pool is no reason to move.
	shortMachines = 8
	// shortMost bounds the jobs that are told of at once.
	shortMost = 16
	// roomAfter is for how long a machine must have had room for others' work: where much
	// comes and goes there is always some that just got free.
	roomAfter = 5 * time.Second
)

// Shortage is a job that waits for room that its owner does not have. Zone is where its
// tasks have to be, "" if anywhere that the job allows.
type Shortage struct {
	Job, Team, Zone string
}

// shortages is what an owner knows of such jobs.
type shortages struct {
	// since is since when the jobs here are short of room, and mine what is told of them.
	since map[string]time.Time
	mine  []Shortage
	// others are other owners', as the leader last told at othersAt, beside the machine
	// here that has room and since when; room names those for which it has had some for
	// long enough.
	others   []Shortage
	othersAt time.Time
	beside   map[string]roomSince
	room     []string
}

type roomSince struct {
	m  *machine
	at time.Time
}

// lookShort looks which jobs here are short of room, and for which of others there is some.
func lookShort(n *Node) {
	s := &n.owner.short
	s.mine, s.room = nil, nil
	if !n.otherHolders() {
		s.since, s.beside = nil, nil
		return
	}
	since, fits := map[string]time.Time{}, map[shape]bool{}
	for _, id := range sortedKeys(n.owner.jobs) {
		j := n.owner.jobs[id]
		if !n.mayBeShort(j) || n.roomOrHope(j, fits) {
			continue
		}
		from, ok := s.since[id]
		if !ok {
			from = n.now
		}
		since[id] = from
		if len(s.mine) < shortMost && n.now.Sub(later(from, j.placedAt)) >= shortAfter {
			s.mine = append(s.mine, Shortage{id, j.Team, j.onlyZone()})
		}
	}
	s.since = since
	lookRoom(n, s)
}

// otherHolders says that others run teams. Where one controller runs all of them, the
// machines that others still hold come to it by themselves, and a move of its team would
// only put its work into other hands: on a pool of hundreds of machines with one team that
// cost its large jobs minutes.
func (n *Node) otherHolders() bool {
	for _, s := range n.sess.book.Shares() {
		if s.Host != n.set.Host && len(s.Teams) > 0 {
			return true
		}
	}
	return false
}

// mayBeShort says that tasks of a job wait for a place and for nothing else, and that it
// takes one machine at a time.
func (n *Node) mayBeShort(j *job) bool {
	return n.triable(j) > 0 && !j.Gang && !j.Apart && j.guest == "" && !n.owner.blame.Broken(j.ID) && n.withinLimit(j)
}

// roomOrHope says that a job's next task has room here, that a machine for it is coming, or
// that it fits so many that one will have room. known is what was found for jobs like it.
func (n *Node) roomOrHope(j *job, known map[shape]bool) bool {
	like := j.shape()
	if out, ok := known[like]; ok && !j.SamePlace {
		return out
	}
	out := n.findsRoom(j)
	if !j.SamePlace {
		known[like] = out
	}
	return out
}

func (n *Node) findsRoom(j *job) bool {
	fit, off := 0, n.offNow(j)
	for _, m := range n.owner.byID {
		if !n.usable(m) || !j.allows(m.flavour, m.zone, m.spot) || !j.zoneOK(m.zone) || !j.Need.Fits(m.size) {
			continue
		}
		if fit++; fit > shortMachines || j.Need.Fits(m.free()) && !m.keptFrom(j) && n.openTo(off, m) {
			return true
		}
	}
	for r := range n.comingFor(j) {
		if j.Need.Fits(n.types[r.flavour].Size) {
			return true
		}
	}
	return false
}

// onlyZone is the zone in which a job's tasks have to be, or "".
func (j *job) onlyZone() string {
	if j.SamePlace && j.live > 0 {
		for _, z := range sortedKeys(j.zoneLive) {
			if j.zoneLive[z] > 0 {
				return z
			}
		}
	}
	return j.Zone
}

// lookRoom looks which of others' jobs would have room here.
func lookRoom(n *Node, s *shortages) {
	if n.now.Sub(s.othersAt) > newsFresh {
		s.others = nil
	}
	was := s.beside
	s.beside = map[string]roomSince{}
	for _, x := range s.others {
		l, open := n.users.mirror.open[x.Job]
		if !open || l.rec.Cancelled {
			continue
		}
		j := &job{Spec: l.rec.spec(x.Job)}
		r := was[x.Job]
		if r.m == nil || r.m.forgotten || !n.hasRoomFor(r.m, j, x.Zone) {
			i := slices.IndexFunc(n.owner.byID, func(m *machine) bool { return n.hasRoomFor(m, j, x.Zone) })
			if i < 0 {
				continue
			}
			r = roomSince{n.owner.byID[i], n.now}
		}
		s.beside[x.Job] = r
		if n.now.Sub(r.at) >= roomAfter {
			s.room = append(s.room, x.Job)
		}
	}
}

// hasRoomFor says that a machine has room that nothing here is to have, for a job that is
// another owner's.
func (n *Node) hasRoomFor(m *machine, j *job, zone string) bool {
	return n.usable(m) && m.heldFor == "" && (zone == "" || zone == m.zone) &&
		j.allows(m.flavour, m.zone, m.spot) && j.Need.Fits(m.free())
}

// takeShort takes in what the leader says of others' shortages.
func takeShort(n *Node, others []Shortage) {
	n.owner.short.others, n.owner.short.othersAt = others, n.now
}

// shortAll gathers, for the leader, what all owners are short of, by owner, and who has
// room for which job.
func shortAll(n *Node) (short map[string][]Shortage, room map[string][]string) {
	short, room = map[string][]Shortage{}, map[string][]string{}
	take := func(host string, ss []Shortage, has []string) {
		for _, x := range ss {
			if t := n.sess.book.Team(x.Team); t != nil && t.Host == host {
				short[host] = append(short[host], x)
			}
		}
		for _, id := range has {
			room[id] = append(room[id], host)
		}
	}
	if o := n.owner; o != nil && o.ready {
		take(n.set.Host, o.short.mine, o.short.room)
	}
	for _, host := range sortedKeys(n.leader.news) {
		if w, ok := n.heard(host); ok {
			take(host, w.news.Short, w.news.Room)
		}
	}
	return short, room
}

// shortFor is what the leader tells an owner of others' shortages.
func shortFor(short map[string][]Shortage, host string) []Shortage {
	var out []Shortage
	for _, of := range sortedKeys(short) {
		if of != host {
			out = append(out, short[of]...)
		}
	}
	return out[:min(len(out), shortMost)]
}

// roomForTeams says which controllers have room for what a team has waited for.
func roomForTeams(n *Node) map[string][]string {
	short, room := shortAll(n)
	out := map[string][]string{}
	for _, host := range sortedKeys(short) {
		for _, x := range short[host] {
			out[x.Team] = append(out[x.Team], room[x.Job]...)
		}
	}
	return out
}

// hadRoom says whether a job had room here when its team came. Such a job may
// have what is kept from others for the sake of the price at once: it has waited already.
func (h *teamHeld) hadRoom(job string) bool {
	if h == nil {
		return false
	}
	_, ok := h.beside[job]
	return ok
}
