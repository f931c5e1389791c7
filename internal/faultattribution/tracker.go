// Package faultattribution distinguishes a machine that fails every task that runs on it from a job
// that fails on every machine. One failure proves neither. The package counts the distinct machines
// on which a job failed and the distinct jobs that failed on a machine. It also counts successes
// after a failure: a task that succeeds on another machine shows that the first machine was at
// fault, and a machine on which other tasks succeed is not faulty. The package has no clock and
// sends nothing.
package faultattribution

import (
	"slices"
	"time"
)

// Thresholds for attributing faults, and the retry backoff.
const (
	// jobFaultMachines is the number of machines on which a job or a task must have failed,
	// without any success, before the job or task itself counts as faulty. Faulty machines
	// are rare, and it is even rarer that one job meets three of them and no healthy one.
	jobFaultMachines = 3
	// machineFaultJobs is the number of jobs, none of them faulty itself, that must have failed
	// on a machine without any success there in between, before the machine counts as
	// faulty although none of these jobs has succeeded elsewhere yet.
	machineFaultJobs = 2
	// minBackoff is how long a job that fails everywhere waits before one of its tasks is
	// retried. The wait doubles with each failure up to maxBackoff. The job is never given up:
	// its user may repair what it depends on, and only its user may end it. A job that has met
	// only faulty machines so far also backs off, although a healthy machine may be free.
	// Operators allow such a wait of 90 s. maxBackoff plus a quarter for the jitter is 75 s.
	minBackoff = 2 * time.Second
	maxBackoff = time.Minute
	// A task shows that its job may work on its machine when it has run outlastFactor times as
	// long as the longest failed attempt of the job, plus MinProofRun. maxProofRun bounds the
	// difference to the longest failed attempt. Where machines became faulty while tasks had
	// already run for long, the tasks on healthy machines reach this bound soon.
	outlastFactor = 1.25
	maxProofRun   = 25 * time.Second
)

// MinProofRun is the minimum run time of a task that indicates that its job may work on the
// machine. Most faults of a job make its tasks fail shortly after they start.
const MinProofRun = 5 * time.Second

// Tracker attributes failures to jobs or machines. The zero value is empty and ready. It is
// not safe for concurrent use.
type Tracker struct {
	jobs     map[string]*jobRecord
	machines map[string]*machineRecord
}

// jobRecord contains the failures and successes of a job.
type jobRecord struct {
	// failedMachines are the machines on which tasks of the job failed, up to
	// jobFaultMachines of them. taskFailedMachines lists the same for each task that has not
	// succeeded, by task index.
	failedMachines     []string
	taskFailedMachines map[int][]string
	// hasSucceeded: some task of the job has succeeded. failures counts the job's failures while
	// the job fails everywhere, starting with the failure on the last of jobFaultMachines
	// machines.
	hasSucceeded bool
	failures     int
	// longestFailure is the run time of the job's longest failed attempt.
	longestFailure time.Duration
}

// machineRecord contains the failures on a machine.
type machineRecord struct {
	// failedJobs are the jobs that are not faulty themselves and that failed on this machine
	// since a task last succeeded on it. provenFaulty: a task that failed on this machine
	// succeeded on another one.
	failedJobs   map[string]bool
	provenFaulty bool
}

// failsEverywhere reports whether the job has failed on jobFaultMachines machines without any
// success.
func (job *jobRecord) failsEverywhere() bool {
	return !job.hasSucceeded && len(job.failedMachines) >= jobFaultMachines
}

// exoneratesMachine reports whether a failure of the task does not count against the machine,
// because the job or the task itself counts as faulty.
func (job *jobRecord) exoneratesMachine(index int) bool {
	return job.failsEverywhere() || len(job.taskFailedMachines[index]) >= jobFaultMachines
}

// TaskFailed records that a task of a job failed on a machine. It returns the machines whose
// IsFaulty has changed.
func (tracker *Tracker) TaskFailed(jobID string, index int, machine string) (changed []string) {
	job := tracker.jobRecord(jobID)
	if len(job.failedMachines) < jobFaultMachines && !slices.Contains(job.failedMachines, machine) {
		job.failedMachines = append(job.failedMachines, machine)
	}
	if failed := job.taskFailedMachines[index]; len(failed) < jobFaultMachines && !slices.Contains(failed, machine) {
		job.taskFailedMachines[index] = append(failed, machine)
	}
	if job.failsEverywhere() {
		job.failures++
	}
	if !job.exoneratesMachine(index) {
		record := tracker.machineRecord(machine)
		return tracker.updateFault(machine, func() { record.failedJobs[jobID] = true })
	}
	// Earlier failures of this job or task do not count against the machines either.
	for _, failedOn := range append(slices.Clone(job.failedMachines), job.taskFailedMachines[index]...) {
		if record := tracker.machines[failedOn]; record != nil && record.failedJobs[jobID] && !job.otherTaskFailedOn(index, failedOn) {
			changed = append(changed, tracker.updateFault(failedOn, func() { delete(record.failedJobs, jobID) })...)
		}
	}
	return changed
}

