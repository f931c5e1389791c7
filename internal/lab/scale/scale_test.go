package scale

import (
	"context"
	"errors"
	"io"
	"math"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// smallPlan returns a valid plan of a small cluster that uses every kind of measurement.
func smallPlan(t *testing.T) Plan {
	t.Helper()
	return Plan{
		Workers: 20, Controllers: 3, Teams: 4, StartsPerSecond: 5, Tasks: 5, TaskRunTime: time.Second, Duration: 4 * time.Second,
		HeartbeatInterval: time.Second, StateRPS: 500, StateWriteRPS: 250, ChangeEvery: time.Second, LostWorkers: 3, Takeover: true, Dir: t.TempDir(), Progress: io.Discard,
	}
}

// TestMeasurement measures a small cluster of real controllers, one of which is killed. It guards
// against measurements that miss workers, roles, counters or a phase. It checks that the counts
// agree with each other. It does not check how long a phase takes, which depends on the load of the machine.
func TestMeasurement(t *testing.T) {
	plan := smallPlan(t)
	plan.Program = filepath.Join(t.TempDir(), "micahill")
	if out, err := exec.Command("go", "build", "-ldflags=-linkmode=external", "-o", plan.Program, "github.com/micahill/micahill/cmd/micahill").CombinedOutput(); err != nil {
		t.Fatalf("go build: %v\n%s", err, out)
	}
	measurement, err := Measure(context.Background(), plan)
	if err != nil {
		t.Fatal(err)
	}
	if measurement.WorkersUp != plan.Workers || measurement.TasksRunning < plan.Workers {
		t.Errorf("got %d workers up with %d tasks, want %d workers with at least as many", measurement.WorkersUp, measurement.TasksRunning, plan.Workers)
	}
	if len(measurement.Violations) > 0 {
		t.Errorf("got violations %q, want none", measurement.Violations)
	}
	teams, leaders, files := 0, 0, 0
	for _, role := range measurement.Roles {
		teams, files = teams+role.Teams, files+role.Files
		if strings.HasPrefix(role.Role, "leader") {
			leaders++
		}
		if role.RSSMB <= 0 {
			t.Errorf("%s: got %v MB of memory, want some", role.Host, role.RSSMB)
		}
	}
	if teams != plan.Teams || leaders != 1 || files < plan.Workers {
		t.Errorf("got %d teams run, %d leaders, %d open files; want %d, 1, at least %d", teams, leaders, files, plan.Teams, plan.Workers)
	}
	if measurement.HeartbeatsPerSecond == 0 || measurement.HeartbeatKB == 0 || measurement.StartsPerSecond == 0 || measurement.RequestsByKind["multi"] == 0 || measurement.StateWriteRPS < measurement.RequestsByKind["multi"]-measurement.RequestsByKind["renew"]-1 {
		t.Errorf("got rates %+v, want all above 0 and no fewer writes than transactions", measurement)
	}
	if measurement.UrgentStartLatency.Count == 0 || measurement.UrgentStartLatency.Unfinished > 0 || measurement.AcceptLatency.Count == 0 {
		t.Errorf("got urgent starts %+v, accepts %+v, want some and all urgent ones in time", measurement.UrgentStartLatency, measurement.AcceptLatency)
	}
	if measurement.RecoveryS == 0 {
		t.Error("got a recovery time of 0 after the loss of workers, want more")
	}
	if measurement.RankingLatency.Count == 0 || measurement.RankingLatency.Unfinished > 0 {
		t.Errorf("got changes of the ranking %+v, want some, all in time", measurement.RankingLatency)
	}
	if takeover := measurement.Takeover; takeover == nil || takeover.FirstStartS <= 0 {
		t.Errorf("got takeover %+v, want a first start", takeover)
	}
}

// TestInvalidPlans checks that each invalid plan is refused before anything starts, with an error
// that names the flag to change.
func TestInvalidPlans(t *testing.T) {
	for flag, change := range map[string]func(*Plan){
		"--workers":      func(plan *Plan) { plan.Workers = maxWorkers + 1 },
		"--controllers":  func(plan *Plan) { plan.Controllers = 20 },
		"--teams":        func(plan *Plan) { plan.Teams = 21 },
		"--tasks":        func(plan *Plan) { plan.Tasks = 0 },
		"--run":          func(plan *Plan) { plan.TaskRunTime = 0 },
		"--starts":       func(plan *Plan) { plan.StartsPerSecond = 1000 },
		"--for":          func(plan *Plan) { plan.Duration = time.Hour },
		"--report":       func(plan *Plan) { plan.HeartbeatInterval = 0 },
		"--lose":         func(plan *Plan) { plan.LostWorkers = 11 },
		"--change-every": func(plan *Plan) { plan.ChangeEvery = -1 },
		"--requests":     func(plan *Plan) { plan.StateRPS = 0 },
	} {
		t.Run(flag, func(t *testing.T) {
			plan := smallPlan(t)
			change(&plan)
			if _, err := Measure(context.Background(), plan); !errors.Is(err, ErrPlan) || !strings.Contains(err.Error(), flag) {
				t.Errorf("got error %v, want ErrPlan with %s", err, flag)
			}
		})
	}
}

// TestFitLine fits points of a known plane, which must give back its coefficients, and points of
// which one is beside the plane, which must show in the residual.
func TestFitLine(t *testing.T) {
	const want0, want1, want2 = 3, 0.02, 0.5
	x := [][]float64{{250, 5}, {500, 5}, {1000, 20}, {2000, 10}, {2000, 40}}
	var y []float64
	for _, point := range x {
		y = append(y, want0+want1*point[0]+want2*point[1])
	}
	fit, ok := FitLine("figure", x, y)
	if !ok || math.Abs(fit.Intercept-want0) > 1e-6 || math.Abs(fit.Slopes[0]-want1) > 1e-9 || math.Abs(fit.Slopes[1]-want2) > 1e-7 || fit.Residual > 1e-6 {
		t.Errorf("points of a plane: got %+v, %v, want intercept %v, slopes %v and %v, no residual", fit, ok, want0, want1, want2)
	}
	y[0]++
	if fit, _ = FitLine("figure", x, y); fit.Residual < 0.1 {
		t.Errorf("one point outside the plane: got residual %v, want at least 0.1", fit.Residual)
	}
}

// TestFitLineUndetermined checks that no fit is returned where the points do not determine the
// coefficients. A solver without a check for singular equations would return arbitrary slopes.
func TestFitLineUndetermined(t *testing.T) {
	for _, tt := range []struct {
		name string
		x    [][]float64
		y    []float64
	}{
		{"dependent columns", [][]float64{{1, 2}, {2, 4}, {3, 6}, {4, 8}}, []float64{1, 2, 3, 4}},
		{"no more points than coefficients", [][]float64{{1}, {2}}, []float64{1, 2}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			if fit, ok := FitLine("figure", tt.x, tt.y); ok {
				t.Errorf("got fit %+v, want none", fit)
			}
		})
	}
}
