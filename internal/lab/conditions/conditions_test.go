package conditions

import (
	"context"
	"os"
	"path/filepath"
	"testing"
)

// TestListMatchesSources: every condition of the list stands in the sources
// as it says, so that the list cannot go stale without being noticed. Trying
// them all takes minutes and is done by hand: micahill-lab conditions.
func TestListMatchesSources(t *testing.T) {
	l, err := Load(filepath.Join("..", "..", "controller", "conditions.toml"), filepath.Join("..", "..", ".."))
	if err != nil {
		t.Fatal(err)
	}
	if len(l.Conditions) == 0 {
		t.Fatal("the list is empty")
	}
}

// TestMutants takes a condition out of a small module of its own: one that a test
// guards, one that none guards, and one without which nothing builds. A test that is known
// to fail notices none.
func TestMutants(t *testing.T) {
	dir := t.TempDir()
	for name, text := range map[string]string{
		"go.mod":        "module m\n\ngo 1.26\n",
		"m.go":          "package m\n\nfunc small(n int) bool { return n > 0 && n < 10 }\n",
		"m_test.go":     "package m\n\nimport \"testing\"\n\nfunc TestLow(t *testing.T) {\n\tif small(-1) {\n\t\tt.Error(-1)\n\t}\n}\n",
		"red_test.go":   "package m\n\nimport \"testing\"\n\nfunc TestRed(t *testing.T) { t.Error(\"always\") }\n",
		"KNOWN-RED.txt": "# test, cause, issue\nTestRed, for the sake of the test, issue 0\n",
		"list.toml":     "packages = [\"./...\"]\n[[condition]]\nname = \"low\"\ninvariant = \"x\"\nfile = \"m.go\"\ntext = \"n > 0 && \"\n[[condition]]\nname = \"high\"\ninvariant = \"x\"\nfile = \"m.go\"\ntext = \" && n < 10\"\n[[condition]]\nname = \"all\"\ninvariant = \"x\"\nfile = \"m.go\"\ntext = \"n > 0 && n < 10\"\n",
		"stale.toml":    "[[condition]]\nname = \"gone\"\ninvariant = \"x\"\nfile = \"m.go\"\ntext = \"n > 7\"\n",
	} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	l, err := Load(filepath.Join(dir, "list.toml"), dir)
	if err != nil {
		t.Fatal(err)
	}
	if r := l.TestMutant(context.Background(), l.Conditions[0]); len(r.Failed) != 1 || r.Failed[0] != "TestLow" || r.Err != nil {
		t.Errorf("the guarded one: %+v", r)
	}
	if r := l.TestMutant(context.Background(), l.Conditions[1]); len(r.Failed) != 0 || r.Err != nil {
		t.Errorf("the one that nothing guards: %+v", r)
	}
	if r := l.TestMutant(context.Background(), l.Conditions[2]); r.Err == nil {
		t.Errorf("the one without which nothing builds: %+v", r)
	}
	if _, err := Load(filepath.Join(dir, "stale.toml"), dir); err == nil {
		t.Error("a stale entry is taken")
	}
}
