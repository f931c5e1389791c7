// Package policy runs the operators' Starlark script once, at the controller's start, with a limit on
// its execution steps. The result is a set of settings, such as cost factors and workload weights.
// The script can't change any decision on which a rule of the protocol depends.
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

// maxSteps is the maximum number of Starlark execution steps of a script. It keeps a script with an
// endless loop from blocking the controller's start.
const maxSteps = 1_000_000

// valueRange is the range of a setting's allowed values, both ends included.
type valueRange struct{ low, high float64 }

// The ranges of the settings.
var (
	relaunchFactorRange = valueRange{1, 100}
	rebalanceRange      = valueRange{1, 86400} // seconds
	headroomRange       = valueRange{0, 10}
	idleTimeoutRange    = valueRange{0, 86400} // seconds
	costFactorRange     = valueRange{0.01, 100}
	workloadWeightRange = valueRange{-1000, 1000}
)

// fileOptions allows while loops, and loops, conditions and reassignment at the top level of a
// script.
var fileOptions = &syntax.FileOptions{TopLevelControl: true, GlobalReassign: true, While: true}

// Load runs the script at path and returns its policy. If path is empty, Load returns the default
// policy.
func Load(path string) (controller.Policy, error) {
	if path == "" {
		return controller.DefaultPolicy(), nil
	}
	source, err := os.ReadFile(path)
	if err != nil {
		return controller.Policy{}, fmt.Errorf("policy: %w", err)
	}
	return Parse(path, source)
}

// Parse runs a script and returns its policy. The script's global variables are the settings; a
// setting that the script does not assign has its default. path is the script's name in errors.
// Errors name the file, the line and the reason.
func Parse(path string, source []byte) (controller.Policy, error) {
	policy := controller.DefaultPolicy()
	thread := &starlark.Thread{Name: "policy", Print: func(*starlark.Thread, string) {}}
	thread.SetMaxExecutionSteps(maxSteps)
	globals, err := starlark.ExecFileOptions(fileOptions, thread, path, source, nil)
	if err != nil {
		var evalErr *starlark.EvalError
		if errors.As(err, &evalErr) && len(evalErr.CallStack) > 0 {
			return policy, fmt.Errorf("policy: %s: %w", evalErr.CallStack.At(0).Pos, evalErr)
		}
		return policy, fmt.Errorf("policy: %w", err)
	}
	for _, name := range globals.Keys() {
		if err := applySetting(&policy, name, globals[name]); err != nil {
			return policy, fmt.Errorf("policy: %s:%d: %w", path, lineOf(path, source, name), err)
		}
	}
	return policy, nil
}

// applySetting sets the policy's field for a global variable of the script. It ignores functions, and
// variables whose names begin with an underscore. Any other unknown name is an error.
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
	return fmt.Errorf("unknown setting %s (the name of a variable that is no setting must begin with _)", name)
}

// parseNumber sets target to the value of a setting, which must be a number in the allowed range.
func parseNumber(name string, value starlark.Value, allowed valueRange, target *float64) error {
	number, ok := starlark.AsFloat(value)
	if !ok || math.IsNaN(number) || number < allowed.low || number > allowed.high {
		return fmt.Errorf("%s is %s, want a number from %v to %v", name, value, allowed.low, allowed.high)
	}
	*target = number
	return nil
}

// parseSeconds sets target to the value of a setting, which must be a number of seconds in the
// allowed range.
func parseSeconds(name string, value starlark.Value, allowed valueRange, target *time.Duration) error {
	var seconds float64
	if err := parseNumber(name, value, allowed, &seconds); err != nil {
		return err
	}
	*target = record.DurationOfSeconds(seconds)
	return nil
}

// parseTable sets target to the value of a setting, which must be a dict whose keys are strings and
// whose values are numbers in the allowed range.
func parseTable(name string, value starlark.Value, allowed valueRange, target *map[string]float64) error {
	dict, ok := value.(*starlark.Dict)
	if !ok {
		return fmt.Errorf("%s is a %s, want a dict", name, value.Type())
	}
	table := map[string]float64{}
	for _, entry := range dict.Items() {
		key, ok := starlark.AsString(entry[0])
		if !ok {
			return fmt.Errorf("%s has the key %s, want a string", name, entry[0])
		}
		var number float64
		if err := parseNumber(fmt.Sprintf("%s[%q]", name, key), entry[1], allowed, &number); err != nil {
			return err
		}
		table[key] = number
	}
	*target = table
	return nil
}

// lineOf returns the line of the last assignment to a global variable, or 0 if there is none.
func lineOf(path string, source []byte, name string) int {
	file, err := fileOptions.Parse(path, source, 0)
	if err != nil {
		return 0
	}
	line := 0
	syntax.Walk(file, func(node syntax.Node) bool {
		if assign, ok := node.(*syntax.AssignStmt); ok {
			if variable, ok := assign.LHS.(*syntax.Ident); ok && variable.Name == name {
				line = int(variable.NamePos.Line)
			}
		}
		return true
	})
	return line
}
