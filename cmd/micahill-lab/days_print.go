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

// errDaysFailed reports that a rule was broken or a group was served too little.
var errDaysFailed = errors.New("days: a rule was broken, less than half of a class, its largest jobs or a team was served, or one of the largest began too late")

// formatStarts formats the waits of the largest jobs for their first and for all their tasks.
func formatStarts(largest *simulation.LargestJobs) string {
	show := func(s float64) string {
		if s < 0 {
			return "never"
		}
		return fmt.Sprintf("%.0f", s)
	}
	return show(largest.FirstStartS) + "/" + show(largest.AllStartedS)
}

// printDays prints the results as a table, one day a line, or as JSONSize, and returns errDaysFailed
// if one of them failed. showGroups adds the waits of each class and team.
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

// daysFailure is errDaysFailed if a rule was broken or a group was served too little.
func daysFailure(results []simulation.DayResult) error {
	for i := range results {
		if len(results[i].Violations) > 0 || len(results[i].Starved()) > 0 {
			return errDaysFailed
		}
	}
	return nil
}

// printDay prints a day's line of the table.
func printDay(w io.Writer, r *simulation.DayResult) {
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

// printPromises prints what became of a day's promised dates, if it has any.
func printPromises(w io.Writer, r *simulation.DayResult) {
	if d := r.Promises; d != nil {
		fmt.Fprintf(w, "\ndates of %d: %d of %d ended, kept %.3f, revised %d, first answers %.2f, median %.1f s for %.1f s, worst %.1f s, pages/s %.2f", r.Seed, d.Made, d.Ended, d.Kept, d.Revised, d.DatedAtFirst, d.MedianDateS, d.MedianFinishS, d.WorstS, d.PageWritesPerS)
	}
}

// printGroups prints what each class and team got of a day, its faults, and how near it came to
// breaking each rule that has a time.
func printGroups(w io.Writer, r *simulation.DayResult) {
	fmt.Fprintln(w, "\nOF\tJOBS\tSERVED\tLARGEST\tBEGIN\tWAIT P50\tP90\tMAX\tLATE P50\tP90\tMAX")
	for _, g := range append(append([]simulation.Group{}, r.Classes...), r.TeamGroups...) {
		largest, began := "", ""
		if l := g.Largest; l != nil {
			largest, began = fmt.Sprintf("%.2f", l.ServedFraction), formatStarts(l)
		}
		fmt.Fprintf(w, "%s\t%d\t%.3f\t%s\t%s\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\n", g.Name, g.Jobs, g.ServedFraction, largest, began, g.Wait.P50, g.Wait.P90, g.Wait.Max, g.Late.P50, g.Late.P90, g.Late.Max)
	}
	for _, f := range r.Day.Faults {
		fmt.Fprintf(w, "%s\n", f)
	}
	if c := r.Cancels; c != nil {
		fmt.Fprintln(w, c)
	}
	fmt.Fprintf(w, "starts after a confirmed cancellation: %d\n", r.StartsAfterCancel)
	for _, rule := range simulation.TimedRules {
		if s, ok := r.Margins[rule]; ok {
			fmt.Fprintf(w, "slack of %s: %.1f s, %s\n", rule, s.Remaining.Seconds(), s.Subject)
		}
	}
	for _, b := range r.Violations {
		fmt.Fprintf(w, "%s\n", b)
	}
}
