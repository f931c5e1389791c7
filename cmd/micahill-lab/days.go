package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"text/tabwriter"

	"github.com/micahill/micahill/internal/simulation"
	"github.com/spf13/cobra"
)

// daysCommand plays days of our own stand-ins in simulated time.
func daysCommand() *cobra.Command {
	var params simulation.DayParams
	var seeds, from uint64
	var parallel int
	var asJSON, shrink, quiet bool
	var trace, dayFile string
	var searchMode bool
	var search daySearch
	c := &cobra.Command{
		Use: "days", Short: "Play seeded days in simulated time and check all rules", Args: cobra.NoArgs,
		Long: `Plays days of controllers, state service, cloud, machines and users in simulated
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
troubles that it takes.`,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if params.Machines < 0 || params.Teams < 0 || params.Teams > 26 || params.Controllers < 0 || params.Controllers > 9 || params.Models < 0 || seeds < 1 {
				return errors.New("days: --machines, --teams (up to 26), --controllers (up to 9), --models and --seeds are to be positive")
			}
			if err := params.Validate(); err != nil {
				return err
			}
			out := cmd.OutOrStdout()
			if searchMode {
				search.seed = max(1, params.Seed)
				return search.run(out, cmd.ErrOrStderr(), params, parallel)
			}
			if cmd.Flags().Changed("seed") || dayFile != "" {
				d := simulation.GenerateDay(params)
				if dayFile != "" {
					var err error
					if d, err = simulation.LoadDay(dayFile); err != nil {
						return fmt.Errorf("days: %w", err)
					}
				}
				broken := func(r simulation.DayResult) bool { return len(r.Violations) > 0 }
				if shrink {
					d = simulation.Shrink(d, broken, func(s string) { fmt.Fprintln(cmd.ErrOrStderr(), s) })
				}
				r := simulation.RunDay(d, trace)
				if !quiet {
					fmt.Fprintln(out, strings.Join(r.Log, "\n"))
				}
				return printDays(out, []simulation.DayResult{r}, asJSON, true)
			}
			results := make([]simulation.DayResult, seeds)
			var wg sync.WaitGroup
			slots := make(chan struct{}, max(1, parallel))
			for i := range seeds {
				wg.Go(func() {
					slots <- struct{}{}
					defer func() { <-slots }()
					dayParams := params
					dayParams.Seed = from + i
					results[i] = simulation.RunDay(simulation.GenerateDay(dayParams), "")
				})
			}
			wg.Wait()
			return printDays(out, results, asJSON, seeds == 1)
		},
	}
	f := c.Flags()
	f.IntVar(&params.Machines, "machines", 0, "machines that the cloud has")
	f.IntVar(&params.Teams, "teams", 0, "teams")
	f.IntVar(&params.Controllers, "controllers", 0, "controllers")
	f.IntVar(&params.Jobs, "jobs", 0, "jobs in all")
	f.IntVar(&params.FaultCount, "faults", 0, "troubles; -1: none")
	f.IntVar(&params.Minutes, "minutes", 0, "how long jobs come")
	f.IntVar(&params.HotFactor, "hot", 0, "how many times the work of another team the first has")
	f.BoolVar(&params.UnlistedFaults, "unlisted", false, "with troubles that were on no list: late boots, storms of polls, mistakes, guests, ends in a row, links that are half there")
	f.BoolVar(&params.ProtocolFaults, "product", false, "as --unlisted, also with machines that nothing reaches, late copies of reports, controllers that have only their workers, and processes and machines back at once")
	f.BoolVar(&params.OverlappingFaults, "meetings", false, "two or three troubles of all lists meet, and users cancel most of a class around them; with --unlisted, --product or --faults also those")
	f.BoolVar(&params.Pipelines, "pipelines", false, "jobs that need others, in chains, joins and fans, and users who cancel in the middle of them")
	f.BoolVar(&params.MixedJobs, "mixed", false, "jobs that save, stand, are bound to a zone or apart, and clocks that are off")
	f.IntVar(&params.CancelMarginS, "cancel-room", 0, "by how many seconds cancel_s is longer than a lease; 0: 30")
	f.IntVar(&params.Models, "models", 0, "so many hosts with eight GPUs, and models of one GPU to a whole host")
	f.StringSliceVar(&params.Enabled, "on", nil, "what is switched on: ranking, promises, models, or all")
	f.Uint64Var(&seeds, "seeds", 10, "how many days")
	f.Uint64Var(&from, "from", 1, "the first day's seed")
	f.Uint64Var(&params.Seed, "seed", 0, "play this one day, with its log")
	f.StringVar(&dayFile, "play", "", "play the day of this file, as with --seed")
	f.BoolVar(&searchMode, "seek", false, "search days of meetings by the slack that they leave")
	f.IntVar(&search.runs, "runs", 500, "with --seek: how many days are played")
	f.DurationVar(&search.timeLimit, "within", 0, "with --seek: end it after this time; 0: when all are played")
	f.StringVar(&search.focusRule, "first", simulation.RuleCancelled, "with --seek: the rule that half of the changed days go on from")
	f.StringVar(&search.outDir, "out", ".", "with --seek: where days are written")
	f.BoolVar(&shrink, "shrink", false, "with --seed or --play: leave out troubles while the day stays broken")
	f.StringVar(&trace, "trace", "", "with --seed: debug lines with this word, or one of several with | between")
	f.BoolVar(&quiet, "quiet", false, "with --seed: no log")
	f.IntVar(&parallel, "parallel", 6, "how many days are played at a time")
	f.BoolVar(&asJSON, "json", false, "print the results as JSON")
	return c
}

