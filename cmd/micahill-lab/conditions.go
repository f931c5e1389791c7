package main

import (
	"fmt"
	"io"
	"path/filepath"
	"regexp"
	"strings"
	"sync"

	"github.com/micahill/micahill/internal/lab/conditions"
	"github.com/spf13/cobra"
)

// conditionsCommand removes the conditions of the safety argument one at a time and prints which
// tests notice.
func conditionsCommand() *cobra.Command {
	var root, list, only string
	var parallel int
	var asJSON, table bool
	c := &cobra.Command{
		Use: "conditions", Short: "Take each condition of the safety argument out and see a test fail", Args: cobra.NoArgs,
		Long: "Takes one condition after another out of a copy of the sources and runs the\ntests without it. Each must be noticed by a test: status 1 if one is not. Takes\nsome minutes; progress goes to standard error.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			if !filepath.IsAbs(list) {
				list = filepath.Join(root, list)
			}
			l, err := conditions.Load(list, root)
			if err != nil {
				return err
			}
			re, err := regexp.Compile(only)
			if err != nil {
				return fmt.Errorf("conditions: --only: %w", err)
			}
			var chosen []conditions.Condition
			for _, x := range l.Conditions {
				if re.MatchString(x.Name) {
					chosen = append(chosen, x)
				}
			}
			if len(chosen) == 0 {
				return fmt.Errorf("conditions: --only %s: no condition has such a name", only)
			}
			results := make([]conditions.Result, len(chosen))
			var wg sync.WaitGroup
			var mu sync.Mutex
			slots := make(chan struct{}, max(1, parallel))
			for i, x := range chosen {
				wg.Go(func() {
					slots <- struct{}{}
					defer func() { <-slots }()
					results[i] = l.TestMutant(cmd.Context(), x)
					mu.Lock()
					defer mu.Unlock()
					fmt.Fprintln(cmd.ErrOrStderr(), progressLine(results[i]))
				})
			}
			wg.Wait()
			return printConditions(cmd.OutOrStdout(), results, asJSON, table)
		},
	}
	c.Flags().StringVar(&root, "root", ".", "the repository's root")
	c.Flags().StringVar(&list, "list", "internal/controller/conditions.toml", "the list of conditions, relative to the root")
	c.Flags().StringVar(&only, "only", "", "only conditions whose names match this regular expression")
	c.Flags().IntVar(&parallel, "parallel", 4, "how many are tried at a time")
	c.Flags().BoolVar(&asJSON, "json", false, "print the results as JSON")
	c.Flags().BoolVar(&table, "table", false, "print the table that docs/design.md keeps")
	return c
}

func progressLine(r conditions.Result) string {
	switch {
	case r.Err != nil:
		return fmt.Sprintf("?  %s: %v", r.Condition.Name, r.Err)
	case len(r.Failed) == 0:
		return fmt.Sprintf("-- %s: NO TEST NOTICES", r.Condition.Name)
	}
	return fmt.Sprintf("ok %s: %s", r.Condition.Name, strings.Join(r.Failed[:min(3, len(r.Failed))], " "))
}

func printConditions(out io.Writer, results []conditions.Result, asJSON, table bool) error {
	unnoticed, failed := 0, 0
	type row struct {
		Name    string   `json:"name"`
		Noticed bool     `json:"noticed"`
		Tests   []string `json:"tests"`
		Error   string   `json:"error,omitempty"`
	}
	rows := []row{}
	if table {
		fmt.Fprintln(out, "| invariant | condition | without it fails |\n| --- | --- | --- |")
	}
	for _, r := range results {
		w := row{Name: r.Condition.Name, Noticed: len(r.Failed) > 0, Tests: r.Failed}
		switch {
		case r.Err != nil:
			failed++
			w.Error = r.Err.Error()
		case len(r.Failed) == 0:
			unnoticed++
		}
		rows = append(rows, w)
		if table {
			guard := r.Condition.GuardTest
			if guard == "" && len(r.Failed) > 0 {
				guard = r.Failed[len(r.Failed)-1]
			}
			fmt.Fprintf(out, "| %s | %s (`%s`) | `%s` |\n", r.Condition.Invariant, r.Condition.Name, filepath.Base(r.Condition.File), guard)
		}
	}
	if asJSON {
		if err := printJSON(out, rows); err != nil {
			return fmt.Errorf("conditions: %w", err)
		}
	} else if !table {
		fmt.Fprintf(out, "%d conditions: %d noticed, %d not noticed, %d could not be tried\n", len(results), len(results)-unnoticed-failed, unnoticed, failed)
	}
	if unnoticed+failed > 0 {
		return fmt.Errorf("conditions: %d not noticed by any test, %d could not be tried", unnoticed, failed)
	}
	return nil
}
