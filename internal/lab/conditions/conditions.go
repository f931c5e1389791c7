// Package conditions is a mutation test of the safety argument. It removes one condition at a
// time from the sources and runs the tests, at least one of which has to fail. A list names, for
// each invariant, the source lines that keep it.
package conditions

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Condition is one condition of the safety argument: a source text without which an invariant can
// be broken.
type Condition struct {
	// Name states the rule that the condition keeps. It is unique within a list.
	Name string `toml:"name"`
	// Invariant names the invariant that the condition keeps.
	Invariant string `toml:"invariant"`
	// File is relative to the root of the module, and contains Text exactly once.
	File string `toml:"file"`
	Text string `toml:"text"`
	// Replacement replaces Text in the mutant. The program still builds with it, and a test of
	// List.Packages must fail.
	Replacement string `toml:"without"`
	// GuardTest is the test that is meant to fail, as go test prints its name. Another test may
	// fail first.
	GuardTest string `toml:"guards"`
}

// List is the contents of a file of conditions.
type List struct {
	// Packages are the packages whose tests are run against each mutant, in this order.
	Packages   []string    `toml:"packages"`
	Conditions []Condition `toml:"condition"`
	// root is the directory of the module.
	root string
}

// Result is the outcome of the tests of one mutant.
type Result struct {
	Condition Condition
	// Failed are the tests that failed, in the order in which they ended. If it is
	// empty and Err is nil, no test noticed the missing condition.
	Failed []string
	// Err says why the tests could not be run. It wraps ErrBuild if the mutant does not build.
	Err error
}

// Load reads and validates a list. root is the directory of the module, which the files of the
// conditions are relative to. An error names the condition and says what is wrong with it.
func Load(path, root string) (*List, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("conditions: %w", err)
	}
	list := &List{root: root}
	decoder := toml.NewDecoder(bytes.NewReader(b)).DisallowUnknownFields()
	if err := decoder.Decode(list); err != nil {
		return nil, fmt.Errorf("conditions: %s: %w", path, err)
	}
	seen := map[string]bool{}
	for i := range list.Conditions {
		condition := &list.Conditions[i]
		if condition.Name == "" || condition.Invariant == "" || condition.Text == "" {
			return nil, fmt.Errorf("conditions: %s: entry %d: name, invariant and text are required", path, i+1)
		}
		if seen[condition.Name] {
			return nil, fmt.Errorf("conditions: %s: duplicate condition %q", path, condition.Name)
		}
		seen[condition.Name] = true
		if _, err := list.mutate(condition); err != nil {
			return nil, err
		}
	}
	return list, nil
}

// mutate returns the contents of the condition's file without the condition.
func (list *List) mutate(condition *Condition) ([]byte, error) {
	b, err := os.ReadFile(filepath.Join(list.root, condition.File))
	if err != nil {
		return nil, fmt.Errorf("conditions: %q: %w", condition.Name, err)
	}
	if occurrences := strings.Count(string(b), condition.Text); occurrences != 1 {
		return nil, fmt.Errorf("conditions: %q: got %d occurrences of its text in %s, want 1: %q", condition.Name, occurrences, condition.File, condition.Text)
	}
	return []byte(strings.Replace(string(b), condition.Text, condition.Replacement, 1)), nil
}

// failedTest matches the name of a failed test or subtest in the output of go test.
var failedTest = regexp.MustCompile(`(?m)^\s*--- FAIL: (\S+)`)

// ErrBuild means that the sources do not build without a condition, so that the tests say nothing
// about the condition.
var ErrBuild = errors.New("the sources do not build without the condition")

