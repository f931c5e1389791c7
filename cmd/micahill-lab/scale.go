package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/micahill/micahill/internal/lab/scale"
	"github.com/spf13/cobra"
)

// errScaleViolation says that a rung broke a rule of the protocol.
var errScaleViolation = errors.New("scale: a rule was broken")

// scaleCommand runs clusters of growing size and measures them.
func scaleCommand() *cobra.Command {
	var plan scale.Plan
	var workers []int
	var starts []float64
	var programFlag string
	var earlier []string
	var asJSON bool
	c := &cobra.Command{
		Use: "scale", Short: "Run clusters of growing size with hollow workers and measure what each role takes", Args: cobra.NoArgs,
		Long: "For each number of workers: real controllers and hollow workers on loopback, each with an\naddress, a session and tasks of its own that speaks the protocol whole, tasks being\ntimers. Measures processor and memory of each controller by role, requests and changes\nat the state service, reports, acceptance, urgent starts and the takeover when the\ncontroller that runs most is ended, and fits lines through the rungs. What other work\nthe machine had meanwhile stands under OTHERS, in cores.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			plan.Program, plan.Progress = controllerProgram(programFlag), cmd.ErrOrStderr()
			if len(earlier) > 0 && !cmd.Flags().Changed("workers") {
				workers = nil
			}
			if len(starts) == 0 {
				return errors.New("scale: --starts: want at least one number")
			}
			plans := make([]scale.Plan, len(workers))
			for i, n := range workers {
				plans[i] = plan
				plans[i].Workers, plans[i].StartsPerSecond = n, starts[min(i, len(starts)-1)]
				if err := plans[i].Validate(); err != nil {
					return err
				}
			}
			var l scale.Series
			for _, name := range earlier {
				if err := addSeries(&l, name); err != nil {
					return err
				}
			}
			for i := range plans {
				fmt.Fprintf(plan.Progress, "rung %d of %d: %d workers, %g starts/s\n", i+1, len(plans), plans[i].Workers, plans[i].StartsPerSecond)
				r, err := runMeasurement(cmd, plans[i])
				if err != nil {
					return err
				}
				l.Measurements = append(l.Measurements, r)
			}
			l.Fit()
			return printScale(cmd.OutOrStdout(), &l, asJSON)
		},
	}
	f := c.Flags()
	f.IntSliceVar(&workers, "workers", []int{100}, "hollow workers, one number for each rung")
	f.IntVar(&plan.Controllers, "controllers", 3, "controllers, 1 to 19")
	f.IntVar(&plan.Teams, "teams", 12, "teams, 1 to 250")
	f.Float64SliceVar(&starts, "starts", []float64{5}, "starts of tasks a second, one number for each rung; the last holds for the rest")
	f.IntVar(&plan.Tasks, "tasks", 20, "tasks of a job")
	f.DurationVar(&plan.TaskRunTime, "run", 10*time.Second, "how long a task runs")
	f.DurationVar(&plan.Duration, "for", 40*time.Second, "how long each rung is measured")
	f.DurationVar(&plan.HeartbeatInterval, "report", 5*time.Second, "how often workers report; a lease is six times that")
	f.Float64Var(&plan.StateRPS, "requests", 2000, "requests a second that the state service takes")
	f.Float64Var(&plan.StateWriteRPS, "changes", 1000, "changes a second that it takes")
	f.DurationVar(&plan.ChangeEvery, "change-every", 0, "switch the ranking on and change it that long after all controllers had the last change; 0: not")
	f.IntVar(&plan.LostWorkers, "lose", 0, "lose so many workers at once after each measurement, and wait until their tasks run elsewhere")
	f.BoolVar(&plan.Takeover, "takeover", true, "end the controller that runs most after each measurement")
	f.StringArrayVar(&plan.EnableFiles, "enable", nil, "file that switches something on at all controllers; repeatable")
	f.StringVar(&programFlag, "micahill", "", "the controllers' program (default: beside this one)")
	f.StringArrayVar(&earlier, "add", nil, "JSON of an earlier run, whose rungs stand in the table and the fits beside the new ones; repeatable; without --workers nothing new is run")
	f.BoolVar(&asJSON, "json", false, "as JSON")
	return c
}

// addSeries adds the rungs of an earlier run.
func addSeries(l *scale.Series, name string) error {
	b, err := os.ReadFile(name)
	if err != nil {
		return fmt.Errorf("scale: --add: %w", err)
	}
	var earlier scale.Series
	if err := json.Unmarshal(b, &earlier); err != nil {
		return fmt.Errorf("scale: --add %s: %w", name, err)
	}
	l.Measurements = append(l.Measurements, earlier.Measurements...)
	return nil
}

// runMeasurement plays one in a folder of its own, which stays if it fails.
func runMeasurement(cmd *cobra.Command, p scale.Plan) (*scale.Measurement, error) {
	dir, err := os.MkdirTemp("", "micahill-scale")
	if err != nil {
		return nil, fmt.Errorf("scale: %w", err)
	}
	p.Dir = filepath.Clean(dir)
	r, err := scale.Measure(cmd.Context(), p)
	if err != nil {
		return nil, err
	}
	return r, os.RemoveAll(dir)
}

func printScale(out io.Writer, l *scale.Series, asJSON bool) error {
	if asJSON {
		e := json.NewEncoder(out)
		e.SetIndent("", "  ")
		if err := e.Encode(l); err != nil {
			return fmt.Errorf("scale: %w", err)
		}
	} else if err := l.Print(out); err != nil {
		return err
	}
	for _, r := range l.Measurements {
		if len(r.Violations) > 0 {
			return fmt.Errorf("%w: %s", errScaleViolation, r.Violations[0])
		}
	}
	return nil
}
