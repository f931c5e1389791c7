package standin

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/micahill/micahill/internal/core"
)

// judge.go has the conditions on a day beside the rules: every job stays known, and a
// class's largest jobs are served, and begin in time.

const (
	// SilentMost is how long all questions about an accepted job may go without an
	// answer once all troubles are over; users on real controllers judge by it, too.
	SilentMost = 75 * time.Second
	// askEnded is how often users ask about ended jobs then: several times within
	// SilentMost.
	askEnded = 15 * time.Second
	// beginWithin is in how long a class's largest jobs have to begin.
	beginWithin = 240 * time.Second
	// servedAfter and servedCalm say when is counted what was served: so long after
	// the last job came, but for times without any room, and after the last trouble.
	servedAfter = 3 * time.Minute
	servedCalm  = time.Minute
	// bootsMore is how much longer than their trouble late boots leave no room: until
	// it is known that what was rented does not come, and something else does.
	bootsMore = 2 * time.Minute
)

// ends is when a trouble is over, reckoned from the day's begin.
func (f DayFault) ends(controllers int) time.Duration {
	end := f.At + f.For + f.Back
	switch f.Kind {
	case "crash", "crash_all":
		end = f.At + 5*time.Second
	case "again_all":
		end = f.At + f.For/2 + f.Back
	case "roll":
		end = f.At + time.Duration(controllers)*15*time.Second + 5*time.Second
	case "copies":
		end += f.Late
	case "refused_outage":
		end += f.Late
	case "late_writes":
		end += lateWriteMost
	case "late_commands":
		end += lateCommandMost
	case "loss", "twice":
		end += lateMost
	case "election":
		end = f.At + 2*f.Late + f.Back
	}
	return end
}

// calm is when the last trouble of the day is over.
func (d *Day) calm() time.Duration {
	end := time.Duration(0)
	for _, f := range d.Faults {
		end = max(end, f.ends(d.Controllers))
	}
	return end
}

// silence breaks a rule if no question about a job was answered for too long.
func (w *World) silence(j *userJob) {
	if w.calm.IsZero() || !j.accepted || j.silent {
		return
	}
	since := w.calm
	if j.heard.After(since) {
		since = j.heard
	}
	d := w.now.Sub(since)
	w.near(RuleForgotten, SilentMost-d, j.spec.ID)
	if d > SilentMost {
		j.silent = true
		w.broke("forgotten", "%s, %q: no answer for %.0f s", j.spec.ID, j.told, d.Seconds())
	}
}

// noRoom is until when a trouble is one during which no day is blamed for what doesn't
// begin, or 0: the cloud gives hardly anything, or none of what is rented comes up in
// time; no start can be recorded; nobody is there.
func (f DayFault) noRoom(controllers int) time.Duration {
	switch f.Kind {
	case "cloud", "capacity", "outage", "refused_outage", "crash_all", "again_all":
		return f.ends(controllers)
	case "boots":
		if f.Share >= 1 {
			return f.ends(controllers) + bootsMore
		}
	}
	return 0
}

// noRoomFrom is since when it is one.
func (f DayFault) noRoomFrom() time.Duration {
	if f.Kind == "refused_outage" {
		return f.At + f.Late
	}
	return f.At
}

// later is the end of a time that begins at from and takes so long, where what troubles
// without any room take of it is given back.
func (d *Day) later(from, long time.Duration) time.Duration {
	end := from + long
	for range d.Faults {
		more, till := from+long, from
		for _, f := range d.Faults { // in the order of their begin
			a, b := max(f.noRoomFrom(), till), min(f.noRoom(d.Controllers), end)
			if b > a {
				more, till = more+b-a, b
			}
		}
		if more == end {
			break
		}
		end = more
	}
	return end
}

// atOnce is how many tasks of a job its team's limit and the cloud allow at a time.
func (d *Day) atOnce(s *core.JobSpec) int {
	types, room := d.cloud()
	fit := 0
	for _, t := range types {
		for _, z := range t.Zones {
			if len(s.MachineTypes) > 0 && !slices.Contains(s.MachineTypes, t.Name) || s.Zone != "" && s.Zone != z {
				continue
			}
			machines := room[t.Name+"/"+z+"/false"]
			if s.AllowSpot {
				machines += room[t.Name+"/"+z+"/true"]
			}
			fit += machines * t.Capacity.FitCount(s.Need)
		}
	}
	for _, t := range d.Settings.Teams {
		if t.Name == s.Team && t.QuotaLimit.CPU > 0 {
			fit = min(fit, t.QuotaLimit.FitCount(core.Resources{CPU: s.Need.CPU}))
		}
	}
	return min(fit, s.Tasks)
}

// Largest is what became of a class's largest jobs: the largest tenth of them, at least
// one, by tasks, and by tasks, what each takes and its run time; the worse counts.
type Largest struct {
	Served float64 `json:"served"`
	// First is the longest wait for a first task, and All for as many tasks as limit
	// and room allow at once; -1 means never.
	First float64 `json:"first_s"`
	All   float64 `json:"all_s"`
	// Late tells of the jobs that did not begin in time.
	Late []string `json:"late,omitempty"`
}

// counts says that a job is one that a day is judged by.
func (j *userJob) counts() bool { return !j.calledOff() && !j.broken && j.Refused == 0 }

