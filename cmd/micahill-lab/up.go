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

// controllerProgram returns the path of the controllers' program: that of the flag, or else
// micahill in the directory of this program.
func controllerProgram(flag string) string {
	if flag != "" {
		return flag
	}
	if executable, err := os.Executable(); err == nil {
		return filepath.Join(filepath.Dir(executable), "micahill")
	}
	return filepath.Join("target", "micahill")
}

// upCommand returns the verb that starts clusters on loopback and keeps them running until
// interrupted.
func upCommand() *cobra.Command {
	var options fleet.Options
	var first bool
	var jobs int
	var programFlag, dir string
	command := &cobra.Command{
		Use: "up", Short: "Start clusters on loopback and keep them running until interrupted", Args: cobra.NoArgs,
		Long: "Starts whole clusters on this machine: real controllers, and a simulated state service,\ncloud and workers. Prints addresses and process ids, runs a first job, submits more with\n--jobs, and runs until interrupted, for at most one hour. Jobs submitted by others are\naccepted, but the simulated machines know only this command's jobs.",
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
			labFleet, err := fleet.Start(cmd.Context(), options)
			if err != nil {
				return err
			}
			defer labFleet.Stop()
			for _, cluster := range labFleet.Clusters {
				for i := range cluster.APIAddrs {
					fmt.Fprintf(out, "%s node-%d: users at %s, operators at %s, process %d\n", cluster.Name, i, cluster.APIAddrs[i], cluster.InternalAddrs[i], cluster.PID(i))
				}
			}
			fmt.Fprintf(out, "logs: %s\nlook: %s status --addr %s\n", options.Dir, options.Program, labFleet.Clusters[0].InternalAddrs[0])
			if first {
				if err := runFirstJob(cmd, labFleet.Clusters[0]); err != nil {
					return err
				}
			}
			fmt.Fprintln(out, "running; interrupt to stop")
			ctx, cancel := context.WithTimeout(cmd.Context(), time.Hour)
			defer cancel()
			if err := submitJobs(ctx, labFleet.Clusters[0], jobs); err != nil {
				return err
			}
			<-ctx.Done()
			return nil
		},
	}
	command.Flags().IntVar(&options.Clusters, "clusters", 1, "how many clusters, 1 to 5; two or more lend to each other")
	command.Flags().IntVar(&options.Controllers, "controllers", 3, "controllers of each cluster, 1 to 19")
	command.Flags().IntSliceVar(&options.Machines, "machines", nil, "machines that each cluster's cloud has, such as 1,20,20")
	command.Flags().BoolVar(&first, "job", true, "run a first job of four tasks")
	command.Flags().IntVar(&jobs, "jobs", 0, "submit so many more jobs, one a second, of the workloads alert, report and reprint")
	command.Flags().StringArrayVar(&options.EnableFiles, "enable", []string{"deploy/ranking.toml", "deploy/promises.toml", "deploy/models.toml"}, "file that enables a feature at all controllers; repeatable; --enable= for none")
	command.Flags().StringVar(&programFlag, "micahill", "", "the controllers' program (default: micahill in this program's directory)")
	command.Flags().StringVar(&dir, "dir", "", "directory for settings, keys and logs (default: a temporary one)")
	return command
}

// runFirstJob submits a job of four tasks and prints its states until it is done. It returns an
// error if that takes more than a minute.
func runFirstJob(cmd *cobra.Command, cluster *fleet.Cluster) error {
	began := time.Now()
	job := fleet.Job{ID: fmt.Sprintf("job-%08x", rand.Uint32()), Team: "ops", Tasks: 4, CPUs: 1, RunTime: 3 * time.Second, Urgency: "normal"}
	lastState := ""
	for accepted := false; time.Since(began) < time.Minute; time.Sleep(100 * time.Millisecond) {
		if !accepted {
			var err error
			if accepted, err = cluster.Submit(cmd.Context(), job); err != nil {
				return err
			}
			continue
		}
		status, state := cluster.Query(cmd.Context(), job.ID)
		if status == http.StatusOK && state != lastState {
			lastState = state
			fmt.Fprintf(cmd.OutOrStdout(), "%s: %s after %.1f s\n", job.ID, state, time.Since(began).Seconds())
		}
		if state == "done" {
			return nil
		}
	}
	return errors.New("up: the first job did not end within a minute; look at the logs")
}

// submitJobs submits jobs, one a second. Job i is short and urgent if i%7 == 3. Any other job has
// normal urgency, and is large if i%3 == 2.
func submitJobs(ctx context.Context, cluster *fleet.Cluster, jobs int) error {
	for i := range jobs {
		job := fleet.Job{ID: fmt.Sprintf("job-%08x", rand.Uint32()), Team: "ops", Workload: "report", Tasks: 4, CPUs: 1, RunTime: 10 * time.Second, Urgency: "normal"}
		switch {
		case i%7 == 3:
			job.Workload, job.Tasks, job.RunTime, job.Urgency = "alert", 1, 2*time.Second, "urgent"
		case i%3 == 2:
			job.Workload, job.Tasks, job.RunTime = "reprint", 8, 15*time.Second
		}
		for accepted := false; !accepted; {
			var err error
			if accepted, err = cluster.Submit(ctx, job); err != nil && ctx.Err() == nil {
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
