package scale

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/micahill/micahill/internal/core"
	"github.com/micahill/micahill/internal/lab/fleet"
	"github.com/micahill/micahill/internal/standin"
)

// Rung is what was measured; rates are a second.
type Rung struct {
	Workers     int     `json:"workers"`
	Controllers int     `json:"controllers"`
	Teams       int     `json:"teams"`
	Wanted      float64 `json:"starts_wanted"`
	ForS        float64 `json:"for_s"`
	// FillS is how long it took until all workers reported; Up and Running are those
	// that did, and the tasks on them, at the end of the measurement.
	FillS   float64 `json:"fill_s"`
	Up      int     `json:"up"`
	Running int     `json:"running"`
	Starts  float64 `json:"starts"`
	Roles   []Role  `json:"roles"`
	// Lab is the processor share of this process: all workers, the state service and
	// the cloud together. Load is what else ran on the machine, in cores.
	Lab      float64 `json:"lab_cores"`
	Load     float64 `json:"others_cores"`
	Reports  float64 `json:"reports"`
	Strayed  float64 `json:"reports_not_200"`
	KB       float64 `json:"report_kb_per_worker"`
	OrdersKB float64 `json:"order_kb_per_worker"`
	Orders   float64 `json:"orders"`
	Requests float64 `json:"requests"`
	Changes  float64 `json:"changes"`
	// ByKind and ByFamily split requests and changes.
	ByKind     map[string]float64 `json:"requests_by_kind"`
	ByFamily   map[string]float64 `json:"changes_by_family"`
	Refused    int                `json:"refused"`
	CloudCalls float64            `json:"cloud_calls"`
	Jobs       int                `json:"jobs"`
	Accept     Waits              `json:"accept"`
	Urgent     Waits              `json:"urgent_start"`
	// Change is how long a change of the ranking took until all controllers had it.
	Change   Waits     `json:"change"`
	Takeover *Takeover `json:"takeover,omitempty"`
	// LossS is how long after the loss of workers all that stands ran again.
	LossS  float64  `json:"loss_s,omitempty"`
	Lost   int      `json:"lost_to_lease"`
	Broken []string `json:"broken"`
}

// Role is a controller, what it was, and what it took.
type Role struct {
	Host    string  `json:"host"`
	Role    string  `json:"role"`
	Teams   int     `json:"teams"`
	Cores   float64 `json:"cores"`
	RSSMB   float64 `json:"rss_mb"`
	PeakMB  float64 `json:"peak_mb"`
	Files   int     `json:"files"`
	Threads int     `json:"threads"`
}

// Waits are times in seconds; Never counts those that had none in time.
type Waits struct {
	P50   float64 `json:"p50_s"`
	P99   float64 `json:"p99_s"`
	Max   float64 `json:"max_s"`
	N     int     `json:"n"`
	Never int     `json:"never"`
}

func waits(all []float64, never int) Waits {
	slices.Sort(all)
	at := func(part float64) float64 {
		if len(all) == 0 {
			return 0
		}
		return all[min(len(all)-1, int(part*float64(len(all))))]
	}
	return Waits{P50: at(0.5), P99: at(0.99), Max: at(1), N: len(all), Never: never}
}

// Takeover is what followed the end of a controller without a word, counted from it.
type Takeover struct {
	Host string `json:"host"`
	Role string `json:"role"`
	// NamedS is when another said that it runs the teams, and StartS when the first
	// urgent job of one of these began, of those that came after the end.
	NamedS float64 `json:"named_s"`
	StartS float64 `json:"first_start_s"`
}

// Times of a rung beside its measurement.
const (
	fillMost     = 3 * time.Minute
	urgentEvery  = 500 * time.Millisecond
	urgentMost   = 30 * time.Second
	takeoverMost = time.Minute
	lossMost     = 3 * time.Minute
	askEvery     = 100 * time.Millisecond
)

// Play brings a rung up, measures it and ends what it started.
func Play(ctx context.Context, p Plan) (*Rung, error) {
	if err := p.Check(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, fillMost+lossMost+p.For+urgentMost+takeoverMost+time.Minute)
	defer cancel()
	enable, err := p.enable()
	if err != nil {
		return nil, err
	}
	f, err := fleet.Start(ctx, fleet.Options{
		Program: p.Program, Dir: p.Dir, Clusters: 1, Controllers: p.Controllers, Machines: []int{p.Workers},
		EnableFiles: enable, LogLevel: "info", Deployment: p.site(),
	})
	if err != nil {
		return nil, err
	}
	defer f.Stop()
	l := &load{plan: p, c: f.Clusters[0]}
	r := &Rung{Workers: p.Workers, Controllers: p.Controllers, Teams: p.Teams, Wanted: p.Starts}
	if err := l.fill(ctx, r); err != nil {
		return nil, err
	}
	if err := l.measure(ctx, r); err != nil {
		return nil, err
	}
	if p.Lose > 0 {
		if err := l.lose(ctx, r); err != nil {
			return nil, err
		}
	}
	if p.Takeover {
		if err := l.takeover(ctx, r); err != nil {
			return nil, err
		}
	}
	r.Broken = l.c.Live.Broken()
	return r, nil
}

