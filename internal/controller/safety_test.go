package controller_test

import (
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestSafety runs the scenarios in testdata/safety, each of which tests single conditions of the
// safety argument. conditions.toml names the code lines that the scenarios guard.
func TestSafety(t *testing.T) {
	datadriven.Walk(t, "testdata/safety", func(t *testing.T, path string) {
		harness := newHarness(t)
		datadriven.RunTest(t, path, func(t *testing.T, data *datadriven.TestData) string { return harness.runLine(data) })
	})
}
