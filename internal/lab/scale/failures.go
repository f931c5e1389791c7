package scale

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/micahill/micahill/internal/lab/fleet"
)

// measureTakeover kills the controller with the most duties, and waits until jobs of its
// teams start again.
func (l *workload) measureTakeover(ctx context.Context, r *Measurement) error {
	victim := slices.MaxFunc(r.Roles, func(a, b Role) int { return takeoverWeight(a) - takeoverWeight(b) })
	at := slices.IndexFunc(r.Roles, func(x Role) bool { return x.Host == victim.Host })
	reply, err := status(ctx, l.cluster.InternalAddrs[at])
	if err != nil {
		return err
	}
	teams := localTeams(reply)
	if len(teams) == 0 {
		return fmt.Errorf("scale: takeover: %s runs no team", victim.Host)
	}
	l.logf("ending %s, %s of %d teams", victim.Host, victim.Role, len(teams))
	takeover := &Takeover{Host: victim.Host, Role: victim.Role}
	ended := time.Now()
	l.cluster.Kill(at)
	var ids []string
	for next := ended; time.Since(ended) < maxTakeoverTime && ctx.Err() == nil && (takeover.ClaimedS == 0 || takeover.FirstStartS == 0); sleep(ctx, pollInterval/2) {
		if now := time.Now(); now.After(next) {
			next = now.Add(urgentInterval)
			j := l.newJob(fleet.Job{Workload: "alert", Tasks: 1, CPUs: arrayTaskCPUs, RunTime: time.Second, Urgency: "urgent"})
			j.Team = teams[len(ids)%len(teams)]
			ids = append(ids, j.ID)
			l.submit(ctx, at+1, j)
		}
		if takeover.ClaimedS == 0 && l.isClaimed(ctx, at, teams[0]) {
			takeover.ClaimedS = time.Since(ended).Seconds()
		}
		for _, id := range ids {
			if first, ok := l.cluster.Live.FirstStart(id); ok && takeover.FirstStartS == 0 {
				takeover.FirstStartS = first.Sub(ended).Seconds()
			}
		}
	}
	r.Takeover = takeover
	if takeover.FirstStartS == 0 {
		return fmt.Errorf("scale: takeover: no task of the teams of the killed controller started within %s", maxTakeoverTime)
	}
	return nil
}

// measureWorkerLoss kills workers all at once, and waits until all services run again.
func (l *workload) measureWorkerLoss(ctx context.Context, r *Measurement) error {
	lost := l.cluster.Live.KillMachines(l.plan.LostWorkers)
	l.logf("%d workers are lost", lost)
	began := time.Now()
	for ; ctx.Err() == nil && time.Since(began) < maxRecoveryTime; sleep(ctx, pollInterval) {
		if _, _, standing := l.cluster.Live.Workers(); standing >= l.plan.Workers {
			r.RecoveryS = time.Since(began).Seconds()
			l.logf("%5.1f s: all that stands runs again", r.RecoveryS)
			return nil
		}
	}
	_, _, standing := l.cluster.Live.Workers()
	return fmt.Errorf("scale: %s after the loss of %d workers: got %d running tasks of services, want %d", maxRecoveryTime, lost, standing, l.plan.Workers)
}

// takeoverWeight orders controllers by how much has to be taken over from them: a leader
// with teams first, then the one with the most teams.
func takeoverWeight(r Role) int {
	w := r.Teams
	if strings.HasPrefix(r.Role, "leader") && r.Teams > 0 {
		w += 1000
	}
	return w
}

// isClaimed reports whether a controller other than except says that it runs the team.
func (l *workload) isClaimed(ctx context.Context, except int, team string) bool {
	for i, addr := range l.cluster.InternalAddrs {
		if i == except {
			continue
		}
		if st, err := status(ctx, addr); err == nil && slices.Contains(localTeams(st), team) {
			return true
		}
	}
	return false
}
