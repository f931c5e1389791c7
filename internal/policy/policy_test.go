package policy

import (
	"strings"
	"testing"
	"time"
)

// TestExample checks that the example script, which operators copy as their first policy, loads
// with the expected settings, and that no script is needed.
func TestExample(t *testing.T) {
	policy, err := Load("../../examples/policy.star")
	if err != nil {
		t.Fatal(err)
	}
	if policy.RelaunchFactor != 2 || policy.IdleTimeout != 45*time.Second || policy.CostFactors["lab-rack"] != 0.95 || policy.WorkloadWeights["rush-rx"] != 10 {
		t.Errorf("got %+v, want the settings of examples/policy.star", policy)
	}
	if _, err := Load(""); err != nil {
		t.Errorf("no script: got %v, want the defaults", err)
	}
}

// TestInvalidScripts checks that the error for an invalid script names the file, the line and the
// reason, and that a script with an endless loop ends. Operators could not otherwise find the
// mistake.
func TestInvalidScripts(t *testing.T) {
	for _, test := range []struct{ name, src, want string }{
		{"out of range", "\nrelaunch_factor = 0.5", "p.star:2: relaunch_factor is 0.5, want a number from 1 to 100"},
		{"wrong type", "warm_room = 'much'", "p.star:1: warm_room"},
		{"list instead of a dict", "weights = [1]", "p.star:1: weights is a list, want a dict"},
		{"unknown setting", "x = 1", "p.star:1: unknown setting x"},
		{"syntax", "a b", "p.star:1:"},
		{"division by zero", "_y = 1\nidle_keep_s = _y // 0", "p.star:2:"},
		{"endless loop", "while True: pass", "too many steps"},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := Parse("p.star", []byte(test.src))
			if err == nil || !strings.Contains(err.Error(), test.want) {
				t.Errorf("%q: got %v, want %q", test.src, err, test.want)
			}
		})
	}
}
