// Package blame tells a machine that fails whatever runs on it from a job that fails
// wherever it runs. One failure says neither. What is counted are distinct machines
// for a job and distinct jobs for a machine, and what was done in spite of it: a task
// that is done elsewhere shows that the machine was at fault, and a machine that gets
// other work done is not faulty. The package has no clock and sends nothing.
package blame

import (
	"slices"
	"time"
)

const (
	// jobPlaces is on how many machines a job or a task must have failed, with
	// nothing of it done, before the fault counts as its own. Faulty machines are
	// rare; that one job meets three of them in a row and no sound one is rarer.
	jobPlaces = 3
	// machineJobs is how many jobs, none of them at fault by itself, must have failed
	// on a machine that got nothing else done meanwhile, before it counts as faulty
	// though none of them was done elsewhere yet.
	machineJobs = 2
	// firstPause is how long a job that fails everywhere waits before one of its
	// tasks is tried again; it doubles up to longestPause. It is never given up: its
	// user may mend what it needs, and only its user may end it.
	firstPause   = 2 * time.Second
	longestPause = 2 * time.Minute
)

// Book is the account of failures. The zero value is empty and ready.
type Book struct {
	jobs     map[string]*job
	machines map[string]*machine
}

type job struct {
	// places are the machines on which tasks of it failed, up to jobPlaces, and
	// tasks those of each task that is not done.
	places []string
	tasks  map[int][]string
	// done: some task of it was done. tries counts failures since it is broken.
	done  bool
	tries int
}

type machine struct {
	// jobs are those that failed here and have no fault of their own, since it last
	// got anything done; proven: something that failed here was done elsewhere.
	jobs   map[string]bool
	proven bool
}

func (j *job) broken() bool { return !j.done && len(j.places) >= jobPlaces }

// excused says that a failure of the task says nothing of the machine.
func (j *job) excused(index int) bool { return j.broken() || len(j.tasks[index]) >= jobPlaces }

// Failed takes in that a task of a job failed on a machine. It names the machines of
// which is thought otherwise now.
func (b *Book) Failed(id string, index int, host string) (changed []string) {
	j := b.job(id)
	if len(j.places) < jobPlaces && !slices.Contains(j.places, host) {
		j.places = append(j.places, host)
	}
	if t := j.tasks[index]; len(t) < jobPlaces && !slices.Contains(t, host) {
		j.tasks[index] = append(t, host)
	}
	if j.broken() {
		j.tries++
	}
	if !j.excused(index) {
		m := b.machines[host]
		if m == nil {
			m = &machine{jobs: map[string]bool{}}
			b.machines[host] = m
		}
		return b.judged(host, func() { m.jobs[id] = true })
	}
	// What was held against the machines for its sake counts no more.
	for _, at := range append(slices.Clone(j.places), j.tasks[index]...) {
		if m := b.machines[at]; m != nil && m.jobs[id] && !j.others(index, at) {
			changed = append(changed, b.judged(at, func() { delete(m.jobs, id) })...)
		}
	}
	return changed
}

// job is the account of a job, opened with its first failure.
func (b *Book) job(id string) *job {
	if b.jobs == nil {
		b.jobs, b.machines = map[string]*job{}, map[string]*machine{}
	}
	j := b.jobs[id]
	if j == nil {
		j = &job{tasks: map[int][]string{}}
		b.jobs[id] = j
	}
	return j
}

// Works takes in, before a failure, that some task of the job is done, whenever and
// under whichever owner: such a job does not fail everywhere.
func (b *Book) Works(id string) { b.job(id).done = true }

// others says that another task of the job, not excused, failed on the machine.
func (j *job) others(index int, host string) bool {
	for i, places := range j.tasks {
		if i != index && !j.excused(i) && slices.Contains(places, host) {
			return true
		}
	}
	return false
}

// judged makes a change and names the machine if it is thought of otherwise then.
func (b *Book) judged(host string, change func()) []string {
	was := b.Faulty(host)
	change()
	if b.Faulty(host) == was {
		return nil
	}
	return []string{host}
}

// Done takes in that a task of a job was done on a machine. It names the machines of
// which is thought otherwise now: those on which it had failed were at fault, unless
// it failed in so many places that the task itself is the likelier cause.
func (b *Book) Done(id string, index int, host string) (changed []string) {
	if m := b.machines[host]; m != nil && len(m.jobs) > 0 {
		changed = b.judged(host, func() { clear(m.jobs) })
	}
	j := b.jobs[id]
	if j == nil {
		return changed
	}
	j.done, j.tries = true, 0
	if places := j.tasks[index]; len(places) < jobPlaces {
		for _, at := range places {
			m := b.machines[at]
			if at == host {
				continue
			}
			if m == nil {
				m = &machine{jobs: map[string]bool{}}
				b.machines[at] = m
			}
			changed = append(changed, b.judged(at, func() { m.proven = true })...)
		}
	}
	delete(j.tasks, index)
	return changed
}

// Broken says that a job fails wherever it runs.
func (b *Book) Broken(id string) bool {
	j := b.jobs[id]
	return j != nil && j.broken()
}

// Pause is how long a job that fails everywhere waits for its next try.
func (b *Book) Pause(id string) time.Duration {
	if !b.Broken(id) {
		return 0
	}
	d := firstPause
	for range b.jobs[id].tries - 1 {
		if d *= 2; d >= longestPause {
			return longestPause
		}
	}
	return d
}

// Faulty says that a machine fails what runs on it.
func (b *Book) Faulty(host string) bool {
	m := b.machines[host]
	return m != nil && (m.proven || len(m.jobs) >= machineJobs)
}

// JobOver forgets a job. What was held against machines for its sake stands, unless
// it failed everywhere.
func (b *Book) JobOver(id string) { delete(b.jobs, id) }

// MachineGone forgets a machine.
func (b *Book) MachineGone(host string) { delete(b.machines, host) }
