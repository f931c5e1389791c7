package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/micahill/micahill/internal/search"
	"github.com/micahill/micahill/internal/simulation"
)

// daySearch is a search for days that come near to breaking a rule, by the slack that they leave.
type daySearch struct {
	seed      uint64
	runs      int
	timeLimit time.Duration
	focusRule string
	outDir    string

	mu sync.Mutex
	// brokenDays counts the days that broke a rule, and starvedDays the days on which a group was
	// served too little. Guarded by mu.
	brokenDays, starvedDays int
}

// errSearchViolation reports that a search found a day that broke a rule.
var errSearchViolation = errors.New("days: the search found a day that broke a rule")

// run searches, prints the least slack found for each rule and saves the day that left it as a
// file. It returns errSearchViolation if a day broke a rule.
func (searcher *daySearch) run(out, progress io.Writer, params simulation.DayParams, parallel int) error {
	if searcher.runs < 1 || searcher.timeLimit < 0 {
		return errors.New("days: --runs must be positive, and --within must not be negative")
	}
	if err := os.MkdirAll(searcher.outDir, 0o755); err != nil {
		return fmt.Errorf("days: %w", err)
	}
	result := search.Run(simulation.SearchProblem(params, searcher.recordDay), search.Options{
		Seed: searcher.seed, Runs: searcher.runs, TimeLimit: searcher.timeLimit, Parallel: parallel, FocusRule: searcher.focusRule,
		OnBatch: func(runs int) { fmt.Fprintf(progress, "%d runs, %d days broke a rule\n", runs, searcher.brokenDays) },
	})
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "RULE\tLEAST S\tNEXT S\tRUN\tDAY\tTROUBLES")
	for _, rule := range append(simulation.TimedRules[:len(simulation.TimedRules):len(simulation.TimedRules)], simulation.UntimedRules) {
		found := result.Nearest[rule]
		if len(found) == 0 {
			fmt.Fprintf(w, "%s\t-\t\t\t\t\n", rule)
			continue
		}
		file := filepath.Join(searcher.outDir, fmt.Sprintf("least-%s-%d.json", rule, searcher.seed))
		if err := found[0].Case.Save(file); err != nil {
			return err
		}
		next := found[min(1, len(found)-1)]
		fmt.Fprintf(w, "%s\t%.1f\t%.1f\t%d\t%s\t%s\n", rule, found[0].Margin, next.Margin, found[0].Run, file, describeFaults(&found[0].Case))
	}
	fmt.Fprintf(w, "%d runs, %d days broke a rule, %d served too little\n", result.Runs, searcher.brokenDays, searcher.starvedDays)
	if err := w.Flush(); err != nil {
		return fmt.Errorf("days: %w", err)
	}
	if searcher.brokenDays > 0 {
		return errSearchViolation
	}
	return nil
}

// recordDay counts a day that was run, and saves the day if it broke a rule.
func (searcher *daySearch) recordDay(result simulation.DayResult) {
	searcher.mu.Lock()
	defer searcher.mu.Unlock()
	if len(result.Starved()) > 0 {
		searcher.starvedDays++
	}
	if len(result.Violations) > 0 {
		searcher.brokenDays++
		rule, _, _ := strings.Cut(result.Violations[0], " ")
		// A day that cannot be saved still counts.
		_ = result.Day.Save(filepath.Join(searcher.outDir, fmt.Sprintf("broken-%d-%s-%d.json", searcher.seed, strings.Trim(rule, ":"), searcher.brokenDays)))
	}
}

// describeFaults lists the faults and the cancellations of a day in one line.
func describeFaults(day *simulation.Day) string {
	var out []string
	for _, fault := range day.Faults {
		out = append(out, fault.String())
	}
	if day.Cancels != nil {
		out = append(out, day.Cancels.String())
	}
	return strings.Join(out, "; ")
}
