package conditions

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"slices"
	"testing"
)

// TestListMatchesSources checks that the sources contain every condition of the list, so
// that a stale entry is noticed. Testing all the mutants takes minutes and is started by
// hand: micahill-lab conditions.
func TestListMatchesSources(t *testing.T) {
	l, err := Load(filepath.Join("..", "..", "controller", "conditions.toml"), filepath.Join("..", "..", ".."))
	if err != nil {
		t.Fatal(err)
	}
	if len(l.Conditions) == 0 {
		t.Fatal("got an empty list, want conditions")
	}
}

// mutantModule is a module of its own with three conditions: a test guards the first, no
// test the second, and the sources do not build without the third. Its test TestRed is
// known to fail, so it must not count.
var mutantModule = map[string]string{
	"go.mod":        "module m\n\ngo 1.26\n",
	"m.go":          "package m\n\nfunc small(n int) bool { return n > 0 && n < 10 }\n",
	"m_test.go":     "package m\n\nimport \"testing\"\n\nfunc TestLow(t *testing.T) {\n\tif small(-1) {\n\t\tt.Error(-1)\n\t}\n}\n",
	"red_test.go":   "package m\n\nimport \"testing\"\n\nfunc TestRed(t *testing.T) { t.Error(\"always\") }\n",
	"KNOWN-RED.txt": "# test, cause, issue\nTestRed, for the sake of the test, issue 0\n",
	"list.toml":     "packages = [\"./...\"]\n[[condition]]\nname = \"low\"\ninvariant = \"x\"\nfile = \"m.go\"\ntext = \"n > 0 && \"\n[[condition]]\nname = \"high\"\ninvariant = \"x\"\nfile = \"m.go\"\ntext = \" && n < 10\"\n[[condition]]\nname = \"all\"\ninvariant = \"x\"\nfile = \"m.go\"\ntext = \"n > 0 && n < 10\"\n",
	"stale.toml":    "[[condition]]\nname = \"gone\"\ninvariant = \"x\"\nfile = \"m.go\"\ntext = \"n > 7\"\n",
}

func TestMutants(t *testing.T) {
	dir := t.TempDir()
	for name, text := range mutantModule {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	l, err := Load(filepath.Join(dir, "list.toml"), dir)
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
			c := l.Conditions[i]
			if c.Name != tt.name {
				t.Fatalf("got condition %q, want %q", c.Name, tt.name)
			}
			r := l.TestMutant(context.Background(), c)
			if !slices.Equal(r.Failed, tt.wantFailed) {
				t.Errorf("got failed tests %q, want %q", r.Failed, tt.wantFailed)
			}
			if !errors.Is(r.Err, tt.wantErr) {
				t.Errorf("got error %v, want %v", r.Err, tt.wantErr)
			}
		})
	}
	if _, err := Load(filepath.Join(dir, "stale.toml"), dir); err == nil {
		t.Error("stale entry: got no error, want one")
	}
}
