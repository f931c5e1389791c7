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

// errScaleViolation reports that a measurement broke a rule of the protocol.
var errScaleViolation = errors.New("scale: a rule was broken")

// scaleOptions holds the flags of scale.
type scaleOptions struct {
	// plan applies to every measurement, except for its numbers of workers and starts.
	plan scale.Plan
	// workers has one element for each measurement. starts has up to as many; its last element
	// applies to the remaining measurements.
	workers     []int
	starts      []float64
	programFlag string
	// earlier lists files of earlier results, which are printed and fitted together with the new
	// ones.
	earlier []string
	asJSON  bool
}

// scaleCommand returns the verb that runs and measures clusters of growing size.
func scaleCommand() *cobra.Command {
	var options scaleOptions
	command := &cobra.Command{
		Use: "scale", Short: "Run clusters of growing size with hollow workers and measure the resources that each role takes", Args: cobra.NoArgs,
		Long: "For each number of workers: runs real controllers and hollow workers on loopback. A\nhollow worker has its own address, session and tasks and speaks the whole protocol, but\nits tasks are timers. Measures processor time and memory of each controller by role,\nrequests and changes at the state service, reports, acceptance, urgent starts and the\ntakeover after the controller with the most duties is killed, and fits lines through the\nmeasurements (rungs). OTHERS is the load of other processes on the machine, in cores.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			options.plan.Program, options.plan.Progress = controllerProgram(options.programFlag), cmd.ErrOrStderr()
			if len(options.earlier) > 0 && !cmd.Flags().Changed("workers") {
				options.workers = nil
			}
			plans, err := options.plans()
			if err != nil {
				return err
			}
			series, err := options.measure(cmd, plans)
			if err != nil {
				return err
			}
			series.Fit()
			return printScale(cmd.OutOrStdout(), series, options.asJSON)
		},
	}
	options.addFlags(command)
	return command
}

// addFlags defines the flags.
func (options *scaleOptions) addFlags(command *cobra.Command) {
	flags := command.Flags()
	flags.IntSliceVar(&options.workers, "workers", []int{100}, "numbers of hollow workers, one for each rung")
	flags.IntVar(&options.plan.Controllers, "controllers", 3, "number of controllers, 1 to 19")
	flags.IntVar(&options.plan.Teams, "teams", 12, "number of teams, 1 to 250")
	flags.Float64SliceVar(&options.starts, "starts", []float64{5}, "starts of tasks a second, one number for each rung; the last applies to the remaining rungs")
	flags.IntVar(&options.plan.Tasks, "tasks", 20, "number of tasks of a job")
	flags.DurationVar(&options.plan.TaskRunTime, "run", 10*time.Second, "how long a task runs")
	flags.DurationVar(&options.plan.Duration, "for", 40*time.Second, "how long each rung is measured")
	flags.DurationVar(&options.plan.HeartbeatInterval, "report", 5*time.Second, "time between two reports of a worker; a lease is six times that")
	flags.Float64Var(&options.plan.StateRPS, "requests", 2000, "requests a second that the state service takes")
	flags.Float64Var(&options.plan.StateWriteRPS, "changes", 1000, "changes a second that the state service takes")
	flags.DurationVar(&options.plan.ChangeEvery, "change-every", 0, "enable the ranking and change it, with this pause after all controllers have the last change; 0: leave the ranking off")
	flags.IntVar(&options.plan.LostWorkers, "lose", 0, "kill so many workers at once after each measurement, and wait until their tasks run elsewhere")
	flags.BoolVar(&options.plan.Takeover, "takeover", true, "kill the controller with the most duties after each measurement")
	flags.StringArrayVar(&options.plan.EnableFiles, "enable", nil, "file that enables a feature at all controllers; repeatable")
	flags.StringVar(&options.programFlag, "micahill", "", "the controllers' program (default: micahill in this program's directory)")
	flags.StringArrayVar(&options.earlier, "add", nil, "JSON file of an earlier run, whose rungs are added to the table and the fits; repeatable; without --workers no new rung is run")
	flags.BoolVar(&options.asJSON, "json", false, "as JSON")
}

// plans returns the measurements to make, and an error if one of them is invalid.
func (options *scaleOptions) plans() ([]scale.Plan, error) {
	if len(options.starts) == 0 {
		return nil, errors.New("scale: --starts: want at least one number")
	}
	plans := make([]scale.Plan, len(options.workers))
	for i, workers := range options.workers {
		plans[i] = options.plan
		plans[i].Workers, plans[i].StartsPerSecond = workers, options.starts[min(i, len(options.starts)-1)]
		if err := plans[i].Validate(); err != nil {
			return nil, err
		}
	}
	return plans, nil
}

// measure reads the earlier measurements and makes the new ones, in the order of the plans.
func (options *scaleOptions) measure(cmd *cobra.Command, plans []scale.Plan) (*scale.Series, error) {
	var series scale.Series
	for _, name := range options.earlier {
		if err := addSeries(&series, name); err != nil {
			return nil, err
		}
	}
	for i := range plans {
		fmt.Fprintf(options.plan.Progress, "rung %d of %d: %d workers, %g starts/s\n", i+1, len(plans), plans[i].Workers, plans[i].StartsPerSecond)
		measurement, err := runMeasurement(cmd.Context(), plans[i])
		if err != nil {
			return nil, err
		}
		series.Measurements = append(series.Measurements, measurement)
	}
	return &series, nil
}

// addSeries appends the measurements in the JSON file of an earlier run.
func addSeries(series *scale.Series, name string) error {
	b, err := os.ReadFile(name)
	if err != nil {
		return fmt.Errorf("scale: --add: %w", err)
	}
	var earlier scale.Series
	if err := json.Unmarshal(b, &earlier); err != nil {
		return fmt.Errorf("scale: --add %s: %w", name, err)
	}
	series.Measurements = append(series.Measurements, earlier.Measurements...)
	return nil
}

// runMeasurement makes one measurement in a temporary directory of its own, which is kept for its
// logs if the measurement fails.
func runMeasurement(ctx context.Context, plan scale.Plan) (*scale.Measurement, error) {
	dir, err := os.MkdirTemp("", "micahill-scale")
	if err != nil {
		return nil, fmt.Errorf("scale: %w", err)
	}
	plan.Dir = filepath.Clean(dir)
	measurement, err := scale.Measure(ctx, plan)
	if err != nil {
		return nil, err
	}
	return measurement, os.RemoveAll(dir)
}

// printScale prints the measurements and fits, and returns errScaleViolation if a rule was
// broken.
func printScale(out io.Writer, series *scale.Series, asJSON bool) error {
	if asJSON {
		if err := printJSON(out, series); err != nil {
			return fmt.Errorf("scale: %w", err)
		}
	} else if err := series.Print(out); err != nil {
		return err
	}
	for _, measurement := range series.Measurements {
		if len(measurement.Violations) > 0 {
			return fmt.Errorf("%w: %s", errScaleViolation, measurement.Violations[0])
		}
	}
	return nil
}
