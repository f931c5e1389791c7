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

// daysOptions are the flags of days.
type daysOptions struct {
	// params hold of every day; its seed is that of a single day or of a search.
	params simulation.DayParams
	// count days are played from firstSeed on, parallel of them at a time.
	count, firstSeed uint64
	parallel         int
	// dayFile holds the day that is played in place of a drawn one.
	dayFile string
	shrink  bool
	// trace selects the debug lines of a single day.
	trace         string
	quiet, asJSON bool
	searchMode    bool
	search        daySearch
}

const daysHelp = `Plays days of controllers, state service, cloud, machines and users in simulated
time. What is not given is drawn from each day's seed: 1 to 9 teams, 3 to 7
controllers, tens to a thousand machines, small limits and troubles. All rules are
checked after every step. Tells for each class and team what was served, the waits
and how late jobs were. LARGEST is the part of a class's largest jobs that was served,
the least of all classes; BEGIN is the longest wait of one for its first task, and for
all that limit and room allow at once. Status 1 if a rule was broken, a job was
forgotten, less than half of a class, its largest jobs or a team was served, or one of
the largest began after more than 240 s. What was served is counted three minutes after
the last job came. Time in which the cloud gives hardly anything, late boots leave
nothing to use, or the state service or all controllers are away counts for neither.

With --meetings two or three troubles of all lists overlap while users cancel most of
a class. Tasks of a cancelled job have to be gone in time from the first answer that
leaves a controller, heard or not, on every machine whose lease has not ended.

With --pipelines jobs need others, and users cancel in the middle of such pipelines:
nothing starts before all that it needs is done, what needs a cancelled job is called
cancelled within cancel_s, and what comes after a done job goes on.

With --seek it draws such days, keeps those that came nearest to breaking a rule that
has a time, shifts, swaps and replaces their troubles and goes on from there. It tells
the least slack found by rule, and writes those days, and all that broke a rule, into
--out as files for --play. --seed is the search's; the same seed plays the same days, as
long as --within does not end it earlier. Without --machines the days are small. Status 1
if a rule was broken.

--seed N plays one day and prints its log, --shrink cuts a broken one down to the
troubles that it takes.`

// daysCommand plays days of the simulation.
func daysCommand() *cobra.Command {
	var o daysOptions
	c := &cobra.Command{
		Use: "days", Short: "Play seeded days in simulated time and check all rules", Args: cobra.NoArgs,
		Long: daysHelp,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := o.validate(); err != nil {
				return err
			}
			out, progress := cmd.OutOrStdout(), cmd.ErrOrStderr()
			switch {
			case o.searchMode:
				o.search.seed = max(1, o.params.Seed)
				return o.search.run(out, progress, o.params, o.parallel)
			case cmd.Flags().Changed("seed") || o.dayFile != "":
				return o.playOne(out, progress)
			}
			return printDays(out, o.playAll(), o.asJSON, o.count == 1)
		},
	}
	o.addFlags(c)
	return c
}

