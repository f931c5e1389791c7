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

func small(t *testing.T) Plan {
	return Plan{
		Workers: 20, Controllers: 3, Teams: 4, Starts: 5, Tasks: 5, Run: time.Second, For: 4 * time.Second,
		Report: time.Second, Requests: 500, Changes: 250, ChangeEvery: time.Second, Lose: 3, Takeover: true, Dir: t.TempDir(), Say: io.Discard,
	}
}

// TestRung: a tiny rung with real controllers, of which one is ended. What it counts has to
// fit together, and nothing else on the machine decides the verdict.
func TestRung(t *testing.T) {
	p := small(t)
	p.Program = filepath.Join(t.TempDir(), "micahill")
	if out, err := exec.Command("go", "build", "-ldflags=-linkmode=external", "-o", p.Program, "github.com/micahill/micahill/cmd/micahill").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	r, err := Play(context.Background(), p)
	if err != nil {
		t.Fatal(err)
	}
	if r.Up != p.Workers || r.Running < p.Workers {
		t.Errorf("%d workers, %d tasks", r.Up, r.Running)
	}
	if len(r.Broken) > 0 {
		t.Error(r.Broken)
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
	if r.Reports == 0 || r.KB == 0 || r.Starts == 0 || r.ByKind["multi"] == 0 || r.Changes < r.ByKind["multi"]-r.ByKind["renew"]-1 {
		t.Errorf("%+v", r)
	}
	if r.Urgent.N == 0 || r.Urgent.Never > 0 || r.Accept.N == 0 {
		t.Errorf("urgent %+v, accepted %+v", r.Urgent, r.Accept)
	}
	if r.LossS == 0 {
		t.Error("a loss that takes no time")
	}
	if r.Change.N == 0 || r.Change.Never > 0 {
		t.Errorf("changes %+v", r.Change)
	}
	if k := r.Takeover; k == nil || k.StartS <= 0 {
		t.Errorf("takeover %+v", k)
	}
}

// TestPlansThatCannotWork are told by the flag that is wrong, before anything starts.
func TestPlansThatCannotWork(t *testing.T) {
	for flag, change := range map[string]func(*Plan){
		"--workers":      func(p *Plan) { p.Workers = maxWorkers + 1 },
		"--controllers":  func(p *Plan) { p.Controllers = 20 },
		"--teams":        func(p *Plan) { p.Teams = 21 },
		"--tasks":        func(p *Plan) { p.Tasks = 0 },
		"--run":          func(p *Plan) { p.Run = 0 },
		"--starts":       func(p *Plan) { p.Starts = 1000 },
		"--for":          func(p *Plan) { p.For = time.Hour },
		"--report":       func(p *Plan) { p.Report = 0 },
		"--lose":         func(p *Plan) { p.Lose = 11 },
		"--change-every": func(p *Plan) { p.ChangeEvery = -1 },
		"--requests":     func(p *Plan) { p.Requests = 0 },
	} {
		p := small(t)
		change(&p)
		if _, err := Play(context.Background(), p); !errors.Is(err, ErrPlan) || !strings.Contains(err.Error(), flag) {
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
	f, ok := Line("it", x, y)
	if !ok || math.Abs(f.Base-3) > 1e-6 || math.Abs(f.Slopes[0]-0.02) > 1e-9 || math.Abs(f.Slopes[1]-0.5) > 1e-7 || f.Residual > 1e-6 {
		t.Errorf("%+v", f)
	}
	y[0]++
	if f, _ = Line("it", x, y); f.Residual < 0.1 {
		t.Errorf("misses nothing: %+v", f)
	}
	if _, ok := Line("it", [][]float64{{1, 2}, {2, 4}, {3, 6}, {4, 8}}, []float64{1, 2, 3, 4}); ok {
		t.Error("tells two slopes from points on one line")
	}
	if _, ok := Line("it", [][]float64{{1}, {2}}, []float64{1, 2}); ok {
		t.Error("a fit through two points has no residual")
	}
}
