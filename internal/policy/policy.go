// Package policy reads the operators' Starlark script. The script is run once
// at start, within a step limit, and yields plain settings: it can prefer and
// weigh, but never reaches the decisions that the rules depend on.
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

// maxSteps bounds the script: a loop without end must not keep a controller
// from starting.
const maxSteps = 1_000_000

// valueRange keep settings within what makes sense.
type valueRange struct{ low, high float64 }

var (
	factorRange   = valueRange{1, 100}
	intervalRange = valueRange{1, 86400}
	prewarmRange  = valueRange{0, 10}
	idleRange     = valueRange{0, 86400}
	preferRange   = valueRange{0.01, 100}
	weightRange   = valueRange{-1000, 1000}
)

// Load reads a script; the empty path gives the built-in defaults.
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

// Parse runs a script. Its global names are the settings; an error says file,
// line and reason.
func Parse(path string, src []byte) (controller.Policy, error) {
	policy := controller.DefaultPolicy()
	thread := &starlark.Thread{Name: "policy", Print: func(*starlark.Thread, string) {}}
	thread.SetMaxExecutionSteps(maxSteps)
	opts := &syntax.FileOptions{TopLevelControl: true, GlobalReassign: true, While: true}
	globals, err := starlark.ExecFileOptions(opts, thread, path, src, nil)
	if err != nil {
		var ee *starlark.EvalError
		if errors.As(err, &ee) && len(ee.CallStack) > 0 {
			return policy, fmt.Errorf("policy: %s: %s", ee.CallStack.At(0).Pos, ee.Msg)
		}
		return policy, fmt.Errorf("policy: %w", err)
	}
	for _, name := range globals.Keys() {
		v := globals[name]
		if err := applySetting(&policy, name, v); err != nil {
			return policy, fmt.Errorf("policy: %s:%d: %w", path, lineOf(path, src, name), err)
		}
	}
	return policy, nil
}

func applySetting(policy *controller.Policy, name string, value starlark.Value) error {
	switch name {
	case "relaunch_factor":
		return parseNumber(name, value, factorRange, &policy.RelaunchFactor)
	case "share_interval_s":
		return parseSeconds(name, value, intervalRange, &policy.RebalanceInterval)
	case "warm_room":
		return parseNumber(name, value, prewarmRange, &policy.HeadroomFactor)
	case "idle_keep_s":
		return parseSeconds(name, value, idleRange, &policy.IdleTimeout)
	case "prefer":
		return parseTable(name, value, preferRange, &policy.CostFactors)
	case "weights":
		return parseTable(name, value, weightRange, &policy.WorkloadWeights)
	}
	if _, ok := value.(starlark.Callable); ok || name[0] == '_' {
		// Helpers of the script's own.
		return nil
	}
	return fmt.Errorf("unknown setting %s (a name of your own begins with _)", name)
}

func parseNumber(name string, v starlark.Value, allowed valueRange, target *float64) error {
	f, ok := starlark.AsFloat(v)
	if !ok || math.IsNaN(f) || f < allowed.low || f > allowed.high {
		return fmt.Errorf("%s is %s, want a number from %v to %v", name, v, allowed.low, allowed.high)
	}
	*target = f
	return nil
}

func parseSeconds(name string, v starlark.Value, allowed valueRange, target *time.Duration) error {
	var f float64
	if err := parseNumber(name, v, allowed, &f); err != nil {
		return err
	}
	*target = record.DurationOfSeconds(f)
	return nil
}

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

// lineOf finds where a global name is bound last.
func lineOf(path string, src []byte, name string) int {
	f, err := (&syntax.FileOptions{TopLevelControl: true, GlobalReassign: true, While: true}).Parse(path, src, 0)
	if err != nil {
		return 0
	}
	found := 0
	syntax.Walk(f, func(n syntax.Node) bool {
		if a, ok := n.(*syntax.AssignStmt); ok {
			if id, ok := a.LHS.(*syntax.Ident); ok && id.Name == name {
				found = int(id.NamePos.Line)
			}
		}
		return true
	})
	return found
}
