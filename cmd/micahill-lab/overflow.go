package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"slices"
	"strings"
	"time"

	"github.com/micahill/micahill/internal/lab/fleet"
	"github.com/micahill/micahill/internal/standin"
	"github.com/spf13/cobra"
)

// overflowResult is what an overflow experiment found, by the word of the workers
// and of the users, not of the scheduler.
type overflowResult struct {
	Clusters int    `json:"clusters"`
	Fault    string `json:"fault"`
	Seed     uint64 `json:"seed"`
	Lending  bool   `json:"lending"`
	Accepted int    `json:"accepted"`
	Final    int    `json:"final"`
	Twice    int    `json:"twice"`
	Lost     int    `json:"lost"`
	WentBack int    `json:"went_back"`
	// Forgotten counts jobs about which no question was answered for too long after
	// the fault.
	Forgotten int `json:"forgotten"`
	// Lent counts jobs that some peer started.
	Lent   int     `json:"lent"`
	InTime float64 `json:"in_time"`
	P95    float64 `json:"p95_s"`
}

var faults = []string{"none", "kill-peer", "silent-peer", "drain-peer", "cut", "restart-all"}

// overflowCommand runs a load against several clusters, with a fault in the middle
// of a transfer, and checks the rules.
func overflowCommand() *cobra.Command {
	var opt fleet.Options
	var jobs int
	var seed uint64
	var fault, program_ string
	var asJSON, off bool
	c := &cobra.Command{
		Use: "overflow", Short: "Load a busy cluster beside idle ones, with a fault in a transfer, and check the rules", Args: cobra.NoArgs,
		Long: "Brings up clusters of which the first has hardly any machines, hands in jobs there, and\nlets the fault happen once work has been lent. Counts by the workers' and users' word.\nStatus 1 when a rule is broken: a task in two clusters, an end that changes, a job\nthat gets none, or one about which no question is answered for 75 s after the fault.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			if !slices.Contains(faults, fault) {
				return fmt.Errorf("overflow: --fault %s: want one of %s", fault, strings.Join(faults, ", "))
			}
			if jobs < 1 || jobs > 1000 {
				return fmt.Errorf("overflow: --jobs %d: want 1 to 1000", jobs)
			}
			dir, err := os.MkdirTemp("", "micahill-lab")
			if err != nil {
				return fmt.Errorf("overflow: %w", err)
			}
			defer os.RemoveAll(dir)
			opt.Dir, opt.Program, opt.Overflow, opt.LogLevel = dir, program(program_), !off, "info"
			opt.Machines = []int{2, 12}
			f, err := fleet.Start(cmd.Context(), opt)
			if err != nil {
				return err
			}
			defer f.Stop()
			r := runOverflow(cmd, f, opt, jobs, seed, fault)
			return tellOverflow(cmd.OutOrStdout(), r, asJSON)
		},
	}
	c.Flags().IntVar(&opt.Clusters, "clusters", 3, "how many clusters, 2 to 5")
	c.Flags().IntVar(&opt.Controllers, "controllers", 2, "controllers of each")
	c.Flags().IntVar(&jobs, "jobs", 24, "jobs handed in, 1 to 1000")
	c.Flags().Uint64Var(&seed, "seed", 1, "seed of the load")
	c.Flags().StringVar(&fault, "fault", "none", strings.Join(faults, ", "))
	c.Flags().BoolVar(&off, "off", false, "without lending, to compare with")
	c.Flags().StringVar(&program_, "micahill", "", "the controllers' program (default: beside this one)")
	c.Flags().BoolVar(&asJSON, "json", false, "as JSON")
	return c
}

// handIn is between two jobs, and overflowMost bounds an experiment.
const (
	handIn       = 300 * time.Millisecond
	overflowMost = 4 * time.Minute
	// afterEnd is for how long ends are asked for again, for one that goes back.
	afterEnd = 5 * time.Second
	// faultFor is how long a fault lasts.
	faultFor = 8 * time.Second
)

type labJob struct {
	fleet.Job
	accepted, final time.Time
	state           string
	wentBack        bool
	// heard is when a question was last answered.
	heard     time.Time
	forgotten bool
}

