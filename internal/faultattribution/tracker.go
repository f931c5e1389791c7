// Package faultattribution tells a machine that fails whatever runs on it from a job that fails
// wherever it runs. One failure says neither. What is counted are distinct machines
// for a job and distinct jobs for a machine, and what was done in spite of it: a task
// that is done elsewhere shows that the machine was at fault, and a machine that gets
// other work done is not faulty. The package has no clock and sends nothing.
package faultattribution

import (
	"slices"
	"time"
)

const (
	// jobFaultMachines is on how many machines a job or a task must have failed, with
	// nothing of it done, before the fault counts as its own. Faulty machines are
	// rare; that one job meets three of them in a row and no sound one is rarer.
	jobFaultMachines = 3
	// machineFaultJobs is how many jobs, none of them at fault by itself, must have failed
	// on a machine that got nothing else done meanwhile, before it counts as faulty
	// though none of them was done elsewhere yet.
	machineFaultJobs = 2
	// minPause is how long a job that fails everywhere waits before one of its
	// tasks is tried again; it doubles up to maxPause. It is never given up: its
	// user may mend what it needs, and only its user may end it.
	minPause = 2 * time.Second
	maxPause = 2 * time.Minute
)

// Tracker is the account of failures. The zero value is empty and ready.
type Tracker struct {
	jobs     map[string]*jobRecord
	machines map[string]*machineRecord
}

type jobRecord struct {
	// failedMachines are the machines on which tasks of it failed, up to jobFaultMachines, and
	// tasks those of each task that is not done.
	failedMachines     []string
	taskFailedMachines map[int][]string
	// done: some task of it was done. tries counts failures since it is broken.
	hasSucceeded bool
	failures     int
}

type machineRecord struct {
	// failedJobs are those that failed here and have no fault of their own, since it last
	// got anything done; proven: something that failed here was done elsewhere.
	failedJobs   map[string]bool
	provenFaulty bool
}

func (j *jobRecord) failsEverywhere() bool {
	return !j.hasSucceeded && len(j.failedMachines) >= jobFaultMachines
}

// exoneratesMachine says that a failure of the task says nothing of the machine.
func (j *jobRecord) exoneratesMachine(index int) bool {
	return j.failsEverywhere() || len(j.taskFailedMachines[index]) >= jobFaultMachines
}

// TaskFailed takes in that a task of a job failed on a machine. It names the machines of
// which is thought otherwise now.
func (b *Tracker) TaskFailed(id string, index int, host string) (changed []string) {
	j := b.jobRecord(id)
	if len(j.failedMachines) < jobFaultMachines && !slices.Contains(j.failedMachines, host) {
		j.failedMachines = append(j.failedMachines, host)
	}
	if t := j.taskFailedMachines[index]; len(t) < jobFaultMachines && !slices.Contains(t, host) {
		j.taskFailedMachines[index] = append(t, host)
	}
	if j.failsEverywhere() {
		j.failures++
	}
	if !j.exoneratesMachine(index) {
		m := b.machines[host]
		if m == nil {
			m = &machineRecord{failedJobs: map[string]bool{}}
			b.machines[host] = m
		}
		return b.updateFault(host, func() { m.failedJobs[id] = true })
	}
	// What was held against the machines for its sake counts no more.
	for _, machine := range append(slices.Clone(j.failedMachines), j.taskFailedMachines[index]...) {
		if m := b.machines[machine]; m != nil && m.failedJobs[id] && !j.otherTaskFailedOn(index, machine) {
			changed = append(changed, b.updateFault(machine, func() { delete(m.failedJobs, id) })...)
		}
	}
	return changed
}

// jobRecord is the account of a job, opened with its first failure.
func (b *Tracker) jobRecord(id string) *jobRecord {
	if b.jobs == nil {
		b.jobs, b.machines = map[string]*jobRecord{}, map[string]*machineRecord{}
	}
	j := b.jobs[id]
	if j == nil {
		j = &jobRecord{taskFailedMachines: map[int][]string{}}
		b.jobs[id] = j
	}
	return j
}

// MarkJobWorks takes in, before a failure, that some task of the job is done, whenever and
// under whichever owner: such a job does not fail everywhere.
func (b *Tracker) MarkJobWorks(id string) { b.jobRecord(id).hasSucceeded = true }

// otherTaskFailedOn says that another task of the job, not excused, failed on the machine.
func (j *jobRecord) otherTaskFailedOn(index int, host string) bool {
	for i, machines := range j.taskFailedMachines {
		if i != index && !j.exoneratesMachine(i) && slices.Contains(machines, host) {
			return true
		}
	}
	return false
}

// updateFault makes a change and names the machine if it is thought of otherwise then.
func (b *Tracker) updateFault(host string, change func()) []string {
	was := b.IsFaulty(host)
	change()
	if b.IsFaulty(host) == was {
		return nil
	}
	return []string{host}
}

// TaskDone takes in that a task of a job was done on a machine. It names the machines of
// which is thought otherwise now: those on which it had failed were at fault, unless
// it failed in so many places that the task itself is the likelier cause.
func (b *Tracker) TaskDone(id string, index int, host string) (changed []string) {
	if m := b.machines[host]; m != nil && len(m.failedJobs) > 0 {
		changed = b.updateFault(host, func() { clear(m.failedJobs) })
	}
	j := b.jobs[id]
	if j == nil {
		return changed
	}
	j.hasSucceeded, j.failures = true, 0
	if failedMachines := j.taskFailedMachines[index]; len(failedMachines) < jobFaultMachines {
		for _, machine := range failedMachines {
			m := b.machines[machine]
			if machine == host {
				continue
			}
			if m == nil {
				m = &machineRecord{failedJobs: map[string]bool{}}
				b.machines[machine] = m
			}
			changed = append(changed, b.updateFault(machine, func() { m.provenFaulty = true })...)
		}
	}
	delete(j.taskFailedMachines, index)
	return changed
}

// FailsEverywhere says that a job fails wherever it runs.
func (b *Tracker) FailsEverywhere(id string) bool {
	j := b.jobs[id]
	return j != nil && j.failsEverywhere()
}

// RetryBackoff is how long a job that fails everywhere waits for its next try.
func (b *Tracker) RetryBackoff(id string) time.Duration {
	if !b.FailsEverywhere(id) {
		return 0
	}
	backoff := minPause
	for range b.jobs[id].failures - 1 {
		if backoff *= 2; backoff >= maxPause {
			return maxPause
		}
	}
	return backoff
}

// IsFaulty says that a machine fails what runs on it.
func (b *Tracker) IsFaulty(host string) bool {
	m := b.machines[host]
	return m != nil && (m.provenFaulty || len(m.failedJobs) >= machineFaultJobs)
}

// ForgetJob forgets a job. What was held against machines for its sake stands, unless
// it failed everywhere.
func (b *Tracker) ForgetJob(id string) { delete(b.jobs, id) }

// ForgetMachine forgets a machine.
func (b *Tracker) ForgetMachine(host string) { delete(b.machines, host) }