// served says that a job was served: done, or all of a standing job's replicas began.
func (j *userJob) served() bool {
	if j.spec.LongRunning {
		return j.ran() == j.spec.Tasks
	}
	return j.told == "done"
}

// unended says that a job is under way of which more is to be judged.
func (w *World) unended() bool {
	for _, j := range w.jobs {
		if j.counts() && (j.spec.LongRunning || !j.served()) {
			return true
		}
	}
	return false
}

// ran is how many tasks are done, or replicas ever began.
func (j *userJob) ran() int {
	if j.spec.LongRunning {
		return len(j.began)
	}
	return len(j.results)
}

// largest are the largest tenths of each class, by both measures.
func (w *World) largest() map[string][2][]*userJob {
	by := map[string][]*userJob{}
	for _, id := range sorted(w.jobs) {
		if j := w.jobs[id]; j.counts() {
			by[j.spec.Workload] = append(by[j.spec.Workload], j)
		}
	}
	out := map[string][2][]*userJob{}
	for class, jobs := range by {
		top := func(size func(*userJob) float64) []*userJob {
			js := slices.Clone(jobs)
			slices.SortStableFunc(js, func(a, b *userJob) int { return cmp.Compare(size(b), size(a)) })
			return js[:max(1, len(js)/10)]
		}
		tasks := func(j *userJob) float64 { return float64(j.spec.Tasks) }
		work := func(j *userJob) float64 {
			// A GPU stands for the processors that usually come with it.
			return tasks(j) * (j.spec.Need.CPU + 8*j.spec.Need.GPU) * max(1, j.run.Seconds())
		}
		out[class] = [2][]*userJob{top(tasks), top(work)}
	}
	return out
}

// possible says that a job could have been served by now if it had had the whole cloud
// to itself since it came, without a boot, a fetch or a trouble.
func (d *Day) possible(w *World, j *userJob) bool {
	all := d.atOnce(&j.spec)
	return all > 0 && j.released() && j.run*time.Duration((j.spec.Tasks+all-1)/all) <= w.now.Sub(j.from())
}

// servedLargest is the part of a class's largest jobs that was served, of those of
// which that was possible.
func (d *Day) servedLargest(w *World, tops [2][]*userJob) float64 {
	least := 1.0
	for _, js := range tops {
		n, of := 0, 0
		for _, j := range js {
			if j.served() {
				n++
			}
			if j.served() || d.possible(w, j) {
				of++
			}
		}
		if of > 0 {
			least = min(least, float64(n)/float64(of))
		}
	}
	return least
}

// begins adds to a class's largest jobs when they began, as is known at the day's end.
func (d *Day) begins(w *World, l *Largest, tops [2][]*userJob) {
	seen := map[*userJob]bool{}
	for _, j := range append(slices.Clone(tops[0]), tops[1]...) {
		all := d.atOnce(&j.spec)
		if seen[j] || all == 0 || !j.released() {
			continue
		}
		seen[j] = true
		waits := []time.Duration{}
		for _, at := range j.began {
			waits = append(waits, at.Sub(j.from()))
		}
		slices.Sort(waits)
		at := j.from().Sub(w.began)
		within := d.later(at, beginWithin) - at
		late := false
		tell := func(n int, worst *float64) string {
			if len(waits) < n {
				*worst, late = -1, true
				w.near(RuleBegin, within-w.now.Sub(j.from()), j.spec.ID)
				return "never"
			}
			wait := waits[n-1]
			if *worst >= 0 {
				*worst = max(*worst, wait.Seconds())
			}
			w.near(RuleBegin, within-wait, j.spec.ID)
			late = late || wait > within
			return fmt.Sprintf("after %.0f s", wait.Seconds())
		}
		first, whole := tell(1, &l.First), tell(all, &l.All)
		if late {
			l.Late = append(l.Late, fmt.Sprintf("%s of %s at %.0f s (%d tasks of %g CPUs) within %.0f s: first %s, all %d %s, %d began",
				j.spec.ID, j.spec.Team, at.Seconds(), j.spec.Tasks, j.spec.Need.CPU, within.Seconds(), first, all, whole, len(waits)))
		}
	}
}

// judge adds to the result of a day what only its end shows.
func (d *Day) judge(w *World, r *DayResult) {
	for _, id := range sorted(w.jobs) {
		w.silence(w.jobs[id])
	}
	w.checkClosures()
	tops := w.largest()
	for i := range r.Classes {
		if t, ok := tops[r.Classes[i].Name]; ok {
			d.begins(w, r.Classes[i].Largest, t)
		}
	}
	r.Broken = append(slices.Clone(w.Broken), r.Broken...)
	r.Log, r.Slack = w.logs, w.slack
}

// Worst sums up the largest jobs of all classes; see Largest.
func (r *DayResult) Worst() Largest {
	out := Largest{Served: 1}
	longer := func(a, b float64) float64 {
		if min(a, b) < 0 {
			return -1
		}
		return math.Max(a, b)
	}
	for _, g := range r.Classes {
		if l := g.Largest; l != nil {
			out.Served, out.First, out.All = min(out.Served, l.Served), longer(out.First, l.First), longer(out.All, l.All)
			out.Late = append(out.Late, l.Late...)
		}
	}
	return out
}
