package main

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"

	"github.com/micahill/micahill/internal/simulation"
	"github.com/spf13/cobra"
)

// daysOptions holds the flags of days.
type daysOptions struct {
	// params apply to every day. params.Seed is the seed of a single day or of a search.
	params simulation.DayParams
	// count is the number of days, with consecutive seeds from firstSeed on. parallel of them run
	// at a time.
	count, firstSeed uint64
	parallel         int
	// dayFile is the path of a saved day that is run in place of a generated one.
	dayFile string
	shrink  bool
	// trace selects the debug lines of a single day: words separated by |.
	trace         string
	quiet, asJSON bool
	searchMode    bool
	search        daySearch
}

// daysHelp is the help text of days.
const daysHelp = `Runs days of controllers, state service, cloud, machines and users in simulated
time. What no flag sets is drawn from each day's seed: 1 to 9 teams, 3 to 7
controllers, tens to a thousand machines, small limits and faults. All rules are
checked after every step. Prints for each class and team the served part, the waits
and how late jobs were. LARGEST is the served part of a class's largest jobs, the least
of all classes. BEGIN is the longest wait of such a job for its first task, and for as
many tasks as its limit and the capacity allow at a time. Exit status 1 if a rule was
broken, a job was forgotten, less than half of a class, of its largest jobs or of a team
was served, or one of the largest jobs started after more than 240 s. The served part is
counted three minutes after the last job was submitted. Neither the served part nor the
240 s include time in which the cloud provides hardly any machines, late boots leave no
usable machine, or the state service or all controllers are unavailable.

With --meetings two or three faults of any kind overlap while users cancel most jobs of
a class. Tasks of a cancelled job have to be gone in time from the moment that the first
answer leaves a controller, whether or not it arrives, on every machine whose lease has
not ended.

With --pipelines jobs depend on other jobs, and users cancel in the middle of such
pipelines. No job starts before all its dependencies are done, the dependents of a
cancelled job are reported as cancelled within cancel_s, and the dependents of a done
job go on.

With --seek it generates days with overlapping faults, keeps those that came nearest to
breaking a rule with a time limit, shifts, swaps and replaces their faults, and repeats
this from the days kept. It prints the least slack found for each rule, and writes those
days, and all that broke a rule, into --out as files for --play. --seed is the seed of
the search: the same seed runs the same days unless --within ends the search earlier.
Without --machines the days are small. Exit status 1 if a rule was broken.

--seed N runs one day and prints its log. --shrink removes faults from a day that breaks
a rule while it still breaks one.`

// daysCommand returns the verb that runs days of the simulation.
func daysCommand() *cobra.Command {
	var options daysOptions
	command := &cobra.Command{
		Use: "days", Short: "Run seeded days in simulated time and check all rules", Args: cobra.NoArgs,
		Long: daysHelp,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := options.validate(); err != nil {
				return err
			}
			out, progress := cmd.OutOrStdout(), cmd.ErrOrStderr()
			switch {
			case options.searchMode:
				options.search.seed = max(1, options.params.Seed)
				return options.search.run(out, progress, options.params, options.parallel)
			case cmd.Flags().Changed("seed") || options.dayFile != "":
				return options.runOne(out, progress)
			}
			return printDays(out, options.runAll(), options.asJSON, options.count == 1)
		},
	}
	options.addFlags(command)
	return command
}

