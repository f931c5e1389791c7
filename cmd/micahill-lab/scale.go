package main

import (
	"context"
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

// errScaleViolation reports that a rule of the protocol was broken in a measurement.
var errScaleViolation = errors.New("scale: a rule was broken")

// scaleOptions are the flags of scale.
type scaleOptions struct {
	// plan holds of every measurement but for its workers and starts.
	plan scale.Plan
	// workers has one number for each measurement, and starts too; its last holds for the rest.
	workers     []int
	starts      []float64
	programFlag string
	// earlier are files with results that are fitted together with the new ones.
	earlier []string
	asJSON  bool
}

// scaleCommand runs clusters of growing size and measures them.
func scaleCommand() *cobra.Command {
	var o scaleOptions
	c := &cobra.Command{
		Use: "scale", Short: "Run clusters of growing size with hollow workers and measure what each role takes", Args: cobra.NoArgs,
		Long: "For each number of workers: real controllers and hollow workers on loopback, each with an\naddress, a session and tasks of its own that speaks the protocol whole, tasks being\ntimers. Measures processor and memory of each controller by role, requests and changes\nat the state service, reports, acceptance, urgent starts and the takeover when the\ncontroller that runs most is ended, and fits lines through the rungs. What other work\nthe machine had meanwhile stands under OTHERS, in cores.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			o.plan.Program, o.plan.Progress = controllerProgram(o.programFlag), cmd.ErrOrStderr()
			if len(o.earlier) > 0 && !cmd.Flags().Changed("workers") {
				o.workers = nil
			}
			plans, err := o.plans()
			if err != nil {
				return err
			}
			series, err := o.measure(cmd, plans)
			if err != nil {
				return err
			}
			series.Fit()
			return printScale(cmd.OutOrStdout(), series, o.asJSON)
		},
	}
	o.addFlags(c)
	return c
}

func (o *scaleOptions) addFlags(c *cobra.Command) {
	f := c.Flags()
	f.IntSliceVar(&o.workers, "workers", []int{100}, "hollow workers, one number for each rung")
	f.IntVar(&o.plan.Controllers, "controllers", 3, "controllers, 1 to 19")
	f.IntVar(&o.plan.Teams, "teams", 12, "teams, 1 to 250")
	f.Float64SliceVar(&o.starts, "starts", []float64{5}, "starts of tasks a second, one number for each rung; the last holds for the rest")
	f.IntVar(&o.plan.Tasks, "tasks", 20, "tasks of a job")
	f.DurationVar(&o.plan.TaskRunTime, "run", 10*time.Second, "how long a task runs")
	f.DurationVar(&o.plan.Duration, "for", 40*time.Second, "how long each rung is measured")
	f.DurationVar(&o.plan.HeartbeatInterval, "report", 5*time.Second, "how often workers report; a lease is six times that")
	f.Float64Var(&o.plan.StateRPS, "requests", 2000, "requests a second that the state service takes")
	f.Float64Var(&o.plan.StateWriteRPS, "changes", 1000, "changes a second that it takes")
	f.DurationVar(&o.plan.ChangeEvery, "change-every", 0, "switch the ranking on and change it that long after all controllers had the last change; 0: not")
	f.IntVar(&o.plan.LostWorkers, "lose", 0, "lose so many workers at once after each measurement, and wait until their tasks run elsewhere")
	f.BoolVar(&o.plan.Takeover, "takeover", true, "end the controller that runs most after each measurement")
	f.StringArrayVar(&o.plan.EnableFiles, "enable", nil, "file that switches something on at all controllers; repeatable")
	f.StringVar(&o.programFlag, "micahill", "", "the controllers' program (default: beside this one)")
	f.StringArrayVar(&o.earlier, "add", nil, "JSON of an earlier run, whose rungs stand in the table and the fits beside the new ones; repeatable; without --workers nothing new is run")
	f.BoolVar(&o.asJSON, "json", false, "as JSON")
}

// plans are the measurements to make, each of them valid.
func (o *scaleOptions) plans() ([]scale.Plan, error) {
	if len(o.starts) == 0 {
		return nil, errors.New("scale: --starts: want at least one number")
	}
	plans := make([]scale.Plan, len(o.workers))
	for i, n := range o.workers {
		plans[i] = o.plan
		plans[i].Workers, plans[i].StartsPerSecond = n, o.starts[min(i, len(o.starts)-1)]
		if err := plans[i].Validate(); err != nil {
			return nil, err
		}
	}
	return plans, nil
}

// measure reads the earlier measurements and makes the new ones.
func (o *scaleOptions) measure(cmd *cobra.Command, plans []scale.Plan) (*scale.Series, error) {
	var series scale.Series
	for _, name := range o.earlier {
		if err := addSeries(&series, name); err != nil {
			return nil, err
		}
	}
	for i := range plans {
		fmt.Fprintf(o.plan.Progress, "rung %d of %d: %d workers, %g starts/s\n", i+1, len(plans), plans[i].Workers, plans[i].StartsPerSecond)
		r, err := runMeasurement(cmd.Context(), plans[i])
		if err != nil {
			return nil, err
		}
		series.Measurements = append(series.Measurements, r)
	}
	return &series, nil
}

// addSeries adds the measurements of an earlier run.
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

// runMeasurement makes one measurement in a folder of its own, which stays if it fails.
func runMeasurement(ctx context.Context, p scale.Plan) (*scale.Measurement, error) {
	dir, err := os.MkdirTemp("", "micahill-scale")
	if err != nil {
		return nil, fmt.Errorf("scale: %w", err)
	}
	p.Dir = filepath.Clean(dir)
	r, err := scale.Measure(ctx, p)
	if err != nil {
		return nil, err
	}
	return r, os.RemoveAll(dir)
}

// printScale prints the measurements and fits, and fails if a rule was broken.
func printScale(out io.Writer, l *scale.Series, asJSON bool) error {
	if asJSON {
		if err := printJSON(out, l); err != nil {
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
