package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/micahill/micahill/internal/simulation"
)

// errDaysFailed reports that a rule was broken, that a group was served too little, or that one of the
// largest jobs started too late.
var errDaysFailed = errors.New("days: a rule was broken, less than half of a class, its largest jobs or a team was served, or one of the largest began too late")

// formatStarts formats the longest waits of the largest jobs, in seconds: for a first task, and
// for as many tasks as can run at a time.
func formatStarts(largest *simulation.LargestJobs) string {
	show := func(seconds float64) string {
		if seconds < 0 {
			return "never"
		}
		return fmt.Sprintf("%.0f", seconds)
	}
	return show(largest.FirstStartS) + "/" + show(largest.AllStartedS)
}

// printDays prints the results as JSON, or as a table with one line a day. It returns
// errDaysFailed if a day failed. showGroups adds the waits of each class and team.
func printDays(out io.Writer, results []simulation.DayResult, asJSON, showGroups bool) error {
	if asJSON {
		if err := json.NewEncoder(out).Encode(results); err != nil {
			return fmt.Errorf("days: %w", err)
		}
		return daysFailure(results)
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	modelColumns := ""
	if len(results) > 0 && results[0].Models > 0 {
		modelColumns = "LARGE\tLWAIT P50/MAX\tUP\tUNBEGUN\tPIECES\tSTOPPED\tDOWN P90\t"
	}
	fmt.Fprintln(w, "SEED\tMACHINES\tTEAMS\tNODES\tJOBS\tFAULTS\tSERVED\tLEAST\tLARGEST\tBEGIN\tSTARTS\tLEASE\tREFUSED\tCHANGES/S\t429\tRENTED\tUNUSED\tMONEY\t"+modelColumns+"BROKEN")
	for i := range results {
		printDay(w, &results[i])
	}
	for i := range results {
		printPromises(w, &results[i])
	}
	if showGroups {
		for i := range results {
			printGroups(w, &results[i])
		}
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("days: %w", err)
	}
	return daysFailure(results)
}

// daysFailure returns errDaysFailed if a rule was broken, a group was served too little, or one of the
// largest jobs started too late.
func daysFailure(results []simulation.DayResult) error {
	for i := range results {
		if len(results[i].Violations) > 0 || len(results[i].Starved()) > 0 {
			return errDaysFailed
		}
	}
	return nil
}

// printDay prints the table line of a day.
func printDay(w io.Writer, result *simulation.DayResult) {
	served, jobs, leastServed := 0.0, 0, 1.0
	for _, group := range result.TeamGroups {
		served += group.ServedFraction * float64(group.Jobs)
		jobs += group.Jobs
		leastServed = min(leastServed, group.ServedFraction)
	}
	for _, group := range result.Classes {
		leastServed = min(leastServed, group.ServedFraction)
	}
	worst := result.Worst()
	modelColumns := ""
	if stats := result.ModelStats; stats != nil {
		modelColumns = fmt.Sprintf("%d/%d\t%.0f/%.0f\t%.2f\t%d\t%d\t%d\t%.0f\t", stats.LargeStarted, stats.LargeModels, stats.Wait.P50, stats.Wait.Max, stats.Up, stats.OthersUnstarted, stats.FragmentedGPUs, stats.Stopped, stats.Down.P90)
	}
	broken := "-"
	if len(result.Violations) > 0 {
		broken = fmt.Sprintf("%d: %s", len(result.Violations), result.Violations[0])
	}
	if starved := result.Starved(); len(starved) > 0 {
		broken += " starved: " + strings.Join(starved, ", ")
	}
	fmt.Fprintf(w, "%d\t%d\t%d\t%d\t%d\t%d\t%.3f\t%.2f\t%.2f\t%s\t%d\t%d\t%d\t%.1f\t%d\t%d\t%d\t%.2f\t%s%s\n", result.Seed, result.Machines, result.Teams, result.Controllers, result.Jobs, len(result.Day.Faults),
		served/float64(max(1, jobs)), leastServed, worst.ServedFraction, formatStarts(&worst), result.Starts, result.LostToLease, result.RefusedRequests, result.WritesPerSecond, result.RateLimited, result.RentedMachines, result.UnusedMachines, result.Cost, modelColumns, broken)
}

// printPromises prints the totals of a day's promised completion times, if promises are enabled.
func printPromises(w io.Writer, result *simulation.DayResult) {
	if promises := result.Promises; promises != nil {
		fmt.Fprintf(w, "\ndates of %d: %d of %d ended, kept %.3f, revised %d, first answers %.2f, median %.1f s for %.1f s, worst %.1f s, pages/s %.2f", result.Seed, promises.Made, promises.Ended, promises.Kept, promises.Revised, promises.DatedAtFirst, promises.MedianDateS, promises.MedianFinishS, promises.WorstS, promises.PageWritesPerS)
	}
}

// printGroups prints the results of each class and team, the faults of the day, and the least
// slack that the day left to each rule with a time limit.
func printGroups(w io.Writer, result *simulation.DayResult) {
	fmt.Fprintln(w, "\nOF\tJOBS\tSERVED\tLARGEST\tBEGIN\tWAIT P50\tP90\tMAX\tLATE P50\tP90\tMAX")
	for _, group := range append(append([]simulation.Group{}, result.Classes...), result.TeamGroups...) {
		largest, began := "", ""
		if largestJobs := group.Largest; largestJobs != nil {
			largest, began = fmt.Sprintf("%.2f", largestJobs.ServedFraction), formatStarts(largestJobs)
		}
		fmt.Fprintf(w, "%s\t%d\t%.3f\t%s\t%s\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\n", group.Name, group.Jobs, group.ServedFraction, largest, began, group.Wait.P50, group.Wait.P90, group.Wait.Max, group.Late.P50, group.Late.P90, group.Late.Max)
	}
	for _, fault := range result.Day.Faults {
		fmt.Fprintf(w, "%s\n", fault)
	}
	if cancels := result.Cancels; cancels != nil {
		fmt.Fprintln(w, cancels)
	}
	fmt.Fprintf(w, "starts after a confirmed cancellation: %d\n", result.StartsAfterCancel)
	for _, rule := range simulation.TimedRules {
		if margin, ok := result.Margins[rule]; ok {
			fmt.Fprintf(w, "slack of %s: %.1f s, %s\n", rule, margin.Remaining.Seconds(), margin.Subject)
		}
	}
	for _, violation := range result.Violations {
		fmt.Fprintf(w, "%s\n", violation)
	}
}