// knownFailures returns a pattern for go test -skip that matches the tests listed in
// KNOWN-RED.txt at the root. These tests fail on unchanged sources too, so their failure says
// nothing about a condition. If none is listed, the pattern matches no test.
func (list *List) knownFailures() string {
	b, err := os.ReadFile(filepath.Join(list.root, "KNOWN-RED.txt"))
	if err != nil {
		return "^$"
	}
	var names []string
	for line := range strings.Lines(string(b)) {
		if name, _, listed := strings.Cut(line, ","); listed && !strings.HasPrefix(line, "#") {
			names = append(names, name)
		}
	}
	return "^(" + strings.Join(names, "|") + ")$"
}

// TestMutant runs the tests without the condition. The source tree stays unchanged: the compiler
// reads the mutated file in place of the original one (go test -overlay).
func (list *List) TestMutant(ctx context.Context, condition Condition) Result {
	result := Result{Condition: condition}
	dir, err := os.MkdirTemp("", "conditions")
	if err != nil {
		result.Err = fmt.Errorf("conditions: %w", err)
		return result
	}
	defer os.RemoveAll(dir)
	overlay, err := list.writeOverlay(dir, &condition)
	if err != nil {
		result.Err = err
		return result
	}
	output, err := list.runTests(ctx, overlay)
	if ctx.Err() != nil {
		result.Err = ctx.Err()
		return result
	}
	if err == nil {
		return result
	}
	if bytes.Contains(output, []byte("[build failed]")) || bytes.Contains(output, []byte("[setup failed]")) {
		result.Err = fmt.Errorf("conditions: %q: %w: %s", condition.Name, ErrBuild, firstLines(output, 4))
		return result
	}
	result.Failed = failedTests(output)
	return result
}

// writeOverlay writes the mutated file and the overlay that names it into dir, and returns
// the overlay's path.
func (list *List) writeOverlay(dir string, condition *Condition) (string, error) {
	mutated, err := list.mutate(condition)
	if err != nil {
		return "", err
	}
	sourcePath, err := filepath.Abs(filepath.Join(list.root, condition.File))
	if err != nil {
		return "", fmt.Errorf("conditions: %w", err)
	}
	mutatedPath, overlay := filepath.Join(dir, "changed.go"), filepath.Join(dir, "overlay.json")
	overlayJSON, err := json.Marshal(map[string]any{"Replace": map[string]string{sourcePath: mutatedPath}})
	if err == nil {
		err = errors.Join(os.WriteFile(mutatedPath, mutated, 0o600), os.WriteFile(overlay, overlayJSON, 0o600))
	}
	if err != nil {
		return "", fmt.Errorf("conditions: %w", err)
	}
	return overlay, nil
}

// runTests tests the packages one by one in the order of the list, and stops at the first package
// that fails. A list names the fast packages first, so that most mutants are detected early. It
// returns the output of the last package.
func (list *List) runTests(ctx context.Context, overlay string) (output []byte, err error) {
	for _, pkg := range list.Packages {
		// -vet=off, because a mutant may contain code that vet rejects, such as an unused result.
		cmd := exec.CommandContext(ctx, "go", "test", "-vet=off", "-overlay", overlay, "-timeout", "10m", "-skip", list.knownFailures(), pkg)
		cmd.Dir = list.root
		output, err = cmd.CombinedOutput()
		if ctx.Err() != nil || err != nil {
			break
		}
	}
	return output, err
}

// failedTests returns the names of the failed tests in the output of go test. A panic or a
// timeout names no test; in this case it returns the first line of the output instead.
func failedTests(output []byte) []string {
	var failed []string
	for _, match := range failedTest.FindAllStringSubmatch(string(output), -1) {
		if !slices.Contains(failed, match[1]) {
			failed = append(failed, match[1])
		}
	}
	if len(failed) == 0 {
		return []string{firstLines(output, 1)}
	}
	return failed
}

// firstLines returns the first n lines of b, joined by " | ".
func firstLines(b []byte, n int) string {
	lines := strings.SplitN(strings.TrimSpace(string(b)), "\n", n+1)
	return strings.Join(lines[:min(n, len(lines))], " | ")
}
