package main

import (
	"encoding/json"
	"io"
)

// printJSON prints v for programs, indented.
func printJSON(out io.Writer, v any) error {
	e := json.NewEncoder(out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}
