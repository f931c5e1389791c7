package scale

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/micahill/micahill/internal/lab/fleet"
)

// measureTakeover kills the controller with the most duties, and waits until jobs of its teams
// start again. It submits urgent jobs of these teams to detect that. It returns an error if no
// task starts within maxTakeoverTime.
func (load *workload) measureTakeover(ctx context.Context, measurement *Measurement) error {
	victim := slices.MaxFunc(measurement.Roles, func(a, b Role) int { return takeoverWeight(a) - takeoverWeight(b) })
	victimIndex := slices.IndexFunc(measurement.Roles, func(role Role) bool { return role.Host == victim.Host })
	reply, err := fetchStatus(ctx, load.cluster.InternalAddrs[victimIndex])
	if err != nil {
		return err
	}
	teams := localTeams(reply)
	if len(teams) == 0 {
		return fmt.Errorf("scale: takeover: %s runs no team", victim.Host)
	}
	load.logf("killing %s, %s of %d teams", victim.Host, victim.Role, len(teams))
	takeover := &Takeover{Host: victim.Host, Role: victim.Role}
	ended := time.Now()
	load.cluster.Kill(victimIndex)
	var ids []string
	for next := ended; time.Since(ended) < maxTakeoverTime && ctx.Err() == nil && (takeover.ClaimedS == 0 || takeover.FirstStartS == 0); sleep(ctx, pollInterval/2) {
		if now := time.Now(); now.After(next) {
			next = now.Add(urgentInterval)
			job := load.newJob(fleet.Job{Workload: "alert", Tasks: 1, CPUs: arrayTaskCPUs, RunTime: time.Second, Urgency: "urgent"})
			job.Team = teams[len(ids)%len(teams)]
			ids = append(ids, job.ID)
			load.submit(ctx, victimIndex+1, job)
		}
		if takeover.ClaimedS == 0 && load.isClaimed(ctx, victimIndex, teams[0]) {
			takeover.ClaimedS = time.Since(ended).Seconds()
		}
		for _, id := range ids {
			if first, ok := load.cluster.Live.FirstStart(id); ok && takeover.FirstStartS == 0 {
				takeover.FirstStartS = first.Sub(ended).Seconds()
			}
		}
	}
	measurement.Takeover = takeover
	if takeover.FirstStartS == 0 {
		return fmt.Errorf("scale: takeover: no task of the teams of the killed controller started within %s", maxTakeoverTime)
	}
	return nil
}

// measureWorkerLoss kills workers all at once, and waits until all tasks of services run again.
// It returns an error if that takes longer than maxRecoveryTime.
func (load *workload) measureWorkerLoss(ctx context.Context, measurement *Measurement) error {
	lost := load.cluster.Live.KillMachines(load.plan.LostWorkers)
	load.logf("%d workers killed", lost)
	began := time.Now()
	for ; ctx.Err() == nil && time.Since(began) < maxRecoveryTime; sleep(ctx, pollInterval) {
		if _, _, standing := load.cluster.Live.Workers(); standing >= load.plan.Workers {
			measurement.RecoveryS = time.Since(began).Seconds()
			load.logf("%5.1f s: all tasks of services run again", measurement.RecoveryS)
			return nil
		}
	}
	_, _, standing := load.cluster.Live.Workers()
	return fmt.Errorf("scale: %s after the loss of %d workers: got %d running tasks of services, want %d", maxRecoveryTime, lost, standing, load.plan.Workers)
}

// takeoverWeight orders controllers by how much other controllers have to take over from them: a
// leader with teams comes first, then the controller with the most teams.
func takeoverWeight(role Role) int {
	weight := role.Teams
	if strings.HasPrefix(role.Role, "leader") && role.Teams > 0 {
		weight += 1000
	}
	return weight
}

// isClaimed reports whether a controller other than the one with index except reports that it
// runs the team.
func (load *workload) isClaimed(ctx context.Context, except int, team string) bool {
	for i, addr := range load.cluster.InternalAddrs {
		if i == except {
			continue
		}
		if reply, err := fetchStatus(ctx, addr); err == nil && slices.Contains(localTeams(reply), team) {
			return true
		}
	}
	return false
}
