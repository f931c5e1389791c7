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

// conditionsCommand returns the verb that removes the conditions of the safety argument one at a
// time and prints which tests fail without each.
func conditionsCommand() *cobra.Command {
	var root, list, only string
	var parallel int
	var asJSON, table bool
	command := &cobra.Command{
		Use: "conditions", Short: "Remove each condition of the safety argument and check that a test fails", Args: cobra.NoArgs,
		Long: "Removes one condition at a time from a copy of the sources and runs the tests\nwithout it. At least one test has to fail each time: exit status 1 if none does.\nTakes some minutes; progress goes to standard error.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			if !filepath.IsAbs(list) {
				list = filepath.Join(root, list)
			}
			conditionList, err := conditions.Load(list, root)
			if err != nil {
				return err
			}
			pattern, err := regexp.Compile(only)
			if err != nil {
				return fmt.Errorf("conditions: --only: %w", err)
			}
			var chosen []conditions.Condition
			for _, condition := range conditionList.Conditions {
				if pattern.MatchString(condition.Name) {
					chosen = append(chosen, condition)
				}
			}
			if len(chosen) == 0 {
				return fmt.Errorf("conditions: --only %s: no name of a condition matches", only)
			}
			results := make([]conditions.Result, len(chosen))
			var wg sync.WaitGroup
			var mu sync.Mutex
			slots := make(chan struct{}, max(1, parallel))
			for i, condition := range chosen {
				wg.Go(func() {
					slots <- struct{}{}
					defer func() { <-slots }()
					results[i] = conditionList.TestMutant(cmd.Context(), condition)
					mu.Lock()
					defer mu.Unlock()
					fmt.Fprintln(cmd.ErrOrStderr(), progressLine(results[i]))
				})
			}
			wg.Wait()
			return printConditions(cmd.OutOrStdout(), results, asJSON, table)
		},
	}
	command.Flags().StringVar(&root, "root", ".", "the repository's root")
	command.Flags().StringVar(&list, "list", "internal/controller/conditions.toml", "the list of conditions; a relative path is relative to the root")
	command.Flags().StringVar(&only, "only", "", "only conditions whose names match this regular expression")
	command.Flags().IntVar(&parallel, "parallel", 4, "how many conditions are tested at a time")
	command.Flags().BoolVar(&asJSON, "json", false, "print the results as JSON")
	command.Flags().BoolVar(&table, "table", false, "print the table of docs/design.md")
	return command
}

// progressLine formats the result of one condition, with at most three of the tests that failed.
func progressLine(result conditions.Result) string {
	switch {
	case result.Err != nil:
		return fmt.Sprintf("?  %s: %v", result.Condition.Name, result.Err)
	case len(result.Failed) == 0:
		return fmt.Sprintf("-- %s: NO TEST FAILS", result.Condition.Name)
	}
	return fmt.Sprintf("ok %s: %s", result.Condition.Name, strings.Join(result.Failed[:min(3, len(result.Failed))], " "))
}

// printConditions prints the results as JSON, as the table of docs/design.md or as totals. It
// returns an error if a condition was not noticed by any test or could not be tested.
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
	for _, result := range results {
		entry := row{Name: result.Condition.Name, Noticed: len(result.Failed) > 0, Tests: result.Failed}
		switch {
		case result.Err != nil:
			failed++
			entry.Error = result.Err.Error()
		case len(result.Failed) == 0:
			unnoticed++
		}
		rows = append(rows, entry)
		if table {
			guard := result.Condition.GuardTest
			if guard == "" && len(result.Failed) > 0 {
				guard = result.Failed[len(result.Failed)-1]
			}
			fmt.Fprintf(out, "| %s | %s (`%s`) | `%s` |\n", result.Condition.Invariant, result.Condition.Name, filepath.Base(result.Condition.File), guard)
		}
	}
	if asJSON {
		if err := printJSON(out, rows); err != nil {
			return fmt.Errorf("conditions: %w", err)
		}
	} else if !table {
		fmt.Fprintf(out, "%d conditions: %d noticed, %d not noticed, %d could not be tested\n", len(results), len(results)-unnoticed-failed, unnoticed, failed)
	}
	if unnoticed+failed > 0 {
		return fmt.Errorf("conditions: %d not noticed by any test, %d could not be tested", unnoticed, failed)
	}
	return nil
}
