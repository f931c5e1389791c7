// Package conditions guards the safety argument itself: it takes one condition
// after another out of a copy of the sources and runs the tests, which have to
// notice. The list names, for each invariant, the line that keeps it.
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

// Condition is one condition of the safety argument: in File, relative to the
// list's root, Text stands exactly once; with Without in its place the program
// still builds, and some test of Packages must fail.
type Condition struct {
	Name        string `toml:"name"`
	Invariant   string `toml:"invariant"`
	File        string `toml:"file"`
	Text        string `toml:"text"`
	Replacement string `toml:"without"`
	// GuardTest is the test that is meant to fail, as go test prints it. Another
	// one may fail first.
	GuardTest string `toml:"guards"`
}

// List is a file of conditions.
type List struct {
	// Packages are tested without each condition, in their order.
	Packages   []string    `toml:"packages"`
	Conditions []Condition `toml:"condition"`
	root       string
}

// Result tells what became of the tests without a condition.
type Result struct {
	Condition Condition
	// Failed are the tests that noticed, in the order in which they ended. None
	// and no Err: nothing noticed.
	Failed []string
	// Err says why the tests could not be run: mostly, the sources without the
	// condition do not build.
	Err error
}

// Load reads a list. root is the folder of the module that its files are
// relative to. An error names the condition and what is wrong with it.
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
			return nil, fmt.Errorf("conditions: %s: entry %d: name, invariant and text are needed", path, i+1)
		}
		if seen[c.Name] {
			return nil, fmt.Errorf("conditions: %s: %q stands twice", path, c.Name)
		}
		seen[c.Name] = true
		if _, err := l.mutate(c); err != nil {
			return nil, err
		}
	}
	return l, nil
}

// mutate is the condition's file with the condition taken out.
func (l *List) mutate(c *Condition) ([]byte, error) {
	b, err := os.ReadFile(filepath.Join(l.root, c.File))
	if err != nil {
		return nil, fmt.Errorf("conditions: %q: %w", c.Name, err)
	}
	if occurrences := strings.Count(string(b), c.Text); occurrences != 1 {
		return nil, fmt.Errorf("conditions: %q: its text stands %d times in %s, not once: %q", c.Name, occurrences, c.File, c.Text)
	}
	return []byte(strings.Replace(string(b), c.Text, c.Replacement, 1)), nil
}

var failedTest = regexp.MustCompile(`(?m)^\s*--- FAIL: (\S+)`)

// errBuild marks sources that do not build without a condition: that says
// nothing about the tests.
var errBuild = errors.New("the sources do not build without it")

// knownFailures is a pattern of the tests that fail anyway, by KNOWN-RED.txt at the root: their
// failing shows nothing of a condition. Without any it is that of no test.
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

// TestMutant runs the tests without the condition. The tree is left as it is: the
// compiler is given the changed file in the place of the real one.
func (l *List) TestMutant(ctx context.Context, c Condition) Result {
	result := Result{Condition: c}
	dir, err := os.MkdirTemp("", "conditions")
	if err != nil {
		result.Err = fmt.Errorf("conditions: %w", err)
		return result
	}
	defer os.RemoveAll(dir)
	mutated, err := l.mutate(&c)
	if err != nil {
		result.Err = err
		return result
	}
	sourcePath, err := filepath.Abs(filepath.Join(l.root, c.File))
	if err != nil {
		result.Err = fmt.Errorf("conditions: %w", err)
		return result
	}
	mutatedPath, overlay := filepath.Join(dir, "changed.go"), filepath.Join(dir, "overlay.json")
	overlayJSON, err := json.Marshal(map[string]any{"Replace": map[string]string{sourcePath: mutatedPath}})
	if err == nil {
		err = errors.Join(os.WriteFile(mutatedPath, mutated, 0o600), os.WriteFile(overlay, overlayJSON, 0o600))
	}
	if err != nil {
		result.Err = fmt.Errorf("conditions: %w", err)
		return result
	}
	// One package after another, as they stand in the list, the quick ones first: a
	// condition that one notices need not be tried with the others.
	var out []byte
	for _, p := range l.Packages {
		// vet is left out: what a condition leaves behind need not be tidy.
		cmd := exec.CommandContext(ctx, "go", "test", "-vet=off", "-overlay", overlay, "-timeout", "10m", "-skip", l.knownFailures(), p)
		cmd.Dir = l.root
		out, err = cmd.CombinedOutput()
		if ctx.Err() != nil {
			result.Err = ctx.Err()
			return result
		}
		if err != nil {
			break
		}
	}
	if err == nil {
		return result
	}
	if bytes.Contains(out, []byte("[build failed]")) || bytes.Contains(out, []byte("[setup failed]")) {
		result.Err = fmt.Errorf("conditions: %q: %w: %s", c.Name, errBuild, firstLines(out, 4))
		return result
	}
	for _, m := range failedTest.FindAllStringSubmatch(string(out), -1) {
		if !slices.Contains(result.Failed, m[1]) {
			result.Failed = append(result.Failed, m[1])
		}
	}
	if len(result.Failed) == 0 {
		// A panic or the time limit: noticed, but without a test's name.
		result.Failed = []string{firstLines(out, 1)}
	}
	return result
}

func firstLines(b []byte, n int) string {
	lines := strings.SplitN(strings.TrimSpace(string(b)), "\n", n+1)
	return strings.Join(lines[:min(n, len(lines))], " | ")
}