func runOverflow(cmd *cobra.Command, f *fleet.Fleet, opt fleet.Options, jobs int, seed uint64, fault string) overflowResult {
	ctx, cancel := context.WithTimeout(cmd.Context(), overflowMost)
	defer cancel()
	rng := rand.New(rand.NewPCG(seed, 1))
	home := f.Clusters[0]
	say := func(format string, args ...any) { fmt.Fprintf(cmd.ErrOrStderr(), format+"\n", args...) }
	var all []*labJob
	twice, lent := map[string]bool{}, map[string]bool{}
	faulted := fault == "none"
	heal, healed := func() {}, time.Now()
	began, allFinal, told := time.Now(), time.Time{}, time.Now()
	for next := began; ctx.Err() == nil; time.Sleep(20 * time.Millisecond) {
		if now := time.Now(); len(all) < jobs && !now.Before(next) {
			next = next.Add(handIn)
			all = append(all, &labJob{Job: fleet.Job{
				ID: fmt.Sprintf("job-%06d", len(all)+1), Team: "ops", Tasks: 1 + rng.IntN(4), CPUs: 2, Urgency: "normal",
				RunTime: time.Duration(2+rng.IntN(4)) * time.Second, Deadline: 20 * time.Second,
			}})
		}
		look(f, twice, lent)
		final := 0
		for i, j := range all {
			if j.step(ctx, home, i); !j.final.IsZero() {
				final++
			}
			since := j.accepted
			for _, t := range []time.Time{j.heard, healed} {
				if t.After(since) {
					since = t
				}
			}
			j.forgotten = j.forgotten || !j.accepted.IsZero() && time.Since(since) > standin.SilentMost
		}
		if !faulted && len(lent) > 0 {
			faulted = true
			say("%5.1f s: %s", time.Since(began).Seconds(), fault)
			heal = inject(f, opt, fault)
			healed = time.Now().Add(faultFor)
			time.AfterFunc(faultFor, func() { heal() })
		}
		if time.Since(told) > 5*time.Second {
			told = time.Now()
			say("%5.1f s: %d handed in, %d final, %d lent", time.Since(began).Seconds(), len(all), final, len(lent))
		}
		if final == jobs && allFinal.IsZero() {
			allFinal = time.Now()
		}
		if !allFinal.IsZero() && time.Since(allFinal) > afterEnd {
			break
		}
	}
	r := overflowResult{Clusters: opt.Clusters, Fault: fault, Seed: seed, Lending: opt.Overflow, Twice: len(twice), Lent: len(lent)}
	var waits []float64
	inTime := 0
	for _, j := range all {
		if j.accepted.IsZero() {
			continue
		}
		r.Accepted++
		if j.wentBack {
			r.WentBack++
		}
		if j.forgotten {
			r.Forgotten++
		}
		if j.final.IsZero() {
			r.Lost++
			continue
		}
		r.Final++
		w := j.final.Sub(j.accepted)
		waits = append(waits, w.Seconds())
		if w <= j.Deadline {
			inTime++
		}
	}
	if slices.Sort(waits); len(waits) > 0 {
		r.P95 = waits[min(len(waits)-1, len(waits)*95/100)]
		r.InTime = float64(inTime) / float64(r.Accepted)
	}
	return r
}

// step hands the job in, or asks for it; the polls of many jobs are spread.
func (j *labJob) step(ctx context.Context, home *fleet.Cluster, i int) {
	if j.accepted.IsZero() {
		if ok, err := home.Submit(ctx, j.Job); ok && err == nil {
			j.accepted = time.Now()
		}
		return
	}
	if time.Now().UnixMilli()/20%16 != int64(i%16) {
		return
	}
	s, state := home.Query(ctx, j.ID)
	switch {
	case s == http.StatusNotFound:
		j.wentBack = true
	case s != http.StatusOK:
	case j.state == "done" && state != "done":
		j.wentBack = true
	case state == "done" && j.final.IsZero():
		j.final = time.Now()
	}
	if s == http.StatusOK {
		j.state, j.heard = state, time.Now()
	}
}

// look notes which tasks the workers of more than one cluster have at the moment.
func look(f *fleet.Fleet, twice, lent map[string]bool) {
	at := map[string]bool{}
	for _, c := range f.Clusters {
		tasks, _ := c.Live.Running()
		for _, x := range tasks {
			id, index, _ := strings.Cut(x, "/")
			if strings.HasPrefix(id, "job-lent-") {
				id = fleet.OriginalID(id)
				lent[id] = true
			}
			if x = id + "/" + index; at[x] {
				twice[x] = true
			}
			at[x] = true
		}
	}
}

// inject lets the fault happen and says how it is healed.
func inject(f *fleet.Fleet, opt fleet.Options, fault string) func() {
	peer := f.Clusters[1]
	each := func(c *fleet.Cluster, fn func(int)) {
		for i := range c.Controllers() {
			fn(i)
		}
	}
	switch fault {
	case "kill-peer":
		each(peer, peer.Kill)
		return func() { each(peer, func(i int) { _ = peer.Start(i) }) }
	case "silent-peer":
		each(peer, peer.Pause)
		return func() { each(peer, peer.Resume) }
	case "drain-peer":
		_ = exec.Command(opt.Program, "drain", "--addr", peer.InternalAddrs[0], "--within", "20s").Run()
	case "cut":
		// The home's controllers stand still, so that neither hears the other.
		home := f.Clusters[0]
		each(home, home.Pause)
		return func() { each(home, home.Resume) }
	case "restart-all":
		for _, c := range f.Clusters {
			each(c, c.Kill)
		}
		for _, c := range f.Clusters {
			each(c, func(i int) { _ = c.Start(i) })
		}
	}
	return func() {}
}

func tellOverflow(out io.Writer, r overflowResult, asJSON bool) error {
	if asJSON {
		e := json.NewEncoder(out)
		e.SetIndent("", "  ")
		if err := e.Encode(r); err != nil {
			return fmt.Errorf("overflow: %w", err)
		}
	} else {
		fmt.Fprintf(out, "accepted %d  final %d  twice %d  lost %d  went_back %d  forgotten %d  lent %d  in time %.0f %%  p95 %.1f s\n",
			r.Accepted, r.Final, r.Twice, r.Lost, r.WentBack, r.Forgotten, r.Lent, 100*r.InTime, r.P95)
	}
	if r.Twice+r.Lost+r.WentBack+r.Forgotten > 0 {
		return fmt.Errorf("overflow: a rule is broken: %d in two clusters, %d without an end, %d went back, %d forgotten", r.Twice, r.Lost, r.WentBack, r.Forgotten)
	}
	return nil
}
