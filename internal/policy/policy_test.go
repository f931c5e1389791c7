package policy

import (
	"strings"
	"testing"
	"time"
)

func TestExample(t *testing.T) {
	p, err := Load("../../examples/policy.star")
	if err != nil {
		t.Fatal(err)
	}
	if p.RelaunchFactor != 2 || p.IdleTimeout != 45*time.Second || p.CostFactors["lab-rack"] != 0.95 || p.WorkloadWeights["rush-rx"] != 10 {
		t.Errorf("the example gives %+v", p)
	}
	if _, err := Load(""); err != nil {
		t.Errorf("no script: %v", err)
	}
}

func TestInvalidScripts(t *testing.T) {
	for _, c := range []struct{ src, want string }{
		{"\nrelaunch_factor = 0.5", "p.star:2: relaunch_factor is 0.5, want a number from 1 to 100"},
		{"warm_room = 'much'", "p.star:1: warm_room"},
		{"weights = [1]", "p.star:1: weights is a list, want a dict"},
		{"x = 1", "p.star:1: unknown setting x"},
		{"a b", "p.star:1:"},
		{"_y = 1\nidle_keep_s = _y // 0", "p.star:2:"},
		{"while True: pass", "too many steps"},
	} {
		_, err := Parse("p.star", []byte(c.src))
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q: got %v, want %q", c.src, err, c.want)
		}
	}
}
