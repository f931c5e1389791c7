package main

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/micahill/micahill/internal/lab/scale"
)

// TestEarlierMeasurements checks that earlier measurements are fitted without a new one, that a
// broken rule in an earlier measurement fails the command, and that an invalid plan is refused
// before any process starts.
func TestEarlierMeasurements(t *testing.T) {
	name := filepath.Join(t.TempDir(), "ladder.json")
	run := func(series scale.Series, args ...string) (string, error) {
		b, err := json.Marshal(series)
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(name, b, 0o600); err != nil {
			t.Fatal(err)
		}
		command := scaleCommand()
		var out bytes.Buffer
		command.SetOut(&out)
		command.SetErr(&out)
		command.SetArgs(append([]string{"--add", name}, args...))
		err = command.Execute()
		return out.String(), err
	}
	var series scale.Series
	for i := range 5 {
		measurement := &scale.Measurement{Workers: 100 << i, StartsPerSecond: float64(7 * i * i), HeartbeatsPerSecond: 20 * float64(int(1)<<i)}
		series.Measurements = append(series.Measurements, measurement)
	}
	out, err := run(series)
	if err != nil || !regexp.MustCompile(`\nreports/s +-?0\.000 +200\.000 `).MatchString(out) {
		t.Errorf("earlier measurements: got error %v and output\n%s\nwant a fit of reports/s with slope 200", err, out)
	}
	series.Measurements[2].Violations = []string{"ran_twice"}
	if _, err := run(series); err == nil || !strings.Contains(err.Error(), "ran_twice") {
		t.Errorf("broken rule: got error %v, want one with ran_twice", err)
	}
	if _, err := run(series, "--workers", "100,12001"); err == nil || !strings.Contains(err.Error(), "--workers 12001") {
		t.Errorf("too many workers: got error %v, want one with --workers 12001", err)
	}
}
