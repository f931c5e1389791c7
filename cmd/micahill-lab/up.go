package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/micahill/micahill/internal/lab/fleet"
	"github.com/spf13/cobra"
)

// controllerProgram is the path of the controllers' program: the flag's, or beside this one.
func controllerProgram(flag string) string {
	if flag != "" {
		return flag
	}
	if me, err := os.Executable(); err == nil {
		return filepath.Join(filepath.Dir(me), "micahill")
	}
	return filepath.Join("target", "micahill")
}

// upCommand brings clusters up and keeps them until interrupted.
func upCommand() *cobra.Command {
	var options fleet.Options
	var first bool
	var jobs int
	var programFlag, dir string
	c := &cobra.Command{
		Use: "up", Short: "Bring clusters up on loopback and keep them until interrupted", Args: cobra.NoArgs,
		Long: "Brings up whole clusters on this machine: real controllers, and stand-ins for state\nservice, cloud and workers. Prints addresses and processes, runs a first job, hands in\nmore if asked to, and stays until interrupted. At most one hour. Work handed in by\nothers is accepted, but the machines here know only this command's jobs.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			out := cmd.OutOrStdout()
			if jobs < 0 || jobs > 10000 {
				return fmt.Errorf("up: --jobs %d: want 0 to 10000", jobs)
			}
			var err error
			if options.Dir = dir; dir == "" {
				if options.Dir, err = os.MkdirTemp("", "micahill-lab"); err != nil {
					return fmt.Errorf("up: %w", err)
				}
				defer os.RemoveAll(options.Dir)
			}
			options.EnableFiles = slices.DeleteFunc(options.EnableFiles, func(x string) bool { return x == "" })
			options.Program, options.Overflow, options.LogLevel = controllerProgram(programFlag), options.Clusters > 1, "info"
			f, err := fleet.Start(cmd.Context(), options)
			if err != nil {
				return err
			}
			defer f.Stop()
			for _, c := range f.Clusters {
				for i := range c.APIAddrs {
					fmt.Fprintf(out, "%s node-%d: users at %s, operators at %s, process %d\n", c.Name, i, c.APIAddrs[i], c.InternalAddrs[i], c.PID(i))
				}
			}
			fmt.Fprintf(out, "logs: %s\nlook: %s status --addr %s\n", options.Dir, options.Program, f.Clusters[0].InternalAddrs[0])
			if first {
				if err := runFirstJob(cmd, f.Clusters[0]); err != nil {
					return err
				}
			}
			fmt.Fprintln(out, "running; interrupt to end")
			ctx, cancel := context.WithTimeout(cmd.Context(), time.Hour)
			defer cancel()
			if err := submitJobs(ctx, f.Clusters[0], jobs); err != nil {
				return err
			}
			<-ctx.Done()
			return nil
		},
	}
	c.Flags().IntVar(&options.Clusters, "clusters", 1, "how many clusters, 1 to 5; more than one lend to each other")
	c.Flags().IntVar(&options.Controllers, "controllers", 3, "controllers of each, 1 to 19")
	c.Flags().IntSliceVar(&options.Machines, "machines", nil, "machines that each cluster's cloud has, such as 1,20,20")
	c.Flags().BoolVar(&first, "job", true, "run a first job of four tasks")
	c.Flags().IntVar(&jobs, "jobs", 0, "hand so many more jobs in, one a second, of the workloads alert, report and reprint")
	c.Flags().StringArrayVar(&options.EnableFiles, "enable", []string{"deploy/ranking.toml", "deploy/promises.toml", "deploy/models.toml"}, "file that switches something on at all controllers; repeatable; --enable= for none")
	c.Flags().StringVar(&programFlag, "micahill", "", "the controllers' program (default: beside this one)")
	c.Flags().StringVar(&dir, "dir", "", "folder for settings, keys and logs (default: a temporary one)")
	return c
}

// runFirstJob submits a job of four tasks and prints its states until it is done.
func runFirstJob(cmd *cobra.Command, c *fleet.Cluster) error {
	began := time.Now()
	j := fleet.Job{ID: fmt.Sprintf("job-%08x", rand.Uint32()), Team: "ops", Tasks: 4, CPUs: 1, RunTime: 3 * time.Second, Urgency: "normal"}
	lastState := ""
	for accepted := false; time.Since(began) < time.Minute; time.Sleep(100 * time.Millisecond) {
		if !accepted {
			var err error
			if accepted, err = c.Submit(cmd.Context(), j); err != nil {
				return err
			}
			continue
		}
		s, state := c.Query(cmd.Context(), j.ID)
		if s == http.StatusOK && state != lastState {
			lastState = state
			fmt.Fprintf(cmd.OutOrStdout(), "%s: %s after %.1f s\n", j.ID, state, time.Since(began).Seconds())
		}
		if state == "done" {
			return nil
		}
	}
	return errors.New("up: the first job did not end within a minute; look at the logs")
}

// submitJobs submits jobs, one a second: of each seven one is urgent and short, and every third is
// large and of normal urgency.
func submitJobs(ctx context.Context, c *fleet.Cluster, jobs int) error {
	for i := range jobs {
		j := fleet.Job{ID: fmt.Sprintf("job-%08x", rand.Uint32()), Team: "ops", Workload: "report", Tasks: 4, CPUs: 1, RunTime: 10 * time.Second, Urgency: "normal"}
		switch {
		case i%7 == 3:
			j.Workload, j.Tasks, j.RunTime, j.Urgency = "alert", 1, 2*time.Second, "urgent"
		case i%3 == 2:
			j.Workload, j.Tasks, j.RunTime = "reprint", 8, 15*time.Second
		}
		for accepted := false; !accepted; {
			var err error
			if accepted, err = c.Submit(ctx, j); err != nil && ctx.Err() == nil {
				return err
			}
			select {
			case <-ctx.Done():
				return nil
			case <-time.After(time.Second):
			}
		}
	}
	return nil
}