// jobRecord returns the record of a job and creates it if it does not exist.
func (tracker *Tracker) jobRecord(jobID string) *jobRecord {
	if tracker.jobs == nil {
		tracker.jobs, tracker.machines = map[string]*jobRecord{}, map[string]*machineRecord{}
	}
	job := tracker.jobs[jobID]
	if job == nil {
		job = &jobRecord{taskFailedMachines: map[int][]string{}}
		tracker.jobs[jobID] = job
	}
	return job
}

// machineRecord returns the record of a machine and creates it if it does not exist.
func (tracker *Tracker) machineRecord(machine string) *machineRecord {
	record := tracker.machines[machine]
	if record == nil {
		record = &machineRecord{failedJobs: map[string]bool{}}
		tracker.machines[machine] = record
	}
	return record
}

// MarkJobWorks records that some task of the job has succeeded at some time, perhaps under an
// earlier shard leader. Such a job does not fail everywhere. Call it before TaskFailed.
func (tracker *Tracker) MarkJobWorks(jobID string) { tracker.jobRecord(jobID).hasSucceeded = true }

// RecordFailedRun records how long a failed attempt of the job had run. Call it before TaskFailed.
func (tracker *Tracker) RecordFailedRun(jobID string, ran time.Duration) {
	job := tracker.jobRecord(jobID)
	job.longestFailure = max(job.longestFailure, ran)
}

// Outlasts reports whether a task that has run for the time ran, and still runs, makes it likely
// that its job works on the task's machine although the job failed on others: the task has run
// much longer than all failed attempts. This is no proof. So it neither counts against the other
// machines nor makes FailsEverywhere false. It only justifies one more attempt in parallel.
func (tracker *Tracker) Outlasts(jobID string, ran time.Duration) bool {
	job := tracker.jobs[jobID]
	if job == nil {
		return false
	}
	margin := time.Duration((outlastFactor-1)*float64(job.longestFailure)) + MinProofRun
	return ran >= job.longestFailure+min(margin, maxProofRun)
}

// otherTaskFailedOn reports whether another task of the job failed on the machine and that failure
// counts against the machine.
func (job *jobRecord) otherTaskFailedOn(index int, machine string) bool {
	for i, machines := range job.taskFailedMachines {
		if i != index && !job.exoneratesMachine(i) && slices.Contains(machines, machine) {
			return true
		}
	}
	return false
}

// updateFault calls change, and returns the machine if the change altered its IsFaulty.
func (tracker *Tracker) updateFault(machine string, change func()) []string {
	was := tracker.IsFaulty(machine)
	change()
	if tracker.IsFaulty(machine) == was {
		return nil
	}
	return []string{machine}
}

// TaskDone records that a task of a job succeeded on a machine. It returns the machines whose
// IsFaulty has changed. The machines on which the task had failed before count as faulty, unless
// the task failed on so many machines that the task itself is the more likely cause.
func (tracker *Tracker) TaskDone(jobID string, index int, machine string) (changed []string) {
	if record := tracker.machines[machine]; record != nil && len(record.failedJobs) > 0 {
		changed = tracker.updateFault(machine, func() { clear(record.failedJobs) })
	}
	job := tracker.jobs[jobID]
	if job == nil {
		return changed
	}
	job.hasSucceeded, job.failures = true, 0
	if failedMachines := job.taskFailedMachines[index]; len(failedMachines) < jobFaultMachines {
		for _, failedOn := range failedMachines {
			if failedOn == machine {
				continue
			}
			record := tracker.machineRecord(failedOn)
			changed = append(changed, tracker.updateFault(failedOn, func() { record.provenFaulty = true })...)
		}
	}
	delete(job.taskFailedMachines, index)
	return changed
}

// FailsEverywhere reports whether a job counts as failing on every machine.
func (tracker *Tracker) FailsEverywhere(jobID string) bool {
	job := tracker.jobs[jobID]
	return job != nil && job.failsEverywhere()
}

// RetryBackoff returns how long a job that fails everywhere waits for its next attempt, and 0 for
// any other job.
func (tracker *Tracker) RetryBackoff(jobID string) time.Duration {
	if !tracker.FailsEverywhere(jobID) {
		return 0
	}
	backoff := minBackoff
	for range tracker.jobs[jobID].failures - 1 {
		if backoff *= 2; backoff >= maxBackoff {
			return maxBackoff
		}
	}
	return backoff
}

// IsFaulty reports whether a machine counts as failing the tasks that run on it.
func (tracker *Tracker) IsFaulty(machine string) bool {
	record := tracker.machines[machine]
	return record != nil && (record.provenFaulty || len(record.failedJobs) >= machineFaultJobs)
}

// ForgetJob drops the record of a job. The job's failures still count against machines, unless the
// job failed everywhere.
func (tracker *Tracker) ForgetJob(jobID string) { delete(tracker.jobs, jobID) }

// ForgetMachine drops the record of a machine.
func (tracker *Tracker) ForgetMachine(machine string) { delete(tracker.machines, machine) }
