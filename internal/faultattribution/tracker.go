// Package faultattribution tells a machine that fails whatever runs on it from a job that
// fails wherever it runs. One failure proves neither. The package counts distinct machines for
// a job and distinct jobs for a machine, and successes in spite of a failure: a task that
// succeeds elsewhere shows that the machine was at fault, and a machine on which other work
// succeeds is not faulty. The package has no clock and sends nothing.
package faultattribution

import (
	"slices"
	"time"
)

const (
	// jobFaultMachines is on how many machines a job or a task must have failed, without any
	// success, before the fault counts as its own. Faulty machines are rare; that one job
	// meets three of them in a row and no healthy one is rarer.
	jobFaultMachines = 3
	// machineFaultJobs is how many jobs, none of them at fault by itself, must have failed on
	// a machine without any success there meanwhile, before it counts as faulty though none of
	// them has succeeded elsewhere yet.
	machineFaultJobs = 2
	// minBackoff is the backoff of a job that fails everywhere before one of its tasks is
	// retried; it doubles up to maxBackoff. The job is never given up: its user may repair what
	// it needs, and only its user may end it.
	// The operators allow a job to wait 90 s beside a sound machine, which one that has met only
	// faulty ones so far would do: a quarter more than maxBackoff, with the jitter, is less.
	minBackoff = 2 * time.Second
	maxBackoff = time.Minute
	// outlastFactor is how many times as long as any failed attempt of its job, and MinProofRun
	// how much longer in addition, a task must run to show that the job may work where it runs;
	// maxProofRun bounds both together. Where machines became faulty under tasks that had run
	// for long, the others prove themselves in that time.
	outlastFactor = 1.25
	maxProofRun   = 25 * time.Second
)

// MinProofRun is how long a task must run for that to be a sign that its job may work there: a
// mistake mostly shows at once.
const MinProofRun = 5 * time.Second

// Tracker attributes failures to jobs or machines. The zero value is empty and ready. It is
// not safe for concurrent use.
type Tracker struct {
	jobs     map[string]*jobRecord
	machines map[string]*machineRecord
}

type jobRecord struct {
	// failedMachines are the machines on which tasks of the job failed, up to
	// jobFaultMachines; taskFailedMachines are the same for each task that has not succeeded.
	failedMachines     []string
	taskFailedMachines map[int][]string
	// hasSucceeded: some task has succeeded. failures counts the failures since the job fails
	// everywhere.
	hasSucceeded bool
	failures     int
	// longestFailure is how long the longest attempt that failed had run.
	longestFailure time.Duration
}

type machineRecord struct {
	// failedJobs are the jobs not at fault that failed here since anything last succeeded
	// here; provenFaulty: something that failed here succeeded elsewhere.
	failedJobs   map[string]bool
	provenFaulty bool
}

func (j *jobRecord) failsEverywhere() bool {
	return !j.hasSucceeded && len(j.failedMachines) >= jobFaultMachines
}

// exoneratesMachine reports whether a failure of the task says nothing of the machine.
func (j *jobRecord) exoneratesMachine(index int) bool {
	return j.failsEverywhere() || len(j.taskFailedMachines[index]) >= jobFaultMachines
}

// TaskFailed records that a task of a job failed on a machine. It returns the machines whose
// IsFaulty has changed.
func (t *Tracker) TaskFailed(id string, index int, host string) (changed []string) {
	j := t.jobRecord(id)
	if len(j.failedMachines) < jobFaultMachines && !slices.Contains(j.failedMachines, host) {
		j.failedMachines = append(j.failedMachines, host)
	}
	if failed := j.taskFailedMachines[index]; len(failed) < jobFaultMachines && !slices.Contains(failed, host) {
		j.taskFailedMachines[index] = append(failed, host)
	}
	if j.failsEverywhere() {
		j.failures++
	}
	if !j.exoneratesMachine(index) {
		m := t.machineRecord(host)
		return t.updateFault(host, func() { m.failedJobs[id] = true })
	}
	// Failures of this job no longer count against the machines.
	for _, machine := range append(slices.Clone(j.failedMachines), j.taskFailedMachines[index]...) {
		if m := t.machines[machine]; m != nil && m.failedJobs[id] && !j.otherTaskFailedOn(index, machine) {
			changed = append(changed, t.updateFault(machine, func() { delete(m.failedJobs, id) })...)
		}
	}
	return changed
}

