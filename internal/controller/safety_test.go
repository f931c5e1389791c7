package controller_test

import (
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestSafety runs the scenarios of single conditions. conditions.toml names the
// lines that they guard.
func TestSafety(t *testing.T) {
	datadriven.Walk(t, "testdata/safety", func(t *testing.T, path string) {
		h := newHarness(t)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string { return h.runLine(d) })
	})
}
