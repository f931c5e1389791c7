// Package policy runs the operators' Starlark script, once at start and within a step limit. Its
// result is plain settings, with which operators can prefer and weigh; no decision that a rule of
// the protocol depends on is up to the script.
package policy

import (
	"errors"
	"fmt"
	"math"
	"os"
	"time"

	"github.com/micahill/micahill/internal/controller"
	"github.com/micahill/micahill/internal/record"
	"go.starlark.net/starlark"
	"go.starlark.net/syntax"
)

// maxSteps bounds the script's execution: an endless loop must not keep a controller from
// starting.
const maxSteps = 1_000_000

// valueRange bounds a setting, both ends included.
type valueRange struct{ low, high float64 }

var (
	relaunchFactorRange = valueRange{1, 100}
	rebalanceRange      = valueRange{1, 86400} // seconds
	headroomRange       = valueRange{0, 10}
	idleTimeoutRange    = valueRange{0, 86400} // seconds
	costFactorRange     = valueRange{0.01, 100}
	workloadWeightRange = valueRange{-1000, 1000}
)

// fileOptions allow loops, conditions and reassignment at the top level.
var fileOptions = &syntax.FileOptions{TopLevelControl: true, GlobalReassign: true, While: true}

// Load runs the script at path; an empty path is the default policy.
func Load(path string) (controller.Policy, error) {
	if path == "" {
		return controller.DefaultPolicy(), nil
	}
	src, err := os.ReadFile(path)
	if err != nil {
		return controller.Policy{}, fmt.Errorf("policy: %w", err)
	}
	return Parse(path, src)
}

// Parse runs a script, of which path is the name in errors. Its global variables are the settings;
// those that it does not set have their defaults. Errors name file, line and reason.
func Parse(path string, src []byte) (controller.Policy, error) {
	policy := controller.DefaultPolicy()
	thread := &starlark.Thread{Name: "policy", Print: func(*starlark.Thread, string) {}}
	thread.SetMaxExecutionSteps(maxSteps)
	globals, err := starlark.ExecFileOptions(fileOptions, thread, path, src, nil)
	if err != nil {
		var evalErr *starlark.EvalError
		if errors.As(err, &evalErr) && len(evalErr.CallStack) > 0 {
			return policy, fmt.Errorf("policy: %s: %w", evalErr.CallStack.At(0).Pos, evalErr)
		}
		return policy, fmt.Errorf("policy: %w", err)
	}
	for _, name := range globals.Keys() {
		if err := applySetting(&policy, name, globals[name]); err != nil {
			return policy, fmt.Errorf("policy: %s:%d: %w", path, lineOf(path, src, name), err)
		}
	}
	return policy, nil
}

// applySetting sets the field of the policy that a global variable stands for. Functions, and
// names that begin with an underscore, are the script's own.
func applySetting(policy *controller.Policy, name string, value starlark.Value) error {
	switch name {
	case "relaunch_factor":
		return parseNumber(name, value, relaunchFactorRange, &policy.RelaunchFactor)
	case "share_interval_s":
		return parseSeconds(name, value, rebalanceRange, &policy.RebalanceInterval)
	case "warm_room":
		return parseNumber(name, value, headroomRange, &policy.HeadroomFactor)
	case "idle_keep_s":
		return parseSeconds(name, value, idleTimeoutRange, &policy.IdleTimeout)
	case "prefer":
		return parseTable(name, value, costFactorRange, &policy.CostFactors)
	case "weights":
		return parseTable(name, value, workloadWeightRange, &policy.WorkloadWeights)
	}
	if _, ok := value.(starlark.Callable); ok || name[0] == '_' {
		return nil
	}
	return fmt.Errorf("unknown setting %s (a name of your own begins with _)", name)
}

// parseNumber sets target to a number in the allowed range.
func parseNumber(name string, v starlark.Value, allowed valueRange, target *float64) error {
	f, ok := starlark.AsFloat(v)
	if !ok || math.IsNaN(f) || f < allowed.low || f > allowed.high {
		return fmt.Errorf("%s is %s, want a number from %v to %v", name, v, allowed.low, allowed.high)
	}
	*target = f
	return nil
}

// parseSeconds sets target to a number of seconds in the allowed range.
func parseSeconds(name string, v starlark.Value, allowed valueRange, target *time.Duration) error {
	var f float64
	if err := parseNumber(name, v, allowed, &f); err != nil {
		return err
	}
	*target = record.DurationOfSeconds(f)
	return nil
}

// parseTable sets target to a dict from text to numbers in the allowed range.
func parseTable(name string, v starlark.Value, allowed valueRange, target *map[string]float64) error {
	dict, ok := v.(*starlark.Dict)
	if !ok {
		return fmt.Errorf("%s is a %s, want a dict", name, v.Type())
	}
	out := map[string]float64{}
	for _, kv := range dict.Items() {
		key, ok := starlark.AsString(kv[0])
		if !ok {
			return fmt.Errorf("%s has the key %s, want text", name, kv[0])
		}
		var f float64
		if err := parseNumber(fmt.Sprintf("%s[%q]", name, key), kv[1], allowed, &f); err != nil {
			return err
		}
		out[key] = f
	}
	*target = out
	return nil
}

// lineOf returns the line of the last assignment to a global variable, or 0 if there is none.
func lineOf(path string, src []byte, name string) int {
	f, err := fileOptions.Parse(path, src, 0)
	if err != nil {
		return 0
	}
	line := 0
	syntax.Walk(f, func(n syntax.Node) bool {
		if assign, ok := n.(*syntax.AssignStmt); ok {
			if id, ok := assign.LHS.(*syntax.Ident); ok && id.Name == name {
				line = int(id.NamePos.Line)
			}
		}
		return true
	})
	return line
}