// errDaysFailed says that a rule was broken or somebody starved.
var errDaysFailed = errors.New("days: a rule was broken, less than half of a class, its largest jobs or a team was served, or one of the largest began too late")

// formatStarts shows the waits of the largest jobs for their first and for all tasks.
func formatStarts(largest *simulation.LargestJobs) string {
	show := func(s float64) string {
		if s < 0 {
			return "never"
		}
		return fmt.Sprintf("%.0f", s)
	}
	return show(largest.FirstStartS) + "/" + show(largest.AllStartedS)
}

func printDays(out io.Writer, results []simulation.DayResult, asJSON, showGroups bool) error {
	failed := false
	for i := range results {
		failed = failed || len(results[i].Violations) > 0 || len(results[i].Starved()) > 0
	}
	if asJSON {
		if err := json.NewEncoder(out).Encode(results); err != nil {
			return fmt.Errorf("days: %w", err)
		}
		if failed {
			return errDaysFailed
		}
		return nil
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	modelColumns := ""
	if len(results) > 0 && results[0].Models > 0 {
		modelColumns = "LARGE\tLWAIT P50/MAX\tUP\tUNBEGUN\tPIECES\tSTOPPED\tDOWN P90\t"
	}
	fmt.Fprintln(w, "SEED\tMACHINES\tTEAMS\tNODES\tJOBS\tFAULTS\tSERVED\tLEAST\tLARGEST\tBEGIN\tSTARTS\tLEASE\tREFUSED\tCHANGES/S\t429\tRENTED\tUNUSED\tMONEY\t"+modelColumns+"BROKEN")
	for i := range results {
		r := &results[i]
		served, jobs, leastServed := 0.0, 0, 1.0
		for _, g := range r.TeamGroups {
			served += g.ServedFraction * float64(g.Jobs)
			jobs += g.Jobs
			leastServed = min(leastServed, g.ServedFraction)
		}
		for _, g := range r.Classes {
			leastServed = min(leastServed, g.ServedFraction)
		}
		worst := r.Worst()
		modelColumns := ""
		if m := r.ModelStats; m != nil {
			modelColumns = fmt.Sprintf("%d/%d\t%.0f/%.0f\t%.2f\t%d\t%d\t%d\t%.0f\t", m.LargeStarted, m.LargeModels, m.Wait.P50, m.Wait.Max, m.Up, m.OthersUnstarted, m.FragmentedGPUs, m.Stopped, m.Down.P90)
		}
		broken := "-"
		if len(r.Violations) > 0 {
			broken = fmt.Sprintf("%d: %s", len(r.Violations), r.Violations[0])
		}
		if s := r.Starved(); len(s) > 0 {
			broken += " starved: " + strings.Join(s, ", ")
		}
		fmt.Fprintf(w, "%d\t%d\t%d\t%d\t%d\t%d\t%.3f\t%.2f\t%.2f\t%s\t%d\t%d\t%d\t%.1f\t%d\t%d\t%d\t%.2f\t%s%s\n", r.Seed, r.Machines, r.Teams, r.Controllers, r.Jobs, len(r.Day.Faults),
			served/float64(max(1, jobs)), leastServed, worst.ServedFraction, formatStarts(&worst), r.Starts, r.LostToLease, r.RefusedRequests, r.WritesPerSecond, r.RateLimited, r.RentedMachines, r.UnusedMachines, r.Cost, modelColumns, broken)
	}
	for i := range results {
		if d := results[i].Promises; d != nil {
			fmt.Fprintf(w, "\ndates of %d: %d of %d ended, kept %.3f, revised %d, first answers %.2f, median %.1f s for %.1f s, worst %.1f s, pages/s %.2f", results[i].Seed, d.Made, d.Ended, d.Kept, d.Revised, d.DatedAtFirst, d.MedianDateS, d.MedianFinishS, d.WorstS, d.PageWritesPerS)
		}
	}
	if showGroups {
		for i := range results {
			fmt.Fprintln(w, "\nOF\tJOBS\tSERVED\tLARGEST\tBEGIN\tWAIT P50\tP90\tMAX\tLATE P50\tP90\tMAX")
			for _, g := range append(append([]simulation.Group{}, results[i].Classes...), results[i].TeamGroups...) {
				largest, began := "", ""
				if l := g.Largest; l != nil {
					largest, began = fmt.Sprintf("%.2f", l.ServedFraction), formatStarts(l)
				}
				fmt.Fprintf(w, "%s\t%d\t%.3f\t%s\t%s\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\n", g.Name, g.Jobs, g.ServedFraction, largest, began, g.Wait.P50, g.Wait.P90, g.Wait.Max, g.Late.P50, g.Late.P90, g.Late.Max)
			}
			for _, f := range results[i].Day.Faults {
				fmt.Fprintf(w, "%s\n", f)
			}
			if c := results[i].Cancels; c != nil {
				fmt.Fprintln(w, c)
			}
			fmt.Fprintf(w, "starts after a confirmed cancellation: %d\n", results[i].StartsAfterCancel)
			for _, rule := range simulation.TimedRules {
				if s, ok := results[i].Margins[rule]; ok {
					fmt.Fprintf(w, "slack of %s: %.1f s, %s\n", rule, s.Remaining.Seconds(), s.Subject)
				}
			}
			for _, b := range results[i].Violations {
				fmt.Fprintf(w, "%s\n", b)
			}
		}
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("days: %w", err)
	}
	if failed {
		return errDaysFailed
	}
	return nil
}
