package conditions

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"slices"
	"testing"
)

// TestListMatchesSources checks that the sources contain the text of every condition of the list.
// It fails when a change of the sources removes or duplicates such a text, so that the condition
// could not be tested. Testing all mutants takes minutes and is started by hand: micahill-lab
// conditions.
func TestListMatchesSources(t *testing.T) {
	list, err := Load(filepath.Join("..", "..", "controller", "conditions.toml"), filepath.Join("..", "..", ".."))
	if err != nil {
		t.Fatal(err)
	}
	if len(list.Conditions) == 0 {
		t.Fatal("got an empty list, want conditions")
	}
}

// mutantModule has the files of a module with three conditions. A test guards the first
// condition, no test guards the second, and the sources do not build without the third. TestRed
// always fails and is listed in KNOWN-RED.txt, so it must not count.
var mutantModule = map[string]string{
	"go.mod":        "module m\n\ngo 1.26\n",
	"m.go":          "package m\n\nfunc small(n int) bool { return n > 0 && n < 10 }\n",
	"m_test.go":     "package m\n\nimport \"testing\"\n\nfunc TestLow(t *testing.T) {\n\tif small(-1) {\n\t\tt.Error(-1)\n\t}\n}\n",
	"red_test.go":   "package m\n\nimport \"testing\"\n\nfunc TestRed(t *testing.T) { t.Error(\"always\") }\n",
	"KNOWN-RED.txt": "# test, cause, issue\nTestRed, for the sake of the test, issue 0\n",
	"list.toml":     "packages = [\"./...\"]\n[[condition]]\nname = \"low\"\ninvariant = \"x\"\nfile = \"m.go\"\ntext = \"n > 0 && \"\n[[condition]]\nname = \"high\"\ninvariant = \"x\"\nfile = \"m.go\"\ntext = \" && n < 10\"\n[[condition]]\nname = \"all\"\ninvariant = \"x\"\nfile = \"m.go\"\ntext = \"n > 0 && n < 10\"\n",
	"stale.toml":    "[[condition]]\nname = \"gone\"\ninvariant = \"x\"\nfile = \"m.go\"\ntext = \"n > 7\"\n",
}

// TestMutants guards against mutants with a wrong result: a condition must not pass as guarded
// when only a known failure or a broken build makes the tests fail, and a list whose text is gone
// from the sources must be refused.
func TestMutants(t *testing.T) {
	dir := t.TempDir()
	for name, text := range mutantModule {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	list, err := Load(filepath.Join(dir, "list.toml"), dir)
	if err != nil {
		t.Fatal(err)
	}
	for i, tt := range []struct {
		name       string
		wantFailed []string
		wantErr    error
	}{
		{name: "low", wantFailed: []string{"TestLow"}},
		{name: "high"},
		{name: "all", wantErr: ErrBuild},
	} {
		t.Run(tt.name, func(t *testing.T) {
			condition := list.Conditions[i]
			if condition.Name != tt.name {
				t.Fatalf("got condition %q, want %q", condition.Name, tt.name)
			}
			result := list.TestMutant(context.Background(), condition)
			if !slices.Equal(result.Failed, tt.wantFailed) {
				t.Errorf("got failed tests %q, want %q", result.Failed, tt.wantFailed)
			}
			if !errors.Is(result.Err, tt.wantErr) {
				t.Errorf("got error %v, want %v", result.Err, tt.wantErr)
			}
		})
	}
	if _, err := Load(filepath.Join(dir, "stale.toml"), dir); err == nil {
		t.Error("stale entry: got no error, want one")
	}
}