// load is the work that a rung is given, and its users.
type load struct {
	plan  Plan
	c     *fleet.Cluster
	names int

	mu     sync.Mutex
	accept []float64
	failed int
	urgent map[string]time.Time
	wg     sync.WaitGroup
}

func (l *load) say(format string, args ...any) {
	fmt.Fprintf(l.plan.Say, format+"\n", args...)
}

func (l *load) job(j fleet.Job) fleet.Job {
	l.names++
	j.ID = fmt.Sprintf("job-%08x", l.names)
	j.Team = team(l.names % l.plan.Teams)
	return j
}

// hand hands a job in until it is accepted; the first answer's time counts.
func (l *load) hand(ctx context.Context, first int, j fleet.Job) {
	began := time.Now()
	if j.Urgency == "urgent" {
		l.mu.Lock()
		l.urgent[j.ID] = began
		l.mu.Unlock()
	}
	l.wg.Go(func() {
		for ctx.Err() == nil {
			ok, err := l.c.SubmitAt(ctx, first, j)
			if ok {
				l.mu.Lock()
				l.accept = append(l.accept, time.Since(began).Seconds())
				l.mu.Unlock()
				return
			}
			if err != nil && time.Since(began) > urgentMost {
				break
			}
			sleep(ctx, time.Second)
		}
		l.mu.Lock()
		l.failed++
		l.mu.Unlock()
	})
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// fill has all workers rented, by tasks that stand, one to a worker.
func (l *load) fill(ctx context.Context, r *Rung) error {
	l.urgent = map[string]time.Time{}
	began := time.Now()
	for i := range l.plan.Teams {
		n := l.plan.Workers / l.plan.Teams
		if i < l.plan.Workers%l.plan.Teams {
			n++
		}
		l.hand(ctx, i, l.job(fleet.Job{Workload: "standing", Tasks: n, CPUs: largeCPUs, Urgency: "normal", Standing: true}))
	}
	for told := began; ; sleep(ctx, askEvery) {
		up, tasks, standing := l.c.Live.Workers()
		if up >= l.plan.Workers && standing >= l.plan.Workers {
			break
		}
		if err := l.alive(); err != nil {
			return err
		}
		if time.Since(began) > fillMost || ctx.Err() != nil {
			return fmt.Errorf("scale: after %.0f s only %d of %d workers are up, with %d tasks", time.Since(began).Seconds(), up, l.plan.Workers, tasks)
		}
		if time.Since(told) > 5*time.Second {
			told = time.Now()
			l.say("%5.0f s: %d of %d workers, %d tasks", time.Since(began).Seconds(), up, l.plan.Workers, tasks)
		}
	}
	r.FillS = time.Since(began).Seconds()
	l.say("%5.0f s: all %d workers are up", r.FillS, l.plan.Workers)
	// What was on its way when the last one came is over some reports later.
	sleep(ctx, l.plan.Report)
	l.accept, l.failed = nil, 0
	return nil
}

// alive is an error when a controller has ended by itself, or all take too much memory.
func (l *load) alive() error {
	mb := 0.0
	for i := range l.c.APIAddrs {
		pid := l.c.PID(i)
		if pid == 0 {
			continue
		}
		x, err := look(pid)
		if err != nil || x.ended {
			return fmt.Errorf("scale: node-%d ended by itself; its log is in %s", i, l.plan.Dir)
		}
		mb += x.rssMB
	}
	me, err := look(os.Getpid())
	if err != nil {
		return err
	}
	m, err := fields("/proc/meminfo")
	if err != nil {
		return err
	}
	if most := memoryPart * m["MemTotal"] / 1024; mb+me.rssMB > most {
		return fmt.Errorf("scale: %.0f MB are taken, and half of the memory is %.0f; fewer --workers would do", mb+me.rssMB, most)
	}
	return nil
}

// sample is what is read at the begin and the end of a measurement.
type sample struct {
	at     time.Time
	counts standin.LiveCounts
	procs  []process
	lab    process
	all    float64
}

func (l *load) sample() (sample, error) {
	s := sample{counts: l.c.Live.Counts()}
	for i := range l.c.APIAddrs {
		x, err := look(l.c.PID(i))
		if err != nil || x.ended {
			return s, fmt.Errorf("scale: node-%d ended by itself; its log is in %s", i, l.plan.Dir)
		}
		s.procs = append(s.procs, x)
	}
	var err error
	if s.lab, err = look(os.Getpid()); err != nil {
		return s, err
	}
	s.all, err = busy()
	s.at = time.Now()
	return s, err
}

// busy is the processor time that the whole machine has used.
func busy() (float64, error) {
	b, err := os.ReadFile("/proc/stat")
	if err != nil {
		return 0, fmt.Errorf("scale: %w", err)
	}
	line, _, _ := strings.Cut(string(b), "\n")
	var user, nice, system, idle, wait, irq, soft float64
	if _, err := fmt.Sscanf(line, "cpu %f %f %f %f %f %f %f", &user, &nice, &system, &idle, &wait, &irq, &soft); err != nil {
		return 0, fmt.Errorf("scale: /proc/stat: %w", err)
	}
	return (user + nice + system + irq + soft) / clockTicks, nil
}

// measure gives work for as long as was asked for, and measures.
func (l *load) measure(ctx context.Context, r *Rung) error {
	before, err := l.sample()
	if err != nil {
		return err
	}
	changed := l.changes(ctx)
	due, given, urgent := 0.0, 0, before.at
	const step = 50 * time.Millisecond
	for told := before.at; time.Since(before.at) < l.plan.For && ctx.Err() == nil; sleep(ctx, step) {
		due = l.plan.Starts * time.Since(before.at).Seconds()
		for float64(given+l.plan.Tasks) <= due {
			given += l.plan.Tasks
			l.hand(ctx, l.names, l.job(fleet.Job{Workload: "array", Tasks: l.plan.Tasks, CPUs: smallCPUs, RunTime: l.plan.Run, Urgency: "normal"}))
		}
		if now := time.Now(); !now.Before(urgent) {
			urgent = urgent.Add(urgentEvery)
			l.hand(ctx, l.names, l.job(fleet.Job{Workload: "alert", Tasks: 1, CPUs: smallCPUs, RunTime: time.Second, Urgency: "urgent"}))
		}
		if time.Since(told) > 10*time.Second {
			told = time.Now()
			l.say("%5.0f s: %d tasks handed in", time.Since(before.at).Seconds(), given)
			if err := l.alive(); err != nil {
				return err
			}
		}
	}
	after, err := l.sample()
	if err != nil {
		return err
	}
	l.rates(r, before, after)
	if err := l.roles(ctx, r, before, after); err != nil {
		return err
	}
	r.Up, r.Running, _ = l.c.Live.Workers()
	l.wg.Wait()
	r.Change = changed()
	r.Accept = waits(l.accept, l.failed)
	r.Jobs = len(l.accept)
	r.Urgent = l.urgentWaits(ctx)
	return nil
}

func (l *load) rates(r *Rung, before, after sample) {
	s := after.at.Sub(before.at).Seconds()
	d := after.counts.Minus(before.counts)
	each := func(m map[string]int) (float64, map[string]float64) {
		sum, out := 0.0, map[string]float64{}
		for k, v := range m {
			out[k] = float64(v) / s
			sum += out[k]
		}
		return sum, out
	}
	r.ForS, r.Starts, r.Refused, r.CloudCalls, r.Lost = s, float64(d.Started)/s, d.Refused, float64(d.CloudCalls)/s, d.LostToLease
	for status, n := range d.Reports {
		r.Reports += float64(n) / s
		if status != http.StatusOK {
			r.Strayed += float64(n) / s
		}
	}
	kb := 1024 * s * float64(r.Workers)
	r.KB, r.OrdersKB = float64(d.ReportsOut+d.ReportsIn)/kb, float64(d.OrdersOut+d.OrdersIn)/kb
	r.Orders, _ = each(d.Orders)
	r.Requests, r.ByKind = each(d.Requests)
	r.Changes, r.ByFamily = each(d.Changes)
	r.Lab = (after.lab.cpu - before.lab.cpu) / s
	r.Load = (after.all-before.all)/s - r.Lab
	for i, x := range after.procs {
		r.Load -= (x.cpu - before.procs[i].cpu) / s
	}
}

func (l *load) roles(ctx context.Context, r *Rung, before, after sample) error {
	s := after.at.Sub(before.at).Seconds()
	for i, x := range after.procs {
		st, err := status(ctx, l.c.InternalAddrs[i])
		if err != nil {
			return err
		}
		role := Role{Host: fmt.Sprintf("node-%d", i), Role: "other", Cores: (x.cpu - before.procs[i].cpu) / s, RSSMB: x.rssMB, PeakMB: x.peakMB, Files: x.files, Threads: x.threads}
		role.Teams = len(teamsOf(st))
		switch {
		case st.IsLeader && st.IsShardLeader:
			role.Role = "leader+owner"
		case st.IsLeader:
			role.Role = "leader"
		case st.IsShardLeader:
			role.Role = "owner"
		}
		r.Roles = append(r.Roles, role)
	}
	return nil
}

// teamsOf are the teams that a controller runs.
func teamsOf(s *core.StatusReply) []string {
	var out []string
	for _, t := range s.Teams {
		if t.IsLocal {
			out = append(out, t.Name)
		}
	}
	return out
}

func status(ctx context.Context, addr string) (*core.StatusReply, error) {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/status", nil)
	if err != nil {
		return nil, fmt.Errorf("scale: %w", err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, fmt.Errorf("scale: %w", err)
	}
	defer resp.Body.Close()
	var s core.StatusReply
	if err := json.NewDecoder(resp.Body).Decode(&s); err != nil {
		return nil, fmt.Errorf("scale: %s: %w", addr, err)
	}
	return &s, nil
}

// urgentWaits waits for the urgent jobs to begin, counted from when they were handed in.
func (l *load) urgentWaits(ctx context.Context) Waits {
	var all []float64
	end := time.Now().Add(urgentMost)
	for id, at := range l.urgent {
		for ctx.Err() == nil {
			if first, ok := l.c.Live.Began(id); ok {
				all = append(all, first.Sub(at).Seconds())
				break
			}
			if time.Now().After(end) {
				break
			}
			sleep(ctx, askEvery)
		}
	}
	return waits(all, len(l.urgent)-len(all))
}

// takeover ends the controller that runs most, and waits until its teams' work begins.
func (l *load) takeover(ctx context.Context, r *Rung) error {
	victim := slices.MaxFunc(r.Roles, func(a, b Role) int { return weight(a) - weight(b) })
	at := slices.IndexFunc(r.Roles, func(x Role) bool { return x.Host == victim.Host })
	st, err := status(ctx, l.c.InternalAddrs[at])
	if err != nil {
		return err
	}
	teams := teamsOf(st)
	if len(teams) == 0 {
		return fmt.Errorf("scale: nobody runs a team any more")
	}
	l.say("ending %s, %s of %d teams", victim.Host, victim.Role, len(teams))
	t := &Takeover{Host: victim.Host, Role: victim.Role}
	ended := time.Now()
	l.c.Kill(at)
	var ids []string
	for next := ended; time.Since(ended) < takeoverMost && ctx.Err() == nil && (t.NamedS == 0 || t.StartS == 0); sleep(ctx, askEvery/2) {
		if now := time.Now(); now.After(next) {
			next = now.Add(urgentEvery)
			j := l.job(fleet.Job{Workload: "alert", Tasks: 1, CPUs: smallCPUs, RunTime: time.Second, Urgency: "urgent"})
			j.Team = teams[len(ids)%len(teams)]
			ids = append(ids, j.ID)
			l.hand(ctx, at+1, j)
		}
		if t.NamedS == 0 && l.named(ctx, at, teams[0]) {
			t.NamedS = time.Since(ended).Seconds()
		}
		for _, id := range ids {
			if first, ok := l.c.Live.Began(id); ok && t.StartS == 0 {
				t.StartS = first.Sub(ended).Seconds()
			}
		}
	}
	r.Takeover = t
	if t.StartS == 0 {
		return fmt.Errorf("scale: no task of the ended controller's teams began within %s", takeoverMost)
	}
	return nil
}

// lose ends workers all at once, and waits until everything that stands runs again.
func (l *load) lose(ctx context.Context, r *Rung) error {
	lost := l.c.Live.Lose(l.plan.Lose)
	l.say("%d workers are lost", lost)
	began := time.Now()
	for ; ctx.Err() == nil && time.Since(began) < lossMost; sleep(ctx, askEvery) {
		if _, _, standing := l.c.Live.Workers(); standing >= l.plan.Workers {
			r.LossS = time.Since(began).Seconds()
			l.say("%5.1f s: all that stands runs again", r.LossS)
			return nil
		}
	}
	_, _, standing := l.c.Live.Workers()
	return fmt.Errorf("scale: %s after the loss of %d workers %d of %d tasks that stand run", lossMost, lost, standing, l.plan.Workers)
}

// weight orders controllers by what their end takes away.
func weight(r Role) int {
	w := r.Teams
	if strings.HasPrefix(r.Role, "leader") && r.Teams > 0 {
		w += 1000
	}
	return w
}

func (l *load) named(ctx context.Context, but int, name string) bool {
	for i, addr := range l.c.InternalAddrs {
		if i == but {
			continue
		}
		if st, err := status(ctx, addr); err == nil && slices.Contains(teamsOf(st), name) {
			return true
		}
	}
	return false
}
