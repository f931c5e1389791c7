package testseed

import (
	"bytes"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestPropertyTestsAreSeeded checks that every package whose tests use rapid imports testseed.
// Otherwise its property tests would draw other values in each run and fail at random.
func TestPropertyTestsAreSeeded(t *testing.T) {
	uses, seeded := map[string]bool{}, map[string]bool{}
	err := filepath.WalkDir("../..", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, "_test.go") || filepath.Dir(path) == "../../internal/testseed" {
			return err
		}
		b, err := os.ReadFile(path)
		dir := filepath.Dir(path)
		uses[dir] = uses[dir] || bytes.Contains(b, []byte(`"pgregory.net/rapid"`))
		seeded[dir] = seeded[dir] || bytes.Contains(b, []byte(`_ "github.com/micahill/micahill/internal/testseed"`))
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	for dir, usesRapid := range uses {
		if usesRapid && !seeded[dir] {
			t.Errorf("%s: got no test file that imports internal/testseed, want one", dir)
		}
	}
}