func (o *daysOptions) addFlags(c *cobra.Command) {
	f := c.Flags()
	f.IntVar(&o.params.Machines, "machines", 0, "machines that the cloud has")
	f.IntVar(&o.params.Teams, "teams", 0, "teams")
	f.IntVar(&o.params.Controllers, "controllers", 0, "controllers")
	f.IntVar(&o.params.Jobs, "jobs", 0, "jobs in all")
	f.IntVar(&o.params.FaultCount, "faults", 0, "troubles; -1: none")
	f.IntVar(&o.params.Minutes, "minutes", 0, "how long jobs come")
	f.IntVar(&o.params.HotFactor, "hot", 0, "how many times the work of another team the first has")
	f.BoolVar(&o.params.UnlistedFaults, "unlisted", false, "with troubles that were on no list: late boots, storms of polls, mistakes, guests, ends in a row, links that are half there")
	f.BoolVar(&o.params.ProtocolFaults, "product", false, "as --unlisted, also with machines that nothing reaches, late copies of reports, controllers that have only their workers, and processes and machines back at once")
	f.BoolVar(&o.params.OverlappingFaults, "meetings", false, "two or three troubles of all lists meet, and users cancel most of a class around them; with --unlisted, --product or --faults also those")
	f.BoolVar(&o.params.Pipelines, "pipelines", false, "jobs that need others, in chains, joins and fans, and users who cancel in the middle of them")
	f.BoolVar(&o.params.MixedJobs, "mixed", false, "jobs that save, stand, are bound to a zone or apart, and clocks that are off")
	f.IntVar(&o.params.CancelMarginS, "cancel-room", 0, "by how many seconds cancel_s is longer than a lease; 0: 30")
	f.IntVar(&o.params.Models, "models", 0, "so many hosts with eight GPUs, and models of one GPU to a whole host")
	f.StringSliceVar(&o.params.Enabled, "on", nil, "what is switched on: ranking, promises, models, or all")
	f.Uint64Var(&o.count, "seeds", 10, "how many days")
	f.Uint64Var(&o.firstSeed, "from", 1, "the first day's seed")
	f.Uint64Var(&o.params.Seed, "seed", 0, "play this one day, with its log")
	f.StringVar(&o.dayFile, "play", "", "play the day of this file, as with --seed")
	f.BoolVar(&o.searchMode, "seek", false, "search days of meetings by the slack that they leave")
	f.IntVar(&o.search.runs, "runs", 500, "with --seek: how many days are played")
	f.DurationVar(&o.search.timeLimit, "within", 0, "with --seek: end it after this time; 0: when all are played")
	f.StringVar(&o.search.focusRule, "first", simulation.RuleCancelled, "with --seek: the rule that half of the changed days go on from")
	f.StringVar(&o.search.outDir, "out", ".", "with --seek: where days are written")
	f.BoolVar(&o.shrink, "shrink", false, "with --seed or --play: leave out troubles while the day stays broken")
	f.StringVar(&o.trace, "trace", "", "with --seed: debug lines with this word, or one of several with | between")
	f.BoolVar(&o.quiet, "quiet", false, "with --seed: no log")
	f.IntVar(&o.parallel, "parallel", 6, "how many days are played at a time")
	f.BoolVar(&o.asJSON, "json", false, "print the results as JSON")
}

func (o *daysOptions) validate() error {
	p := &o.params
	if p.Machines < 0 || p.Teams < 0 || p.Teams > 26 || p.Controllers < 0 || p.Controllers > 9 || p.Models < 0 || o.count < 1 {
		return errors.New("days: --machines, --teams (up to 26), --controllers (up to 9), --models and --seeds are to be positive")
	}
	return p.Validate()
}

// playOne plays a single day, drawn or of a file, and prints its log and groups.
func (o *daysOptions) playOne(out, progress io.Writer) error {
	day := simulation.GenerateDay(o.params)
	if o.dayFile != "" {
		var err error
		if day, err = simulation.LoadDay(o.dayFile); err != nil {
			return fmt.Errorf("days: %w", err)
		}
	}
	if o.shrink {
		broken := func(r simulation.DayResult) bool { return len(r.Violations) > 0 }
		day = simulation.Shrink(day, broken, func(s string) { fmt.Fprintln(progress, s) })
	}
	result := simulation.RunDay(day, o.trace)
	if !o.quiet {
		fmt.Fprintln(out, strings.Join(result.Log, "\n"))
	}
	return printDays(out, []simulation.DayResult{result}, o.asJSON, true)
}

// playAll draws and plays days of consecutive seeds.
func (o *daysOptions) playAll() []simulation.DayResult {
	results := make([]simulation.DayResult, o.count)
	var wg sync.WaitGroup
	slots := make(chan struct{}, max(1, o.parallel))
	for i := range o.count {
		wg.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			params := o.params
			params.Seed = o.firstSeed + i
			results[i] = simulation.RunDay(simulation.GenerateDay(params), "")
		})
	}
	wg.Wait()
	return results
}
