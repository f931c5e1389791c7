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
	return Plan{
		Workers: 20, Controllers: 3, Teams: 4, StartsPerSecond: 5, Tasks: 5, TaskRunTime: time.Second, Duration: 4 * time.Second,
		HeartbeatInterval: time.Second, StateRPS: 500, StateWriteRPS: 250, ChangeEvery: time.Second, LostWorkers: 3, Takeover: true, Dir: t.TempDir(), Progress: io.Discard,
	}
}

// TestMeasurement: a tiny rung with real controllers, of which one is ended. What it counts has to
// fit together, and nothing else on the machine decides the verdict.
func TestMeasurement(t *testing.T) {
	p := smallPlan(t)
	p.Program = filepath.Join(t.TempDir(), "micahill")
	if out, err := exec.Command("go", "build", "-ldflags=-linkmode=external", "-o", p.Program, "github.com/micahill/micahill/cmd/micahill").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	r, err := Measure(context.Background(), p)
	if err != nil {
		t.Fatal(err)
	}
	if r.WorkersUp != p.Workers || r.TasksRunning < p.Workers {
		t.Errorf("%d workers, %d tasks", r.WorkersUp, r.TasksRunning)
	}
	if len(r.Violations) > 0 {
		t.Error(r.Violations)
	}
	teams, leaders, files := 0, 0, 0
	for _, x := range r.Roles {
		teams, files = teams+x.Teams, files+x.Files
		if strings.HasPrefix(x.Role, "leader") {
			leaders++
		}
		if x.RSSMB <= 0 {
			t.Errorf("%s takes no memory", x.Host)
		}
	}
	if teams != p.Teams || leaders != 1 || files < p.Workers {
		t.Errorf("%d teams are run, %d leaders, %d files", teams, leaders, files)
	}
	if r.HeartbeatsPerSecond == 0 || r.HeartbeatKB == 0 || r.StartsPerSecond == 0 || r.RequestsByKind["multi"] == 0 || r.StateWriteRPS < r.RequestsByKind["multi"]-r.RequestsByKind["renew"]-1 {
		t.Errorf("%+v", r)
	}
	if r.UrgentStartLatency.Count == 0 || r.UrgentStartLatency.Unfinished > 0 || r.AcceptLatency.Count == 0 {
		t.Errorf("urgent %+v, accepted %+v", r.UrgentStartLatency, r.AcceptLatency)
	}
	if r.RecoveryS == 0 {
		t.Error("a loss that takes no time")
	}
	if r.RankingLatency.Count == 0 || r.RankingLatency.Unfinished > 0 {
		t.Errorf("changes %+v", r.RankingLatency)
	}
	if k := r.Takeover; k == nil || k.FirstStartS <= 0 {
		t.Errorf("takeover %+v", k)
	}
}

// TestInvalidPlans are told by the flag that is wrong, before anything starts.
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
		p := smallPlan(t)
		change(&p)
		if _, err := Measure(context.Background(), p); !errors.Is(err, ErrPlan) || !strings.Contains(err.Error(), flag) {
			t.Errorf("%s: %v", flag, err)
		}
	}
}

// TestLine: slopes of two counts, what is missed, and points that do not tell them apart.
func TestLine(t *testing.T) {
	x := [][]float64{{250, 5}, {500, 5}, {1000, 20}, {2000, 10}, {2000, 40}}
	var y []float64
	for _, v := range x {
		y = append(y, 3+0.02*v[0]+0.5*v[1])
	}
	f, ok := FitLine("it", x, y)
	if !ok || math.Abs(f.Intercept-3) > 1e-6 || math.Abs(f.Slopes[0]-0.02) > 1e-9 || math.Abs(f.Slopes[1]-0.5) > 1e-7 || f.Residual > 1e-6 {
		t.Errorf("%+v", f)
	}
	y[0]++
	if f, _ = FitLine("it", x, y); f.Residual < 0.1 {
		t.Errorf("misses nothing: %+v", f)
	}
	if _, ok := FitLine("it", [][]float64{{1, 2}, {2, 4}, {3, 6}, {4, 8}}, []float64{1, 2, 3, 4}); ok {
		t.Error("tells two slopes from points on one line")
	}
	if _, ok := FitLine("it", [][]float64{{1}, {2}}, []float64{1, 2}); ok {
		t.Error("a fit through two points has no residual")
	}
}
