package main

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// logFunctions maps each function that writes a log line at info or above to its level.
var logFunctions = map[string]string{
	"info": "info", "internalError": "error", "slog.Info": "info", "slog.Warn": "warn", "slog.Error": "error",
}

// simulationOnly lists the directories whose log lines no operator sees.
var simulationOnly = []string{"internal/simulation", "internal/lab", "internal/search", "internal/testgolden", "internal/testseed"}

// forwardingPackage is the package that writes log lines on behalf of the controller. Their messages
// are literals where the controller creates them.
const forwardingPackage = "internal/server"

// TestLogLinesAreDocumented checks that docs/operations/logs.md lists each log line at info and
// above with its level, and no line that the program does not write. It guards against a page
// that is out of date after a log line was added, reworded or removed.
func TestLogLinesAreDocumented(t *testing.T) {
	root := filepath.Join("..", "..")
	written := logLines(t, root)
	page, err := os.ReadFile(filepath.Join(root, "docs", "operations", "logs.md"))
	if err != nil {
		t.Fatal(err)
	}
	documented := map[string]string{}
	for _, row := range regexp.MustCompile("(?m)^\\| `([^`]+)` \\| (info|warn|error) \\|").FindAllStringSubmatch(string(page), -1) {
		if _, twice := documented[row[1]]; twice {
			t.Errorf("documented twice: %q", row[1])
		}
		documented[row[1]] = row[2]
	}
	for _, message := range slices.Sorted(maps.Keys(written)) {
		if got, want := documented[message], written[message]; got != want {
			t.Errorf("%q: documented level %q, want %q", message, got, want)
		}
	}
	for _, message := range slices.Sorted(maps.Keys(documented)) {
		if written[message] == "" {
			t.Errorf("%q is documented, but never written", message)
		}
	}
}

// logLines returns the messages that the program's sources below root write, with their levels.
func logLines(t *testing.T, root string) map[string]string {
	t.Helper()
	lines := map[string]string{}
	for _, dir := range []string{"internal", filepath.Join("cmd", "micahill")} {
		err := filepath.WalkDir(filepath.Join(root, dir), func(path string, entry fs.DirEntry, err error) error {
			if err != nil {
				return err
			}
			if entry.IsDir() {
				if below, err := filepath.Rel(root, path); err == nil && slices.Contains(simulationOnly, filepath.ToSlash(below)) {
					return filepath.SkipDir
				}
				return nil
			}
			if strings.HasSuffix(path, ".go") && !strings.HasSuffix(path, "_test.go") {
				collectLogLines(t, path, lines)
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	if len(lines) == 0 {
		t.Fatal("no log line found in the sources")
	}
	return lines
}

// collectLogLines adds the messages that the source file at path writes to lines. A message has
// to be a literal, so that operators can search for it in the sources.
func collectLogLines(t *testing.T, path string, lines map[string]string) {
	t.Helper()
	files := token.NewFileSet()
	file, err := parser.ParseFile(files, path, nil, parser.SkipObjectResolution)
	if err != nil {
		t.Fatal(err)
	}
	ast.Inspect(file, func(node ast.Node) bool {
		call, ok := node.(*ast.CallExpr)
		if !ok || len(call.Args) == 0 {
			return true
		}
		level := levelOf(call)
		if level == "" {
			return true
		}
		literal, ok := call.Args[0].(*ast.BasicLit)
		if !ok {
			if !strings.HasSuffix(filepath.ToSlash(filepath.Dir(path)), forwardingPackage) {
				t.Errorf("%s: the message of a log line is not a literal", files.Position(call.Pos()))
			}
			return true
		}
		message, err := strconv.Unquote(literal.Value)
		if err != nil {
			t.Fatal(err)
		}
		if other := lines[message]; other != "" && other != level {
			t.Errorf("%s: %q is written at %s and at %s", files.Position(call.Pos()), message, other, level)
		}
		lines[message] = level
		return true
	})
}

// levelOf returns the level of the log line that a call writes, or "" if the call writes none.
func levelOf(call *ast.CallExpr) string {
	selector, ok := call.Fun.(*ast.SelectorExpr)
	if !ok {
		return ""
	}
	if level := logFunctions[selector.Sel.Name]; level != "" {
		return level
	}
	if receiver, ok := selector.X.(*ast.Ident); ok {
		return logFunctions[receiver.Name+"."+selector.Sel.Name]
	}
	return ""
}
