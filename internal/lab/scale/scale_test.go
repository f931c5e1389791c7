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

func smallPlan(t *testing.T) Plan {
	t.Helper()
	return Plan{
		Workers: 20, Controllers: 3, Teams: 4, StartsPerSecond: 5, Tasks: 5, TaskRunTime: time.Second, Duration: 4 * time.Second,
		HeartbeatInterval: time.Second, StateRPS: 500, StateWriteRPS: 250, ChangeEvery: time.Second, LostWorkers: 3, Takeover: true, Dir: t.TempDir(), Progress: io.Discard,
	}
}

// TestMeasurement measures a tiny cluster of real controllers, of which one is killed. It
// checks that the counts fit together, and no times, which depend on what else runs.
func TestMeasurement(t *testing.T) {
	p := smallPlan(t)
	p.Program = filepath.Join(t.TempDir(), "micahill")
	if out, err := exec.Command("go", "build", "-ldflags=-linkmode=external", "-o", p.Program, "github.com/micahill/micahill/cmd/micahill").CombinedOutput(); err != nil {
		t.Fatalf("go build: %v\n%s", err, out)
	}
	r, err := Measure(context.Background(), p)
	if err != nil {
		t.Fatal(err)
	}
	if r.WorkersUp != p.Workers || r.TasksRunning < p.Workers {
		t.Errorf("got %d workers up with %d tasks, want %d workers with at least as many", r.WorkersUp, r.TasksRunning, p.Workers)
	}
	if len(r.Violations) > 0 {
		t.Errorf("got violations %q, want none", r.Violations)
	}
	teams, leaders, files := 0, 0, 0
	for _, x := range r.Roles {
		teams, files = teams+x.Teams, files+x.Files
		if strings.HasPrefix(x.Role, "leader") {
			leaders++
		}
		if x.RSSMB <= 0 {
			t.Errorf("%s: got %v MB of memory, want some", x.Host, x.RSSMB)
		}
	}
	if teams != p.Teams || leaders != 1 || files < p.Workers {
		t.Errorf("got %d teams run, %d leaders, %d open files; want %d, 1, at least %d", teams, leaders, files, p.Teams, p.Workers)
	}
	if r.HeartbeatsPerSecond == 0 || r.HeartbeatKB == 0 || r.StartsPerSecond == 0 || r.RequestsByKind["multi"] == 0 || r.StateWriteRPS < r.RequestsByKind["multi"]-r.RequestsByKind["renew"]-1 {
		t.Errorf("got rates %+v, want all above 0 and no fewer writes than transactions", r)
	}
	if r.UrgentStartLatency.Count == 0 || r.UrgentStartLatency.Unfinished > 0 || r.AcceptLatency.Count == 0 {
		t.Errorf("got urgent starts %+v, accepts %+v, want some and all urgent ones in time", r.UrgentStartLatency, r.AcceptLatency)
	}
	if r.RecoveryS == 0 {
		t.Error("got a recovery time of 0 after the loss of workers, want more")
	}
	if r.RankingLatency.Count == 0 || r.RankingLatency.Unfinished > 0 {
		t.Errorf("got changes of the ranking %+v, want some, all in time", r.RankingLatency)
	}
	if k := r.Takeover; k == nil || k.FirstStartS <= 0 {
		t.Errorf("got takeover %+v, want a first start", k)
	}
}

// TestInvalidPlans checks that the error of each invalid plan names the flag to change.
func TestInvalidPlans(t *testing.T) {
	for flag, change := range map[string]func(*Plan){
		"--workers":      func(p *Plan) { p.Workers = maxWorkers + 1 },
		"--controllers":  func(p *Plan) { p.Controllers = 20 },
		"--teams":        func(p *Plan) { p.Teams = 21 },
		"--tasks":        func(p *Plan) { p.Tasks = 0 },
		"--run":          func(p *Plan) { p.TaskRunTime = 0 },
		"--starts":       func(p *Plan) { p.StartsPerSecond = 1000 },
		"--for":          func(p *Plan) { p.Duration = time.Hour },
		"--report":       func(p *Plan) { p.HeartbeatInterval = 0 },
		"--lose":         func(p *Plan) { p.LostWorkers = 11 },
		"--change-every": func(p *Plan) { p.ChangeEvery = -1 },
		"--requests":     func(p *Plan) { p.StateRPS = 0 },
	} {
		t.Run(flag, func(t *testing.T) {
			p := smallPlan(t)
			change(&p)
			if _, err := Measure(context.Background(), p); !errors.Is(err, ErrPlan) || !strings.Contains(err.Error(), flag) {
				t.Errorf("got error %v, want ErrPlan with %s", err, flag)
			}
		})
	}
}

func TestFitLine(t *testing.T) {
	const want0, want1, want2 = 3, 0.02, 0.5
	x := [][]float64{{250, 5}, {500, 5}, {1000, 20}, {2000, 10}, {2000, 40}}
	var y []float64
	for _, v := range x {
		y = append(y, want0+want1*v[0]+want2*v[1])
	}
	f, ok := FitLine("figure", x, y)
	if !ok || math.Abs(f.Intercept-want0) > 1e-6 || math.Abs(f.Slopes[0]-want1) > 1e-9 || math.Abs(f.Slopes[1]-want2) > 1e-7 || f.Residual > 1e-6 {
		t.Errorf("points of a plane: got %+v, %v, want intercept %v, slopes %v and %v, no residual", f, ok, want0, want1, want2)
	}
	y[0]++
	if f, _ = FitLine("figure", x, y); f.Residual < 0.1 {
		t.Errorf("a point beside the plane: got residual %v, want at least 0.1", f.Residual)
	}
}

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
			if f, ok := FitLine("figure", tt.x, tt.y); ok {
				t.Errorf("got fit %+v, want none", f)
			}
		})
	}
}