// addFlags defines the flags.
func (options *daysOptions) addFlags(command *cobra.Command) {
	flags := command.Flags()
	flags.IntVar(&options.params.Machines, "machines", 0, "number of machines that the cloud has")
	flags.IntVar(&options.params.Teams, "teams", 0, "number of teams, up to 26")
	flags.IntVar(&options.params.Controllers, "controllers", 0, "number of controllers, up to 9")
	flags.IntVar(&options.params.Jobs, "jobs", 0, "number of ordinary jobs")
	flags.IntVar(&options.params.FaultCount, "faults", 0, "number of faults; -1: none")
	flags.IntVar(&options.params.Minutes, "minutes", 0, "for how many minutes jobs are submitted")
	flags.IntVar(&options.params.HotFactor, "hot", 0, "load of the first team, as a multiple of another team's")
	flags.BoolVar(&options.params.UnlistedFaults, "unlisted", false, "add unlisted faults: late boots, bursts of polls, jobs that always fail, a team of guests, repeated crashes, and links and services that work in part")
	flags.BoolVar(&options.params.ProtocolFaults, "product", false, "as --unlisted, and add faults of the protocol: unreachable machines, late copies of reports, controllers that reach only their workers, and processes and machines that are back within a fraction of a second")
	flags.BoolVar(&options.params.OverlappingFaults, "meetings", false, "two or three faults of any kind overlap, and users cancel most jobs of a class around them; combines with --unlisted, --product and --faults")
	flags.BoolVar(&options.params.Pipelines, "pipelines", false, "jobs that depend on other jobs, in chains, joins and fans, and users who cancel in the middle of them")
	flags.BoolVar(&options.params.MixedJobs, "mixed", false, "jobs that save snapshots, run until cancelled, are bound to a zone or spread over zones, and skewed clocks")
	flags.IntVar(&options.params.CancelMarginS, "cancel-room", 0, "by how many seconds cancel_s is longer than a lease; 0: 30")
	flags.IntVar(&options.params.Models, "models", 0, "number of hosts with eight GPUs, for models that take from one GPU to a whole host")
	flags.StringSliceVar(&options.params.Enabled, "on", nil, "features to enable: ranking, promises, models, or all")
	flags.Uint64Var(&options.count, "seeds", 10, "number of days")
	flags.Uint64Var(&options.firstSeed, "from", 1, "the first day's seed")
	flags.Uint64Var(&options.params.Seed, "seed", 0, "run the day of this seed, and print its log")
	flags.StringVar(&options.dayFile, "play", "", "run the day saved in this file, as with --seed")
	flags.BoolVar(&options.searchMode, "seek", false, "search for days with overlapping faults that leave little slack")
	flags.IntVar(&options.search.runs, "runs", 500, "with --seek: number of days to run")
	flags.DurationVar(&options.search.timeLimit, "within", 0, "with --seek: end the search after this time; 0: no limit")
	flags.StringVar(&options.search.focusRule, "first", simulation.RuleCancelled, "with --seek: the rule whose nearest days half of the changed days start from")
	flags.StringVar(&options.search.outDir, "out", ".", "with --seek: the directory that days are written to")
	flags.BoolVar(&options.shrink, "shrink", false, "with --seed or --play: remove faults while the day still breaks a rule")
	flags.StringVar(&options.trace, "trace", "", "with --seed: print debug lines that contain this word, or one of several separated by |")
	flags.BoolVar(&options.quiet, "quiet", false, "with --seed: print no log")
	flags.IntVar(&options.parallel, "parallel", 6, "how many days run at a time")
	flags.BoolVar(&options.asJSON, "json", false, "print the results as JSON")
}

// validate checks the flags that set sizes, and the parameters of the days.
func (options *daysOptions) validate() error {
	params := &options.params
	if params.Machines < 0 || params.Teams < 0 || params.Teams > 26 || params.Controllers < 0 || params.Controllers > 9 || params.Models < 0 || options.count < 1 {
		return errors.New("days: want --machines and --models of at least 0, --teams of 0 to 26, --controllers of 0 to 9, and --seeds of at least 1")
	}
	return params.Validate()
}

// runOne runs a single day, generated or loaded from a file, and prints its log and its groups.
func (options *daysOptions) runOne(out, progress io.Writer) error {
	day := simulation.GenerateDay(options.params)
	if options.dayFile != "" {
		var err error
		if day, err = simulation.LoadDay(options.dayFile); err != nil {
			return fmt.Errorf("days: %w", err)
		}
	}
	if options.shrink {
		broken := func(r simulation.DayResult) bool { return len(r.Violations) > 0 }
		day = simulation.Shrink(day, broken, func(s string) { fmt.Fprintln(progress, s) })
	}
	result := simulation.RunDay(day, options.trace)
	if !options.quiet {
		fmt.Fprintln(out, strings.Join(result.Log, "\n"))
	}
	return printDays(out, []simulation.DayResult{result}, options.asJSON, true)
}

// runAll generates and runs days with consecutive seeds, and returns their results in that
// order.
func (options *daysOptions) runAll() []simulation.DayResult {
	results := make([]simulation.DayResult, options.count)
	var wg sync.WaitGroup
	slots := make(chan struct{}, max(1, options.parallel))
	for i := range options.count {
		wg.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			params := options.params
			params.Seed = options.firstSeed + i
			results[i] = simulation.RunDay(simulation.GenerateDay(params), "")
		})
	}
	wg.Wait()
	return results
}
