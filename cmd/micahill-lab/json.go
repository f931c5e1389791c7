package main

import (
	"encoding/json"
	"io"
)

// printJSON writes v as indented JSON.
func printJSON(out io.Writer, v any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}