// jobRecord returns the record of a job, created at its first failure.
func (t *Tracker) jobRecord(id string) *jobRecord {
	if t.jobs == nil {
		t.jobs, t.machines = map[string]*jobRecord{}, map[string]*machineRecord{}
	}
	j := t.jobs[id]
	if j == nil {
		j = &jobRecord{taskFailedMachines: map[int][]string{}}
		t.jobs[id] = j
	}
	return j
}

// machineRecord returns the record of a machine, created at the first failure there.
func (t *Tracker) machineRecord(host string) *machineRecord {
	m := t.machines[host]
	if m == nil {
		m = &machineRecord{failedJobs: map[string]bool{}}
		t.machines[host] = m
	}
	return m
}

// MarkJobWorks records, before a failure, that some task of the job has succeeded at any time
// and under any shard leader: such a job does not fail everywhere.
func (t *Tracker) MarkJobWorks(id string) { t.jobRecord(id).hasSucceeded = true }

// RecordFailedRun records, before a failure, how long the attempt had run.
func (t *Tracker) RecordFailedRun(id string, ran time.Duration) {
	j := t.jobRecord(id)
	j.longestFailure = max(j.longestFailure, ran)
}

// Outlasts reports whether a task that has run for a time, and goes on, makes it likely that its
// job works on that machine though it failed on others: it has outlasted all failures by far. It
// proves nothing yet. So it neither counts against the other machines nor ends FailsEverywhere;
// it only justifies one more attempt beside it.
func (t *Tracker) Outlasts(id string, ran time.Duration) bool {
	j := t.jobs[id]
	if j == nil {
		return false
	}
	margin := time.Duration((outlastFactor-1)*float64(j.longestFailure)) + MinProofRun
	return ran >= j.longestFailure+min(margin, maxProofRun)
}

// otherTaskFailedOn reports whether another task of the job failed on the machine without
// exonerating it.
func (j *jobRecord) otherTaskFailedOn(index int, host string) bool {
	for i, machines := range j.taskFailedMachines {
		if i != index && !j.exoneratesMachine(i) && slices.Contains(machines, host) {
			return true
		}
	}
	return false
}

// updateFault makes a change, and returns the machine if its IsFaulty has changed.
func (t *Tracker) updateFault(host string, change func()) []string {
	was := t.IsFaulty(host)
	change()
	if t.IsFaulty(host) == was {
		return nil
	}
	return []string{host}
}

// TaskDone records that a task of a job succeeded on a machine. It returns the machines whose
// IsFaulty has changed: those on which the task had failed were at fault, unless it failed on
// so many that the task itself is the likelier cause.
func (t *Tracker) TaskDone(id string, index int, host string) (changed []string) {
	if m := t.machines[host]; m != nil && len(m.failedJobs) > 0 {
		changed = t.updateFault(host, func() { clear(m.failedJobs) })
	}
	j := t.jobs[id]
	if j == nil {
		return changed
	}
	j.hasSucceeded, j.failures = true, 0
	if failedMachines := j.taskFailedMachines[index]; len(failedMachines) < jobFaultMachines {
		for _, machine := range failedMachines {
			if machine == host {
				continue
			}
			m := t.machineRecord(machine)
			changed = append(changed, t.updateFault(machine, func() { m.provenFaulty = true })...)
		}
	}
	delete(j.taskFailedMachines, index)
	return changed
}

// FailsEverywhere reports whether a job fails wherever it runs.
func (t *Tracker) FailsEverywhere(id string) bool {
	j := t.jobs[id]
	return j != nil && j.failsEverywhere()
}

// RetryBackoff returns how long a job that fails everywhere waits for its next attempt; 0 for
// other jobs.
func (t *Tracker) RetryBackoff(id string) time.Duration {
	if !t.FailsEverywhere(id) {
		return 0
	}
	backoff := minBackoff
	for range t.jobs[id].failures - 1 {
		if backoff *= 2; backoff >= maxBackoff {
			return maxBackoff
		}
	}
	return backoff
}

// IsFaulty reports whether a machine fails what runs on it.
func (t *Tracker) IsFaulty(host string) bool {
	m := t.machines[host]
	return m != nil && (m.provenFaulty || len(m.failedJobs) >= machineFaultJobs)
}

// ForgetJob drops a job. Its failures still count against machines, unless it failed
// everywhere.
func (t *Tracker) ForgetJob(id string) { delete(t.jobs, id) }

// ForgetMachine drops a machine.
func (t *Tracker) ForgetMachine(host string) { delete(t.machines, host) }
