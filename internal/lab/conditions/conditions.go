// Package conditions is a mutation test of the safety argument: it removes one
// condition at a time from the sources and runs the tests, at least one of which
// has to fail. The list names, for each invariant, the source line that keeps it.
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

// Condition is one condition of the safety argument.
type Condition struct {
	// Name is unique within a list.
	Name string `toml:"name"`
	// Invariant is what the condition keeps, in words.
	Invariant string `toml:"invariant"`
	// File is relative to the root of the module, and contains Text exactly once.
	File string `toml:"file"`
	Text string `toml:"text"`
	// Replacement is written in place of Text. The program still builds with it, and
	// some test of List.Packages must fail.
	Replacement string `toml:"without"`
	// GuardTest is the test that is meant to fail, as go test prints it. Another
	// one may fail first.
	GuardTest string `toml:"guards"`
}

// List is the contents of a file of conditions.
type List struct {
	// Packages are the packages whose tests are run against each mutant, in this order.
	Packages   []string    `toml:"packages"`
	Conditions []Condition `toml:"condition"`
	root       string
}

// Result is the outcome of the tests without a condition.
type Result struct {
	Condition Condition
	// Failed are the tests that failed, in the order in which they ended. If it is
	// empty and Err is nil, no test noticed the missing condition.
	Failed []string
	// Err says why the tests could not be run. It wraps ErrBuild if the sources do
	// not build without the condition.
	Err error
}

// Load reads and validates a list. root is the directory of the module that its files
// are relative to. An error names the condition and what is wrong with it.
func Load(path, root string) (*List, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("conditions: %w", err)
	}
	l := &List{root: root}
	d := toml.NewDecoder(bytes.NewReader(b)).DisallowUnknownFields()
	if err := d.Decode(l); err != nil {
		return nil, fmt.Errorf("conditions: %s: %w", path, err)
	}
	seen := map[string]bool{}
	for i := range l.Conditions {
		c := &l.Conditions[i]
		if c.Name == "" || c.Invariant == "" || c.Text == "" {
			return nil, fmt.Errorf("conditions: %s: entry %d: name, invariant and text are required", path, i+1)
		}
		if seen[c.Name] {
			return nil, fmt.Errorf("conditions: %s: duplicate condition %q", path, c.Name)
		}
		seen[c.Name] = true
		if _, err := l.mutate(c); err != nil {
			return nil, err
		}
	}
	return l, nil
}

// mutate returns the contents of the condition's file without the condition.
func (l *List) mutate(c *Condition) ([]byte, error) {
	b, err := os.ReadFile(filepath.Join(l.root, c.File))
	if err != nil {
		return nil, fmt.Errorf("conditions: %q: %w", c.Name, err)
	}
	if occurrences := strings.Count(string(b), c.Text); occurrences != 1 {
		return nil, fmt.Errorf("conditions: %q: got %d occurrences of its text in %s, want 1: %q", c.Name, occurrences, c.File, c.Text)
	}
	return []byte(strings.Replace(string(b), c.Text, c.Replacement, 1)), nil
}

// failedTest matches the name of a failed test or subtest in the output of go test.
var failedTest = regexp.MustCompile(`(?m)^\s*--- FAIL: (\S+)`)

// ErrBuild means that the sources do not build without a condition, so that nothing
// is known about the tests.
var ErrBuild = errors.New("the sources do not build without it")

// knownFailures returns a pattern for go test -skip that matches the tests listed in
// KNOWN-RED.txt at the root: these fail on unchanged sources too, so their failure says
// nothing about a condition. If there are none the pattern matches no test.
func (l *List) knownFailures() string {
	b, err := os.ReadFile(filepath.Join(l.root, "KNOWN-RED.txt"))
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

// TestMutant runs the tests without the condition. The source tree stays unchanged: the
// compiler is given the mutated file in place of the real one (go test -overlay).
func (l *List) TestMutant(ctx context.Context, c Condition) Result {
	result := Result{Condition: c}
	dir, err := os.MkdirTemp("", "conditions")
	if err != nil {
		result.Err = fmt.Errorf("conditions: %w", err)
		return result
	}
	defer os.RemoveAll(dir)
	overlay, err := l.writeOverlay(dir, &c)
	if err != nil {
		result.Err = err
		return result
	}
	output, err := l.runTests(ctx, overlay)
	if ctx.Err() != nil {
		result.Err = ctx.Err()
		return result
	}
	if err == nil {
		return result
	}
	if bytes.Contains(output, []byte("[build failed]")) || bytes.Contains(output, []byte("[setup failed]")) {
		result.Err = fmt.Errorf("conditions: %q: %w: %s", c.Name, ErrBuild, firstLines(output, 4))
		return result
	}
	result.Failed = failedTests(output)
	return result
}

// writeOverlay writes the mutated file and the overlay that names it into dir, and returns
// the overlay's path.
func (l *List) writeOverlay(dir string, c *Condition) (string, error) {
	mutated, err := l.mutate(c)
	if err != nil {
		return "", err
	}
	sourcePath, err := filepath.Abs(filepath.Join(l.root, c.File))
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

// runTests tests the packages one by one in the order of the list, and stops at the first
// that fails. The quick packages come first, so most mutants are noticed early.
func (l *List) runTests(ctx context.Context, overlay string) (output []byte, err error) {
	for _, p := range l.Packages {
		// -vet=off: a mutant may leave behind what vet rejects, such as an unused result.
		cmd := exec.CommandContext(ctx, "go", "test", "-vet=off", "-overlay", overlay, "-timeout", "10m", "-skip", l.knownFailures(), p)
		cmd.Dir = l.root
		output, err = cmd.CombinedOutput()
		if ctx.Err() != nil || err != nil {
			break
		}
	}
	return output, err
}

// failedTests returns the names of the failed tests in the output of go test. A panic or a
// timeout names no test: then it returns the first line of the output instead.
func failedTests(output []byte) []string {
	var failed []string
	for _, m := range failedTest.FindAllStringSubmatch(string(output), -1) {
		if !slices.Contains(failed, m[1]) {
			failed = append(failed, m[1])
		}
	}
	if len(failed) == 0 {
		return []string{firstLines(output, 1)}
	}
	return failed
}

// firstLines joins the first n lines of b.
func firstLines(b []byte, n int) string {
	lines := strings.SplitN(strings.TrimSpace(string(b)), "\n", n+1)
	return strings.Join(lines[:min(n, len(lines))], " | ")
}
