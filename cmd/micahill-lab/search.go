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

// daySearch is a search for days that come near to breaking a rule, by the margin they leave.
type daySearch struct {
	seed      uint64
	runs      int
	timeLimit time.Duration
	focusRule string
	outDir    string

	mu sync.Mutex
	// brokenDays counts the days that broke a rule, and starvedDays those that served too little.
	brokenDays, starvedDays int
}

// errSearchViolation reports that a search found a day that broke a rule.
var errSearchViolation = errors.New("days: the search found a day that broke a rule")

// run searches, prints the least margin found for each rule and saves its day as a file.
func (s *daySearch) run(out, progress io.Writer, p simulation.DayParams, parallel int) error {
	if s.runs < 1 || s.timeLimit < 0 {
		return errors.New("days: --runs is to be positive, and --within not less than nothing")
	}
	if err := os.MkdirAll(s.outDir, 0o755); err != nil {
		return fmt.Errorf("days: %w", err)
	}
	r := search.Run(simulation.SearchProblem(p, s.recordDay), search.Options{
		Seed: s.seed, Runs: s.runs, TimeLimit: s.timeLimit, Parallel: parallel, FocusRule: s.focusRule,
		OnBatch: func(runs int) { fmt.Fprintf(progress, "%d runs, %d broken\n", runs, s.brokenDays) },
	})
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "RULE\tLEAST S\tNEXT S\tRUN\tDAY\tTROUBLES")
	for _, rule := range append(simulation.TimedRules[:len(simulation.TimedRules):len(simulation.TimedRules)], simulation.UntimedRules) {
		found := r.Nearest[rule]
		if len(found) == 0 {
			fmt.Fprintf(w, "%s\t-\t\t\t\t\n", rule)
			continue
		}
		file := filepath.Join(s.outDir, fmt.Sprintf("least-%s-%d.json", rule, s.seed))
		if err := found[0].Case.Save(file); err != nil {
			return err
		}
		next := found[min(1, len(found)-1)]
		fmt.Fprintf(w, "%s\t%.1f\t%.1f\t%d\t%s\t%s\n", rule, found[0].Margin, next.Margin, found[0].Run, file, describeFaults(&found[0].Case))
	}
	fmt.Fprintf(w, "%d runs, %d days broke a rule, %d served too little\n", r.Runs, s.brokenDays, s.starvedDays)
	if err := w.Flush(); err != nil {
		return fmt.Errorf("days: %w", err)
	}
	if s.brokenDays > 0 {
		return errSearchViolation
	}
	return nil
}

// recordDay counts a day that was played, and saves it if it broke a rule.
func (s *daySearch) recordDay(r simulation.DayResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(r.Starved()) > 0 {
		s.starvedDays++
	}
	if len(r.Violations) > 0 {
		s.brokenDays++
		rule, _, _ := strings.Cut(r.Violations[0], " ")
		// A day that cannot be saved is still counted.
		_ = r.Day.Save(filepath.Join(s.outDir, fmt.Sprintf("broken-%d-%s-%d.json", s.seed, strings.Trim(rule, ":"), s.brokenDays)))
	}
}

func describeFaults(d *simulation.Day) string {
	var out []string
	for _, f := range d.Faults {
		out = append(out, f.String())
	}
	if d.Cancels != nil {
		out = append(out, d.Cancels.String())
	}
	return strings.Join(out, "; ")
}
