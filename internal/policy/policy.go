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

	"github.com/micahill/micahill/internal/core"
	"go.starlark.net/starlark"
	"go.starlark.net/syntax"
)

// maxSteps bounds the script: a loop without end must not keep a controller
// from starting.
const maxSteps = 1_000_000

// bounds keep settings within what makes sense.
type bounds struct{ low, high float64 }

var (
	factorBounds   = bounds{1, 100}
	intervalBounds = bounds{1, 86400}
	warmBounds     = bounds{0, 10}
	idleBounds     = bounds{0, 86400}
	preferBounds   = bounds{0.01, 100}
	weightBounds   = bounds{-1000, 1000}
)

// Load reads a script; the empty path gives the built-in defaults.
func Load(path string) (core.Policy, error) {
	if path == "" {
		return core.DefaultPolicy(), nil
	}
	src, err := os.ReadFile(path)
	if err != nil {
		return core.Policy{}, fmt.Errorf("policy: %w", err)
	}
	return Parse(path, src)
}

// Parse runs a script. Its global names are the settings; an error says file,
// line and reason.
func Parse(path string, src []byte) (core.Policy, error) {
	p := core.DefaultPolicy()
	thread := &starlark.Thread{Name: "policy", Print: func(*starlark.Thread, string) {}}
	thread.SetMaxExecutionSteps(maxSteps)
	opts := &syntax.FileOptions{TopLevelControl: true, GlobalReassign: true, While: true}
	globals, err := starlark.ExecFileOptions(opts, thread, path, src, nil)
	if err != nil {
		var ee *starlark.EvalError
		if errors.As(err, &ee) && len(ee.CallStack) > 0 {
			return p, fmt.Errorf("policy: %s: %s", ee.CallStack.At(0).Pos, ee.Msg)
		}
		return p, fmt.Errorf("policy: %w", err)
	}
	for _, name := range globals.Keys() {
		v := globals[name]
		if err := set(&p, name, v); err != nil {
			return p, fmt.Errorf("policy: %s:%d: %w", path, line(path, src, name), err)
		}
	}
	return p, nil
}

func set(p *core.Policy, name string, v starlark.Value) error {
	switch name {
	case "relaunch_factor":
		return number(name, v, factorBounds, &p.RelaunchFactor)
	case "share_interval_s":
		return seconds(name, v, intervalBounds, &p.RebalanceInterval)
	case "warm_room":
		return number(name, v, warmBounds, &p.HeadroomFactor)
	case "idle_keep_s":
		return seconds(name, v, idleBounds, &p.IdleTimeout)
	case "prefer":
		return table(name, v, preferBounds, &p.CostFactors)
	case "weights":
		return table(name, v, weightBounds, &p.WorkloadWeights)
	}
	if _, ok := v.(starlark.Callable); ok || name[0] == '_' {
		// Helpers of the script's own.
		return nil
	}
	return fmt.Errorf("unknown setting %s (a name of your own begins with _)", name)
}

func number(name string, v starlark.Value, b bounds, into *float64) error {
	f, ok := starlark.AsFloat(v)
	if !ok || math.IsNaN(f) || f < b.low || f > b.high {
		return fmt.Errorf("%s is %s, want a number from %v to %v", name, v, b.low, b.high)
	}
	*into = f
	return nil
}

func seconds(name string, v starlark.Value, b bounds, into *time.Duration) error {
	var f float64
	if err := number(name, v, b, &f); err != nil {
		return err
	}
	*into = core.Seconds(f)
	return nil
}

func table(name string, v starlark.Value, b bounds, into *map[string]float64) error {
	d, ok := v.(*starlark.Dict)
	if !ok {
		return fmt.Errorf("%s is a %s, want a dict", name, v.Type())
	}
	out := map[string]float64{}
	for _, kv := range d.Items() {
		key, ok := starlark.AsString(kv[0])
		if !ok {
			return fmt.Errorf("%s has the key %s, want text", name, kv[0])
		}
		var f float64
		if err := number(fmt.Sprintf("%s[%q]", name, key), kv[1], b, &f); err != nil {
			return err
		}
		out[key] = f
	}
	*into = out
	return nil
}

// line finds where a global name is bound last.
func line(path string, src []byte, name string) int {
	f, err := (&syntax.FileOptions{TopLevelControl: true, GlobalReassign: true, While: true}).Parse(path, src, 0)
	if err != nil {
		return 0
	}
	at := 0
	syntax.Walk(f, func(n syntax.Node) bool {
		if a, ok := n.(*syntax.AssignStmt); ok {
			if id, ok := a.LHS.(*syntax.Ident); ok && id.Name == name {
				at = int(id.NamePos.Line)
			}
		}
		return true
	})
	return at
}
